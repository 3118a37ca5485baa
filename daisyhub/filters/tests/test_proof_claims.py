"""Proof: a keyed request runs at most once, and "not run" is true.

Faults: store outages, lost answers, writes that take effect late, kills at
any step, long pauses between any two steps, and endpoints that run a request
and lose the answer. A finding at the end of each run: a key of which every
process knows that it never ran can run.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from daisyhub.exceptions import ErrorCode, Ran
from daisyhub.filters import (
    ClaimCancelled,
    ClaimCore,
    ClaimReadCompleted,
    ClaimReadFailed,
    ClaimRequested,
    ClaimStored,
    ClaimTick,
    ClaimWriteRejected,
    ClaimWriteUncertain,
    ForwardRequest,
    ReadClaim,
    RefuseRequest,
    ReplayResponse,
    RequestEnded,
    ReturnOutcome,
    StoredResponse,
    WriteClaim,
)
from daisyhub.testing.proofs import find_failure, run_proof

PROCESSES = (0, 1)
KEYS = ("k0", "k1", "k2")
STORE_FAULTS = ("", "", "", "lost", "landed", "late")
FAULT_LISTS = (
    *[("",) * 6] * 4,
    *[(), ("",), ("", "")],
    *[(fault,) for fault in ("lost", "landed", "late")],
    *[("", "", fault) for fault in ("lost", "landed", "late")],
    *[("", "", "", fault) for fault in ("lost", "landed", "late")],
)
ENDINGS = ("answer", "answer", "not_run", "lost_run", "lost", "large", "cut")


class ClaimMachine(RuleBasedStateMachine):
    """Callers repeat three keys through two processes before one store."""

    core_class = ClaimCore

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.store, self.late = {}, []
        self.cores = [self.core_class() for _ in PROCESSES]
        self.steps = {}  # Open attempt to (process, key, next action).
        self.runs, self.answers = dict.fromkeys(KEYS, 0), {}
        self.ran, self.barred, self.count = set(), set(), 0

    def feed(self, process, key, event):
        for action in self.cores[process].handle(event, self.now_s):
            self.steps[action.attempt] = (process, key, action)
            self.check_end(key, action)

    def check_end(self, key, action):
        """Judges final answers against what endpoints did."""
        if isinstance(action, (ReadClaim, WriteClaim, ForwardRequest)):
            return
        del self.steps[action.attempt]
        if isinstance(action, ReplayResponse):
            assert action.answer == self.answers[key]
        if isinstance(action, RefuseRequest) and action.ran is Ran.NOT_RUN:
            assert action.attempt not in self.ran
        if isinstance(action, RefuseRequest) and action.ran is Ran.RAN:
            assert self.runs[key] == 1

    @rule(
        process=st.sampled_from(PROCESSES),
        key=st.sampled_from(KEYS),
        faults=st.sampled_from(FAULT_LISTS),
        ending=st.sampled_from(ENDINGS),
    )
    def request(self, process, key, faults, ending):
        """A caller sends or repeats a request; it gets as far as faults."""
        self.count += 1
        attempt = f"a{self.count}"
        self.feed(process, key, ClaimRequested(attempt, key, "digest"))
        for fault in faults:
            self.go_on(attempt, fault, ending)

    @rule(data=st.data(), fault=st.sampled_from(STORE_FAULTS))
    def step_any(self, data, fault):
        """Any attempt that stands still takes one step."""
        if self.steps:
            attempt = data.draw(st.sampled_from(sorted(self.steps)))
            ending = data.draw(st.sampled_from(ENDINGS))
            self.go_on(attempt, fault, ending)

    def go_on(self, attempt, fault, ending):
        if attempt not in self.steps:
            return
        process, key, action = self.steps.pop(attempt)
        if isinstance(action, ForwardRequest):
            event = self.run_request(attempt, key, ending)
        else:
            event = self.reach_store(action, fault)
        self.feed(process, key, event)

    def reach_store(self, action, fault):
        lost = ClaimWriteUncertain(action.attempt)
        if isinstance(action, ReadClaim):
            if fault:
                return ClaimReadFailed(action.attempt)
            version, record = self.store.get(action.name, (0, None))
            return ClaimReadCompleted(action.attempt, record, version)
        if fault == "late":
            self.late.append(action)
            return lost
        if fault == "lost":
            return lost
        version = self.land(action)
        if fault == "landed":
            return lost
        if not version:
            return ClaimWriteRejected(action.attempt)
        return ClaimStored(action.attempt, version)

    def land(self, action):
        version, _ = self.store.get(action.name, (0, None))
        if version != action.expected_version:
            return 0
        self.store[action.name] = (version + 1, action.record)
        return version + 1

    def run_request(self, attempt, key, ending):
        if ending in ("not_run", "lost"):
            ran = Ran.NOT_RUN if ending == "not_run" else Ran.UNKNOWN
            if ending == "lost":
                self.barred.add(key)
            return RequestEnded(attempt, ran)
        self.ran.add(attempt)
        self.runs[key] += 1
        assert self.runs[key] <= 1, f"{key} ran twice"
        if ending == "lost_run":
            return RequestEnded(attempt, Ran.UNKNOWN)
        if ending == "large":
            return RequestEnded(attempt, Ran.RAN)
        if ending == "cut":
            return ClaimCancelled(attempt)
        self.answers[key] = StoredResponse(status=201, body=attempt.encode())
        return RequestEnded(attempt, Ran.RAN, self.answers[key])

    @rule(data=st.data())
    def land_late_write(self, data):
        if self.late:
            place = data.draw(st.integers(0, len(self.late) - 1))
            self.land(self.late.pop(place))

    @rule(
        process=st.sampled_from(PROCESSES),
        fault=st.sampled_from(STORE_FAULTS),
    )
    def settle(self, process, fault):
        self.now_s += 2.0
        core = self.cores[process]
        for action in core.handle(ClaimTick(), self.now_s):
            self.steps[action.attempt] = (process, action.name, action)
            self.go_on(action.attempt, fault, "")

    @rule(process=st.sampled_from(PROCESSES), runs=st.booleans())
    def kill(self, process, runs):
        """A process dies; what it had sent may have run, or land late."""
        for attempt, (where, key, action) in list(self.steps.items()):
            if where != process:
                continue
            del self.steps[attempt]
            self.barred.add(key)
            if runs and isinstance(action, ForwardRequest):
                self.run_request(attempt, key, "lost_run")
            if runs and isinstance(action, WriteClaim):
                self.late.append(action)
        # What only this process knew is lost.
        pending = self.cores[process]._pending.values()
        self.barred.update(claim.name for claim in pending)
        self.cores[process] = self.core_class()

    def teardown(self):
        """All heals; a key that surely never ran can run."""
        if not hasattr(self, "steps"):
            return
        while self.late:
            self.land(self.late.pop())
        for _ in range(10):
            for process in PROCESSES:
                self.settle(process, "")
            for attempt in list(self.steps):
                self.go_on(attempt, "", "not_run")
        assert not self.steps
        assert not any(core.pending for core in self.cores)
        for key in KEYS:
            self.check_can_run(key)

    def check_can_run(self, key):
        if self.runs[key] or key in self.barred:
            return
        for process in PROCESSES:
            self.request(process, key, ["", "", "", "", ""], "not_run")
            _, record = self.store[key]
            assert record.state == "free", record
            assert record.attempt == f"a{self.count}", record


class SendsInDoubt(ClaimCore):
    """Broken: sends although the claim's effect is unknown."""

    def _on_claim_written(self, event, now_s):
        if isinstance(event, ClaimWriteUncertain):
            event = ClaimStored(event.attempt, 1)
        return super()._on_claim_written(event, now_s)


