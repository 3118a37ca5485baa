"""Which requests are blocked because endpoints end under them."""

import random
import unittest

from daisyhub.balancing import EndpointProcess
from daisyhub.settings import Address
from daisyhub.suspects import MAX_TRIALS, Evidence, SuspectCore, Verdict
from daisyhub.suspects import _suspect_core as module

GUILTY = b"guilty"
INNOCENT = b"innocent"


def process(number):
    address = Address(ip="127.0.0.1", port=number)
    return EndpointProcess(f"e{number}", 1, address)


class SuspectCoreTest(unittest.TestCase):
    def setUp(self):
        self.listed = set()
        self.core = SuspectCore(lambda p: p in self.listed)

    def end(self, number, *digests, at_s=1.0):
        for digest in digests:
            self.core.add(digest, Evidence(process(number), at_s))

    def judge(self, digest, now_s=2.0):
        return self.core.judge(digest, now_s)

    def test_it_is_blocked_once_three_processes_ended(self):
        self.assertIs(self.judge(GUILTY), Verdict.FREE)
        verdicts = []
        for number in range(4):
            self.end(number, GUILTY)
            verdicts.append(self.judge(GUILTY))
        self.assertEqual(
            verdicts,
            [
                Verdict.FREE,
                Verdict.ISOLATED,
                Verdict.BLOCKED,
                Verdict.BLOCKED,
            ],
        )

    def test_evidence_of_the_same_process_counts_once(self):
        for at_s in (1.0, 2.0, 3.0, 4.0):
            self.end(1, GUILTY, at_s=at_s)
        self.assertIs(self.judge(GUILTY), Verdict.FREE)

    def test_who_ran_beside_it_at_some_processes_is_not_blocked(self):
        self.end(1, GUILTY, INNOCENT)
        self.end(2, GUILTY, INNOCENT)
        self.end(3, GUILTY)
        self.assertIs(self.judge(GUILTY), Verdict.BLOCKED)
        self.assertIs(self.judge(INNOCENT), Verdict.ISOLATED)

    def test_a_whole_response_clears_a_request(self):
        for number in range(3):
            self.end(number, INNOCENT, at_s=1.0)
        self.assertTrue(self.core.clear(INNOCENT, 2.0))
        self.assertIs(self.judge(INNOCENT), Verdict.FREE)
        # News of what ended before come late.
        self.assertFalse(self.core.add(INNOCENT, Evidence(process(9), 1.9)))
        self.assertIs(self.judge(INNOCENT), Verdict.FREE)

    def test_a_response_to_an_earlier_request_does_not_clear_it(self):
        self.end(1, GUILTY, at_s=5.0)
        self.end(2, GUILTY, at_s=5.0)
        self.end(3, GUILTY, at_s=5.0)
        self.core.clear(GUILTY, 4.0)
        self.assertIs(self.judge(GUILTY, 6.0), Verdict.BLOCKED)

    def test_two_that_ran_at_all_of_them_are_tried_one_after_the_other(self):
        for number in range(3):
            self.end(number, GUILTY, INNOCENT)
        self.assertIs(self.judge(GUILTY), Verdict.ON_TRIAL)
        self.assertIs(self.judge(INNOCENT), Verdict.ON_TRIAL)
        self.assertFalse(self.core.try_start_trial(GUILTY, 2.0))
        self.assertTrue(self.core.try_start_trial(GUILTY, 5.0))
        self.assertFalse(self.core.try_start_trial(GUILTY, 6.0))
        # A further process ends, at which the other one didn't run.
        self.end(4, GUILTY, at_s=5.1)
        self.assertIs(self.judge(GUILTY, 6.0), Verdict.BLOCKED)
        self.assertIs(self.judge(INNOCENT, 6.0), Verdict.ON_TRIAL)
        self.core.clear(INNOCENT, 6.1)
        self.assertIs(self.judge(INNOCENT, 7.0), Verdict.FREE)

    def test_trials_end_even_if_they_tell_nothing(self):
        for number in range(3):
            self.end(number, GUILTY, INNOCENT)
        granted = sum(
            self.core.try_start_trial(GUILTY, float(now_s))
            for now_s in range(5, 200)
        )
        self.assertEqual(granted, MAX_TRIALS)
        self.assertIs(self.judge(GUILTY, 200.0), Verdict.BLOCKED)

    def test_a_process_that_responds_later_did_not_end(self):
        for number in range(3):
            self.end(number, GUILTY, at_s=1.0)
        self.core.record_response(process(1), 0.9)
        self.assertIs(self.judge(GUILTY), Verdict.BLOCKED)
        self.core.record_response(process(1), 1.1)
        self.assertIs(self.judge(GUILTY), Verdict.ISOLATED)

    def test_a_process_that_stays_listed_did_not_end(self):
        """A daemon whose connections are reset loses them everywhere."""
        self.listed = {process(n) for n in range(3)}
        for number in range(3):
            self.end(number, INNOCENT, at_s=1.0)
        self.assertIs(self.judge(INNOCENT, 5.0), Verdict.BLOCKED)
        self.assertIs(self.judge(INNOCENT, 10.0), Verdict.FREE)

    def test_it_stays_blocked_while_it_comes_back(self):
        for number in range(3):
            self.end(number, GUILTY)
        for minute in range(60):
            now_s = 60.0 * minute + 2
            self.assertIs(self.judge(GUILTY, now_s), Verdict.BLOCKED)
            self.end(100 + minute, INNOCENT, at_s=now_s)
        self.assertEqual(self.core.blocked(now_s), [GUILTY, INNOCENT])

    def test_thousands_of_suspects_are_bounded(self):
        with self.subTest("by their number"):
            for number in range(module.MAX_SUSPECTS + 500):
                digest = number.to_bytes(16, "big")
                self.end(number % 60_000, digest, at_s=number / 1000)
            self.assertLessEqual(len(self.core), module.MAX_SUSPECTS)
        with self.subTest("by their age"):
            self.end(1, GUILTY, at_s=10_000.0)
            self.assertEqual(len(self.core), 1)

    def test_random_traffic_blocks_who_ends_processes_and_no_other(self):
        """Processes with several requests end under one of them."""
        for seed in range(100):
            rng = random.Random(seed)
            self.core = SuspectCore(lambda _: False)
            innocents = [b"%d" % n for n in range(12)]
            now_s, sent_late, third_s, ended = 0.0, 0, None, 0
            for number in range(400):
                now_s += 0.3
                beside = rng.sample(innocents, rng.randrange(6))
                verdict = self.judge(GUILTY, now_s)
                may_run = verdict in (Verdict.FREE, Verdict.ISOLATED) or (
                    verdict is Verdict.ON_TRIAL
                    and self.core.try_start_trial(GUILTY, now_s)
                )
                if may_run:
                    sent_late += third_s is not None
                    ended += 1
                    self.end(number, GUILTY, *beside, at_s=now_s)
                    if ended == 3:
                        third_s = now_s
                    continue
                for digest in beside:
                    verdict = self.judge(digest, now_s)
                    if verdict is Verdict.BLOCKED:
                        continue
                    if verdict is not Verdict.ON_TRIAL or (
                        self.core.try_start_trial(digest, now_s)
                    ):
                        self.core.clear(digest, now_s)
            self.assertLessEqual(sent_late, 3, seed)
            for digest in innocents:
                self.assertIs(self.judge(digest, now_s), Verdict.FREE, seed)
