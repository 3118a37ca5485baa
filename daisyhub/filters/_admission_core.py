"""A deterministic core for admission control.

Each account has a token bucket that limits its rate. When the daemon's
concurrency limit is reached, requests wait in one queue for each account and
are admitted by start-time fair queueing over the accounts' weights, so that a
large account can't starve a small one. A request that is not expected to be
admitted by its deadline is refused on arrival. When the queues are full, the
account with the most waiting requests relative to its weight loses its newest
one. An event takes amortized time logarithmic in the number of accounts and of
waiting requests.
"""

import collections
import dataclasses
import math

from daisyhub.base import Core
from daisyhub.exceptions import ErrorCode
from daisyhub.filters._admission_types import (
    AdmissionTick,
    AdmitRequest,
    ConcurrencyLimitChanged,
    RequestAbandoned,
    RequestArrived,
    RequestDeparted,
    ShedRequest,
)
from daisyhub.filters._priority_map import PriorityMap

__all__ = [
    "AdmissionCore",
    "compute_concurrency_limit",
]

# Concurrent requests of all daemons for each request that the endpoints can
# serve at one time.
_CAPACITY_FACTOR = 2
_MIN_CONCURRENCY_LIMIT = 2
# Waiting requests allowed for each unit of the concurrency limit.
_QUEUED_PER_SLOT = 2
# Mean service time assumed before the first measurement.
_INITIAL_SERVICE_TIME_S = 0.05
# Weight of a new sample in the exponential moving average.
_SERVICE_TIME_SMOOTHING = 0.05
_MIN_RETRY_DELAY_S = 0.1
_MIN_TOKENS = 1 - 1e-10  # Tolerates rounding errors of a full token.
# An arrival adds at most one account. With two checks for each arrival, idle
# accounts are removed faster than new ones are added.
_IDLE_CHECKS_PER_ARRIVAL = 2


