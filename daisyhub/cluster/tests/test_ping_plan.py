"""Every daemon is pinged often enough to count as live, at any size."""

import unittest

from daisyhub.cluster import PingPlan, ping_timeout_s

PING_S = 0.4


def longest_silence(others, holders=frozenset(), *, has_duty=False):
    """Returns the rounds between two pings of each name, at the most."""
    names = [f"d{n:03}" for n in range(others)]
    plan = PingPlan()
    last = dict.fromkeys(names, 0)
    worst = dict.fromkeys(names, 0)
    for number in range(1, 200):
        for name in plan.choose(names, holders, has_duty=has_duty):
            worst[name] = max(worst[name], number - last[name])
            last[name] = number
    return worst


class PingPlanTest(unittest.TestCase):
    def test_silence_leaves_room_for_a_lost_ping_at_any_size(self):
        for others in (1, 7, 24, 25, 54, 72, 300, 469):
            limit_s = ping_timeout_s(others, has_duty=False)
            for name, rounds in longest_silence(others).items():
                self.assertLess(2 * rounds * PING_S, limit_s, (others, name))

    def test_daemons_with_a_duty_are_pinged_in_each_round(self):
        worst = longest_silence(300, {"d003", "d250"})
        self.assertEqual((worst["d003"], worst["d250"]), (1, 1))

    def test_a_daemon_with_a_duty_pings_all_in_each_round(self):
        worst = longest_silence(300, has_duty=True)
        self.assertEqual(set(worst.values()), {1})

    def test_a_round_is_bounded(self):
        names = [f"d{n}" for n in range(469)]
        chosen = PingPlan().choose(names, {"d7"}, has_duty=False)
        self.assertEqual(len(chosen), 25)
        self.assertEqual(len(set(chosen)), 25)

    def test_silence_of_a_daemon_with_a_duty_counts_early_at_any_size(self):
        self.assertAlmostEqual(ping_timeout_s(469, has_duty=True), 1.2)
