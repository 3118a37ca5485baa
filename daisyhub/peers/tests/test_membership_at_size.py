"""Simulates the heartbeats of a fleet of the target size."""

import heapq
import itertools
import random
import unittest

from daisyhub.peers import (
    Envelope,
    HeartbeatReceived,
    LocalStateChanged,
    MembershipCore,
    MembershipTick,
    encode_envelope,
)
from daisyhub.settings import Address, DaemonSettings, PeerSettings

DOMAINS = 17
TARGET_DAEMONS = 470
MESSAGE_DELAY_S = 0.05
FETCH_DELAY_S = 0.2
ADDRESS = Address(ip="127.0.0.1", port=1)
US_PER_S = 1_000_000


class Fleet:
    """Cores that exchange messages, with loss, on a simulated clock."""

    def __init__(self, count, seed=0, loss=0.0):
        self.random = random.Random(seed)
        self.loss = loss
        names = [(f"d{n:03}", f"z{n % DOMAINS:02}") for n in range(count)]
        self.peers = tuple(
            PeerSettings(daemon_id=name, failure_domain=zone, address=ADDRESS)
            for name, zone in names
        )
        self.now_s = 0.0
        self.queue = []
        self.sequence = itertools.count()
        self.cores, self.versions, self.dead = {}, {}, set()
        self.sent, self.bytes = 0, 0
        for peer in self.peers:
            self.start(peer.daemon_id)

    def start(self, name):
        zone = next(p.failure_domain for p in self.peers if p.daemon_id == name)
        cfg = DaemonSettings(
            daemon_id=name,
            failure_domain=zone,
            callers_address=ADDRESS,
            operators_address=ADDRESS,
            peer_address=ADDRESS,
            platform_address=ADDRESS,
            key_hash_secret="0" * 64,
            peers=tuple(p for p in self.peers if p.daemon_id != name),
        )
        incarnation = 10**15 + int(self.now_s * US_PER_S) + int(name[1:])
        self.cores[name] = MembershipCore(cfg, incarnation)
        self.versions[name] = 0
        self.dead.discard(name)
        start_s = self.now_s + self.random.random()
        self.schedule(start_s, name, MembershipTick())

    def schedule(self, at_s, name, event):
        heapq.heappush(self.queue, (at_s, next(self.sequence), name, event))

    def activate(self, name, version):
        """Activates a new configuration version, which the daemon announces."""
        if name in self.dead or self.versions[name] >= version:
            return
        self.versions[name] = version
        self.feed(name, LocalStateChanged(version, 0, ""))

    def feed(self, name, event):
        core = self.cores[name]
        for action in core.handle(event, self.now_s):
            envelope = Envelope(
                sender=name,
                incarnation=core.incarnation,
                messages=(action.heartbeat,),
            )
            size_bytes = len(encode_envelope(envelope))
            for target in action.targets:
                self.sent += 1
                self.bytes += size_bytes
                if self.random.random() >= self.loss:
                    received = HeartbeatReceived(name, action.heartbeat)
                    self.schedule(
                        self.now_s + MESSAGE_DELAY_S, target, received
                    )
        if isinstance(event, MembershipTick):
            self.schedule(core.next_wakeup_s, name, event)

    def run(self, seconds):
        """Processes the events of the next seconds.

        An event of type int is a configuration version whose fetch completes.
        """
        until_s = self.now_s + seconds
        while self.queue[0][0] <= until_s:
            self.now_s, _, name, event = heapq.heappop(self.queue)
            if name in self.dead:
                continue
            if isinstance(event, int):
                self.activate(name, event)
                continue
            self.feed(name, event)
            if isinstance(event, HeartbeatReceived):
                version = event.heartbeat.config_version
                if version > self.versions[name]:
                    self.schedule(self.now_s + FETCH_DELAY_S, name, version)
        self.now_s = until_s

    def zone(self, name):
        return self.cores[name].cfg.failure_domain

    def observed_live(self, name):
        return set(self.cores[name].live_members(self.now_s))

    def actual_live(self, name):
        return {
            other
            for other in self.cores
            if self.zone(other) == self.zone(name)
            and other not in self.dead | {name}
        }

    def daemons_with_wrong_members(self):
        return [
            name
            for name in self.cores
            if name not in self.dead
            and self.observed_live(name) != self.actual_live(name)
        ]


class MembershipAtTargetSizeTest(unittest.TestCase):
    def test_traffic_is_bounded_and_versions_reach_all(self):
        fleet = Fleet(TARGET_DAEMONS)
        fleet.run(12.0)
        self.assertEqual(fleet.daemons_with_wrong_members(), [])
        fleet.sent = fleet.bytes = 0
        fleet.run(8.0)
        per_daemon_second = 1 / (8.0 * TARGET_DAEMONS)
        self.assertLess(fleet.sent * per_daemon_second, 3)
        self.assertLess(fleet.bytes * per_daemon_second, 1500)
        # Only one daemon of one domain gets the version from the platform.
        fleet.activate("d469", 1)
        fleet.run(5.0)
        self.assertEqual(set(fleet.versions.values()), {1})

    def test_dead_leaving_and_restarted_daemons_are_detected(self):
        fleet = Fleet(TARGET_DAEMONS // 5, seed=3, loss=0.1)
        fleet.run(12.0)
        # Both relays of domain z00 and one of z01.
        relays = ["d000", "d001", "d017"]
        fleet.dead.update(relays)
        fleet.run(16.0)
        self.assertEqual(fleet.daemons_with_wrong_members(), [])
        fleet.start("d000")
        fleet.run(12.0)
        self.assertEqual(fleet.daemons_with_wrong_members(), [])
        fleet.feed("d002", LocalStateChanged(0, 0, "", True))
        fleet.run(4.0)
        neighbours = fleet.actual_live("d002")
        self.assertFalse(
            [n for n in neighbours if "d002" in fleet.observed_live(n)]
        )
        fleet.start("d002")
        fleet.run(12.0)
        self.assertEqual(fleet.daemons_with_wrong_members(), [])

    def test_dead_relays_are_replaced(self):
        fleet = Fleet(TARGET_DAEMONS // 5)
        fleet.run(12.0)
        zone = sorted(n for n in fleet.cores if fleet.zone(n) == "z00")
        fleet.dead.update(zone[:3])
        fleet.run(16.0)
        fleet.activate(zone[-1], 1)
        fleet.run(5.0)
        live = set(fleet.cores) - fleet.dead
        self.assertEqual({fleet.versions[name] for name in live}, {1})
