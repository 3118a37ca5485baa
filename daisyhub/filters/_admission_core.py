"""Admission decided by a deterministic core.

Each account has a token bucket for its rate. Under contention for the
daemon's places, requests wait in one queue for each account and are admitted
by start-time fair queueing over the accounts' weights, so that a large
account can't starve a small one. What can't be served in time is refused at
once.
"""

import collections
import dataclasses

from daisyhub.base import Core
from daisyhub.exceptions import ErrorCode

__all__ = ["AdmissionCore", "Admit", "Arrive", "Depart", "Leave", "Shed"]

_QUEUE_PER_PLACE = 2
_FIRST_SERVICE_S = 0.05
_SERVICE_SMOOTHING = 0.05
_MIN_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrive:
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
class Depart:
    """An admitted request ended after `service_s` seconds."""

    request_id: str
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """A waiting request was given up by its caller."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Action: let the request go on."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """Action: refuse the request now."""

    request_id: str
    error: ErrorCode
    retry_after_s: float


@dataclasses.dataclass(slots=True)
class _Account:
    tokens: float
    refilled_s: float
    finish_tag: float = 0.0
    queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class AdmissionCore(Core):
    """Admits at most `places` requests at one time.

    Args:
        places: Requests in service at one time.
    """

    def __init__(self, places: int):
        self.places = places
        self._accounts: dict[str, _Account] = {}
        self._in_service: set[str] = set()
        self._waiting = 0
        self._virtual_time = 0.0
        self._service_s = _FIRST_SERVICE_S

    @property
    def next_wakeup_s(self) -> float | None:
        """None: deadlines of waiting requests are kept at each event."""
        return None

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return self._waiting

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one admission event; returns `Admit` and `Shed` actions."""
        match event:
            case Arrive():
                return self._on_arrive(event, now_s)
            case Depart():
                return self._on_depart(event, now_s)
            case Leave():
                self._remove_waiting(event.request_id)
                return []
        raise TypeError(f"not an admission event: {event!r}")

    def _on_arrive(self, event: Arrive, now_s: float) -> list[object]:
        account = self._account(event, now_s)
        missing_s = self._take_token(account, event, now_s)
        if missing_s > 0:
            return [_shed(event, ErrorCode.RATE_LIMITED, missing_s)]
        if len(self._in_service) < self.places and not self._waiting:
            return [self._admit(account, event)]
        if event.deadline_s - now_s < self._expected_wait_s(account):
            return [self._overloaded(event)]
        account.queue.append(event)
        self._waiting += 1
        if self._waiting <= self.places * _QUEUE_PER_PLACE:
            return []
        return [self._shed_longest()]

    def _account(self, event: Arrive, now_s: float) -> _Account:
        account = self._accounts.get(event.account)
        if account is None:
            account = _Account(tokens=event.burst, refilled_s=now_s)
            self._accounts[event.account] = account
        return account

    def _take_token(self, account, event: Arrive, now_s: float) -> float:
        """Takes one token; returns the seconds until there is one."""
        if event.rate <= 0:
            return 0.0
        gained = (now_s - account.refilled_s) * event.rate
        account.tokens = min(event.burst, account.tokens + gained)
        account.refilled_s = now_s
        if account.tokens < 1:
            return (1 - account.tokens) / event.rate
        account.tokens -= 1
        return 0.0

    def _expected_wait_s(self, account: _Account) -> float:
        turns = (len(account.queue) + 1) / self.places
        busy_accounts = 1 + sum(
            1
            for other in self._accounts.values()
            if other.queue and other is not account
        )
        return turns * busy_accounts * self._service_s

    def _overloaded(self, event: Arrive) -> Shed:
        wait_s = self._service_s * (1 + self._waiting / self.places)
        return _shed(event, ErrorCode.OVERLOADED, wait_s)

    def _shed_longest(self) -> Shed:
        """Refuses the newest request of the account furthest over share."""
        longest = max(
            (account for account in self._accounts.values() if account.queue),
            key=lambda account: len(account.queue) / account.queue[-1].weight,
        )
        event = longest.queue.pop()
        self._waiting -= 1
        return self._overloaded(event)

    def _admit(self, account: _Account, event: Arrive) -> Admit:
        start = max(self._virtual_time, account.finish_tag)
        self._virtual_time = start
        account.finish_tag = start + 1 / event.weight
        self._in_service.add(event.request_id)
        return Admit(event.request_id)

    def _on_depart(self, event: Depart, now_s: float) -> list[object]:
        if event.request_id not in self._in_service:
            return []
        self._in_service.remove(event.request_id)
        self._service_s += _SERVICE_SMOOTHING * (
            event.service_s - self._service_s
        )
        actions = []
        while self._waiting and len(self._in_service) < self.places:
            account = min(
                (a for a in self._accounts.values() if a.queue),
                key=lambda a: max(self._virtual_time, a.finish_tag),
            )
            waiting = account.queue.popleft()
            self._waiting -= 1
            if waiting.deadline_s <= now_s:
                actions.append(self._overloaded(waiting))
                continue
            actions.append(self._admit(account, waiting))
        return actions

    def _remove_waiting(self, request_id: str) -> None:
        for account in self._accounts.values():
            for event in account.queue:
                if event.request_id == request_id:
                    account.queue.remove(event)
                    self._waiting -= 1
                    return


def _shed(event: Arrive, error: ErrorCode, wait_s: float) -> Shed:
    return Shed(event.request_id, error, max(_MIN_RETRY_S, wait_s))
