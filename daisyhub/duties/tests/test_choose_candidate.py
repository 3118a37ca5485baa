"""Tests that duties are spread over the fast machines only."""

import unittest

from daisyhub.duties import choose_candidate


class ChooseCandidateTest(unittest.TestCase):
    def test_slow_machine_is_not_chosen_while_a_fast_one_is_live(self):
        speeds = {f"slow{n}": 0.5 for n in range(49)} | {"fast": 2.15}
        self.assertEqual(choose_candidate("rollouts", speeds), "fast")

    def test_equal_machines_share_duties(self):
        speeds = {f"d{n}": 1.07 for n in range(8)}
        chosen = {choose_candidate(f"duty{n}", speeds) for n in range(40)}
        self.assertGreater(len(chosen), 4)

    def test_unknown_speed_still_yields_a_candidate(self):
        self.assertEqual(choose_candidate("x", {"a": 0.0}), "a")
