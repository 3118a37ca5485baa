"""Announcements of leaving endpoints reach the peers, once each."""

import dataclasses
import types
import unittest
from unittest import mock

from daisyhub.balancing import EndpointDirectory, EndpointEntry
from daisyhub.cluster import (
    CLUSTER_PROTOCOL,
    PING_INTERVAL_S,
    LeavingNews,
    Ping,
)
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.settings import Address

ENTRY = EndpointEntry(
    endpoint_id="e",
    pool="p",
    address=Address(ip="127.0.0.1", port=1),
    domain="d",
    incarnation=7,
)
OTHER = dataclasses.replace(ENTRY, endpoint_id="f")


class Daemon:
    """The parts of a daemon that concern leaving endpoints.

    Attributes:
        is_cut: Whether no message from or to it arrives.
        received: The messages that it received.
    """

    def __init__(self, name, daemons):
        self.name = name
        self.lines = []
        self.sent = 0
        self.is_cut = False
        self.received = []
        self.metrics = Metrics()
        self._daemons = daemons
        daemons[name] = self
        self.directory = EndpointDirectory(
            lambda _: 0.5,
            on_leaving=self.announce,
        )
        self.directory.upsert(ENTRY)
        log = mock.create_autospec(DecisionLog, instance=True)
        log.record = lambda event, **fields: self.lines.append((event, fields))
        self.news = LeavingNews(self.directory, self, self, self.metrics, log)

    def announce(self, entry, call):
        self.news.announce(entry, call)

    def live(self):
        return [
            types.SimpleNamespace(daemon_id=name)
            for name in self._daemons
            if name != self.name
        ]

    def send(self, daemon_id, message):
        """Encodes and decodes a message like the network does."""
        self.sent += 1
        receiver = self._daemons[daemon_id]
        if self.is_cut or receiver.is_cut:
            return
        envelope = CLUSTER_PROTOCOL.decode(
            CLUSTER_PROTOCOL.encode(
                CLUSTER_PROTOCOL.envelope(
                    sender=self.name, incarnation=1, messages=(message,)
                )
            )
        )
        for received in envelope.messages:
            receiver.received.append(received)
            receiver.news.receive(envelope, received)

    def send_datagrams(self, daemon_ids, message):
        for daemon_id in daemon_ids:
            self.send(daemon_id, message)

    def ping_all(self):
        ping = Ping(
            domain="d",
            address="127.0.0.1:1",
            wall_s=0.0,
            leaving_digest=self.news.digest(),
        )
        self.send_datagrams([p.daemon_id for p in self.live()], ping)

    @property
    def is_leaving(self):
        return self.directory.get("e").entry.is_leaving

    def events(self):
        return [event for event, _ in self.lines]


