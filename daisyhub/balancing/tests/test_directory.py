"""Tests that slow, silent, failed and unreachable endpoints are avoided."""

import collections
import random
import unittest

from daisyhub.balancing import EndpointDirectory, EndpointEntry
from daisyhub.settings import Address

POOL = ("p",)
NO_IDS = frozenset()


def entry(name, **fields):
    return EndpointEntry(
        endpoint_id=name,
        pool="p",
        address=Address(ip="127.0.0.1", port=ord(name[-1])),
        **{"slots": 4, "domain": "d", **fields},
    )


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = EndpointDirectory(lambda _: 0.5)
        for name in "abc":
            self.directory.upsert(entry(name))

    def answer(self, name, latency_s, at_s, route="r"):
        """Records a response that arrived at `at_s`."""
        token = self.directory.record_sent(name, route, at_s - latency_s)
        self.directory.record_answered(name, token, at_s)

    def warm_up(self):
        """Records enough responses of route "r" for a median of 0.03 s."""
        for n in range(12):
            self.answer("abc"[n % 3], 0.03, 1.0)

    def choose(self, now_s, excluded=NO_IDS):
        return self.directory.choose(POOL, excluded, now_s)

    def test_slow_endpoint_is_avoided_and_retried_later(self):
        self.warm_up()
        for _ in range(5):
            self.answer("a", 0.3, 2.0)
        chosen = {self.choose(2.1, frozenset("b")) for _ in range(9)}
        self.assertEqual(chosen, {"c"})
        self.assertEqual(self.choose(30.0, frozenset("bc")), "a")
        endpoint = self.directory.get("a")
        self.assertLess(endpoint.expected_latency_ratio(30.0), 1.1)

    def test_silent_endpoint_is_avoided_at_once(self):
        self.warm_up()
        self.directory.record_sent("a", "r", 2.0)
        # 0.2 s exceed four times the median latency.
        chosen = self.choose(2.2, frozenset("b"))
        self.assertEqual(chosen, "c")

    def test_slow_routes_do_not_raise_the_latency_ratio(self):
        """Latencies are kept by route.

        With one mean over all routes, slow routes delayed the hedged requests
        of fast ones beyond the deadline.
        """
        self.warm_up()
        for _ in range(20):
            self.answer("a", 1.1, 3.0, route="long")
            # Route "never" has no response, so its median is unknown.
            token = self.directory.record_sent("b", "never", 1.9)
            self.directory.record_abandoned("b", token, 3.0)
        self.assertAlmostEqual(self.directory.median_latency_s("r"), 0.03)
        self.assertLess(
            self.directory.get("a").expected_latency_ratio(3.0), 1.5
        )
        self.assertLess(
            self.directory.get("b").expected_latency_ratio(3.0), 1.5
        )

    def test_reported_load_counts_until_it_expires(self):
        self.directory.record_load("a", 9, 1.0)
        self.directory.record_load("b", 9, 1.0)
        self.assertEqual(self.choose(1.5), "c")
        self.assertEqual(self.directory.get("a").load(5.0), 0)

    def test_failures_start_a_backoff(self):
        for name in "ab":
            token = self.directory.record_sent(name, "r", 1.0)
            self.directory.record_failed(name, token, 1.0)
        self.assertEqual(self.choose(1.1), "c")
        self.assertIn(self.choose(1.1, frozenset("c")), "ab")

    def test_leaving_endpoint_is_not_chosen(self):
        self.directory.upsert(entry("a", is_leaving=True))
        self.directory.upsert(entry("b", is_leaving=True))
        self.assertEqual(self.choose(1.0), "c")

    def test_entries_that_expire_during_a_store_outage_are_kept_for_a_time(
        self,
    ):
        self.directory.remove("a", 1.0, is_store_stable=False)
        self.assertEqual(self.directory.expire(2.9), [])
        self.assertEqual(self.directory.expire(3.1), ["a"])
        self.directory.remove("b", 1.0, is_store_stable=False)
        self.directory.upsert(entry("b"))
        self.assertEqual(self.directory.expire(9.0), [])
        self.directory.remove("b", 9.0, is_store_stable=True)
        self.assertIsNone(self.directory.get("b"))

    def test_endpoints_of_unreachable_domains_are_chosen_last(self):
        """A partitioned daemon must not try unreachable endpoints first.

        It used to spend two attempts on endpoints that it couldn't reach.
        """
        self.directory.upsert(entry("c", domain="near"))
        self.directory.set_unreachable_domains(frozenset({"d"}))
        self.assertEqual({self.choose(1.0) for _ in range(5)}, {"c"})
        self.assertIn(self.choose(1.0, frozenset("c")), "ab")

    def test_restart_resets_the_statistics(self):
        token = self.directory.record_sent("a", "r", 1.0)
        self.directory.record_failed("a", token, 1.0)
        self.directory.upsert(entry("a", incarnation=7))
        self.assertEqual(self.directory.get("a").failures, 0)

    def test_idle_connection_breaks_ties(self):
        directory = EndpointDirectory(
            lambda _: 0.5, lambda address: address.port == ord("b")
        )
        for name in "abc":
            directory.upsert(entry(name))
        self.assertEqual(directory.choose(POOL, NO_IDS, 1.0), "b")

    def test_a_busy_endpoint_is_left_although_a_connection_is_open(self):
        directory = EndpointDirectory(
            lambda _: 0.5, lambda address: address.port == ord("b")
        )
        for name in "abc":
            directory.upsert(entry(name))
        directory.record_load("b", 3, 1.0)
        self.assertNotEqual(directory.choose(POOL, NO_IDS, 1.1), "b")

    def test_one_slow_response_opens_no_connection_elsewhere(self):
        directory = EndpointDirectory(
            lambda _: 0.5, lambda address: address.port == ord("b")
        )
        for name in "abc":
            directory.upsert(entry(name))
        for latency_s in (0.03, 0.03, 0.03, 0.12):
            token = directory.record_sent("b", "r", 1.0 - latency_s)
            directory.record_answered("b", token, 1.0)
        self.assertEqual(directory.choose(POOL, NO_IDS, 1.1), "b")
        for _ in range(4):
            token = directory.record_sent("b", "r", 0.8)
            directory.record_answered("b", token, 1.0)
        self.assertNotEqual(directory.choose(POOL, NO_IDS, 1.1), "b")

    def test_milliseconds_of_short_requests_tell_nothing_of_an_endpoint(self):
        for n in range(12):
            self.answer("abc"[n % 3], 0.004, 1.0)
        self.answer("a", 0.016, 1.5)
        self.assertLess(
            self.directory.get("a").expected_latency_ratio(1.5), 1.15
        )

    def test_a_daemon_uses_few_endpoints_and_all_daemons_use_all(self):
        names = [f"e{n}" for n in range(5)]
        used = []
        for daemon in range(200):
            order = random.Random(daemon).sample(names, 5)
            directory = EndpointDirectory(order.index)
            for name in names:
                directory.upsert(entry(name))
            chosen = {directory.choose(POOL, NO_IDS, t) for t in range(9)}
            self.assertEqual(len(chosen), 1)
            used += chosen
        counts = collections.Counter(used)
        self.assertEqual(set(counts), set(names))
        self.assertLess(max(counts.values()), 2 * min(counts.values()))
