"""Which requests a budget of memory ends, and which it never does."""

import unittest

from daisyhub.memory import MemoryBudget

# Leaves 36 MB for claims, and 27 MB for large ones.
MEMORY_MB = 154
MB = 1_000_000


class MemoryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.budget = MemoryBudget(MEMORY_MB, lambda: self.now_s)
        self.evicted = []

    def open(self, name):
        return self.budget.open(lambda: self.evicted.append(name))

    def test_a_single_claim_fits_whatever_its_size(self):
        claim = self.open("a")
        self.assertTrue(self.budget.has_room_for(500 * MB))
        claim.add(500 * MB)
        self.assertEqual(self.evicted, [])

    def test_the_largest_claim_fits_beside_ordinary_ones(self):
        for number in range(10):
            claim = self.open(number)
            claim.add(500_000)
            claim.pin()
        self.assertTrue(self.budget.has_room_for(500 * MB))
        largest = self.open("largest")
        for _ in range(500):
            largest.add(1 * MB)
        largest.pin()
        self.open("next").add(500_000)
        self.assertEqual(self.evicted, [])

    def test_a_complete_body_grows_only_into_free_room(self):
        complete, other = self.open("complete"), self.open("other")
        for claim in (complete, other):
            claim.add(4 * MB)
            claim.pin()
        self.assertFalse(complete.grow(20 * MB))
        self.assertLess(self.budget.held, 8 * MB)
        self.assertTrue(complete.grow(10 * MB))
        other.release()
        self.assertTrue(complete.grow(500 * MB))
        self.assertEqual(self.evicted, [])

    def test_a_claim_without_progress_makes_room(self):
        stalled, moving = self.open("stalled"), self.open("moving")
        stalled.add(14 * MB)
        for _ in range(14):
            self.now_s += 1.0
            moving.add(1 * MB)
        self.assertEqual(self.evicted, ["stalled"])

    def test_single_bytes_are_no_progress(self):
        dribbling, moving = self.open("dribbling"), self.open("moving")
        dribbling.add(14 * MB)
        for _ in range(14):
            self.now_s += 1.0
            dribbling.add(1)
            moving.add(1 * MB)
        self.assertEqual(self.evicted, ["dribbling"])

    def test_a_small_slow_claim_outlasts_large_ones(self):
        slow, stalled = self.open("slow"), self.open("stalled")
        slow.add(50_000)
        self.now_s += 10.0
        stalled.add(14 * MB)
        self.now_s += 1.0
        self.open("next").add(14 * MB)
        self.assertEqual(self.evicted, ["stalled"])

    def test_a_claim_that_finds_only_complete_ones_is_evicted_itself(self):
        complete = self.open("complete")
        complete.add(20 * MB)
        complete.pin()
        self.assertFalse(self.budget.has_room_for(10 * MB))
        late = self.open("late")
        late.add(10 * MB)
        self.assertEqual(self.evicted, ["late"])
        self.assertTrue(late.is_evicted)

    def test_small_claims_have_room_beside_large_ones(self):
        large = self.open("large")
        large.add(20 * MB)
        large.pin()
        for number in range(12):
            self.open(number).add(500_000)
        self.assertEqual(self.evicted, [])

    def test_a_weight_counts_all_copies(self):
        lot = self.open("lot")
        lot.add(5 * MB, 4)
        lot.pin()
        self.assertGreater(self.budget.held, 19 * MB)

    def test_released_claims_count_no_more(self):
        claim = self.open("a")
        claim.add(20 * MB)
        claim.pin()
        claim.release()
        self.assertEqual(self.budget.held, 0)
        self.assertTrue(self.budget.has_room_for(20 * MB))

    def test_evicted_claims_are_not_evicted_for_again(self):
        first, second = self.open("first"), self.open("second")
        first.add(14 * MB)
        self.now_s += 1.0
        second.add(14 * MB)
        second.add(1 * MB)
        self.assertEqual(self.evicted, ["first"])
        first.release()
        self.assertLess(self.budget.held, 16 * MB)
