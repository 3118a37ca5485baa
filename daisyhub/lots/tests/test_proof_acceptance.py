"""Property test: "not run" is true of every submitted lot.

Callers submit lots at several daemons and repeat them after any answer but 202,
also while an earlier attempt is still under way. Faults: store calls that are
refused, lost, delayed or whose response is lost; relays that are lost before or
after they executed a call; stale reads; daemons that freeze between any two
calls, or are killed; callers that leave.
"""

import asyncio
import collections
import unittest
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from daisyhub.exceptions import ErrorCode, ExecutionStatus
from daisyhub.lots import LotStore, _filter, _lot_store, _parts
from daisyhub.lots.tests.acceptance_calls import Outcome, Submission
from daisyhub.lots.tests.acceptance_model import World, make_spec
from daisyhub.lots.tests.acceptance_variants import (
    AcceptsWithoutParts,
    DeniesAfterConflict,
    ForgetsUnknownCreate,
    HidesStoredParts,
    IgnoresAge,
    IgnoresOtherHead,
    PromisesFromParts,
    TrustsFailedRead,
    TrustsStaleRead,
)
from daisyhub.objects import ObjectStoreError
from daisyhub.testing.proofs import find_failure, run_proof

ACCEPTED = 202
# Upper bound of the calls that end all attempts of an example.
_MAX_CALLS = 1000
MAX_ATTEMPT_S = _filter._MAX_ATTEMPT_S
DAEMONS = (0, 1, 2)
# Steps of an example, most of them with several attempts.
STEPS = 12
# Outcomes of an attempt's calls. Failed reads are alike, and so are failed
# messages to peers.
WRITES = (Outcome.DONE, Outcome.DONE, Outcome.REFUSED, *Outcome)
READS = (Outcome.DONE, Outcome.DONE, Outcome.STALE, Outcome.REFUSED)
CALLS = {
    "create lot-items": WRITES,
    "create lots": WRITES,
    "read": READS,
    "relay create": (
        Outcome.DONE,
        Outcome.DONE,
        Outcome.LOST,
        Outcome.RESPONSE_LOST,
        Outcome.DELAYED,
    ),
    "relay read": (Outcome.DONE, Outcome.DONE, Outcome.LOST, Outcome.DELAYED),
}
ATTEMPTS = st.tuples(
    st.sampled_from(DAEMONS),
    st.fixed_dictionaries(
        {call: st.sampled_from(drawn) for call, drawn in CALLS.items()}
    ),
    st.sampled_from((*[_MAX_CALLS] * 6, 1, 2, 3, 4, 6)),
)
# The store refuses writes, and relays can't be reached for them.
NO_WRITES = {
    "create": Outcome.REFUSED,
    "relay create": Outcome.LOST,
}
# What becomes of the write of a call that is cancelled.
CANCELLED = (Outcome.LOST, Outcome.DONE, Outcome.DELAYED)


