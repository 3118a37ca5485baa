"""Daemons are pinged often enough to count as live, at a bounded cost."""

import random
import unittest

from daisyhub.cluster import (
    PING_INTERVAL_S,
    STANDBY_COUNT,
    PingPlan,
    ping_timeout_s,
)

SIZES = (1, 7, 24, 25, 54, 72, 164, 300, 469)


def max_ping_gaps(others, holders=(), close=()):
    """Returns the maximum number of rounds between two pings, by daemon."""
    names = [f"d{n:03}" for n in range(others)]
    plan = PingPlan(random.Random(1).random)
    last_round = dict.fromkeys(names, 0)
    max_gaps = dict.fromkeys(names, 0)
    for number in range(1, 400):
        for name in plan.choose(names, holders, close):
            max_gaps[name] = max(max_gaps[name], number - last_round[name])
            last_round[name] = number
    return max_gaps


class PingPlanTest(unittest.TestCase):
    def test_the_timeout_tolerates_a_lost_ping_at_any_size(self):
        for others in SIZES:
            timeout_s = ping_timeout_s(others)
            for name, rounds in max_ping_gaps(others).items():
                self.assertLess(
                    2 * rounds * PING_INTERVAL_S, timeout_s, (others, name)
                )

    def test_a_holder_tolerates_a_lost_ping_of_any_daemon(self):
        for others in SIZES:
            timeout_s = ping_timeout_s(others, has_duty=True)
            rounds = max_ping_gaps(others, holders={"d000"})["d000"]
            self.assertLess(2 * rounds * PING_INTERVAL_S, timeout_s, others)

    def test_close_daemons_are_pinged_in_each_round(self):
        for others in SIZES:
            close = {"d000", f"d{others - 1:03}"}
            max_gaps = max_ping_gaps(others, close=close)
            self.assertEqual({max_gaps[name] for name in close}, {1})

    def test_the_timeout_of_close_daemons_is_short_at_any_size(self):
        self.assertAlmostEqual(ping_timeout_s(469, is_close=True), 1.2)

    def test_the_pings_of_a_round_are_bounded(self):
        for others in SIZES:
            names = [f"d{n:03}" for n in range(others)]
            close = names[:STANDBY_COUNT]
            plan = PingPlan()
            for _ in range(100):
                chosen = plan.choose(names, names[-2:], close)
                self.assertEqual(len(chosen), len(set(chosen)))
                self.assertLessEqual(len(chosen), 24)

    def test_daemons_that_start_together_ping_different_peers(self):
        names = [f"d{n:03}" for n in range(300)]
        rand = random.Random(2).random
        first = {PingPlan(rand).choose(names, (), ())[0] for _ in range(50)}
        self.assertGreater(len(first), 20)
