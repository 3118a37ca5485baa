"""Plans are reproducible from their seed and cover all disturbances."""

import unittest

from daisyhub.testing.soak import Kind, make_plan

DAEMONS = ("edge-0", "edge-1")
SERVERS = ("i-0", "i-1")


class PlanTest(unittest.TestCase):
    def test_equal_seeds_give_equal_plans(self):
        one = make_plan(7, 30.0, DAEMONS, SERVERS)
        self.assertEqual(one, make_plan(7, 30.0, DAEMONS, SERVERS))
        self.assertNotEqual(one, make_plan(8, 30.0, DAEMONS, SERVERS))

    def test_plans_contain_all_kinds_repeats_and_overlaps(self):
        plans = [make_plan(n, 30.0, DAEMONS, SERVERS) for n in range(20)]
        kinds = {disturbance.kind for plan in plans for disturbance in plan}
        self.assertEqual(kinds, set(Kind))
        pairs = [(a, b) for p in plans for a, b in zip(p, p[1:], strict=False)]
        self.assertTrue(any(b.at_s < a.at_s + a.duration_s for a, b in pairs))
        self.assertTrue(
            any((a.kind, a.target) == (b.kind, b.target) for a, b in pairs)
        )

    def test_disturbances_start_within_the_soak_in_order(self):
        for seed in range(20):
            plan = make_plan(seed, 10.0, DAEMONS, SERVERS)
            times = [disturbance.at_s for disturbance in plan]
            self.assertEqual(times, sorted(times))
            self.assertLess(times[-1], 10.0)
