"""Forwarding decided by a deterministic core: try, retry, hedge, give up.

A request is sent again only if no byte of it left, the endpoint itself said
that it did not run, or the route is idempotent. Retries and hedges come out
of one budget, a tenth of the traffic and a small reserve. A repeat goes to an
endpoint that was not tried yet, or, if there is none, over a new connection
to one that was: what was open before may have gone silent.
"""

import dataclasses
from collections.abc import Callable

from daisyhub.base import Core
from daisyhub.exceptions import ErrorCode, Ran

__all__ = [
    "AttemptCompleted",
    "AttemptFailed",
    "ForwardStarted",
    "DeliverResponse",
    "ForwardCore",
    "ForwardPlan",
    "ForwardTick",
    "FailRequest",
    "RetryBudget",
    "StartAttempt",
]

_BUDGET_SHARE = 0.1
_BUDGET_RESERVE = 10.0
_MAX_ATTEMPTS = 3
_RETRY_AFTER_S = 1.0
_RANK = {Ran.NOT_RUN: 0, Ran.UNKNOWN: 1, Ran.RAN: 2}
_NONE: frozenset[str] = frozenset()


class RetryBudget:
    """Retries allowed: a tenth of the requests, and a reserve of ten."""

    def __init__(self):
        self._balance = _BUDGET_RESERVE

    def record_request(self) -> None:
        """Counts a first attempt."""
        self._balance = min(_BUDGET_RESERVE, self._balance + _BUDGET_SHARE)

    def try_acquire(self) -> bool:
        """Takes one retry out of the budget, or returns False."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardPlan:
    """What the route and the caller allow.

    Attributes:
        idempotent: Whether the request may run more than once.
        deadline_s: When the answer must be there.
        hedge_after_s: When to send a second attempt; 0 for never.
        max_attempts: Endpoints that it may be sent to.
    """

    idempotent: bool
    deadline_s: float
    hedge_after_s: float = 0.0
    max_attempts: int = _MAX_ATTEMPTS


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardStarted:
    """The request is ready to be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardTick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """An attempt brought no whole answer.

    Attributes:
        attempt: Its number.
        ran: What can be said of the request.
        timed_out: Whether time ran out.
        incomplete: Whether an answer broke off.
        was_sent: Whether the endpoint was reached at all; one that wasn't
            counts neither as an attempt nor against the budget.
    """

    attempt: int
    ran: Ran
    timed_out: bool = False
    incomplete: bool = False
    was_sent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt brought the endpoint's answer."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt:
    """Action: send the request to an endpoint.

    Attributes:
        attempt: Its number, from 1.
        endpoint_id: The endpoint.
        fresh: Whether only a new connection will do.
    """

    attempt: int
    endpoint_id: str
    fresh: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverResponse:
    """Action: hand over this attempt's answer; drop the others."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailRequest:
    """Action: refuse now."""

    error: ErrorCode
    ran: Ran
    retry_after_s: float | None = None


class ForwardCore(Core):
    """Decides about one request.

    Args:
        plan: What is allowed.
        choose: Returns an endpoint's id outside the given set, or None.
        budget: The budget shared by all requests of the daemon.
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
        self._open: set[int] = set()
        self._attempts = 0
        self._unsent = 0
        self._worst = Ran.NOT_RUN
        self._timed_out = False
        self._incomplete = False
        self._hedge_at_s: float | None = None
        self._is_over = False

    @property
    def next_wakeup_s(self) -> float | None:
        """When to hedge or to give up, while an attempt is open."""
        if self._is_over or not self._open:
            return None
        if self._hedge_at_s is None:
            return self.plan.deadline_s
        return min(self._hedge_at_s, self.plan.deadline_s)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one forward event; returns at most one action."""
        if self._is_over:
            return []
        match event:
            case ForwardStarted():
                return self._on_begin(now_s)
            case AttemptCompleted():
                self._is_over = True
                return [DeliverResponse(event.attempt)]
            case AttemptFailed():
                return self._on_failed(event, now_s)
            case ForwardTick():
                return self._on_tick(now_s)
        raise TypeError(f"not a forward event: {event!r}")

    def _on_begin(self, now_s: float) -> list[object]:
        if now_s >= self.plan.deadline_s:
            return [self._give_up(ErrorCode.DEADLINE_EXCEEDED)]
        self.budget.record_request()
        endpoint_id = self.choose(_NONE)
        if endpoint_id is None:
            return [self._give_up(ErrorCode.NO_ENDPOINT)]
        if self.plan.idempotent and self.plan.hedge_after_s > 0:
            self._hedge_at_s = now_s + self.plan.hedge_after_s
        return self._start(endpoint_id, fresh=not self.plan.idempotent)

    def _start(self, endpoint_id: str, *, fresh: bool) -> list[object]:
        self._attempts += 1
        self._tried.add(endpoint_id)
        self._open.add(self._attempts)
        return [StartAttempt(self._attempts, endpoint_id, fresh)]

    def _on_tick(self, now_s: float) -> list[object]:
        if now_s >= self.plan.deadline_s and self._open:
            self._worst = _worse(self._worst, Ran.UNKNOWN)
            return [self._give_up(ErrorCode.ENDPOINT_TIMEOUT)]
        if self._hedge_at_s is None or now_s < self._hedge_at_s:
            return []
        self._hedge_at_s = None
        return self._start_again(now_s)

    def _start_again(
        self, now_s: float, *, is_free: bool = False
    ) -> list[object]:
        """Sends it again, to an endpoint that wasn't tried if there is one.

        Args:
            now_s: The time.
            is_free: Whether the attempt before never reached its endpoint.
        """
        plan = self.plan
        sent = self._attempts - self._unsent
        if sent >= plan.max_attempts or now_s >= plan.deadline_s:
            return []
        candidate = self.choose(frozenset(self._tried))
        if candidate is None and self._attempts < plan.max_attempts:
            candidate = self.choose(_NONE)
        if candidate is None or not (is_free or self.budget.try_acquire()):
            return []
        return self._start(candidate, fresh=True)

    def _on_failed(self, event: AttemptFailed, now_s: float) -> list[object]:
        self._open.discard(event.attempt)
        self._timed_out |= event.timed_out
        self._incomplete |= event.incomplete
        self._worst = _worse(self._worst, event.ran)
        self._unsent += not event.was_sent
        may_repeat = self.plan.idempotent or event.ran is Ran.NOT_RUN
        actions = []
        if may_repeat:
            actions = self._start_again(now_s, is_free=not event.was_sent)
        if actions or self._open:
            return actions
        return [self._give_up(self._error())]

    def _error(self) -> ErrorCode:
        if self._timed_out:
            return ErrorCode.ENDPOINT_TIMEOUT
        if self._incomplete:
            return ErrorCode.ANSWER_INCOMPLETE
        return ErrorCode.ENDPOINT_FAILED

    def _give_up(self, error: ErrorCode) -> FailRequest:
        self._is_over = True
        makes_sense = self.plan.idempotent or self._worst is Ran.NOT_RUN
        return FailRequest(
            error=error,
            ran=self._worst,
            retry_after_s=_RETRY_AFTER_S if makes_sense else None,
        )


def _worse(one: Ran, other: Ran) -> Ran:
    return max(one, other, key=_RANK.__getitem__)
