"""Announcements of leaving endpoints reach the peers, once each."""

import types
import unittest
from unittest import mock

from daisyhub.balancing import EndpointDirectory, EndpointEntry
from daisyhub.cluster import CLUSTER_PROTOCOL, LeavingNews
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


class Daemon:
    """The parts of a daemon that concern leaving endpoints."""

    def __init__(self, name, daemons):
        self.name = name
        self.lines = []
        self.sent = 0
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
        envelope = CLUSTER_PROTOCOL.decode(
            CLUSTER_PROTOCOL.encode(
                CLUSTER_PROTOCOL.envelope(
                    sender=self.name, incarnation=1, messages=(message,)
                )
            )
        )
        for received in envelope.messages:
            self._daemons[daemon_id].news.receive(envelope, received)

    @property
    def is_leaving(self):
        return self.directory.get("e").entry.is_leaving

    def events(self):
        return [event for event, _ in self.lines]


class LeavingNewsTest(unittest.TestCase):
    def setUp(self):
        daemons = {}
        self.first, self.second, self.third = (
            Daemon(name, daemons) for name in ("a", "b", "c")
        )

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
        with mock.patch("time.monotonic", return_value=3.5):
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
