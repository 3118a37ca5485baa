"""The ledger reports lots that were stored or ran against a promise."""

import math
import unittest

from daisyhub.testing.soak import Ledger


class SubmissionsTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger("t")
        self.ledger.record_submitted_lot("L", ["a", "b"])

    def submit(self, *attempts, daemon="d0"):
        """Records attempts: times of sending and response, and the status."""
        for sent_s, answered_s, status in attempts:
            attempt = self.ledger.record_attempt("L", daemon)
            self.ledger.record_answer(attempt, status, "c" if status else "")
            attempt.sent_s, attempt.answered_s = sent_s, answered_s

    def violated_codes(self, *runs, stored_s=math.inf):
        created_s = {"L": stored_s} if stored_s < math.inf else {}
        self.ledger.check_submissions(
            [{"id": run_id, "at_s": at_s} for run_id, at_s in runs], created_s
        )
        return [line.split()[0] for line in self.ledger.violations]

    def test_an_item_of_a_lot_refused_at_every_attempt_is_reported(self):
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                self.setUp()
                self.submit((1, 2, 503), (3, 4, status))
                self.assertEqual(self.violated_codes(("a", 9)), ["REFUSED"])

    def test_a_reward_call_of_a_lot_refused_at_every_attempt_is_reported(self):
        self.submit((1, 2, 503))
        self.assertEqual(self.violated_codes(("b-r", 9)), ["REFUSED"])

    def test_a_refused_lot_that_is_stored_or_readable_is_reported(self):
        self.submit((1, 2, 503))
        self.assertEqual(self.violated_codes(stored_s=9), ["STORED"])
        self.setUp()
        self.submit((1, 2, 503))
        self.ledger.record_readable_lot("L")
        self.assertEqual(self.violated_codes(), ["STORED"])

    def test_a_refusal_after_the_lot_was_accepted_is_reported(self):
        self.submit((1, 2, 202), (3, 4, 503))
        self.assertEqual(self.violated_codes(), ["STORED"])

    def test_a_refusal_after_an_item_ran_is_reported(self):
        self.submit((1, 2, 0), (4, 5, 503))
        self.assertEqual(self.violated_codes(("a", 3)), ["STORED"])

    def test_a_refusal_after_the_lot_was_stored_is_reported(self):
        self.submit((1, 2, 504), (4, 5, 503), (6, 7, 202))
        self.assertEqual(self.violated_codes(stored_s=3), ["STORED"])

    def test_a_lot_that_only_a_refused_attempt_can_have_stored_is_reported(
        self,
    ):
        self.submit((1, 2, 503), (4, 5, 202))
        self.assertEqual(self.violated_codes(stored_s=3), ["STORED"])

    def test_a_lot_that_an_attempt_of_unknown_outcome_stored_is_allowed(self):
        for status in (0, 500, 502, 504):
            with self.subTest(status=status):
                self.setUp()
                self.submit((1, 2, status), (3, 4, 503))
                self.assertEqual(
                    self.violated_codes(("a", 9), ("a-r", 10), stored_s=8), []
                )

    def test_a_refused_lot_that_was_accepted_later_is_allowed(self):
        self.submit((1, 2, 503), (3, 6, 202), (7, 8, 202))
        self.assertEqual(self.violated_codes(("a", 5), stored_s=4), [])

    def test_a_refusal_while_another_attempt_is_open_is_allowed(self):
        self.submit((1, math.inf, 0), (3, 6, 503))
        self.assertEqual(self.violated_codes(("a", 5), stored_s=4), [])

    def test_only_lots_that_were_never_accepted_are_unaccepted(self):
        self.submit((1, 2, 503))
        self.assertEqual(self.ledger.unaccepted_lots(), ["L"])
        self.submit((3, 4, 202))
        self.assertEqual(self.ledger.unaccepted_lots(), [])
