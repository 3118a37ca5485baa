"""Endpoints that can't be reached cost none of a request's attempts."""

import unittest

from daisyhub.exceptions import ErrorCode, Ran
from daisyhub.filters import (
    AttemptFailed,
    FailRequest,
    ForwardCore,
    ForwardPlan,
    ForwardStarted,
    RetryBudget,
    StartAttempt,
)


def core(endpoints, max_attempts, budget=None):
    def choose(excluded):
        return next((e for e in endpoints if e not in excluded), None)

    plan = ForwardPlan(
        idempotent=True, deadline_s=10.0, max_attempts=max_attempts
    )
    return ForwardCore(plan, choose, budget or RetryBudget())


def unsent(action):
    return AttemptFailed(
        attempt=action.attempt, ran=Ran.NOT_RUN, was_sent=False
    )


def refused(action):
    return AttemptFailed(attempt=action.attempt, ran=Ran.NOT_RUN)


class UnsentAttempts(unittest.TestCase):
    def test_the_third_endpoint_is_tried_though_two_attempts_are_allowed(self):
        """Cut off, a daemon refused with a good endpoint beside it."""
        forward = core("abc", 2)
        (action,) = forward.handle(ForwardStarted(), 0.0)
        for expected in "bc":
            (action,) = forward.handle(unsent(action), 0.0)
            self.assertIsInstance(action, StartAttempt)
            self.assertEqual(action.endpoint_id, expected)

    def test_it_ends_when_no_endpoint_can_be_reached(self):
        forward = core("abc", 5)
        (action,) = forward.handle(ForwardStarted(), 0.0)
        tries = 1
        while isinstance(action, StartAttempt):
            (action,) = forward.handle(unsent(action), 0.0)
            tries += 1
        self.assertIsInstance(action, FailRequest)
        self.assertIs(action.ran, Ran.NOT_RUN)
        self.assertLessEqual(tries, 6)

    def test_endpoints_that_refused_count_as_attempts(self):
        forward = core("abc", 2)
        (action,) = forward.handle(ForwardStarted(), 0.0)
        (action,) = forward.handle(refused(action), 0.0)
        (action,) = forward.handle(refused(action), 0.0)
        self.assertIsInstance(action, FailRequest)
        self.assertIs(action.error, ErrorCode.ENDPOINT_FAILED)

    def test_they_take_nothing_from_the_budget(self):
        budget = RetryBudget()
        while budget.try_acquire():
            pass
        forward = core("ab", 2, budget)
        (action,) = forward.handle(ForwardStarted(), 0.0)
        (action,) = forward.handle(unsent(action), 0.0)
        self.assertEqual(action.endpoint_id, "b")
