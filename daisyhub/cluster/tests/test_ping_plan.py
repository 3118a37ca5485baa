"""Every daemon is pinged often enough to count as live at any cluster size."""

import unittest

from daisyhub.cluster import PingPlan, ping_timeout_s

PING_INTERVAL_S = 0.4


def max_ping_gaps(others, holders=frozenset(), *, has_duty=False):
    """Returns the maximum number of rounds between two pings, by daemon."""
    names = [f"d{n:03}" for n in range(others)]
    plan = PingPlan()
    last_round = dict.fromkeys(names, 0)
    max_gaps = dict.fromkeys(names, 0)
    for number in range(1, 200):
        for name in plan.choose(names, holders, has_duty=has_duty):
            max_gaps[name] = max(max_gaps[name], number - last_round[name])
            last_round[name] = number
    return max_gaps


class PingPlanTest(unittest.TestCase):
    def test_the_timeout_tolerates_a_lost_ping_at_any_size(self):
        for others in (1, 7, 24, 25, 54, 72, 300, 469):
            timeout_s = ping_timeout_s(others, has_duty=False)
            for name, rounds in max_ping_gaps(others).items():
                self.assertLess(
                    2 * rounds * PING_INTERVAL_S, timeout_s, (others, name)
                )

    def test_daemons_with_a_duty_are_pinged_in_each_round(self):
        max_gaps = max_ping_gaps(300, {"d003", "d250"})
        self.assertEqual((max_gaps["d003"], max_gaps["d250"]), (1, 1))

    def test_a_daemon_with_a_duty_pings_all_in_each_round(self):
        max_gaps = max_ping_gaps(300, has_duty=True)
        self.assertEqual(set(max_gaps.values()), {1})

    def test_the_pings_of_a_round_are_bounded(self):
        names = [f"d{n}" for n in range(469)]
        chosen = PingPlan().choose(names, {"d7"}, has_duty=False)
        self.assertEqual(len(chosen), 25)
        self.assertEqual(len(set(chosen)), 25)

    def test_the_timeout_with_a_duty_is_short_at_any_size(self):
        self.assertAlmostEqual(ping_timeout_s(469, has_duty=True), 1.2)