@dataclasses.dataclass(slots=True)
class _Account:
    """State of one account.

    Attributes:
        name: The account.
        weight: Fair-queueing weight, as of the last arrival.
        rate: Tokens per second, as of the last arrival; 0 for no limit.
        burst: Maximum number of tokens, as of the last arrival.
        tokens: Tokens available at `refilled_s`.
        refilled_s: Time of the last refill.
        finish_tag: Virtual finish time of the last request admitted from the
            queue.
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
        """Adds the tokens accrued since the last refill."""
        gained = (now_s - self.refilled_s) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.refilled_s = now_s

    def take_token(self) -> None:
        """Takes the token for one request, unless the rate is unlimited."""
        if self.rate > 0:
            self.tokens -= 1


class AdmissionCore(Core):
    """Decides which requests are admitted, wait or are refused.

    Times are seconds on a monotonic clock.

    Args:
        max_concurrency: Maximum number of requests in service at one time. A
            `ConcurrencyLimitChanged` sets a limit at or below it.
    """

    def __init__(self, max_concurrency: int):
        self.max_concurrency = max_concurrency
        self._concurrency_limit = max_concurrency
        self._accounts: dict[str, _Account] = {}
        # Names of all accounts, in the order of their next idle check.
        self._idle_checks: collections.deque[str] = collections.deque()
        self._in_service: set[str] = set()
        # Accounts of the waiting requests by request id, and the total weight
        # of the accounts that have any.
        self._waiting: dict[str, _Account] = {}
        self._waiting_weight = 0
        # By account: the virtual start time of its oldest waiting request, and
        # minus the number of its waiting requests divided by its weight.
        self._start_tags = PriorityMap()
        self._overload = PriorityMap()
        # By request id.
        self._deadlines = PriorityMap()
        self._virtual_time = 0.0
        self._last_finish_tag = 0.0
        self._mean_service_time_s = _INITIAL_SERVICE_TIME_S

    @property
    def next_wakeup_s(self) -> float | None:
        """Earliest deadline of a waiting request; None if none waits."""
        first = self._deadlines.first()
        return first[0] if first else None

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def account_count(self) -> int:
        """Number of accounts with state in the core."""
        return len(self._accounts)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event, after refusing requests past their deadline.

        Returns:
            An `AdmitRequest` or `ShedRequest` for each request decided on.
        """
        actions = self._shed_expired(now_s)
        match event:
            case RequestArrived():
                return actions + self._on_arrived(event, now_s)
            case RequestDeparted():
                return actions + self._on_departed(event)
            case RequestAbandoned():
                self._remove_waiting(event.request_id)
                return actions
            case ConcurrencyLimitChanged():
                self._concurrency_limit = min(
                    event.concurrency_limit, self.max_concurrency
                )
                return actions + self._admit_waiting()
            case AdmissionTick():
                return actions
        raise TypeError(f"not an admission event: {event!r}")

    def _on_arrived(self, event: RequestArrived, now_s: float) -> list[object]:
        self._evict_idle_accounts(now_s)
        account = self._get_account(event, now_s)
        if event.rate > 0 and account.tokens < _MIN_TOKENS:
            refill_wait_s = (1 - account.tokens) / event.rate
            return [_make_shed(event, ErrorCode.RATE_LIMITED, refill_wait_s)]
        if (
            len(self._in_service) < self._concurrency_limit
            and not self._waiting
        ):
            account.take_token()
            return [self._admit(event.request_id)]
        if event.deadline_s - now_s < self._expected_wait_s(account):
            return [self._make_overloaded_shed(event, account)]
        account.take_token()
        self._enqueue(account, event)
        if len(self._waiting) <= self._concurrency_limit * _QUEUED_PER_SLOT:
            return []
        return [self._shed_most_overloaded()]

    def _get_account(self, event: RequestArrived, now_s: float) -> _Account:
        """Returns the account of an arrival, refilled, with updated limits."""
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
        self._update_overload(account)

    def _expected_wait_s(self, account: _Account) -> float:
        """Returns the expected wait of a new request in fair order, in seconds.

        For each turn of the account, the other accounts that have waiting
        requests get turns in proportion to their weights. The wait is at most
        that for all waiting requests.
        """
        others = self._waiting_weight
        if account.queue:
            others -= account.weight
        own_turns = len(account.queue) + 1
        fair_turns = own_turns * (1 + others / account.weight)
        turns = min(fair_turns, len(self._waiting) + 1)
        return turns * self._mean_service_time_s / self._concurrency_limit

    def _make_overloaded_shed(
        self, event: RequestArrived, account: _Account
    ) -> ShedRequest:
        wait_s = self._mean_service_time_s + self._expected_wait_s(account)
        return _make_shed(event, ErrorCode.OVERLOADED, wait_s)

    def _enqueue(self, account: _Account, event: RequestArrived) -> None:
        if not account.queue:
            self._waiting_weight += account.weight
            start_tag = max(self._virtual_time, account.finish_tag)
            self._start_tags.set(account.name, start_tag)
        account.queue[event.request_id] = event
        self._waiting[event.request_id] = account
        self._deadlines.set(event.request_id, event.deadline_s)
        self._update_overload(account)

    def _remove_waiting(self, request_id: str) -> RequestArrived | None:
        account = self._waiting.pop(request_id, None)
        if account is None:
            return None
        event = account.queue.pop(request_id)
        self._deadlines.discard(request_id)
        if not account.queue:
            self._waiting_weight -= account.weight
            self._start_tags.discard(account.name)
        self._update_overload(account)
        if not self._waiting:
            # Fairness applies only among waiting requests. Moving virtual time
            # past all finish tags drops the history when the queues are empty.
            self._virtual_time = self._last_finish_tag
        return event

    def _update_overload(self, account: _Account) -> None:
        if not account.queue:
            self._overload.discard(account.name)
            return
        waiting_by_weight = len(account.queue) / account.weight
        self._overload.set(account.name, -waiting_by_weight)

    def _shed_most_overloaded(self) -> ShedRequest:
        """Refuses the newest request of the account furthest over its share."""
        account = self._accounts[self._overload.first()[1]]
        return self._shed_waiting(next(reversed(account.queue)))

    def _shed_waiting(self, request_id: str) -> ShedRequest:
        """Refuses a waiting request and returns its token to the bucket."""
        account = self._waiting[request_id]
        event = self._remove_waiting(request_id)
        account.tokens = min(account.burst, account.tokens + 1)
        return self._make_overloaded_shed(event, account)

    def _shed_expired(self, now_s: float) -> list[object]:
        actions = []
        while (first := self._deadlines.first()) and first[0] <= now_s:
            actions.append(self._shed_waiting(first[1]))
        return actions

    def _admit(self, request_id: str) -> AdmitRequest:
        self._in_service.add(request_id)
        return AdmitRequest(request_id)

    def _on_departed(self, event: RequestDeparted) -> list[object]:
        if event.request_id not in self._in_service:
            return []
        self._in_service.remove(event.request_id)
        self._mean_service_time_s += _SERVICE_TIME_SMOOTHING * (
            event.service_s - self._mean_service_time_s
        )
        return self._admit_waiting()

    def _admit_waiting(self) -> list[object]:
        actions = []
        while self._waiting and len(self._in_service) < self._concurrency_limit:
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

    def _evict_idle_accounts(self, now_s: float) -> None:
        """Checks a few accounts and removes those whose state is redundant.

        An account whose bucket is full, whose finish tag has passed and which
        has no waiting request would be recreated with equal state.
        """
        for _ in range(min(_IDLE_CHECKS_PER_ARRIVAL, len(self._idle_checks))):
            name = self._idle_checks.popleft()
            account = self._accounts[name]
            account.refill(now_s)
            has_full_bucket = (
                account.rate <= 0 or account.tokens >= account.burst
            )
            has_finished = account.finish_tag <= self._virtual_time
            if has_full_bucket and has_finished and not account.queue:
                del self._accounts[name]
                continue
            self._idle_checks.append(name)


def _make_shed(
    event: RequestArrived, error: ErrorCode, wait_s: float
) -> ShedRequest:
    return ShedRequest(event.request_id, error, max(_MIN_RETRY_DELAY_S, wait_s))


def compute_concurrency_limit(
    capacity: int | None, daemon_count: int, max_limit: int
) -> int:
    """Returns the maximum number of requests in service in one daemon.

    A limit far above the capacity of the endpoints would move the queues into
    the endpoints, which serve in order of arrival and ignore account weights.

    Args:
        capacity: Total number of requests that the endpoints can serve at one
            time; None if not all endpoints report it.
        daemon_count: Number of live daemons that share the endpoints.
        max_limit: Upper bound on the limit of one daemon.
    """
    if capacity is None:
        return max_limit
    share = math.ceil(capacity * _CAPACITY_FACTOR / max(1, daemon_count))
    return min(max_limit, max(_MIN_CONCURRENCY_LIMIT, share))
