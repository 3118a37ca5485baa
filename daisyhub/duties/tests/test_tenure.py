"""Work that needs no fencing goes on while the store doesn't confirm a duty."""

import unittest

from daisyhub.duties import (
    DutyCallFailed,
    DutyCore,
    DutyRecord,
    DutyRecordReceived,
    DutyTick,
)

TERM_S = 3.0


def make_core(name, *, is_fencing_checked=False):
    return DutyCore(f"{name}/1", TERM_S, is_fencing_checked)


def tick(max_peer_fencing=0):
    return DutyTick(
        is_candidate=True,
        is_holder_live=False,
        max_peer_fencing=max_peer_fencing,
    )


class TenureTest(unittest.TestCase):
    def setUp(self):
        self.core = make_core("a")
        self.revision = 0
        self.acquire(self.core, 0.0, previous=None)

    def acquire(self, core, now_s, previous):
        """Lets a core read the record of `previous` and replace it."""
        core.handle(tick(), now_s)
        core.handle(DutyRecordReceived(previous, self.revision), now_s)
        (write,) = core.handle(tick(), now_s)
        self.revision += 1
        core.handle(DutyRecordReceived(write.record, self.revision), now_s)

    def fail_until(self, end_s):
        """Ticks while every call of the store fails."""
        now_s = 0.0
        while now_s < end_s:
            now_s += 0.2
            for _ in self.core.handle(tick(), now_s):
                self.core.handle(DutyCallFailed(), now_s)

    def test_items_go_on_during_an_outage_of_the_store(self):
        # Lots stood still for 5 s after an outage of 2.6 s.
        self.fail_until(6.0)
        self.assertEqual(self.core.fencing_if_held(6.0), 0)
        self.assertEqual(self.core.tenure(6.0), 1)

    def test_orders_are_not_continued(self):
        self.fail_until(2.2)
        self.assertEqual(self.core.fencing_if_held(2.2), 0)

    def test_tenure_ends_when_peers_report_a_successor(self):
        self.fail_until(3.0)
        for _ in self.core.handle(tick(max_peer_fencing=2), 3.6):
            self.core.handle(DutyCallFailed(), 3.6)
        self.assertEqual(self.core.tenure(3.6), 0)

    def test_tenure_ends_when_the_record_names_another_holder(self):
        other = DutyRecord(holder="b/1", fencing=2)
        self.core.handle(tick(), 1.2)
        self.core.handle(DutyRecordReceived(other, 9), 1.2)
        self.assertEqual(self.core.tenure(1.2), 0)

    def test_tenure_without_confirmation_is_limited(self):
        self.fail_until(10.2)
        self.assertEqual(self.core.tenure(10.2), 0)

    def test_a_successor_runs_items_while_it_waits_for_the_term(self):
        successor = make_core("b")
        previous = DutyRecord(holder="a/1", fencing=1)
        self.acquire(successor, 5.0, previous)
        self.assertEqual(successor.fencing_if_held(5.0), 0)
        self.assertEqual(successor.tenure(5.0), 2)

    def test_tenure_ends_with_a_release(self):
        self.core.release()
        self.assertEqual(self.core.tenure(0.2), 0)

    def test_with_checked_fencing_tenure_is_the_duty(self):
        core = make_core("a", is_fencing_checked=True)
        self.assertEqual(core.tenure(0.0), 0)
        self.revision = 0
        self.acquire(core, 0.0, previous=None)
        self.assertEqual(core.tenure(100.0), core.fencing_if_held(100.0))