class LeavingNewsTest(unittest.TestCase):
    def setUp(self):
        self.daemons = {}
        self.first, self.second, self.third = (
            Daemon(name, self.daemons) for name in ("a", "b", "c")
        )
        self.now_s = 1.0
        patcher = mock.patch("time.monotonic", lambda: self.now_s)
        patcher.start()
        self.addCleanup(patcher.stop)

    def exchange_pings(self, rounds=1):
        """Has all daemons ping each other as often as they do in reality."""
        for _ in range(rounds):
            for daemon in list(self.daemons.values()):
                daemon.ping_all()
            self.now_s += PING_INTERVAL_S

    def count_sent(self):
        return sum(daemon.sent for daemon in self.daemons.values())

    def announce(self, daemon):
        daemon.directory.record_leaving(ENTRY, "request", 1.0)

    def test_peers_exclude_the_endpoint_and_do_not_pass_it_on(self):
        self.announce(self.first)
        for daemon in (self.first, self.second, self.third):
            self.assertTrue(daemon.is_leaving)
            self.assertEqual(daemon.events(), ["endpoint_leaving"])
        self.assertEqual(self.first.sent, 2)
        self.assertEqual((self.second.sent, self.third.sent), (0, 0))
        self.assertEqual(self.second.lines[0][1]["call"], "peer")
        self.assertEqual(self.second.lines[0][1]["peer"], "a")

    def test_an_announcement_is_sent_once(self):
        self.announce(self.first)
        self.announce(self.first)
        self.announce(self.second)
        self.assertEqual((self.first.sent, self.second.sent), (2, 0))

    def test_the_next_process_at_the_address_is_not_affected(self):
        for daemon in (self.first, self.second):
            daemon.directory.upsert(
                EndpointEntry(
                    endpoint_id="e",
                    pool="p",
                    address=ENTRY.address,
                    domain="d",
                    incarnation=8,
                )
            )
        self.announce(self.first)
        self.assertEqual(
            [d.is_leaving for d in (self.first, self.second, self.third)],
            [False, False, True],
        )

    def test_the_lag_of_the_list_is_logged_once(self):
        self.now_s = 3.5
        self.first.news.confirm(ENTRY.process, is_removed=False)
        self.announce(self.first)
        for _ in range(2):
            self.first.news.confirm(ENTRY.process, is_removed=True)
        self.assertEqual(
            self.first.events(), ["endpoint_leaving", "endpoint_leaving_listed"]
        )
        self.assertEqual(self.first.lines[-1][1]["list_lag_s"], 2.5)

    def test_news_with_an_invalid_address_is_dropped(self):
        message = CLUSTER_PROTOCOL.decode(
            CLUSTER_PROTOCOL.encode(
                {
                    "sender": "a",
                    "incarnation": 1,
                    "messages": [{"type": "el", "endpoint_id": "e"}],
                }
            )
        )
        self.second.news.receive(message, message.messages[0])
        self.assertEqual(self.second.events(), ["leaving_news_invalid"])
        self.assertFalse(self.second.is_leaving)

    def test_a_daemon_that_joins_later_learns_of_marks_in_force(self):
        """A daemon that started after an announcement never learned of it."""
        self.announce(self.first)
        joined = Daemon("d", self.daemons)
        self.assertFalse(joined.is_leaving)
        self.exchange_pings()
        self.assertTrue(joined.is_leaving)
        self.assertEqual(joined.events(), ["endpoint_leaving"])
        self.assertEqual(joined.lines[0][1]["call"], "peer")

    def test_marks_arrive_before_the_list(self):
        joined = Daemon("d", self.daemons)
        joined.directory.remove("e", 0.0, is_store_stable=True)
        self.announce(self.first)
        self.exchange_pings()
        joined.directory.upsert(ENTRY)
        self.assertTrue(joined.is_leaving)

    def test_a_daemon_that_was_cut_off_learns_within_two_rounds(self):
        self.second.is_cut = True
        self.announce(self.first)
        self.exchange_pings(5)
        self.assertFalse(self.second.is_leaving)
        self.second.is_cut = False
        self.exchange_pings(2)
        self.assertTrue(self.second.is_leaving)

    def test_a_lost_request_for_marks_is_repeated(self):
        self.second.is_cut = True
        self.announce(self.first)
        ping = mock.Mock(spec=Ping, leaving_digest=self.first.news.digest())
        sender = types.SimpleNamespace(sender="a")
        self.second.news.receive(sender, ping)
        self.second.is_cut = False
        self.second.news.receive(sender, ping)
        self.assertFalse(self.second.is_leaving, "asked twice at once")
        self.now_s += PING_INTERVAL_S
        self.second.news.receive(sender, ping)
        self.assertTrue(self.second.is_leaving)

    def test_daemons_that_know_the_same_marks_ask_for_nothing(self):
        self.announce(self.first)
        self.announce(self.second)
        self.exchange_pings(2)
        before = self.count_sent()
        self.exchange_pings(10)
        peers = len(self.daemons) * (len(self.daemons) - 1)
        self.assertEqual(self.count_sent() - before, 10 * peers)

    def test_a_daemon_that_knows_more_asks_once_for_the_marks_of_another(self):
        self.second.is_cut = True
        self.announce(self.first)
        self.second.directory.record_leaving(OTHER, "request", self.now_s)
        self.second.is_cut = False
        self.exchange_pings(3)
        digests = {d.news.digest() for d in self.daemons.values()}
        self.assertEqual(len(digests), 1)

    def test_a_later_process_is_not_marked_by_old_marks(self):
        later = dataclasses.replace(ENTRY, incarnation=8)
        self.announce(self.first)
        joined = Daemon("d", self.daemons)
        joined.directory.upsert(later)
        self.exchange_pings(3)
        self.assertFalse(joined.is_leaving)
        for daemon in self.daemons.values():
            daemon.directory.upsert(later)
        self.exchange_pings(3)
        for daemon in self.daemons.values():
            self.assertFalse(daemon.is_leaving)

    def test_marks_of_processes_that_ended_long_ago_are_not_told(self):
        self.announce(self.first)
        for daemon in self.daemons.values():
            daemon.directory.remove("e", self.now_s, is_store_stable=True)
        self.now_s += 30.0
        self.exchange_pings(2)
        joined = Daemon("d", self.daemons)
        joined.directory.remove("e", self.now_s, is_store_stable=True)
        self.exchange_pings(2)
        self.assertNotEqual(joined.news.digest(), 0)
        # The age of the mark is told too, so that it ends everywhere alike.
        self.now_s += 31.0
        for daemon in self.daemons.values():
            self.assertEqual(daemon.news.digest(), 0)

    def test_a_message_contains_a_bounded_number_of_marks(self):
        for number in range(3000):
            process = dataclasses.replace(
                ENTRY.process, endpoint_id=f"endpoint-{number:08}"
            )
            self.first.directory.mark_leaving(process, self.now_s)
        joined = Daemon("d", self.daemons)
        self.exchange_pings()
        size = max(len(CLUSTER_PROTOCOL.encode(m)) for m in joined.received)
        self.assertLess(size, 64_000)
        self.assertGreater(len(joined.events()), 500)
        # The newest, whose endpoints are the most likely to be in use.
        self.assertEqual(joined.lines[-1][1]["endpoint"], "endpoint-00002999")
