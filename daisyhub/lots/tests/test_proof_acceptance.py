"""Property test: "not run" is true of every submitted lot.

Callers submit lots at several daemons and repeat them after any answer but 202,
also while an earlier attempt is still under way. Faults: store calls that are
refused, lost, delayed or whose response is lost; relays that are lost before or
after they executed a call; stale reads; daemons that freeze between any two
calls, or are killed; callers that leave.
"""

import asyncio
import collections
import itertools
import unittest
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from daisyhub.exceptions import ErrorCode, ExecutionStatus
from daisyhub.lots import LotStore, _lot_store
from daisyhub.lots.tests.acceptance_calls import Outcome, Submission
from daisyhub.lots.tests.acceptance_model import World, make_spec
from daisyhub.objects import ObjectConflictError, ObjectStoreError
from daisyhub.testing.proofs import find_failure, run_proof

ACCEPTED = 202
DAEMONS = (0, 1, 2)
OUTCOMES = (Outcome.DONE, Outcome.DONE, *Outcome)
# What becomes of the write of a call that is cancelled.
CANCELLED = (Outcome.LOST, Outcome.DONE, Outcome.DELAYED)
# Upper bound of the calls that end all attempts of an example.
_MAX_CALLS = 1000


class AcceptanceMachine(RuleBasedStateMachine):
    """Three daemons, one store, and a caller for each lot.

    Attributes:
        lot_store_class: The class under test.
        lots: Id, account and number of parts of each lot.
        checks_evidence: Whether a promise must rest on a current read.
        counts: Numbers of answers, and of promises that a create of another
            attempt can still falsify.
    """

    lot_store_class = LotStore
    lots = (("a", "x", 1), ("b", "x", 2))
    checks_evidence = False
    counts = collections.Counter()

    @initialize(
        relay_count=st.sampled_from((0, 1, 2)),
        conflicts_return_object=st.booleans(),
    )
    def start(self, relay_count, conflicts_return_object):
        self.world = World(
            relay_count, conflicts_return_object, self.lot_store_class
        )
        self.submissions = [Submission(make_spec(*lot)) for lot in self.lots]
        self.has_failed = False

    @rule(
        lot=st.sampled_from((0, 1)),
        daemon=st.sampled_from(DAEMONS),
        outcomes=st.lists(st.sampled_from(OUTCOMES), max_size=6),
        is_frozen=st.booleans(),
    )
    def submit(self, lot, daemon, outcomes, is_frozen):
        """A caller submits its lot, or repeats it.

        The first calls of the daemon have the given outcomes; then it freezes,
        or all of its calls are executed.
        """
        submission = self.submissions[lot]
        for earlier in submission.attempts:
            if earlier in self.world.open_attempts:
                earlier.has_caller = False
        attempt = self.world.submit(submission, daemon)
        self.check_answers()
        for outcome in outcomes:
            self.advance(attempt, outcome)
        if not is_frozen:
            self.finish(attempt)

    def advance(self, attempt, outcome):
        calls = [c for c in self.world.pending if c.attempt is attempt]
        if calls and attempt in self.world.open_attempts:
            self.world.resume(calls[0], outcome)
            self.check_answers()

    def finish(self, attempt):
        for _ in range(_MAX_CALLS):
            if attempt not in self.world.open_attempts:
                return
            if any(c.attempt is attempt for c in self.world.pending):
                self.advance(attempt, Outcome.DONE)
            else:
                self.pass_time(1.0)
        raise AssertionError("an attempt doesn't end")

    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
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

    @rule(seconds=st.sampled_from((0.6, 1.1)))
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
        assert self.world.stored_spec(head).items == submission.spec.items, (
            "the accepted lot isn't stored as it was submitted"
        )

    def check_refusal(self, attempt):
        submission, refusal = attempt.submission, attempt.refusal
        stored = self.world.stored_head(submission.lot_id)
        if refusal.error is ErrorCode.LOT_CONFLICT:
            assert stored and stored[0].account != submission.account
            return
        is_not_run = refusal.ran is ExecutionStatus.NOT_RUN
        assert is_not_run == attempt.is_promise, "status and code differ"
        assert refusal.retry_after_s is not None
        if attempt.is_promise:
            self.check_promise(attempt, stored)
        if self.checks_evidence:
            assert any(f in refusal.detail for f in attempt.failures), (
                f"no failure is named: {refusal.detail}"
            )
            assert not attempt.is_promise or attempt.absent_at is not None, (
                "a promise without a current read"
            )

    def check_promise(self, attempt, stored):
        submission = attempt.submission
        if stored and stored[0].account == submission.account:
            creator = self.world.creators[submission.lot_id]
            assert creator is not attempt, (
                '"not run" of a lot that this attempt stored'
            )
            assert attempt.absent_at and stored[1] > attempt.absent_at, (
                '"not run" of a lot that an earlier attempt stored'
            )
            self.counts["stored between the last read and the promise"] += 1
        delayed = self.creates_of(submission, self.world.delayed)
        pending = self.creates_of(submission, self.world.pending)
        assert attempt not in delayed + pending, (
            '"not run" of a lot whose create is still under way'
        )
        if any(earlier not in self.world.open_attempts for earlier in delayed):
            self.counts["delayed create of an earlier attempt"] += 1
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
        self.pass_time(2.0)
        for daemon, submission in itertools.product(DAEMONS, self.submissions):
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
            if stored and stored[0].account == submission.account:
                assert not submission.is_promised_not_to_run(), (
                    "a lot runs of which every answer said not run"
                )

    def check_repeat(self, submission, daemon):
        stored = self.world.stored_head(submission.lot_id)
        attempt = self.world.submit(submission, daemon)
        self.finish(attempt)
        if stored and stored[0].account != submission.account:
            assert attempt.refusal.error is ErrorCode.LOT_CONFLICT
        else:
            assert attempt.status == ACCEPTED, (
                f"refused without a fault: {attempt.refusal}"
            )


