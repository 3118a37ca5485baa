"""Property test: a request with an idempotency key runs at most once.

A request refused as not run did not run, and a key whose request certainly
never ran becomes usable again once all faults are gone. Faults: store outages,
lost replies of the store, writes that take effect late, processes killed at any
step, long pauses between any two steps, and endpoints that run a request and
lose the response.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from daisyhub.exceptions import ErrorCode, ExecutionStatus
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
# `lost`: the write has no effect. `reply_lost`: the write takes effect, but its
# reply is lost. `late`: the write takes effect later. Reads just fail.
STORE_FAULTS = ("", "", "", "lost", "reply_lost", "late")
# Store faults by step of an attempt: none, none in an attempt that stops early,
# or one in the first, third or fourth step.
FAULT_LISTS = (
    *[("",) * 6] * 4,
    *[(), ("",), ("", "")],
    *[(fault,) for fault in ("lost", "reply_lost", "late")],
    *[("", "", fault) for fault in ("lost", "reply_lost", "late")],
    *[("", "", "", fault) for fault in ("lost", "reply_lost", "late")],
)
# `response_lost`: the request runs, but its response is lost. `lost`: the
# request is lost and does not run. `large`: the response is too large to store.
# `cancelled`: the attempt is cancelled after the request ran.
REQUEST_OUTCOMES = (
    "answer",
    "answer",
    "not_run",
    "response_lost",
    "lost",
    "large",
    "cancelled",
)


class ClaimMachine(RuleBasedStateMachine):
    """Callers repeat requests with three keys at processes with one store."""

    core_class = ClaimCore

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.store, self.late_writes = {}, []
        self.cores = [self.core_class() for _ in PROCESSES]
        self.next_actions = {}  # By attempt: (process, key, action).
        self.run_counts, self.responses = dict.fromkeys(KEYS, 0), {}
        # Attempts that ran, and keys that may stay blocked even if no request
        # with them ran.
        self.executed, self.blocked, self.attempt_count = set(), set(), 0

    def feed(self, process, key, event):
        for action in self.cores[process].handle(event, self.now_s):
            self.next_actions[action.attempt] = (process, key, action)
            self.check_final_action(key, action)

    def check_final_action(self, key, action):
        """Checks final actions against what the endpoints executed."""
        if isinstance(action, (ReadClaim, WriteClaim, ForwardRequest)):
            return
        del self.next_actions[action.attempt]
        if isinstance(action, ReplayResponse):
            assert action.response == self.responses[key]
        if (
            isinstance(action, RefuseRequest)
            and action.ran is ExecutionStatus.NOT_RUN
        ):
            assert action.attempt not in self.executed
        if (
            isinstance(action, RefuseRequest)
            and action.ran is ExecutionStatus.RAN
        ):
            assert self.run_counts[key] == 1

    @rule(
        process=st.sampled_from(PROCESSES),
        key=st.sampled_from(KEYS),
        faults=st.sampled_from(FAULT_LISTS),
        request_outcome=st.sampled_from(REQUEST_OUTCOMES),
    )
    def request(self, process, key, faults, request_outcome):
        """A caller sends or repeats a request.

        The attempt takes one step for each item of `faults`, which is the
        store's fault in that step.
        """
        self.attempt_count += 1
        attempt = f"a{self.attempt_count}"
        self.feed(process, key, ClaimRequested(attempt, key, "digest"))
        for fault in faults:
            self.advance(attempt, fault, request_outcome)

    @rule(data=st.data(), fault=st.sampled_from(STORE_FAULTS))
    def advance_any(self, data, fault):
        """Any attempt that was stopped between two steps takes one step."""
        if self.next_actions:
            attempt = data.draw(st.sampled_from(sorted(self.next_actions)))
            request_outcome = data.draw(st.sampled_from(REQUEST_OUTCOMES))
            self.advance(attempt, fault, request_outcome)

    def advance(self, attempt, fault, request_outcome):
        if attempt not in self.next_actions:
            return
        process, key, action = self.next_actions.pop(attempt)
        if isinstance(action, ForwardRequest):
            event = self.run_request(attempt, key, request_outcome)
        else:
            event = self.access_store(action, fault)
        self.feed(process, key, event)

    def access_store(self, action, fault):
        uncertain = ClaimWriteUncertain(action.attempt)
        if isinstance(action, ReadClaim):
            if fault:
                return ClaimReadFailed(action.attempt)
            version, record = self.store.get(action.name, (0, None))
            return ClaimReadCompleted(action.attempt, record, version)
        if fault == "late":
            self.late_writes.append(action)
            return uncertain
        if fault == "lost":
            return uncertain
        version = self.apply_write(action)
        if fault == "reply_lost":
            return uncertain
        if not version:
            return ClaimWriteRejected(action.attempt)
        return ClaimStored(action.attempt, version)

    def apply_write(self, action):
        version, _ = self.store.get(action.name, (0, None))
        if version != action.expected_version:
            return 0
        self.store[action.name] = (version + 1, action.record)
        return version + 1

    def run_request(self, attempt, key, request_outcome):
        if request_outcome in ("not_run", "lost"):
            ran = (
                ExecutionStatus.NOT_RUN
                if request_outcome == "not_run"
                else ExecutionStatus.UNKNOWN
            )
            if request_outcome == "lost":
                self.blocked.add(key)
            return RequestEnded(attempt, ran)
        self.executed.add(attempt)
        self.run_counts[key] += 1
        assert self.run_counts[key] <= 1, f"{key} ran twice"
        if request_outcome == "response_lost":
            return RequestEnded(attempt, ExecutionStatus.UNKNOWN)
        if request_outcome == "large":
            return RequestEnded(attempt, ExecutionStatus.RAN)
        if request_outcome == "cancelled":
            return ClaimCancelled(attempt)
        self.responses[key] = StoredResponse(status=201, body=attempt.encode())
        return RequestEnded(attempt, ExecutionStatus.RAN, self.responses[key])

    @rule(data=st.data())
    def apply_late_write(self, data):
        if self.late_writes:
            index = data.draw(st.integers(0, len(self.late_writes) - 1))
            self.apply_write(self.late_writes.pop(index))

    @rule(
        process=st.sampled_from(PROCESSES),
        fault=st.sampled_from(STORE_FAULTS),
    )
    def reconcile(self, process, fault):
        self.now_s += 2.0
        core = self.cores[process]
        for action in core.handle(ClaimTick(), self.now_s):
            self.next_actions[action.attempt] = (process, action.name, action)
            self.advance(action.attempt, fault, "")

    @rule(process=st.sampled_from(PROCESSES), takes_effect=st.booleans())
    def kill(self, process, takes_effect):
        """A process dies; its last request or write may still take effect."""
        for attempt, (owner, key, action) in list(self.next_actions.items()):
            if owner != process:
                continue
            del self.next_actions[attempt]
            self.blocked.add(key)
            if takes_effect and isinstance(action, ForwardRequest):
                self.run_request(attempt, key, "response_lost")
            if takes_effect and isinstance(action, WriteClaim):
                self.late_writes.append(action)
        # The correct state of its pending claims is lost.
        pending = self.cores[process]._pending.values()
        self.blocked.update(claim.name for claim in pending)
        self.cores[process] = self.core_class()

    def teardown(self):
        """Ends all faults; a key whose request never ran must be usable."""
        if not hasattr(self, "next_actions"):
            return
        while self.late_writes:
            self.apply_write(self.late_writes.pop())
        for _ in range(10):
            for process in PROCESSES:
                self.reconcile(process, "")
            for attempt in list(self.next_actions):
                self.advance(attempt, "", "not_run")
        assert not self.next_actions
        assert not any(core.pending_count for core in self.cores)
        for key in KEYS:
            self.check_can_run(key)

    def check_can_run(self, key):
        """Checks that a key that may not be blocked can be claimed again."""
        if self.run_counts[key] or key in self.blocked:
            return
        for process in PROCESSES:
            self.request(process, key, ["", "", "", "", ""], "not_run")
            _, record = self.store[key]
            assert record.state == "free", record
            assert record.attempt == f"a{self.attempt_count}", record


class ForwardsUncertain(ClaimCore):
    """Broken: forwards though the effect of the claim's write is uncertain."""

    def _on_claim_written(self, event, now_s):
        if isinstance(event, ClaimWriteUncertain):
            event = ClaimStored(event.attempt, 1)
        return super()._on_claim_written(event, now_s)


