"""Rolls out the newest weights to the engines of one failure domain.

The core decides when to order which engine to load which version. It doesn't
know the fencing number: the caller reads it from the lease immediately before
sending an order. If the lease doesn't last for the order's extra margin, there
is no number and the order isn't sent. Times are seconds on any monotonic clock.
"""

import dataclasses

from daisyhub.base import Core

__all__ = [
    "EngineView",
    "EnginesListed",
    "OrderCompleted",
    "OrderFailed",
    "OrderNotSent",
    "RolloutPolicy",
    "SendOrder",
    "VersionPublished",
    "WeightCore",
    "WeightTick",
]

_MIN_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 8.0
_MAX_DOUBLINGS = 4  # reaches the maximum delay


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutPolicy:
    """How weights are rolled out to a pool's engines.

    Attributes:
        max_concurrent_loads: Maximum number of engines that load at once.
        checks_fencing: Whether the engines reject old fencing numbers.
    """

    max_concurrent_loads: int
    checks_fencing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """Last known state of an engine that may receive orders."""

    endpoint_id: str
    pool: str
    incarnation: int
    weight_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightTick:
    """Time has passed; `has_lease` tells whether the lease is held."""

    has_lease: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VersionPublished:
    """A trainer published a weight version for a pool."""

    pool: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesListed:
    """All usable engines, and the rollout policies by pool."""

    engines: tuple[EngineView, ...]
    policies: dict[str, RolloutPolicy]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderCompleted:
    """The engine of this attempt has loaded the ordered version."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailed:
    """The load failed, was refused, or has an unknown outcome."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderNotSent:
    """The lease had lapsed before the send; nothing was sent."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: order an engine to load a version.

    Attributes:
        attempt: Number of the order; repeated in its outcome.
        endpoint_id: Id of the engine.
        pool: Pool of the engine.
        version: The version to load.
        extra_margin_s: Extra time in seconds that must remain on the lease.
    """

    attempt: int
    endpoint_id: str
    pool: str
    version: int
    extra_margin_s: float


@dataclasses.dataclass(slots=True)
class _RetryState:
    """Consecutive failures of an engine and the time of its next retry."""

    failures: int
    retry_at_s: float


