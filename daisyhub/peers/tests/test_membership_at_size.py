"""The peers' heartbeats at the target size, on a simulated clock."""

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
MESSAGE_S = 0.05
FETCH_S = 0.2
PORT = Address(ip="127.0.0.1", port=1)
US = 1_000_000


class Fleet:
    """Cores that hear each other; a message may be lost or cut off."""

    def __init__(self, count, seed=0, loss=0.0):
        self.random = random.Random(seed)
        self.loss = loss
        names = [(f"d{n:03}", f"z{n % DOMAINS:02}") for n in range(count)]
        self.peers = tuple(
            PeerSettings(daemon_id=name, failure_domain=zone, address=PORT)
            for name, zone in names
        )
        self.now_s = 0.0
        self.queue = []
        self.order = itertools.count()
        self.cores, self.versions, self.dead = {}, {}, set()
        self.sent, self.bytes = 0, 0
        for peer in self.peers:
            self.start(peer.daemon_id)

    def start(self, name):
        zone = next(p.failure_domain for p in self.peers if p.daemon_id == name)
        cfg = DaemonSettings(
            daemon_id=name,
            failure_domain=zone,
            callers_address=PORT,
            operators_address=PORT,
            peer_address=PORT,
            platform_address=PORT,
            key_hash_secret="0" * 64,
            peers=tuple(p for p in self.peers if p.daemon_id != name),
        )
        incarnation = 10**15 + int(self.now_s * US) + int(name[1:])
        self.cores[name] = MembershipCore(cfg, incarnation)
        self.versions[name] = 0
        self.dead.discard(name)
        start_s = self.now_s + self.random.random()
        self.put(start_s, name, MembershipTick())

    def put(self, at_s, name, event):
        heapq.heappush(self.queue, (at_s, next(self.order), name, event))

    def adopt(self, name, version):
        """A daemon has a new version in force and tells it."""
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
                    heard = HeartbeatReceived(name, action.heartbeat)
                    self.put(self.now_s + MESSAGE_S, target, heard)
        if isinstance(event, MembershipTick):
            self.put(core.next_wakeup_s, name, event)

    def run(self, seconds):
        until_s = self.now_s + seconds
        while self.queue[0][0] <= until_s:
            self.now_s, _, name, event = heapq.heappop(self.queue)
            if name in self.dead:
                continue
            if isinstance(event, int):
                self.adopt(name, event)
                continue
            self.feed(name, event)
            if isinstance(event, HeartbeatReceived):
                version = event.heartbeat.config_version
                if version > self.versions[name]:
                    self.put(self.now_s + FETCH_S, name, version)
        self.now_s = until_s

    def zone(self, name):
        return self.cores[name].cfg.failure_domain

    def live_seen(self, name):
        return set(self.cores[name].live_members(self.now_s))

    def live_true(self, name):
        return {
            other
            for other in self.cores
            if self.zone(other) == self.zone(name)
            and other not in self.dead | {name}
        }

    def wrong_views(self):
        return [
            name
            for name in self.cores
            if name not in self.dead
            and self.live_seen(name) != self.live_true(name)
        ]


class MembershipAtSize(unittest.TestCase):
    def test_target_size_fits_and_spreads(self):
        fleet = Fleet(TARGET_DAEMONS)
        fleet.run(12.0)
        self.assertEqual(fleet.wrong_views(), [])
        fleet.sent = fleet.bytes = 0
        fleet.run(8.0)
        per_s = 1 / (8.0 * TARGET_DAEMONS)
        self.assertLess(fleet.sent * per_s, 3)
        self.assertLess(fleet.bytes * per_s, 1500)
        # The platform answers one daemon of one domain only.
        fleet.adopt("d469", 1)
        fleet.run(5.0)
        self.assertEqual(set(fleet.versions.values()), {1})

    def test_the_dead_the_leaving_and_the_restarted_are_told_apart(self):
        fleet = Fleet(TARGET_DAEMONS // 5, seed=3, loss=0.1)
        fleet.run(12.0)
        lowest = ["d000", "d001", "d017"]
        fleet.dead.update(lowest)
        fleet.run(16.0)
        self.assertEqual(fleet.wrong_views(), [])
        fleet.start("d000")
        fleet.run(12.0)
        self.assertEqual(fleet.wrong_views(), [])
        fleet.feed("d002", LocalStateChanged(0, 0, "", True))
        fleet.run(4.0)
        near = fleet.live_true("d002")
        self.assertFalse([n for n in near if "d002" in fleet.live_seen(n)])
        fleet.start("d002")
        fleet.run(12.0)
        self.assertEqual(fleet.wrong_views(), [])

    def test_relays_that_die_are_replaced(self):
        fleet = Fleet(TARGET_DAEMONS // 5)
        fleet.run(12.0)
        zone = sorted(n for n in fleet.cores if fleet.zone(n) == "z00")
        fleet.dead.update(zone[:3])
        fleet.run(16.0)
        fleet.adopt(zone[-1], 1)
        fleet.run(5.0)
        live = set(fleet.cores) - fleet.dead
        self.assertEqual({fleet.versions[name] for name in live}, {1})
