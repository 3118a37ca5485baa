"""The endpoint that answers soonest, as far as is known."""

import unittest

from daisyhub.balancing import EndpointDirectory, EndpointEntry
from daisyhub.settings import Address

POOL = ("p",)
NONE = frozenset()


def entry(name, **fields):
    return EndpointEntry(
        endpoint_id=name,
        pool="p",
        address=Address(ip="127.0.0.1", port=ord(name[-1])),
        **{"slots": 4, "domain": "d", **fields},
    )


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = EndpointDirectory(lambda: 0.5)
        for name in "abc":
            self.directory.upsert(entry(name))

    def answer(self, name, took_s, at_s, route="r"):
        token = self.directory.record_sent(name, route, at_s - took_s)
        self.directory.record_answered(name, token, at_s)

    def warm_up(self):
        for n in range(12):
            self.answer("abc"[n % 3], 0.03, 1.0)

    def choose(self, now_s, excluded=NONE):
        return self.directory.choose(POOL, excluded, now_s)

    def test_a_slow_endpoint_is_passed_over_and_tried_again_later(self):
        self.warm_up()
        for _ in range(5):
            self.answer("a", 0.3, 2.0)
        chosen = {self.choose(2.1, frozenset("b")) for _ in range(9)}
        self.assertEqual(chosen, {"c"})
        self.assertEqual(self.choose(30.0, frozenset("bc")), "a")
        endpoint = self.directory.get("a")
        self.assertLess(endpoint.expected_pace(30.0), 1.1)

    def test_a_silent_endpoint_is_passed_over_at_once(self):
        self.warm_up()
        self.directory.record_sent("a", "r", 2.0)
        chosen = self.choose(2.2, frozenset("b"))
        self.assertEqual(chosen, "c")

    def test_routes_that_take_longer_do_not_make_endpoints_look_slow(self):
        """One mean over all routes put hedges behind the deadline."""
        self.warm_up()
        for _ in range(20):
            self.answer("a", 1.1, 3.0, route="long")
            token = self.directory.record_sent("b", "never", 1.9)
            self.directory.record_abandoned("b", token, 3.0)
        self.assertAlmostEqual(self.directory.median_latency_s("r"), 0.03)
        self.assertLess(self.directory.get("a").expected_pace(3.0), 1.5)
        self.assertLess(self.directory.get("b").expected_pace(3.0), 1.5)

    def test_load_told_by_others_counts_while_it_is_fresh(self):
        self.directory.record_load("a", 9, 1.0)
        self.directory.record_load("b", 9, 1.0)
        self.assertEqual(self.choose(1.5), "c")
        self.assertEqual(self.directory.get("a").load(5.0), 0)

    def test_failures_rest_an_endpoint_for_a_while(self):
        for name in "ab":
            token = self.directory.record_sent(name, "r", 1.0)
            self.directory.record_failed(name, token, 1.0)
        self.assertEqual(self.choose(1.1), "c")
        self.assertIn(self.choose(1.1, frozenset("c")), "ab")

    def test_a_leaving_endpoint_gets_nothing(self):
        self.directory.upsert(entry("a", is_leaving=True))
        self.directory.upsert(entry("b", is_leaving=True))
        self.assertEqual(self.choose(1.0), "c")

    def test_entries_that_lapse_while_the_store_is_away_are_kept_a_while(self):
        self.directory.remove("a", 1.0, is_store_stable=False)
        self.assertEqual(self.directory.expire(2.9), [])
        self.assertEqual(self.directory.expire(3.1), ["a"])
        self.directory.remove("b", 1.0, is_store_stable=False)
        self.directory.upsert(entry("b"))
        self.assertEqual(self.directory.expire(9.0), [])
        self.directory.remove("b", 9.0, is_store_stable=True)
        self.assertIsNone(self.directory.get("b"))

    def test_endpoints_of_a_domain_out_of_reach_come_last(self):
        """A cut-off daemon tried two endpoints it couldn't reach."""
        self.directory.upsert(entry("c", domain="near"))
        self.directory.set_unreachable_domains(frozenset({"d"}))
        self.assertEqual({self.choose(1.0) for _ in range(5)}, {"c"})
        self.assertIn(self.choose(1.0, frozenset("c")), "ab")

    def test_a_restart_forgets_what_was_known(self):
        token = self.directory.record_sent("a", "r", 1.0)
        self.directory.record_failed("a", token, 1.0)
        self.directory.upsert(entry("a", incarnation=7))
        self.assertEqual(self.directory.get("a").failures, 0)

    def test_a_kept_connection_breaks_ties(self):
        directory = EndpointDirectory(
            lambda: 0.5, lambda address: address.port == ord("b")
        )
        for name in "abc":
            directory.upsert(entry(name))
        self.assertEqual(directory.choose(POOL, NONE, 1.0), "b")
