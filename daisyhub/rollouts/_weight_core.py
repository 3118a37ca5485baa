"""Brings the engines of one failure domain to the newest weights.

The core decides which engine is ordered to load which version, and when. It
knows no fencing number: the shell reads it from the lease as the last step
before the send, with the extra margin that the order names, and doesn't send
without one. Times are seconds on any steady clock.
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

_RETRY_S = 0.5
_LONGEST_RETRY_S = 8.0
_MOST_DOUBLINGS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutPolicy:
    """How a pool's engines take orders.

    Attributes:
        max_concurrent_loads: Engines that may load at the same time.
        checks_fencing: Whether they refuse old fencing numbers.
    """

    max_concurrent_loads: int
    checks_fencing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """What is known of an engine that may take orders."""

    endpoint_id: str
    pool: str
    incarnation: int
    weight_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightTick:
    """Time has passed; `is_in_charge` while the lease is held."""

    is_in_charge: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VersionPublished:
    """A trainer published a version for a pool."""

    pool: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesListed:
    """All usable engines, and the rules of their pools."""

    engines: tuple[EngineView, ...]
    rules: dict[str, RolloutPolicy]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderCompleted:
    """The engine of this attempt has loaded its version."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailed:
    """The load failed, was refused, or its effect is unknown."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderNotSent:
    """The lease had lapsed at the last check; nothing left."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: order an engine to load a version.

    Attributes:
        attempt: Names the order in its outcome.
        endpoint_id: The engine.
        pool: Its pool.
        version: The version to load.
        extra_margin_s: How much longer than usual the lease must hold.
    """

    attempt: int
    endpoint_id: str
    pool: str
    version: int
    extra_margin_s: float


@dataclasses.dataclass(slots=True)
class _Trouble:
    """Failures of an engine in a row, and when to try it again."""

    failures: int
    retry_at_s: float


class WeightCore(Core):
    """Orders loads in stages; engines that failed come last.

    Args:
        extra_margin_s: For engines that ignore fencing numbers: how long an
            order may take from the last check to the engine.
    """

    def __init__(self, extra_margin_s: float):
        self.extra_margin_s = extra_margin_s
        self._wanted: dict[str, int] = {}
        self._engines: dict[str, EngineView] = {}
        self._rules: dict[str, RolloutPolicy] = {}
        self._running: dict[int, SendOrder] = {}
        self._loaded: dict[tuple[str, int], int] = {}
        self._troubles: dict[str, _Trouble] = {}
        self._loading: dict[str, set[str]] = {}
        self._due: dict[str, list[str]] = {}
        self._attempts = 0
        self._is_in_charge = False
        self._now_s = float("-inf")

    @property
    def wanted(self) -> dict[str, int]:
        """Pool to the newest version published."""
        return dict(self._wanted)

    @property
    def behind(self) -> int:
        """Engines that don't have their pool's newest version yet."""
        return sum(map(self._is_behind, self._engines.values()))

    @property
    def next_wakeup_s(self) -> float | None:
        """When an engine that failed may be tried again."""
        if not self._is_in_charge:
            return None
        times = [trouble.retry_at_s for trouble in self._troubles.values()]
        return min((t for t in times if t > self._now_s), default=None)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event; returns `SendOrder` actions."""
        self._now_s = now_s
        match event:
            case WeightTick():
                self._is_in_charge = event.is_in_charge
                self._queue_due(now_s)
            case VersionPublished():
                known = self._wanted.get(event.pool, 0)
                self._wanted[event.pool] = max(known, event.version)
                self._queue_due(now_s)
            case EnginesListed():
                self._on_seen(event)
                self._queue_due(now_s)
            case OrderCompleted():
                self._on_done(event)
            case OrderFailed():
                self._on_failed(event, now_s)
            case OrderNotSent():
                self._end(event.attempt)
                self._is_in_charge = False
            case _:
                raise TypeError(f"not a weight event: {event!r}")
        return self._start() if self._is_in_charge else []

    def _on_seen(self, event: EnginesListed) -> None:
        self._engines = {e.endpoint_id: e for e in event.engines}
        self._rules = event.rules
        present = {(e.endpoint_id, e.incarnation) for e in event.engines}
        for place in self._loaded.keys() - present:
            del self._loaded[place]
        for endpoint_id in self._troubles.keys() - self._engines.keys():
            del self._troubles[endpoint_id]

    def _on_done(self, event: OrderCompleted) -> None:
        order = self._end(event.attempt)
        engine = self._engines.get(order.endpoint_id) if order else None
        if engine is None:
            return
        self._loaded[(engine.endpoint_id, engine.incarnation)] = order.version
        self._troubles.pop(engine.endpoint_id, None)

    def _on_failed(self, event: OrderFailed, now_s: float) -> None:
        order = self._end(event.attempt)
        if order is None or order.endpoint_id not in self._engines:
            return
        trouble = self._troubles.get(order.endpoint_id)
        failures = trouble.failures + 1 if trouble else 1
        doublings = min(failures - 1, _MOST_DOUBLINGS)
        pause_s = min(_LONGEST_RETRY_S, _RETRY_S * 2**doublings)
        self._troubles[order.endpoint_id] = _Trouble(failures, now_s + pause_s)

    def _end(self, attempt: int) -> SendOrder | None:
        order = self._running.pop(attempt, None)
        if order is not None:
            self._loading[order.pool].discard(order.endpoint_id)
        return order

    def _is_behind(self, engine: EngineView) -> bool:
        place = (engine.endpoint_id, engine.incarnation)
        known = max(engine.weight_version, self._loaded.get(place, 0))
        return known < self._wanted.get(engine.pool, 0)

    def _queue_due(self, now_s: float) -> None:
        """Queues engines that are behind, those without failures first."""
        due: dict[str, list[tuple[int, str]]] = {
            pool: [] for pool in self._rules
        }
        for engine in self._engines.values():
            trouble = self._troubles.get(engine.endpoint_id)
            is_early = trouble is not None and now_s < trouble.retry_at_s
            if engine.pool in due and not is_early and self._is_behind(engine):
                failures = trouble.failures if trouble else 0
                due[engine.pool].append((failures, engine.endpoint_id))
        self._due = {
            pool: [
                endpoint_id for _, endpoint_id in sorted(found, reverse=True)
            ]
            for pool, found in due.items()
        }

    def _start(self) -> list[object]:
        """Fills each pool's stage; a failed engine waits for a later tick."""
        orders = []
        for pool, due in self._due.items():
            rule = self._rules[pool]
            loading = self._loading.setdefault(pool, set())
            while due and len(loading) < rule.max_concurrent_loads:
                engine = self._engines[due.pop()]
                if engine.endpoint_id not in loading:
                    loading.add(engine.endpoint_id)
                    orders.append(self._order(engine, rule))
        return orders

    def _order(self, engine: EngineView, rule: RolloutPolicy) -> SendOrder:
        self._attempts += 1
        order = SendOrder(
            self._attempts,
            engine.endpoint_id,
            engine.pool,
            self._wanted[engine.pool],
            0.0 if rule.checks_fencing else self.extra_margin_s,
        )
        self._running[order.attempt] = order
        return order