class WeightCore(Core):
    """Orders loads in stages, engines with failures last.

    A stage is the engines of a pool that load at once, at most
    `max_concurrent_loads` of them.

    Args:
        extra_margin_s: Extra lease margin in seconds for engines that ignore
            fencing numbers: the maximum time from the last check of the lease
            until the engine receives the order.
    """

    def __init__(self, extra_margin_s: float):
        self.extra_margin_s = extra_margin_s
        self._wanted: dict[str, int] = {}
        self._engines: dict[str, EngineView] = {}
        self._policies: dict[str, RolloutPolicy] = {}
        self._pending_orders: dict[int, SendOrder] = {}
        self._loaded: dict[tuple[str, int], int] = {}
        self._retries: dict[str, _RetryState] = {}
        self._loading: dict[str, set[str]] = {}
        self._due_engines: dict[str, list[str]] = {}
        self._attempt_count = 0
        self._has_lease = False
        self._now_s = float("-inf")

    @property
    def wanted(self) -> dict[str, int]:
        """The newest published version by pool."""
        return dict(self._wanted)

    @property
    def behind(self) -> int:
        """Number of engines without their pool's newest version."""
        return sum(map(self._is_behind, self._engines.values()))

    @property
    def next_wakeup_s(self) -> float | None:
        """When the next failed engine is due for a retry; None if none is."""
        if not self._has_lease:
            return None
        times = [retry.retry_at_s for retry in self._retries.values()]
        return min((t for t in times if t > self._now_s), default=None)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event and returns `SendOrder` actions."""
        self._now_s = now_s
        match event:
            case WeightTick():
                self._has_lease = event.has_lease
                self._queue_due(now_s)
            case VersionPublished():
                known = self._wanted.get(event.pool, 0)
                self._wanted[event.pool] = max(known, event.version)
                self._queue_due(now_s)
            case EnginesListed():
                self._on_engines(event)
                self._queue_due(now_s)
            case OrderCompleted():
                self._on_completed(event)
            case OrderFailed():
                self._on_failed(event, now_s)
            case OrderNotSent():
                self._finish_order(event.attempt)
                self._has_lease = False
            case _:
                raise TypeError(f"not a weight event: {event!r}")
        return self._start_orders() if self._has_lease else []

    def _on_engines(self, event: EnginesListed) -> None:
        self._engines = {e.endpoint_id: e for e in event.engines}
        self._policies = event.policies
        present = {(e.endpoint_id, e.incarnation) for e in event.engines}
        for key in self._loaded.keys() - present:
            del self._loaded[key]
        for endpoint_id in self._retries.keys() - self._engines.keys():
            del self._retries[endpoint_id]

    def _on_completed(self, event: OrderCompleted) -> None:
        order = self._finish_order(event.attempt)
        engine = self._engines.get(order.endpoint_id) if order else None
        if engine is None:
            return
        self._loaded[(engine.endpoint_id, engine.incarnation)] = order.version
        self._retries.pop(engine.endpoint_id, None)

    def _on_failed(self, event: OrderFailed, now_s: float) -> None:
        order = self._finish_order(event.attempt)
        if order is None or order.endpoint_id not in self._engines:
            return
        retry = self._retries.get(order.endpoint_id)
        failures = retry.failures + 1 if retry else 1
        doublings = min(failures - 1, _MAX_DOUBLINGS)
        delay_s = min(_MAX_RETRY_DELAY_S, _MIN_RETRY_DELAY_S * 2**doublings)
        self._retries[order.endpoint_id] = _RetryState(
            failures, now_s + delay_s
        )

    def _finish_order(self, attempt: int) -> SendOrder | None:
        order = self._pending_orders.pop(attempt, None)
        if order is not None:
            self._loading[order.pool].discard(order.endpoint_id)
        return order

    def _is_behind(self, engine: EngineView) -> bool:
        key = (engine.endpoint_id, engine.incarnation)
        known = max(engine.weight_version, self._loaded.get(key, 0))
        return known < self._wanted.get(engine.pool, 0)

    def _queue_due(self, now_s: float) -> None:
        """Queues outdated engines by pool, the fewest failures first.

        The lists are in reverse order, since `_start_orders` pops their ends.
        """
        due: dict[str, list[tuple[int, str]]] = {
            pool: [] for pool in self._policies
        }
        for engine in self._engines.values():
            retry = self._retries.get(engine.endpoint_id)
            is_early = retry is not None and now_s < retry.retry_at_s
            if engine.pool in due and not is_early and self._is_behind(engine):
                failures = retry.failures if retry else 0
                due[engine.pool].append((failures, engine.endpoint_id))
        self._due_engines = {
            pool: [
                endpoint_id for _, endpoint_id in sorted(found, reverse=True)
            ]
            for pool, found in due.items()
        }

    def _start_orders(self) -> list[object]:
        """Starts orders up to each pool's limit of concurrent loads.

        A failed engine isn't queued again here, but in `_queue_due` once its
        retry is due.
        """
        orders = []
        for pool, due in self._due_engines.items():
            policy = self._policies[pool]
            loading = self._loading.setdefault(pool, set())
            while due and len(loading) < policy.max_concurrent_loads:
                engine = self._engines[due.pop()]
                if engine.endpoint_id not in loading:
                    loading.add(engine.endpoint_id)
                    orders.append(self._make_order(engine, policy))
        return orders

    def _make_order(
        self, engine: EngineView, policy: RolloutPolicy
    ) -> SendOrder:
        self._attempt_count += 1
        order = SendOrder(
            self._attempt_count,
            engine.endpoint_id,
            engine.pool,
            self._wanted[engine.pool],
            0.0 if policy.checks_fencing else self.extra_margin_s,
        )
        self._pending_orders[order.attempt] = order
        return order
