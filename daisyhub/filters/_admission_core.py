"""Admission decided by a deterministic core.

Each account has a token bucket for its rate. Under contention for the
daemon's places, requests wait in one queue for each account and are admitted
by start-time fair queueing over the accounts' weights, so that a large
account can't starve a small one. What can't be served in time is refused at
once; when the queues are full, the account with the most waiting requests
for its weight loses its newest. An event costs time with the logarithm of
the number of accounts.
"""

import collections
import dataclasses
import math

from daisyhub.base import Core
from daisyhub.exceptions import ErrorCode
from daisyhub.filters._priority_map import PriorityMap

__all__ = [
    "AdmissionCore",
    "AdmissionTick",
    "AdmitRequest",
    "RequestArrived",
    "RequestDeparted",
    "RequestAbandoned",
    "ConcurrencyLimitChanged",
    "ShedRequest",
    "compute_concurrency_limit",
]

_PLACES_PER_CAPACITY = 2
_LEAST_PLACES = 2
_QUEUE_PER_PLACE = 2
_FIRST_SERVICE_S = 0.05
_SERVICE_SMOOTHING = 0.05
_MIN_RETRY_S = 0.1
_WHOLE_TOKEN = 1 - 1e-10  # Rounding must not refuse a whole token.
_IDLE_CHECKS_PER_ARRIVAL = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestArrived:
    """A request arrived.

    Attributes:
        request_id: Unique id.
        account: Its account; empty on open routes.
        weight: Share of the account under contention.
        rate: Sustained requests a second of the account; 0 for no bound.
        burst: Size of the account's bucket.
        deadline_s: When the caller stops waiting.
    """

    request_id: str
    account: str
    weight: int
    rate: float
    burst: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencyLimitChanged:
    """The endpoints can serve more or fewer requests than before."""

    concurrency_limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDeparted:
    """An admitted request ended after `service_s` seconds."""

    request_id: str
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """A waiting request was given up by its caller."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionTick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Action: let the request go on."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShedRequest:
    """Action: refuse the request now."""

    request_id: str
    error: ErrorCode
    retry_after_s: float


@dataclasses.dataclass(slots=True)
class _Account:
    """State of one account.

    Attributes:
        name: The account.
        weight: As of its last arrival.
        rate: Tokens a second, as of its last arrival; 0 for no bound.
        burst: Most tokens, as of its last arrival.
        tokens: Requests that it may send at once.
        refilled_s: When `tokens` held.
        finish_tag: Virtual time when its last admission is paid for.
        queue: Waiting requests by id, oldest first.
    """

    name: str
    weight: int
    rate: float
    burst: int
    tokens: float
    refilled_s: float
    finish_tag: float = 0.0
    queue: collections.OrderedDict[str, RequestArrived] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def refill(self, now_s: float) -> None:
        """Adds the tokens gained since the last refill."""
        gained = (now_s - self.refilled_s) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.refilled_s = now_s

    def take_token(self) -> None:
        """Pays for one request, unless the rate has no bound."""
        if self.rate > 0:
            self.tokens -= 1


class AdmissionCore(Core):
    """Admits at most `places` requests at one time.

    Times are seconds on a monotonic clock.

    Args:
        places: Most requests in service at one time; `ConcurrencyLimitChanged` lowers
            and raises the number below it.
    """

    def __init__(self, concurrency_limit: int):
        self.concurrency_limit = concurrency_limit
        self._open_places = concurrency_limit
        self._accounts: dict[str, _Account] = {}
        self._idle_checks: collections.deque[str] = collections.deque()
        self._in_service: set[str] = set()
        self._waiting: dict[str, _Account] = {}
        self._waiting_weight = 0
        self._start_tags = PriorityMap()
        self._overload = PriorityMap()
        self._deadlines = PriorityMap()
        self._virtual_time = 0.0
        self._last_finish_tag = 0.0
        self._service_s = _FIRST_SERVICE_S

    @property
    def next_wakeup_s(self) -> float | None:
        """The earliest deadline of a waiting request."""
        first = self._deadlines.first()
        return first[0] if first else None

    @property
    def waiting_count(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    @property
    def known_accounts(self) -> int:
        """How many accounts have state here."""
        return len(self._accounts)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one admission event; returns `AdmitRequest` and `ShedRequest` actions."""
        actions = self._shed_expired(now_s)
        match event:
            case RequestArrived():
                return actions + self._on_arrive(event, now_s)
            case RequestDeparted():
                return actions + self._on_depart(event)
            case RequestAbandoned():
                self._remove_waiting(event.request_id)
                return actions
            case ConcurrencyLimitChanged():
                self._open_places = min(
                    event.concurrency_limit, self.concurrency_limit
                )
                return actions + self._admit_waiting()
            case AdmissionTick():
                return actions
        raise TypeError(f"not an admission event: {event!r}")

    def _on_arrive(self, event: RequestArrived, now_s: float) -> list[object]:
        self._forget_idle(now_s)
        account = self._account(event, now_s)
        if event.rate > 0 and account.tokens < _WHOLE_TOKEN:
            missing_s = (1 - account.tokens) / event.rate
            return [_shed(event, ErrorCode.RATE_LIMITED, missing_s)]
        if len(self._in_service) < self._open_places and not self._waiting:
            account.take_token()
            return [self._admit(event.request_id)]
        if event.deadline_s - now_s < self._expected_wait_s(account):
            return [self._overloaded(event, account)]
        account.take_token()
        self._enqueue(account, event)
        if len(self._waiting) <= self._open_places * _QUEUE_PER_PLACE:
            return []
        return [self._shed_most_overloaded()]

    def _account(self, event: RequestArrived, now_s: float) -> _Account:
        """Returns the account, refilled, with the newest limits."""
        account = self._accounts.get(event.account)
        if account is None:
            account = _Account(
                name=event.account,
                weight=event.weight,
                rate=event.rate,
                burst=event.burst,
                tokens=event.burst,
                refilled_s=now_s,
            )
            self._accounts[event.account] = account
            self._idle_checks.append(event.account)
        account.refill(now_s)
        if account.weight != event.weight:
            self._change_weight(account, event.weight)
        account.rate = event.rate
        account.burst = event.burst
        account.tokens = min(account.tokens, event.burst)
        return account

    def _change_weight(self, account: _Account, weight: int) -> None:
        if account.queue:
            self._waiting_weight += weight - account.weight
        account.weight = weight
        self._note_overload(account)

    def _expected_wait_s(self, account: _Account) -> float:
        """Returns the wait for a new request's turn by the fair order."""
        others = self._waiting_weight
        if account.queue:
            others -= account.weight
        own_turns = len(account.queue) + 1
        fair_turns = own_turns * (1 + others / account.weight)
        turns = min(fair_turns, len(self._waiting) + 1)
        return turns * self._service_s / self._open_places

    def _overloaded(
        self, event: RequestArrived, account: _Account
    ) -> ShedRequest:
        wait_s = self._service_s + self._expected_wait_s(account)
        return _shed(event, ErrorCode.OVERLOADED, wait_s)

    def _enqueue(self, account: _Account, event: RequestArrived) -> None:
        if not account.queue:
            self._waiting_weight += account.weight
            start_tag = max(self._virtual_time, account.finish_tag)
            self._start_tags.set(account.name, start_tag)
        account.queue[event.request_id] = event
        self._waiting[event.request_id] = account
        self._deadlines.set(event.request_id, event.deadline_s)
        self._note_overload(account)

    def _remove_waiting(self, request_id: str) -> RequestArrived | None:
        account = self._waiting.pop(request_id, None)
        if account is None:
            return None
        event = account.queue.pop(request_id)
        self._deadlines.discard(request_id)
        if not account.queue:
            self._waiting_weight -= account.weight
            self._start_tags.discard(account.name)
        self._note_overload(account)
        if not self._waiting:
            # Shares count while requests wait; the past is forgotten.
            self._virtual_time = self._last_finish_tag
        return event

    def _note_overload(self, account: _Account) -> None:
        if not account.queue:
            self._overload.discard(account.name)
            return
        waiting_by_weight = len(account.queue) / account.weight
        self._overload.set(account.name, -waiting_by_weight)

    def _shed_most_overloaded(self) -> ShedRequest:
        """Refuses the newest request of the account furthest over share."""
        account = self._accounts[self._overload.first()[1]]
        return self._shed_waiting(next(reversed(account.queue)))

    def _shed_waiting(self, request_id: str) -> ShedRequest:
        """Refuses a waiting request and gives its token back."""
        account = self._waiting[request_id]
        event = self._remove_waiting(request_id)
        account.tokens = min(account.burst, account.tokens + 1)
        return self._overloaded(event, account)

    def _shed_expired(self, now_s: float) -> list[object]:
        actions = []
        while (first := self._deadlines.first()) and first[0] <= now_s:
            actions.append(self._shed_waiting(first[1]))
        return actions

    def _admit(self, request_id: str) -> AdmitRequest:
        self._in_service.add(request_id)
        return AdmitRequest(request_id)

    def _on_depart(self, event: RequestDeparted) -> list[object]:
        if event.request_id not in self._in_service:
            return []
        self._in_service.remove(event.request_id)
        self._service_s += _SERVICE_SMOOTHING * (
            event.service_s - self._service_s
        )
        return self._admit_waiting()

    def _admit_waiting(self) -> list[object]:
        actions = []
        while self._waiting and len(self._in_service) < self._open_places:
            actions.append(self._admit_next())
        return actions

    def _admit_next(self) -> AdmitRequest:
        start_tag, name = self._start_tags.first()
        account = self._accounts[name]
        request_id = next(iter(account.queue))
        self._virtual_time = max(self._virtual_time, start_tag)
        account.finish_tag = start_tag + 1 / account.weight
        self._start_tags.set(name, account.finish_tag)
        self._last_finish_tag = max(self._last_finish_tag, account.finish_tag)
        self._remove_waiting(request_id)
        return self._admit(request_id)

    def _forget_idle(self, now_s: float) -> None:
        """Looks at a few accounts, and forgets those that lose nothing."""
        for _ in range(min(_IDLE_CHECKS_PER_ARRIVAL, len(self._idle_checks))):
            name = self._idle_checks.popleft()
            account = self._accounts[name]
            account.refill(now_s)
            is_full = account.rate <= 0 or account.tokens >= account.burst
            is_paid = account.finish_tag <= self._virtual_time
            if is_full and is_paid and not account.queue:
                del self._accounts[name]
                continue
            self._idle_checks.append(name)


def _shed(
    event: RequestArrived, error: ErrorCode, wait_s: float
) -> ShedRequest:
    return ShedRequest(event.request_id, error, max(_MIN_RETRY_S, wait_s))


def compute_concurrency_limit(
    capacity: int | None, daemons: int, most: int
) -> int:
    """Returns how many requests one daemon should have in service.

    With more places than the endpoints work on at one time, queues form in
    the endpoints, in order of arrival, where no account's weight counts.

    Args:
        capacity: Requests that the endpoints serve at one time in all; None
            if not all of them tell it.
        daemons: Live daemons that share the endpoints.
        most: The daemon's own bound.
    """
    if capacity is None:
        return most
    share = math.ceil(capacity * _PLACES_PER_CAPACITY / max(1, daemons))
    return min(most, max(_LEAST_PLACES, share))