class AcceptanceMachine(RuleBasedStateMachine):
    """Three daemons, one store, and a caller for each lot.

    Attributes:
        lot_store_class: The class under test.
        lots: Id, account and number of parts of each lot.
        checks_evidence: Whether a promise must rest on a current read.
        checks_earlier_creates: Whether no create of an attempt that has ended
            may still be delayed when a later attempt promises.
        counts: Numbers of answers, and of promises that a create of another
            attempt can still falsify.
    """

    lot_store_class = LotStore
    lots = (("a", "x", 1), ("b", "x", 2), ("c", "x", 1))
    checks_evidence = False
    checks_earlier_creates = False
    counts = collections.Counter()

    @initialize(
        relay_count=st.sampled_from((None, 1, 2, 0)),
        conflicts_return_object=st.booleans(),
    )
    def start(self, relay_count, conflicts_return_object):
        self.world = World(
            relay_count, conflicts_return_object, self.lot_store_class
        )
        self.submissions = [Submission(make_spec(*lot)) for lot in self.lots]
        self.has_failed = False
        # The lots that were promised not to run, each with the attempts that
        # were too old at that time to accept it.
        self.promises = []

    @rule(
        lot=st.sampled_from((0, 1, 2)),
        attempts=st.lists(ATTEMPTS, min_size=1, max_size=4),
    )
    def submit(self, lot, attempts):
        """A caller submits its lot, and repeats it.

        Args:
            lot: Number of the lot.
            attempts: For each attempt, the daemon, the outcomes of its calls,
                and the number of calls after which the daemon freezes.
        """
        submission = self.submissions[lot]
        for daemon, outcomes, call_count in attempts:
            for earlier in submission.attempts:
                if earlier in self.world.open_attempts:
                    earlier.has_caller = False
            attempt = self.world.submit(submission, daemon)
            self.check_answers()
            self.advance(attempt, outcomes, call_count)

    def advance(self, attempt, outcomes, call_count=_MAX_CALLS):
        """Lets an attempt make calls until it ends."""
        for _ in range(call_count):
            if attempt not in self.world.open_attempts:
                return
            calls = [c for c in self.world.pending if c.attempt is attempt]
            if not calls:
                self.pass_time(1.0)
                continue
            key = f"{calls[0].verb} {calls[0].kind}"
            outcome = next(
                (outcomes[c] for c in outcomes if key.startswith(c)),
                Outcome.DONE,
            )
            self.world.resume(calls[0], outcome)
            self.check_answers()
        assert call_count < _MAX_CALLS, "an attempt doesn't end"

    @rule(data=st.data(), outcome=st.sampled_from(WRITES))
    def resume(self, data, outcome):
        """Any daemon wakes up for one call."""
        if self.world.pending:
            index = data.draw(st.integers(0, len(self.world.pending) - 1))
            self.world.resume(self.world.pending[index], outcome)
            self.check_answers()

    @rule(data=st.data())
    def apply_delayed_write(self, data):
        if self.world.delayed:
            index = data.draw(st.integers(0, len(self.world.delayed) - 1))
            self.world.apply(self.world.delayed.pop(index))

    @rule(data=st.data(), outcome=st.sampled_from(CANCELLED))
    def leave(self, data, outcome):
        """A caller leaves, or its deadline passes; its daemon stops."""
        if self.world.open_attempts:
            attempts = self.world.open_attempts
            index = data.draw(st.integers(0, len(attempts) - 1))
            attempts[index].has_caller = False
            self.world.cancel([attempts[index].task], outcome)
            self.check_answers()

    @rule(daemon=st.sampled_from(DAEMONS), outcome=st.sampled_from(CANCELLED))
    def kill(self, daemon, outcome):
        for attempt in self.world.open_attempts:
            if attempt.daemon == daemon:
                attempt.has_caller = False
        self.world.kill(daemon, outcome)
        self.check_answers()

    @rule(seconds=st.sampled_from((0.6, 1.1, 2.5)))
    def pass_time(self, seconds):
        self.world.run(asyncio.sleep(seconds))
        self.check_answers()

    def check_answers(self):
        """Checks the answers that daemons have given since the last step."""
        for attempt in list(self.world.open_attempts):
            if not attempt.task.done():
                continue
            self.world.open_attempts.remove(attempt)
            if attempt.task.cancelled():
                continue
            attempt.task.result()
            self.has_failed = True
            if attempt.status == ACCEPTED:
                self.check_accepted(attempt.submission)
            else:
                self.check_refusal(attempt)
            self.has_failed = False
            self.counts[attempt.status] += 1

    def check_accepted(self, submission):
        stored = self.world.stored_head(submission.lot_id)
        assert stored, "a lot that isn't stored was accepted"
        head = stored[0]
        assert head.account == submission.account, "another account's lot"
        try:
            spec = self.world.stored_spec(head)
        except ObjectStoreError as exc:
            raise AssertionError("a part isn't stored") from exc
        assert spec.items == submission.spec.items, (
            "the accepted lot isn't stored as it was submitted"
        )

    def check_refusal(self, attempt):
        submission, refusal = attempt.submission, attempt.refusal
        stored = self.world.stored_head(submission.lot_id)
        if refusal.error is ErrorCode.LOT_CONFLICT:
            assert stored and not submission.is_stored_as(stored[0])
            return
        is_not_run = refusal.ran is ExecutionStatus.NOT_RUN
        assert is_not_run == attempt.is_promise, "status and code differ"
        assert refusal.retry_after_s is not None
        if attempt.is_promise:
            self.check_promise(attempt, stored)
        if self.checks_evidence:
            failures = list(attempt.failures)
            if self.world.loop.time() >= attempt.started_s + MAX_ATTEMPT_S:
                failures.append("s too old")
            assert any(f in refusal.detail for f in failures), (
                f"no failure is named: {refusal.detail}"
            )
            assert not attempt.is_promise or attempt.absent_at is not None, (
                "a promise without a current read"
            )

    def check_promise(self, attempt, stored):
        submission = attempt.submission
        if stored and submission.is_stored_as(stored[0]):
            creator = self.world.creators[submission.lot_id]
            assert creator is not attempt, (
                '"not run" of a lot that this attempt stored'
            )
            assert attempt.absent_at and stored[1] > attempt.absent_at, (
                '"not run" of a lot that an earlier attempt stored'
            )
            self.counts["stored between the last read and the promise"] += 1
        old = [
            earlier
            for earlier in submission.attempts
            if earlier.started_s + MAX_ATTEMPT_S <= attempt.absent_s
        ]
        self.promises.append((submission, old))
        delayed = self.creates_of(submission, self.world.delayed)
        pending = self.creates_of(submission, self.world.pending)
        assert attempt not in delayed + pending, (
            '"not run" of a lot whose create is still under way'
        )
        if any(a not in self.world.open_attempts for a in delayed + pending):
            self.counts["delayed create of an earlier attempt"] += 1
            assert not self.checks_earlier_creates, (
                '"not run" though an earlier attempt\'s create is delayed'
            )
        if any(a in self.world.open_attempts for a in submission.attempts):
            self.counts["an earlier attempt is still under way"] += 1

    def creates_of(self, submission, calls):
        """Returns the attempts whose create of the head is among `calls`."""
        return [
            call.attempt
            for call in calls
            if call.write
            and call.kind == _lot_store.LOTS_KIND
            and call.attempt.submission is submission
        ]

    def teardown(self):
        """Ends all faults; then runs all stored lots and repeats all."""
        if not hasattr(self, "world"):
            return
        try:
            if not self.has_failed:
                self.check_end()
        finally:
            self.world.close()

    def check_end(self):
        self.end_faults()
        self.check_runs()
        self.check_old_attempts()
        self.pass_time(2.0)
        for daemon, submission in zip(DAEMONS, self.submissions, strict=True):
            self.check_repeat(submission, daemon)

    def end_faults(self):
        for _ in range(_MAX_CALLS):
            if self.world.pending:
                self.world.resume(self.world.pending[0], Outcome.DONE)
            elif self.world.delayed:
                self.world.apply(self.world.delayed.pop(0))
            elif self.world.open_attempts:
                self.world.run(asyncio.sleep(1.0))
            else:
                return
            self.check_answers()
        raise AssertionError("an attempt doesn't end")

    def check_runs(self):
        """A late holder runs all lots whose head is stored."""
        for submission in self.submissions:
            stored = self.world.stored_head(submission.lot_id)
            if stored and submission.is_stored_as(stored[0]):
                assert not submission.is_promised_not_to_run(), (
                    "a lot runs of which every answer said not run"
                )

    def check_old_attempts(self):
        """A promise is final for attempts that are older than the bound."""
        for submission, old in self.promises:
            stored = self.world.stored_head(submission.lot_id)
            if stored and submission.is_stored_as(stored[0]):
                assert self.world.creators[submission.lot_id] not in old, (
                    '"not run" of a lot that an old attempt stored later'
                )

    def check_repeat(self, submission, daemon):
        stored = self.world.stored_head(submission.lot_id)
        attempt = self.world.submit(submission, daemon)
        self.advance(attempt, {})
        if stored and not submission.is_stored_as(stored[0]):
            assert attempt.refusal.error is ErrorCode.LOT_CONFLICT
        else:
            assert attempt.status == ACCEPTED, (
                f"refused without a fault: {attempt.refusal}"
            )


