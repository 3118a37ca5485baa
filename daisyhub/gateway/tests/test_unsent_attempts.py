"""Attempts that reached no endpoint don't count against a request's maximum."""

import unittest

from daisyhub.exceptions import ErrorCode, ExecutionStatus
from daisyhub.filters import (
    AttemptFailed,
    FailRequest,
    ForwardCore,
    ForwardPlan,
    ForwardStarted,
    RetryBudget,
    StartAttempt,
)


def make_core(endpoints, max_attempts, budget=None):
    def choose(excluded):
        return next((e for e in endpoints if e not in excluded), None)

    plan = ForwardPlan(
        idempotent=True, deadline_s=10.0, max_attempts=max_attempts
    )
    return ForwardCore(plan, choose, budget or RetryBudget())


def unsent_failure(action):
    return AttemptFailed(
        attempt=action.attempt, ran=ExecutionStatus.NOT_RUN, was_sent=False
    )


def withdrawn_failure(action):
    return AttemptFailed(
        attempt=action.attempt,
        ran=ExecutionStatus.NOT_RUN,
        was_sent=False,
        is_withdrawn=True,
    )


def refused_failure(action):
    return AttemptFailed(attempt=action.attempt, ran=ExecutionStatus.NOT_RUN)


class UnsentAttemptsTest(unittest.TestCase):
    def test_the_third_endpoint_is_tried_though_two_attempts_are_allowed(self):
        """Guards against refusals while an endpoint is still reachable.

        A partitioned daemon used up the attempts on unreachable endpoints.
        """
        forward = make_core("abc", 2)
        (action,) = forward.handle(ForwardStarted(), 0.0)
        for expected in "bc":
            (action,) = forward.handle(unsent_failure(action), 0.0)
            self.assertIsInstance(action, StartAttempt)
            self.assertEqual(action.endpoint_id, expected)

    def test_the_request_fails_if_no_endpoint_is_reachable(self):
        """Guards against endless repeats, as unsent attempts don't count."""
        forward = make_core("abc", 5)
        (action,) = forward.handle(ForwardStarted(), 0.0)
        tries = 1
        while isinstance(action, StartAttempt):
            (action,) = forward.handle(unsent_failure(action), 0.0)
            tries += 1
        self.assertIsInstance(action, FailRequest)
        self.assertIs(action.ran, ExecutionStatus.NOT_RUN)
        self.assertLessEqual(tries, 6)

    def test_an_endpoint_that_was_gone_costs_no_attempt(self):
        for gone in ("a", "ab"):
            forward = make_core([*gone, "x"], 2)
            (action,) = forward.handle(ForwardStarted(), 0.0)
            sent_to = []
            while isinstance(action, StartAttempt):
                failure = withdrawn_failure(action)
                if action.endpoint_id == "x":
                    sent_to.append(action.endpoint_id)
                    failure = refused_failure(action)
                (action,) = forward.handle(failure, 0.0)
            self.assertEqual(sent_to, ["x", "x"], gone)

    def test_the_request_fails_if_all_endpoints_are_gone(self):
        forward = make_core("abc", 5)
        (action,) = forward.handle(ForwardStarted(), 0.0)
        for _ in range(2):
            (action,) = forward.handle(withdrawn_failure(action), 0.0)
        (action,) = forward.handle(withdrawn_failure(action), 0.0)
        self.assertIsInstance(action, FailRequest)
        self.assertIs(action.error, ErrorCode.NO_ENDPOINT)

    def test_attempts_that_an_endpoint_refused_count(self):
        forward = make_core("abc", 2)
        (action,) = forward.handle(ForwardStarted(), 0.0)
        (action,) = forward.handle(refused_failure(action), 0.0)
        (action,) = forward.handle(refused_failure(action), 0.0)
        self.assertIsInstance(action, FailRequest)
        self.assertIs(action.error, ErrorCode.ENDPOINT_FAILED)

    def test_unsent_attempts_do_not_use_the_retry_budget(self):
        budget = RetryBudget()
        while budget.try_acquire():
            pass
        forward = make_core("ab", 2, budget)
        (action,) = forward.handle(ForwardStarted(), 0.0)
        (action,) = forward.handle(unsent_failure(action), 0.0)
        self.assertEqual(action.endpoint_id, "b")
