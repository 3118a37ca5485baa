"""Evidence against requests reaches all daemons, whenever they start."""

import asyncio
import types
import unittest
from unittest import mock

from daisyhub.balancing import EndpointProcess
from daisyhub.cluster import (
    CLUSTER_PROTOCOL,
    OwnerTable,
    Ping,
    SharedSuspects,
)
from daisyhub.logs import DecisionLog
from daisyhub.settings import Address
from daisyhub.suspects import Verdict

DIGEST = bytes(range(16))
OTHER = bytes(16)
# Largest datagram of the peer network.
MAX_DATAGRAM_BYTES = 1400


def process(number):
    address = Address(ip="10.123.123.123", port=12345)
    return EndpointProcess(f"i-{number:010d}", 1796388886021, address)


class Daemon:
    """A daemon's suspects, and its links to the others.

    Attributes:
        is_cut: Whether no message from or to it arrives.
    """

    def __init__(self, name, daemons):
        self.name = name
        self.daemons = daemons
        self.is_cut = False
        daemons[name] = self
        log = mock.create_autospec(DecisionLog, instance=True)
        owners = OwnerTable(name, self, lambda: False)
        self.suspects = SharedSuspects(lambda _: False, owners, self, self, log)

    def live(self):
        return [self.get(name) for name in self.daemons if name != self.name]

    def get(self, name):
        ping = types.SimpleNamespace(is_leaving=False)
        return types.SimpleNamespace(daemon_id=name, ping=ping)

    def send_datagrams(self, names, message):
        for name in names:
            receiver = self.daemons[name]
            if self.is_cut or receiver.is_cut:
                continue
            envelope = encode_and_decode(self.name, message)
            for received in envelope.messages:
                receiver.suspects.receive(envelope, received)

    async def call(self, name, content, timeout_s):
        return await self.daemons[name].suspects.handle_request(content)

    def ping_all(self):
        self.send_datagrams(
            [name for name in self.daemons if name != self.name], self.ping()
        )

    def ping(self):
        return Ping(
            domain="d",
            address="127.0.0.1:1",
            wall_s=0.0,
            suspects=self.suspects.news_for_ping(),
        )

    def judge(self, digest=DIGEST):
        return asyncio.run(self.suspects.judge(digest))


def encode(sender, message):
    return CLUSTER_PROTOCOL.encode(
        CLUSTER_PROTOCOL.envelope(
            sender=sender, incarnation=1, messages=(message,)
        )
    )


def encode_and_decode(sender, message):
    return CLUSTER_PROTOCOL.decode(encode(sender, message))


class SharedSuspectsTest(unittest.TestCase):
    def setUp(self):
        self.daemons = {}
        self.first, self.second, self.third = (
            Daemon(name, self.daemons) for name in "abc"
        )
        self.now_s = 100.0
        patcher = mock.patch("time.monotonic", lambda: self.now_s)
        patcher.start()
        self.addCleanup(patcher.stop)

    def block(self, digest=DIGEST, first=0):
        """Has one process end at each of the three daemons."""
        for number, daemon in enumerate(list(self.daemons.values())[:3]):
            self.now_s += 0.1
            daemon.suspects.record_end(digest, process(first + number))

    def verdicts(self, digest=DIGEST):
        return {daemon.judge(digest) for daemon in self.daemons.values()}

    def test_ends_at_different_daemons_add_up(self):
        """Each daemon counted the attempts of one client attempt only."""
        self.block()
        self.assertEqual(self.verdicts(), {Verdict.BLOCKED})

    def test_a_daemon_that_starts_later_learns_it_from_one_ping(self):
        self.block()
        late = Daemon("late", self.daemons)
        self.assertIs(late.judge(), Verdict.FREE)
        self.second.ping_all()
        self.assertIs(late.judge(), Verdict.BLOCKED)

    def test_pings_tell_all_blocked_requests_in_turn_and_stay_small(self):
        digests = [bytes([n]) * 16 for n in range(20)]
        for number, digest in enumerate(digests):
            self.block(digest, first=10 * number)
        late = Daemon("late", self.daemons)
        for _ in range(20):
            ping = self.first.ping()
            size = len(encode("a", ping))
            self.assertLess(size, MAX_DATAGRAM_BYTES / 2)
            self.first.send_datagrams(["late"], ping)
        for digest in digests:
            self.assertIs(late.judge(digest), Verdict.BLOCKED)

    def test_a_whole_response_anywhere_clears_it_everywhere(self):
        self.block()
        self.now_s += 1
        self.third.suspects.record_response(DIGEST, process(9), self.now_s)
        self.assertEqual(self.verdicts(), {Verdict.FREE})
        for daemon in self.daemons.values():
            daemon.ping_all()
        self.assertEqual(self.verdicts(), {Verdict.FREE})

    def test_a_daemon_that_missed_the_clearing_is_told_by_its_peers(self):
        self.block()
        self.first.is_cut = True
        self.now_s += 1
        self.assertTrue(self.second.suspects.lift(DIGEST.hex()))
        self.assertIs(self.first.judge(), Verdict.BLOCKED)
        self.first.is_cut = False
        self.first.ping_all()
        self.assertEqual(self.verdicts(), {Verdict.FREE})

    def test_what_is_not_blocked_can_not_be_lifted(self):
        for content in ("", "no digest", DIGEST.hex()):
            self.assertFalse(self.first.suspects.lift(content))

    def test_all_daemons_together_grant_the_trials_of_one(self):
        for number in range(3):
            self.now_s += 0.1
            for digest in (DIGEST, OTHER):
                self.first.suspects.record_end(digest, process(number))
        granted = 0
        for _ in range(200):
            self.now_s += 0.1
            granted += sum(
                daemon.judge() is Verdict.ON_TRIAL
                for daemon in self.daemons.values()
            )
        self.assertEqual(granted, 2)
        self.assertEqual(self.verdicts(), {Verdict.BLOCKED})