class EvidenceMachine(AcceptanceMachine):
    """Also checks what each refusal rests on."""

    checks_evidence = True


class EarlierCreateMachine(AcceptanceMachine):
    """Also checks promises against delayed creates of earlier attempts."""

    checks_earlier_creates = True


class OldAttemptMachine(AcceptanceMachine):
    """Daemons also freeze until their attempts are too old."""

    @rule(
        lot=st.sampled_from((0, 1, 2)),
        daemons=st.permutations(DAEMONS),
        call_count=st.integers(0, 3),
    )
    def refuse_a_repeat_after_a_freeze(self, lot, daemons, call_count):
        self.submit(lot, [(daemons[0], {}, call_count)])
        self.pass_time(MAX_ATTEMPT_S + 0.5)
        self.submit(lot, [(daemons[1], NO_WRITES, _MAX_CALLS)])


class SharedIdMachine(AcceptanceMachine):
    """Accounts submit lots with the same id."""

    lots = (("a", "x", 1), ("a", "y", 2), ("a", "z", 1))


class SharedAccountMachine(AcceptanceMachine):
    """One account submits lots with the same id and other items."""

    lots = (("a", "x", 1), ("a", "x", 2), ("a", "x", 3))


class AcceptanceProof(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(_parts, "_MAX_PART_BYTES", 1)
        patch.start()
        self.addCleanup(patch.stop)

    def test_not_run_is_true_of_every_lot(self):
        run_proof(AcceptanceMachine, examples=80, steps=STEPS)

    def test_each_refusal_names_evidence(self):
        run_proof(EvidenceMachine, examples=50, steps=STEPS)

    def test_no_promise_while_an_earlier_create_may_still_take_effect(self):
        run_proof(EarlierCreateMachine, examples=60, steps=STEPS)

    def test_no_attempt_that_was_too_old_stores_a_lot_that_was_denied(self):
        run_proof(OldAttemptMachine, examples=60, steps=STEPS)

    def test_lots_of_accounts_with_one_id_are_not_mixed(self):
        run_proof(SharedIdMachine, examples=50, steps=STEPS)

    def test_lots_of_one_account_with_one_id_are_not_mixed(self):
        run_proof(SharedAccountMachine, examples=50, steps=STEPS)

    def test_broken_variants_are_detected(self):
        for machine, variants in (
            (
                AcceptanceMachine,
                (
                    TrustsFailedRead,
                    TrustsStaleRead,
                    ForgetsUnknownCreate,
                    AcceptsWithoutParts,
                    DeniesAfterConflict,
                    PromisesFromParts,
                ),
            ),
            (EarlierCreateMachine, (HidesStoredParts,)),
            (OldAttemptMachine, (IgnoresAge,)),
            (SharedIdMachine, (IgnoresOtherHead,)),
            (SharedAccountMachine, (IgnoresOtherHead,)),
        ):
            for variant in variants:
                with self.subTest(variant.__name__):
                    failure = find_failure(
                        type(
                            variant.__name__,
                            (machine,),
                            {"lot_store_class": variant},
                        ),
                        steps=STEPS,
                    )
                    self.assertIsInstance(failure, AssertionError)
