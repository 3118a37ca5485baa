"""The soak's checks see each broken promise, and nothing else."""

import unittest

from daisyhub.testing.soak import Ledger


def result(item_id, events=2):
    text = "\n".join(f"{item_id}-{n}" for n in range(1, events + 1))
    return {"id": item_id, "state": "completed", "text": text}


def ran(request_id, account="t", has_key=False):
    return {"id": request_id, "account": account, "has_key": has_key}


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger("t")
        self.ledger.record_sent("r1", "/records/1", is_repeatable=True)
        self.ledger.record_sent("w1", "/writes/1", is_repeatable=False)
        self.ledger.note_lot("L", ["a", "b"])
        self.ledger.note_accepted("L")

    def broken(self):
        return [line.split()[0] for line in self.ledger.violations]

    def test_a_calm_day_breaks_nothing(self):
        told = {"path": "/records/1"}
        self.ledger.note_answer("r1", 200, told, is_stamped=True)
        self.ledger.note_answer("w1", 504, None, is_stamped=False)
        self.ledger.note_results("d0", "L", 0, [result("b")])
        self.ledger.note_results("d1", "L", 0, [result("b"), result("a")])
        self.ledger.note_results("d2", "L", 1, [result("a")])
        self.ledger.check_texts(events=2)
        runs = ["r1", "r1", "w1", "a", "a", "b"]
        self.ledger.check_runs([ran(n) for n in runs] + [ran("a-r", "")])
        self.ledger.check_usage(
            [
                {
                    "window-id": 1,
                    "counts": {"t": 3},
                    "fencing": number,
                    "holder": holder,
                }
                for number, holder in ((1, "d0"), (1, "d0"), (2, "d1"))
            ]
        )
        self.assertEqual(self.ledger.violations, [])

    def test_an_answer_of_another_request_or_without_stamp_is_seen(self):
        other = {"path": "/records/2"}
        self.ledger.note_answer("r1", 200, other, is_stamped=True)
        told = {"path": "/writes/1"}
        self.ledger.note_answer("w1", 200, told, is_stamped=False)
        self.assertEqual(self.broken(), ["MIXED", "MIXED"])

    def test_a_request_that_may_run_once_and_ran_twice_is_seen(self):
        self.ledger.check_runs([ran("w1"), ran("w1")])
        self.assertEqual(self.broken(), ["TWICE"])

    def test_a_refusal_of_what_ran_is_seen(self):
        self.ledger.note_answer("w1", 503, None, is_stamped=False)
        self.ledger.check_runs([ran("w1")])
        self.assertEqual(self.broken(), ["REFUSED"])

    def test_runs_that_nobody_asked_for_are_seen(self):
        self.ledger.record_sent("r2", "/r", is_repeatable=True, has_key=False)
        self.ledger.check_runs(
            [
                ran("x"),
                ran("r2"),
                ran("r1", has_key=True),
                ran("r1", account="u"),
            ]
        )
        self.assertEqual(
            self.broken(), ["UNASKED", "ROUTE", "UNASKED", "UNASKED"]
        )

    def test_a_position_that_changed_is_seen(self):
        self.ledger.note_results("d0", "L", 0, [result("a")])
        self.ledger.note_results("d1", "L", 0, [result("b")])
        self.assertEqual(self.broken(), ["ORDER"])

    def test_missing_doubled_foreign_and_garbled_results_are_seen(self):
        self.ledger.note_lot("M", ["c", "d"])
        self.ledger.note_accepted("M")
        self.ledger.note_results("d0", "L", 0, [result("a"), result("a")])
        self.ledger.note_results("d0", "M", 0, [result("b", events=1)])
        self.ledger.check_texts(events=2)
        self.assertEqual(self.broken(), ["ORDER", "LOST", "MIXED", "ORDER"])

    def test_a_window_with_two_counts_and_a_shared_number_are_seen(self):
        report = {"window-id": 1, "counts": {}, "fencing": 1, "holder": "a"}
        self.ledger.check_usage(
            [report, {**report, "counts": {"t": 1}, "holder": "b"}]
        )
        self.assertEqual(self.broken(), ["ONE", "ONE"])

    def test_losses_exits_and_failed_recoveries_are_seen(self):
        self.ledger.note_missing("d0", "L", 404)
        self.ledger.note_exit("d0", 1)
        self.ledger.note_not_back("d0", "status 0")
        self.ledger.note_still_runs("d0")
        self.assertEqual(self.broken(), ["LOST", "FAULT", "RECOVER", "DRAIN"])
