"""A deterministic core that decides on attempts, retries and hedging.

A request is sent again only if no byte of it was sent, the endpoint reported
that it did not run, or the route is idempotent. Retries and hedged attempts
share one budget: a tenth of the requests and a small reserve. A repeat goes to
an endpoint that has not been tried, or, if there is none, to one that has. It
always uses a new connection, since open connections may no longer respond. The
first attempt of a request that may run only once uses a new connection, too.
"""

import dataclasses
from collections.abc import Callable

from daisyhub.base import Core
from daisyhub.exceptions import ErrorCode, ExecutionStatus

__all__ = [
    "AttemptCompleted",
    "AttemptFailed",
    "DeliverResponse",
    "FailRequest",
    "ForwardCore",
    "ForwardPlan",
    "ForwardStarted",
    "ForwardTick",
    "RetryBudget",
    "StartAttempt",
]

# Repeats that each request adds to the budget, and its initial and maximum
# balance.
_BUDGET_SHARE = 0.1
_BUDGET_RESERVE = 10.0
_MAX_ATTEMPTS = 3
_RETRY_DELAY_S = 1.0
# Of several outcomes, the caller must assume the one of the highest rank.
_RAN_RANK = {
    ExecutionStatus.NOT_RUN: 0,
    ExecutionStatus.UNKNOWN: 1,
    ExecutionStatus.RAN: 2,
}
_NO_EXCLUSIONS: frozenset[str] = frozenset()


class RetryBudget:
    """Limits repeats to a tenth of the requests, with a reserve of ten.

    Repeats are retries and hedged attempts.
    """

    def __init__(self):
        self._balance = _BUDGET_RESERVE

    def record_request(self) -> None:
        """Adds the share of a new request to the budget."""
        self._balance = min(_BUDGET_RESERVE, self._balance + _BUDGET_SHARE)

    def try_acquire(self) -> bool:
        """Takes one repeat out of the budget; returns False if it is empty."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardPlan:
    """How a request may be forwarded, set by its route and caller.

    Attributes:
        idempotent: Whether the request may run more than once.
        deadline_s: Monotonic time by which the response must be received.
        hedge_after_s: Seconds after which to send a second attempt; 0 for no
            hedging.
        max_attempts: Maximum number of attempts that reach an endpoint.
    """

    idempotent: bool
    deadline_s: float
    hedge_after_s: float = 0.0
    max_attempts: int = _MAX_ATTEMPTS


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardStarted:
    """Forwarding of the request has started."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardTick:
    """The wake-up time of the core has passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """An attempt ended without a complete response.

    Attributes:
        attempt: Number of the attempt.
        ran: Whether the endpoint executed the request.
        timed_out: Whether the attempt timed out.
        incomplete: Whether the response was incomplete.
        was_sent: Whether the request reached the endpoint. If not, the attempt
            is not counted, and its repeat is not charged to the budget.
        is_withdrawn: Whether nothing was sent because the endpoint had become
            unknown or leaving since it was chosen.
    """

    attempt: int
    ran: ExecutionStatus
    timed_out: bool = False
    incomplete: bool = False
    was_sent: bool = True
    is_withdrawn: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt received a response, or the head of a streamed one."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt:
    """Action: send the request to an endpoint.

    Attributes:
        attempt: Number of the attempt, from 1.
        endpoint_id: Id of the endpoint.
        fresh: Whether a new connection is requested; see the module's
            docstring.
    """

    attempt: int
    endpoint_id: str
    fresh: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverResponse:
    """Action: deliver this attempt's response; cancel the other attempts."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailRequest:
    """Action: refuse the request.

    Attributes:
        error: The error code.
        ran: Whether an endpoint executed the request in any attempt.
        retry_after_s: Seconds after which to retry; None if a retry might run
            the request twice.
    """

    error: ErrorCode
    ran: ExecutionStatus
    retry_after_s: float | None = None