class TakesStale(ClaimCore):
    """Broken: takes over the claim of an attempt that may have run."""

    def _is_free(self, record):
        return record.state in ("free", "claimed")


class FreesUnknown(ClaimCore):
    """Broken: a request with an unknown outcome frees its key."""

    def _on_ended(self, event):
        if event.ran is Ran.UNKNOWN:
            event = RequestEnded(event.attempt, Ran.NOT_RUN)
        return super()._on_ended(event)


class ForgetsPending(ClaimCore):
    """Broken: a claim in doubt bars the key, though it never ran."""

    def _add_pending(self, attempt, claim, now_s):
        return


class ClaimProof(unittest.TestCase):
    def test_a_key_runs_at_most_once(self):
        run_proof(ClaimMachine, examples=250)

    def test_the_machine_catches_broken_claims(self):
        for broken in (SendsInDoubt, TakesStale, FreesUnknown, ForgetsPending):
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (ClaimMachine,), {"core_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)

    def test_a_concurrent_repeat_and_another_body_are_refused(self):
        core = ClaimCore()
        core.handle(ClaimRequested("a1", "k", "digest"), 0.0)
        for digest, error in (
            ("digest", ErrorCode.CLAIM_IN_PROGRESS),
            ("other", ErrorCode.CLAIM_MISMATCH),
        ):
            (action,) = core.handle(ClaimRequested("a2", "k", digest), 0.0)
            self.assertEqual(action.error, error)

    def test_an_answer_is_replayed_while_the_store_is_down(self):
        core = ClaimCore()
        answer = StoredResponse(status=201, body=b"one")
        core.handle(ClaimRequested("a1", "k", "digest"), 0.0)
        core.handle(ClaimStored("a1", 1), 0.0)
        core.handle(RequestEnded("a1", Ran.RAN, answer), 0.0)
        settled = core.handle(ClaimWriteUncertain("a1"), 0.0)
        self.assertEqual(settled, [ReturnOutcome("a1")])
        (action,) = core.handle(ClaimRequested("a2", "k", "digest"), 1.0)
        self.assertEqual(action, ReplayResponse("a2", answer))
