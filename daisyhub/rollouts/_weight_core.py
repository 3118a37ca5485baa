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
    "EnginesSeen",
    "OrderDone",
    "OrderFailed",
    "OrderNotSent",
    "RolloutRule",
    "SendOrder",
    "VersionPublished",
    "WeightCore",
    "WeightTick",
]

_RETRY_S = 0.5
_LONGEST_RETRY_S = 8.0
_MOST_DOUBLINGS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRule:
    """How a pool's engines take orders.

    Attributes:
        loads_at_once: Engines that may load at the same time.
        checks_fencing: Whether they refuse old fencing numbers.
    """

    loads_at_once: int
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
class EnginesSeen:
    """All usable engines, and the rules of their pools."""

    engines: tuple[EngineView, ...]
    rules: dict[str, RolloutRule]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
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
        version: The version to load.
        extra_margin_s: How much longer than usual the lease must hold.
    """

    attempt: int
    endpoint_id: str
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
        self._rules: dict[str, RolloutRule] = {}
        self._running: dict[int, SendOrder] = {}
        self._loaded: dict[tuple[str, int], int] = {}
        self._troubles: dict[str, _Trouble] = {}
        self._attempts = 0
        self._is_in_charge = False

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
        busy = self._busy()
        times = [
            trouble.retry_at_s
            for endpoint_id, trouble in self._troubles.items()
            if endpoint_id not in busy
        ]
        return min(times, default=None)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event; returns `SendOrder` actions."""
        match event:
            case WeightTick():
                self._is_in_charge = event.is_in_charge
            case VersionPublished():
                known = self._wanted.get(event.pool, 0)
                self._wanted[event.pool] = max(known, event.version)
            case EnginesSeen():
                self._on_seen(event)
            case OrderDone():
                self._on_done(event)
            case OrderFailed():
                self._on_failed(event, now_s)
            case OrderNotSent():
                self._running.pop(event.attempt, None)
                self._is_in_charge = False
            case _:
                raise TypeError(f"not a weight event: {event!r}")
        return self._start(now_s) if self._is_in_charge else []

    def _on_seen(self, event: EnginesSeen) -> None:
        self._engines = {e.endpoint_id: e for e in event.engines}
        self._rules = event.rules
        present = {(e.endpoint_id, e.incarnation) for e in event.engines}
        for place in self._loaded.keys() - present:
            del self._loaded[place]
        for endpoint_id in self._troubles.keys() - self._engines.keys():
            del self._troubles[endpoint_id]

    def _on_done(self, event: OrderDone) -> None:
        order = self._running.pop(event.attempt, None)
        engine = self._engines.get(order.endpoint_id) if order else None
        if engine is None:
            return
        self._loaded[(engine.endpoint_id, engine.incarnation)] = order.version
        self._troubles.pop(engine.endpoint_id, None)

    def _on_failed(self, event: OrderFailed, now_s: float) -> None:
        order = self._running.pop(event.attempt, None)
        if order is None or order.endpoint_id not in self._engines:
            return
        trouble = self._troubles.get(order.endpoint_id)
        failures = trouble.failures + 1 if trouble else 1
        doublings = min(failures - 1, _MOST_DOUBLINGS)
        pause_s = min(_LONGEST_RETRY_S, _RETRY_S * 2**doublings)
        self._troubles[order.endpoint_id] = _Trouble(failures, now_s + pause_s)

    def _busy(self) -> set[str]:
        return {order.endpoint_id for order in self._running.values()}

    def _is_behind(self, engine: EngineView) -> bool:
        place = (engine.endpoint_id, engine.incarnation)
        known = max(engine.weight_version, self._loaded.get(place, 0))
        return known < self._wanted.get(engine.pool, 0)

    def _start(self, now_s: float) -> list[object]:
        """Fills each pool's stage with engines that are behind."""
        if not self._wanted:
            return []
        busy = self._busy()
        orders = []
        for pool, rule in self._rules.items():
            loading = sum(
                engine_id in busy and engine.pool == pool
                for engine_id, engine in self._engines.items()
            )
            free = max(0, rule.loads_at_once - loading)
            if not free:
                continue
            for engine in self._due(pool, busy, now_s)[:free]:
                orders.append(self._order(engine, rule))
        return orders

    def _due(self, pool: str, busy: set[str], now_s: float) -> list[EngineView]:
        """Engines to load next, those without failures first."""
        due = []
        for engine in self._engines.values():
            trouble = self._troubles.get(engine.endpoint_id)
            is_early = trouble is not None and now_s < trouble.retry_at_s
            if engine.pool != pool or engine.endpoint_id in busy or is_early:
                continue
            if self._is_behind(engine):
                failures = trouble.failures if trouble else 0
                due.append((failures, engine.endpoint_id, engine))
        return [engine for _, _, engine in sorted(due, key=lambda d: d[:2])]

    def _order(self, engine: EngineView, rule: RolloutRule) -> SendOrder:
        self._attempts += 1
        order = SendOrder(
            self._attempts,
            engine.endpoint_id,
            self._wanted[engine.pool],
            0.0 if rule.checks_fencing else self.extra_margin_s,
        )
        self._running[order.attempt] = order
        return order