class ForwardCore(Core):
    """Decides on the attempts of one request.

    Times are seconds on a monotonic clock.

    Args:
        plan: How the request may be forwarded.
        choose: Returns the id of an endpoint outside the given set, or None.
        budget: Retry budget shared by all requests of the daemon.
    """

    def __init__(
        self,
        plan: ForwardPlan,
        choose: Callable[[frozenset[str]], str | None],
        budget: RetryBudget,
    ):
        self.plan = plan
        self.choose = choose
        self.budget = budget
        self._tried: set[str] = set()
        self._open_attempts: set[int] = set()
        self._attempt_count = 0
        self._unsent_count = 0
        # Endpoints by attempt, and those that were gone when their turn came.
        self._endpoint_ids: dict[int, str] = {}
        self._withdrawn: set[str] = set()
        self._withdrawn_count = 0
        # The outcome of the failed attempts that the caller must assume.
        self._ran = ExecutionStatus.NOT_RUN
        self._timed_out = False
        self._incomplete = False
        self._hedge_at_s: float | None = None
        self._is_finished = False

    @property
    def next_wakeup_s(self) -> float | None:
        """When to hedge or to time out; None without an open attempt."""
        if self._is_finished or not self._open_attempts:
            return None
        if self._hedge_at_s is None:
            return self.plan.deadline_s
        return min(self._hedge_at_s, self.plan.deadline_s)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one forwarding event; returns at most one action."""
        if self._is_finished:
            return []
        match event:
            case ForwardStarted():
                return self._on_started(now_s)
            case AttemptCompleted():
                self._is_finished = True
                return [DeliverResponse(event.attempt)]
            case AttemptFailed():
                return self._on_failed(event, now_s)
            case ForwardTick():
                return self._on_tick(now_s)
        raise TypeError(f"not a forwarding event: {event!r}")

    def _on_started(self, now_s: float) -> list[object]:
        if now_s >= self.plan.deadline_s:
            return [self._fail_request(ErrorCode.DEADLINE_EXCEEDED)]
        self.budget.record_request()
        endpoint_id = self.choose(_NO_EXCLUSIONS)
        if endpoint_id is None:
            return [self._fail_request(ErrorCode.NO_ENDPOINT)]
        if self.plan.idempotent and self.plan.hedge_after_s > 0:
            self._hedge_at_s = now_s + self.plan.hedge_after_s
        return self._start(endpoint_id, fresh=not self.plan.idempotent)

    def _start(self, endpoint_id: str, *, fresh: bool) -> list[object]:
        self._attempt_count += 1
        self._tried.add(endpoint_id)
        self._open_attempts.add(self._attempt_count)
        self._endpoint_ids[self._attempt_count] = endpoint_id
        return [StartAttempt(self._attempt_count, endpoint_id, fresh)]

    def _on_tick(self, now_s: float) -> list[object]:
        if now_s >= self.plan.deadline_s and self._open_attempts:
            self._ran = _max_ran(self._ran, ExecutionStatus.UNKNOWN)
            return [self._fail_request(ErrorCode.ENDPOINT_TIMEOUT)]
        if self._hedge_at_s is None or now_s < self._hedge_at_s:
            return []
        self._hedge_at_s = None
        return self._start_repeat(now_s)

    def _start_repeat(
        self, now_s: float, *, is_uncharged: bool = False
    ) -> list[object]:
        """Starts a repeat, on an endpoint not yet tried if there is one.

        Returns no action if attempts, time, endpoints or the budget are used
        up.

        Args:
            now_s: The current time.
            is_uncharged: Whether the repeat does not count against the budget,
                since the previous attempt did not reach its endpoint.
        """
        plan = self.plan
        sent_count = self._attempt_count - self._unsent_count
        if sent_count >= plan.max_attempts or now_s >= plan.deadline_s:
            return []
        candidate = self.choose(frozenset(self._tried))
        # Unsent attempts count here, so that repeats to endpoints that can't be
        # reached end. Endpoints that were gone don't; they aren't chosen again.
        known_count = self._attempt_count - self._withdrawn_count
        if candidate is None and known_count < plan.max_attempts:
            candidate = self.choose(frozenset(self._withdrawn))
        if candidate is None or not (is_uncharged or self.budget.try_acquire()):
            return []
        return self._start(candidate, fresh=True)

    def _on_failed(self, event: AttemptFailed, now_s: float) -> list[object]:
        self._open_attempts.discard(event.attempt)
        self._timed_out |= event.timed_out
        self._incomplete |= event.incomplete
        self._ran = _max_ran(self._ran, event.ran)
        self._unsent_count += not event.was_sent
        if event.is_withdrawn:
            self._withdrawn_count += 1
            self._withdrawn.add(self._endpoint_ids[event.attempt])
        can_repeat = (
            self.plan.idempotent or event.ran is ExecutionStatus.NOT_RUN
        )
        actions = []
        if can_repeat:
            actions = self._start_repeat(now_s, is_uncharged=not event.was_sent)
        if actions or self._open_attempts:
            return actions
        return [self._fail_request(self._select_error())]

    def _select_error(self) -> ErrorCode:
        if self._timed_out:
            return ErrorCode.ENDPOINT_TIMEOUT
        if self._incomplete:
            return ErrorCode.ANSWER_INCOMPLETE
        if self._withdrawn_count == self._attempt_count:
            return ErrorCode.NO_ENDPOINT
        return ErrorCode.ENDPOINT_FAILED

    def _fail_request(self, error: ErrorCode) -> FailRequest:
        self._is_finished = True
        is_retry_safe = (
            self.plan.idempotent or self._ran is ExecutionStatus.NOT_RUN
        )
        return FailRequest(
            error=error,
            ran=self._ran,
            retry_after_s=_RETRY_DELAY_S if is_retry_safe else None,
        )


def _max_ran(one: ExecutionStatus, other: ExecutionStatus) -> ExecutionStatus:
    return max(one, other, key=_RAN_RANK.__getitem__)
