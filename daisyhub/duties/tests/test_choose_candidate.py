"""Duties go to fast machines, and spread over them."""

import unittest

from daisyhub.duties import choose_candidate


class ChooseCandidateTest(unittest.TestCase):
    def test_a_slow_machine_takes_nothing_while_a_fast_one_lives(self):
        speeds = {f"slow{n}": 0.5 for n in range(49)} | {"fast": 2.15}
        self.assertEqual(choose_candidate("rollouts", speeds), "fast")

    def test_equal_machines_share_the_duties(self):
        speeds = {f"d{n}": 1.07 for n in range(8)}
        chosen = {choose_candidate(f"duty{n}", speeds) for n in range(40)}
        self.assertGreater(len(chosen), 4)

    def test_unknown_speeds_leave_a_candidate(self):
        self.assertEqual(choose_candidate("x", {"a": 0.0}), "a")
