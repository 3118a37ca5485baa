"""The pace of requests to endpoints that limit their rate."""

import math
import random
import unittest

from daisyhub.balancing import (
    Denial,
    EndpointProcess,
    Grant,
    PermitCore,
    RateLimit,
    RateLimits,
    Urgency,
)
from daisyhub.settings import Address

PROCESS = EndpointProcess("e", 1, Address(ip="127.0.0.1", port=1))
URGENT = Urgency.URGENT
PATIENT = Urgency.PATIENT


def most_in_a_window(times_s, window_s=4.0):
    return max(
        sum(s <= t < s + window_s for t in times_s) for s in times_s or [0.0]
    )


class PermitCoreTest(unittest.TestCase):
    def setUp(self):
        self.core = PermitCore()

    def ask(self, rate, now_s, urgency=URGENT, max_wait_s=0.0):
        return self.core.request(PROCESS, rate, urgency, max_wait_s, now_s)

    def test_any_mix_of_requests_keeps_to_the_limit(self):
        """The users' bound: one and a half times the limit, and five."""
        for seed in range(200):
            rng = random.Random(seed)
            self.core = PermitCore()
            rate = rng.choice((0.0, 0.1, 0.4, 1.2, 5.0, 40.0))
            now_s = 0.0
            starts = []
            while now_s < 30:
                now_s += rng.expovariate(rng.choice((1, 10, 100)))
                got = self.ask(
                    rate,
                    now_s,
                    rng.choice((URGENT, PATIENT)),
                    rng.choice((0.0, 0.3, 2.0)),
                )
                if isinstance(got, Grant):
                    self.assertGreaterEqual(got.start_at_s, now_s)
                    starts.append(got.start_at_s)
            bound = 6 * rate + 5
            self.assertLessEqual(most_in_a_window(starts), bound, seed)

    def test_both_classes_together_use_the_limit(self):
        for rate in (0.4, 1.2, 5.0, 40.0):
            self.core = PermitCore()
            granted = sum(
                isinstance(self.ask(rate, step / 200, urgency), Grant)
                for step in range(8000)
                for urgency in Urgency
            )
            self.assertGreaterEqual(granted, 0.9 * 40 * rate, rate)

    def test_a_limit_that_moves_binds_at_once(self):
        starts = []
        for step in range(4000):
            now_s = step / 100
            rate = 50.0 if now_s < 10 else 1.0
            got = self.ask(rate, now_s, max_wait_s=0.5)
            if isinstance(got, Grant):
                starts.append(got.start_at_s)
        self.assertLessEqual(
            most_in_a_window([s for s in starts if s > 10.5]), 6 + 5
        )

    def test_what_was_granted_ahead_shrinks_when_the_limit_rises(self):
        self.ask(0.25, 0.0)
        self.assertIsInstance(self.ask(0.25, 1.0), Denial)
        self.assertIsInstance(self.ask(50.0, 1.1), Grant)

    def test_look_ups_do_not_starve_reward_calls(self):
        patient = 0
        for step in range(2000):
            now_s = step / 50
            self.ask(2.0, now_s, URGENT, 0.5)
            got = self.ask(2.0, now_s, PATIENT)
            patient += isinstance(got, Grant)
        self.assertGreaterEqual(patient, 0.9 * 0.25 * 2.0 * 40)

    def test_reward_calls_leave_look_ups_their_share(self):
        urgent = 0
        for step in range(2000):
            now_s = step / 50
            for _ in range(3):
                self.ask(2.0, now_s, PATIENT, 1.0)
            urgent += isinstance(self.ask(2.0, now_s, URGENT), Grant)
        self.assertGreaterEqual(urgent, 0.9 * 0.75 * 2.0 * 40)

    def test_one_class_alone_has_the_whole_limit(self):
        for urgency in Urgency:
            self.core = PermitCore()
            granted = sum(
                isinstance(self.ask(2.0, step / 50, urgency), Grant)
                for step in range(2000)
            )
            self.assertGreaterEqual(granted, 0.95 * 2.0 * 40)

    def test_a_denial_names_the_time_of_the_next_grant(self):
        self.ask(1.0, 0.0)
        denial = self.ask(1.0, 0.1)
        self.assertIsInstance(denial, Denial)
        self.assertIsInstance(self.ask(1.0, denial.room_at_s - 0.01), Denial)
        self.assertIsInstance(self.ask(1.0, denial.room_at_s), Grant)

    def test_rejected_callers_return_one_after_the_other(self):
        while isinstance(self.ask(2.0, 0.0, max_wait_s=1.0), Grant):
            pass
        rooms = [self.ask(2.0, 0.0, max_wait_s=1.0).room_at_s for _ in range(4)]
        gaps = [b - a for a, b in zip(rooms, rooms[1:], strict=False)]
        for gap in gaps:
            self.assertAlmostEqual(gap, 0.5)

    def test_a_limit_of_zero_leaves_a_request_now_and_then(self):
        """Only a response can tell that the limit has ended."""
        granted = [
            step / 10
            for step in range(400)
            if isinstance(self.ask(0.0, step / 10), Grant)
        ]
        self.assertGreaterEqual(len(granted), 9)
        self.assertLessEqual(most_in_a_window(granted), 5)

    def test_endpoints_that_nobody_asks_for_are_forgotten(self):
        for number in range(1000):
            process = EndpointProcess(f"e{number}", 1, PROCESS.address)
            self.core.request(process, 1.0, URGENT, 0.0, number * 1.0)
        self.assertLessEqual(len(self.core), 32)


class RateLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = RateLimits()

    def record(self, per_s, at_s):
        return self.limits.record(PROCESS, RateLimit(per_s, at_s))

    def test_the_latest_statement_holds(self):
        self.assertTrue(self.record(2.0, 1.0))
        self.assertFalse(self.record(3.0, 2.0))
        self.assertFalse(self.record(9.0, 1.5))
        self.assertEqual(self.limits.get(PROCESS).per_s, 3.0)

    def test_an_earlier_request_without_a_limit_does_not_end_it(self):
        self.record(2.0, 5.0)
        self.assertFalse(self.record(math.inf, 4.9))
        self.assertTrue(self.limits.is_limited(PROCESS))
        self.assertTrue(self.record(math.inf, 5.1))
        self.assertFalse(self.limits.is_limited(PROCESS))

    def test_processes_without_a_limit_cost_nothing(self):
        self.assertFalse(self.record(math.inf, 1.0))
        self.assertEqual(len(self.limits), 0)

    def test_another_process_at_the_address_has_no_limit(self):
        self.record(2.0, 1.0)
        other = EndpointProcess("e", 2, PROCESS.address)
        self.assertFalse(self.limits.is_limited(other))