class TakesOverClaimed(ClaimCore):
    """Broken: takes over the claim of an attempt that may have run."""

    def _can_take_over(self, record):
        return record.state in ("free", "claimed")


class FreesUnknown(ClaimCore):
    """Broken: a request with an unknown outcome frees its key."""

    def _on_ended(self, event):
        if event.ran is ExecutionStatus.UNKNOWN:
            event = RequestEnded(event.attempt, ExecutionStatus.NOT_RUN)
        return super()._on_ended(event)


class DropsPending(ClaimCore):
    """Broken: an uncertain claim blocks its key, though it never ran."""

    def _add_pending(self, attempt, claim, now_s):
        return


class ClaimProof(unittest.TestCase):
    def test_a_key_runs_at_most_once(self):
        run_proof(ClaimMachine, examples=250)

    def test_the_machine_catches_broken_claims(self):
        for broken in (
            ForwardsUncertain,
            TakesOverClaimed,
            FreesUnknown,
            DropsPending,
        ):
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

    def test_a_response_is_replayed_while_the_store_is_unavailable(self):
        core = ClaimCore()
        response = StoredResponse(status=201, body=b"one")
        core.handle(ClaimRequested("a1", "k", "digest"), 0.0)
        core.handle(ClaimStored("a1", 1), 0.0)
        core.handle(RequestEnded("a1", ExecutionStatus.RAN, response), 0.0)
        actions = core.handle(ClaimWriteUncertain("a1"), 0.0)
        self.assertEqual(actions, [ReturnOutcome("a1")])
        (action,) = core.handle(ClaimRequested("a2", "k", "digest"), 1.0)
        self.assertEqual(action, ReplayResponse("a2", response))