class EvidenceMachine(AcceptanceMachine):
    """Also checks what each refusal rests on."""

    checks_evidence = True


class SharedIdMachine(AcceptanceMachine):
    """Two accounts submit lots with the same id."""

    lots = (("a", "x", 1), ("a", "y", 2))


class _Variant(LotStore):
    """A broken variant: changes what the store shows, or what is raised."""

    def __init__(self, store):
        super().__init__(self)
        self._inner = store

    async def read(self, kind, name, *, can_be_stale=False):
        return await self._inner.read(kind, name, can_be_stale=can_be_stale)

    async def create(self, kind, name, spec):
        return await self._inner.create(kind, name, spec)


class TrustsFailedRead(_Variant):
    """Broken: a failed read of the head counts as one that found none."""

    async def read(self, kind, name, *, can_be_stale=False):
        try:
            return await super().read(kind, name, can_be_stale=can_be_stale)
        except ObjectStoreError:
            return None


class TrustsStaleRead(_Variant):
    """Broken: a read that may be stale counts as a current one."""

    async def read(self, kind, name, *, can_be_stale=False):
        return await super().read(kind, name, can_be_stale=True)


class ForgetsUnknownCreate(_Variant):
    """Broken: a create of unknown outcome counts as not done."""

    async def create(self, kind, name, spec):
        try:
            return await super().create(kind, name, spec)
        except ObjectStoreError as exc:
            raise ObjectStoreError(str(exc), may_be_done=False) from exc


class AcceptsWithoutParts(_Variant):
    """Broken: stores the head though a part isn't stored."""

    async def create(self, kind, name, spec):
        try:
            return await super().create(kind, name, spec)
        except ObjectStoreError:
            if kind == _lot_store.LOTS_KIND:
                raise
            return None


class DeniesAfterConflict(_Variant):
    """Broken: a conflict followed by a failure counts as not run."""

    async def create(self, kind, name, spec):
        try:
            return await super().create(kind, name, spec)
        except ObjectConflictError:
            self._conflicts.add(name)
            raise

    async def accept(self, spec):
        self._conflicts = set()
        try:
            return await super().accept(spec)
        except ObjectStoreError as exc:
            if spec.head.lot_id not in self._conflicts:
                raise
            raise ObjectStoreError(str(exc), may_be_done=False) from exc


class PromisesFromParts(_Variant):
    """Broken: promises from a part's failure, also on a repeat."""

    async def create(self, kind, name, spec):
        self._kinds.add(kind)
        return await super().create(kind, name, spec)

    async def accept(self, spec):
        self._kinds = set()
        try:
            return await super().accept(spec)
        except ObjectStoreError as exc:
            if _lot_store.LOTS_KIND in self._kinds:
                raise
            raise ObjectStoreError(str(exc), may_be_done=False) from exc


class IgnoresOtherHead(_Variant):
    """Broken: takes the head of an earlier lot for its own."""

    async def accept(self, spec):
        await super().accept(spec)
        return spec.head


class AcceptanceProof(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(_lot_store, "_MAX_PART_BYTES", 1)
        patch.start()
        self.addCleanup(patch.stop)

    def test_not_run_is_true_of_every_lot(self):
        run_proof(AcceptanceMachine, examples=150, steps=20)

    def test_each_refusal_names_evidence(self):
        run_proof(EvidenceMachine, examples=50, steps=20)

    def test_lots_of_two_accounts_with_one_id_are_not_mixed(self):
        run_proof(SharedIdMachine, examples=50, steps=20)

    def test_broken_variants_are_detected(self):
        for variant in (
            TrustsFailedRead,
            TrustsStaleRead,
            ForgetsUnknownCreate,
            AcceptsWithoutParts,
            DeniesAfterConflict,
            PromisesFromParts,
            IgnoresOtherHead,
        ):
            machine = type(
                variant.__name__,
                (
                    SharedIdMachine
                    if variant is IgnoresOtherHead
                    else AcceptanceMachine,
                ),
                {"lot_store_class": variant},
            )
            with self.subTest(variant.__name__):
                self.assertIsInstance(
                    find_failure(machine, steps=20), AssertionError
                )
