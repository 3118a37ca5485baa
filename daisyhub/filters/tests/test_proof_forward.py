"""Property test: how often a request is sent, and which outcome is reported.

A request that may run only once is neither sent again after it ran nor sent
twice concurrently. A request refused as not run did not run. Repeats stay
within the retry budget, which many requests share, and each request ends by its
deadline. Faults: attempts that fail before, during and after execution, late
responses, timeouts, and missing endpoints. The oracle records what the
endpoints executed.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from daisyhub.exceptions import ErrorCode, ExecutionStatus
from daisyhub.filters import (
    AttemptCompleted,
    AttemptFailed,
    DeliverResponse,
    FailRequest,
    ForwardCore,
    ForwardPlan,
    ForwardStarted,
    ForwardTick,
    RetryBudget,
    StartAttempt,
)
from daisyhub.testing.proofs import find_failure, run_proof

RETRY_SHARE, RETRY_RESERVE = 0.1, 10
# The outcome that the daemon observes, and whether the request really ran.
FAILURES = (
    (ExecutionStatus.NOT_RUN, False),
    (ExecutionStatus.UNKNOWN, False),
    (ExecutionStatus.UNKNOWN, True),
    (ExecutionStatus.RAN, True),
)


class Request:
    """One request: its core, and what the endpoints executed.

    `open_attempts` maps attempts to whether the endpoint already ran them.
    """

    def __init__(self, core):
        self.core = core
        self.open_attempts = {}
        self.run_count, self.start_count = 0, 0
        self.final = None


class ForwardMachine(RuleBasedStateMachine):
    """Requests that share three endpoints and one retry budget."""

    core_class = ForwardCore
    budget_class = RetryBudget

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.budget = self.budget_class()
        self.endpoints = {"e1", "e2", "e3"}
        # All requests, the number of their repeats, and that of the requests.
        self.requests, self.repeat_count, self.count = [], 0, 0

    def choose(self, excluded):
        return min(self.endpoints - excluded, default=None)

    def feed(self, request, event):
        actions = request.core.handle(event, self.now_s)
        assert len(actions) <= 1
        for action in actions:
            if isinstance(action, StartAttempt):
                self.on_start(request, action)
            else:
                self.on_final(request, action)

    def on_start(self, request, action):
        plan = request.core.plan
        assert self.now_s < plan.deadline_s
        assert request.final is None
        if not plan.idempotent:
            assert not request.run_count, "sent again though it ran"
            assert not request.open_attempts, "sent twice concurrently"
            assert action.fresh, "sent over an existing connection"
        request.start_count += 1
        request.open_attempts[action.attempt] = False
        self.repeat_count += request.start_count > 1
        if request.start_count > 1:
            assert action.fresh

    def on_final(self, request, action):
        assert request.final is None
        request.final = action
        if isinstance(action, DeliverResponse):
            return
        assert isinstance(action, FailRequest)
        if action.ran is ExecutionStatus.NOT_RUN:
            assert not request.run_count, "refused as not run though it ran"
            assert not any(request.open_attempts.values())
            assert action.retry_after_s

    @rule(
        idempotent=st.booleans(),
        hedge_after_s=st.sampled_from([0.0, 0.5]),
        time_left_s=st.sampled_from([0.0, 0.4, 2.0, 2.0]),
        burst=st.sampled_from([1, 3, 12]),
        outcome=st.sampled_from([None, None, "answer", *FAILURES]),
    )
    def send(self, idempotent, hedge_after_s, time_left_s, burst, outcome):
        """Callers send requests; an `outcome` ends all their first attempts."""
        plan = ForwardPlan(
            idempotent=idempotent,
            deadline_s=self.now_s + time_left_s,
            hedge_after_s=hedge_after_s,
        )
        for _ in range(burst):
            self.count += 1
            request = Request(self.core_class(plan, self.choose, self.budget))
            self.requests.append(request)
            self.feed(request, ForwardStarted())
            if outcome and 1 in request.open_attempts:
                self.end(request, 1, outcome)

    def end(self, request, attempt, outcome):
        if outcome != "answer":
            self.fail(request, attempt, *outcome)
            return
        del request.open_attempts[attempt]
        request.run_count += 1
        self.feed(request, AttemptCompleted(attempt))
        assert request.final == DeliverResponse(attempt)

    def fail(self, request, attempt, ran, did_run):
        del request.open_attempts[attempt]
        request.run_count += did_run
        failed = AttemptFailed(attempt=attempt, ran=ran)
        self.feed(request, failed)

    @rule(data=st.data(), outcome=st.sampled_from(["answer", *FAILURES]))
    def end_attempt(self, data, outcome):
        waiting = [
            r for r in self.requests if r.open_attempts and r.final is None
        ]
        if not waiting:
            return
        request = data.draw(st.sampled_from(waiting))
        attempt = data.draw(st.sampled_from(sorted(request.open_attempts)))
        self.end(request, attempt, outcome)

    @rule(data=st.data())
    def run_without_response(self, data):
        """An endpoint runs a request, whose response is not yet received."""
        waiting = [
            r for r in self.requests if r.open_attempts and r.final is None
        ]
        if waiting:
            request = data.draw(st.sampled_from(waiting))
            request.open_attempts[max(request.open_attempts)] = True

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5]))
    def pass_time(self, seconds):
        """Time passes; each core gets a tick at its wake-up time."""
        self.now_s += seconds
        for request in self.requests:
            wakeup_s = request.core.next_wakeup_s
            if wakeup_s is not None and wakeup_s <= self.now_s:
                self.feed(request, ForwardTick())

    @rule(endpoints=st.sets(st.sampled_from(["e1", "e2", "e3"])))
    def change_endpoints(self, endpoints):
        self.endpoints = endpoints

    @invariant()
    def repeats_stay_within_the_budget(self):
        if hasattr(self, "count"):
            assert self.repeat_count <= RETRY_RESERVE + RETRY_SHARE * self.count

    @invariant()
    def no_request_outlives_its_deadline(self):
        for request in getattr(self, "requests", ()):
            if self.now_s > request.core.plan.deadline_s:
                assert request.final is not None


class RetriesUnknown(ForwardCore):
    """Broken: an unknown outcome counts as not run."""

    def _on_failed(self, event, now_s):
        if event.ran is ExecutionStatus.UNKNOWN:
            event = AttemptFailed(
                attempt=event.attempt, ran=ExecutionStatus.NOT_RUN
            )
        return super()._on_failed(event, now_s)


class HedgesAll(ForwardCore):
    """Broken: hedges requests that may run only once."""

    def _on_started(self, now_s):
        actions = super()._on_started(now_s)
        self._hedge_at_s = now_s + 0.5
        return actions


class IgnoresOpenAttempts(ForwardCore):
    """Broken: at the deadline, open attempts count as not run."""

    def _on_tick(self, now_s):
        if now_s >= self.plan.deadline_s:
            return [self._fail_request(ErrorCode.ENDPOINT_TIMEOUT)]
        return super()._on_tick(now_s)


class IgnoresDeadline(ForwardCore):
    """Broken: waits for responses beyond the deadline."""

    @property
    def next_wakeup_s(self):
        return self._hedge_at_s if self._open_attempts else None


class UnlimitedBudget(RetryBudget):
    """Broken: every retry is allowed."""

    def try_acquire(self):
        return True


class ForwardProof(unittest.TestCase):
    def test_repeats_refusals_and_deadlines(self):
        run_proof(ForwardMachine, examples=150)

    def test_the_machine_catches_broken_forwarding(self):
        for broken in (
            {"core_class": RetriesUnknown},
            {"core_class": HedgesAll},
            {"core_class": IgnoresOpenAttempts},
            {"core_class": IgnoresDeadline},
            {"budget_class": UnlimitedBudget},
        ):
            with self.subTest(str(broken)):
                machine = type("Machine", (ForwardMachine,), broken)
                self.assertIsInstance(find_failure(machine), AssertionError)
