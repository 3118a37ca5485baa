"""The ledger reports each violated guarantee, and nothing else."""

import unittest

from daisyhub.testing.soak import Ledger


def result(item_id, events=2):
    text = "\n".join(f"{item_id}-{n}" for n in range(1, events + 1))
    return {"id": item_id, "state": "completed", "text": text}


def make_run(request_id, account="t", has_key=False):
    return {"id": request_id, "account": account, "has_key": has_key}


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger("t")
        self.ledger.record_sent("r1", "/records/1", is_idempotent=True)
        self.ledger.record_sent("w1", "/writes/1", is_idempotent=False)
        self.ledger.record_submitted_lot("L", ["a", "b"])
        self.ledger.record_accepted_lot("L")

    def violated_codes(self):
        return [line.split()[0] for line in self.ledger.violations]

    def test_a_valid_history_has_no_violations(self):
        body = {"path": "/records/1"}
        self.ledger.record_response("r1", 200, body, is_stamped=True)
        self.ledger.record_response("w1", 504, None, is_stamped=False)
        self.ledger.record_results("d0", "L", 0, [result("b")])
        self.ledger.record_results("d1", "L", 0, [result("b"), result("a")])
        self.ledger.record_results("d2", "L", 1, [result("a")])
        self.ledger.check_texts(events=2)
        runs = ["r1", "r1", "w1", "a", "a", "b"]
        self.ledger.check_runs(
            [make_run(n) for n in runs] + [make_run("a-r", "")]
        )
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

    def test_a_response_of_another_request_or_without_stamp_is_reported(self):
        other = {"path": "/records/2"}
        self.ledger.record_response("r1", 200, other, is_stamped=True)
        body = {"path": "/writes/1"}
        self.ledger.record_response("w1", 200, body, is_stamped=False)
        self.assertEqual(self.violated_codes(), ["MIXED", "MIXED"])

    def test_a_text_of_two_software_versions_is_reported(self):
        for text in ("b-1\nb-2@v2", "b-1@v2\nb-2", "b-1@v3\nb-2@v2"):
            mixed = {"id": "b", "state": "completed", "text": text}
            with self.subTest(text):
                self.setUp()
                self.ledger.record_results("d0", "L", 0, [mixed, result("a")])
                self.ledger.check_texts(events=2)
                self.assertEqual(self.violated_codes(), ["ORDER"])

    def test_a_stream_is_of_one_software_version_and_in_order(self):
        for events, expected in (
            (["s-1", "s-2"], []),
            (["s-1@v2"], []),
            (["s-1", "s-2@v2"], ["ORDER"]),
            (["s-2"], ["ORDER"]),
            (["t-1"], ["ORDER"]),
        ):
            with self.subTest(events):
                self.setUp()
                self.ledger.record_stream("s", events, is_whole=False)
                self.assertEqual(self.violated_codes(), expected)

    def test_a_non_idempotent_request_that_ran_twice_is_reported(self):
        self.ledger.check_runs([make_run("w1"), make_run("w1")])
        self.assertEqual(self.violated_codes(), ["TWICE"])

    def test_a_rejected_request_that_ran_is_reported(self):
        self.ledger.record_response("w1", 503, None, is_stamped=False)
        self.ledger.check_runs([make_run("w1")])
        self.assertEqual(self.violated_codes(), ["REFUSED"])

    def test_runs_without_a_valid_request_are_reported(self):
        self.ledger.record_sent(
            "r2", "/r", is_idempotent=True, has_valid_key=False
        )
        self.ledger.check_runs(
            [
                make_run("x"),
                make_run("r2"),
                make_run("r1", has_key=True),
                make_run("r1", account="u"),
            ]
        )
        self.assertEqual(
            self.violated_codes(), ["UNASKED", "ROUTE", "UNASKED", "UNASKED"]
        )

    def test_a_changed_position_is_reported(self):
        self.ledger.record_results("d0", "L", 0, [result("a")])
        self.ledger.record_results("d1", "L", 0, [result("b")])
        self.assertEqual(self.violated_codes(), ["ORDER"])

    def test_missing_duplicate_foreign_and_wrong_results_are_reported(self):
        self.ledger.record_submitted_lot("M", ["c", "d"])
        self.ledger.record_accepted_lot("M")
        self.ledger.record_results("d0", "L", 0, [result("a"), result("a")])
        self.ledger.record_results("d0", "M", 0, [result("b", events=1)])
        self.ledger.check_texts(events=2)
        self.assertEqual(
            self.violated_codes(), ["ORDER", "LOST", "MIXED", "ORDER"]
        )

    def test_a_window_with_two_counts_and_a_shared_number_are_reported(self):
        report = {"window-id": 1, "counts": {}, "fencing": 1, "holder": "a"}
        self.ledger.check_usage(
            [report, {**report, "counts": {"t": 1}, "holder": "b"}]
        )
        self.assertEqual(self.violated_codes(), ["ONE", "ONE"])

    def test_losses_exits_and_failed_recoveries_are_reported(self):
        self.ledger.record_missing_lot("d0", "L", 404)
        self.ledger.record_unlisted_result("d0", "L", 1)
        self.ledger.record_unexpected_exit("d0", 1)
        self.ledger.record_failed_recovery("d0", "status 0")
        self.ledger.record_missed_shutdown("d0")
        self.assertEqual(
            self.violated_codes(),
            ["LOST", "LOST", "FAULT", "RECOVER", "DRAIN"],
        )
