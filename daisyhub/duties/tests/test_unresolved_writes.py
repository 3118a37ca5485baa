"""How soon a daemon learns the outcome of a lost write."""

import unittest

from daisyhub.duties import (
    DutyCallFailed,
    DutyCore,
    DutyRecord,
    DutyRecordReceived,
    DutyTick,
    ReadDuty,
    WriteDuty,
)

TERM_S = 3.0
TICK_S = 0.2


class UnresolvedWriteTest(unittest.TestCase):
    def longest_gap_s(self, is_candidate):
        """Returns the longest time between reads while the holder is live."""
        core = DutyCore("x/1", TERM_S, True)
        found = DutyRecordReceived(DutyRecord(holder="a/1", fencing=4), 5)
        lost = DutyTick(is_candidate=True, is_holder_live=False)
        self.assertEqual(core.handle(lost, 0.0), [ReadDuty()])
        core.handle(found, 0.0)
        (write,) = core.handle(lost, TICK_S)
        self.assertIsInstance(write, WriteDuty)
        core.handle(DutyCallFailed(), TICK_S)
        live = DutyTick(is_candidate=is_candidate, is_holder_live=True)
        reads = []
        for number in range(2, 60):
            now_s = number * TICK_S
            if core.handle(live, now_s):
                reads.append(now_s)
                core.handle(found, now_s)
        return max(b - a for a, b in zip(reads, reads[1:], strict=False))

    def test_a_candidate_reads_as_often_as_other_daemons(self):
        """While the old holder is live again, it read every five seconds."""
        others_s = self.longest_gap_s(is_candidate=False)
        self.assertLessEqual(self.longest_gap_s(is_candidate=True), others_s)


if __name__ == "__main__":
    unittest.main()
