"""Decides which engine loads which version of which model, and when.

Answers the load of trainers that name a version every few seconds and whose
next step needs it: a part of a pool's engines loads at one time, those with
the fewest runs first, so that the others go on serving the open step.

An order whose answer was lost is followed up by the engine's report. It is
sent again only with the same count of orders that the engine must have taken,
so that of two copies one is refused, however late it arrives.

Times are seconds on a monotonic clock.
"""

import dataclasses
import enum
import math

from daisyhub.base import Core
from daisyhub.weights._engine_client import EngineReport, LoadMode, OrderOutcome

__all__ = [
    "FetchReport",
    "OrderAnswered",
    "ReportFailed",
    "ReportReceived",
    "SendOrder",
    "EngineObservation",
    "EnginesObserved",
    "WeightLoadCore",
    "VersionPublished",
]

# Seconds from an accepted order until its load may be over, and between looks
# at the report after that; a load takes about a second.
_FIRST_LOOK_S = 0.8
_LOOK_S = 0.25
# Seconds after which a load that isn't over no longer keeps others waiting.
_LONGEST_LOAD_S = 6.0
# Seconds without effect after which an order in doubt is sent again.
_DOUBT_S = 0.6
# Seconds before an engine that refused or failed is tried again.
_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class VersionPublished:
    """A trainer named a version."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineObservation:
    """An engine as seen now.

    Attributes:
        endpoint_id: Its id.
        incarnation: Its start; a restart forgets orders.
        versions: Weight version by model.
        runs: Runs open there.
        model: The model that it serves; empty if it serves all.
    """

    endpoint_id: str
    incarnation: int
    versions: dict[str, int]
    runs: int
    model: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesObserved:
    """The engines of a pool that may be ordered.

    Attributes:
        engines: What is seen of each.
        mode: What becomes of open requests.
    """

    engines: tuple[EngineObservation, ...]
    mode: LoadMode


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An order was answered, or its answer was lost."""

    endpoint_id: str
    outcome: OrderOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class ReportReceived:
    """An engine reported."""

    endpoint_id: str
    report: EngineReport


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFailed:
    """An engine did not report."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: order a version of a model."""

    endpoint_id: str
    model: str
    version: int
    mode: LoadMode
    orders_taken: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchReport:
    """Action: read an engine's report."""

    endpoint_id: str


class _Phase(enum.Enum):
    IDLE = "idle"
    ORDERED = "ordered"
    DOUBTFUL = "doubtful"
    LOADING = "loading"


@dataclasses.dataclass(slots=True)
class _Engine:
    """One engine.

    Attributes:
        sight: What was last seen of it.
        phase: How far the last order got.
        since_s: Since when it is in that phase.
        look_at_s: When to read its report.
        retry_at_s: When it may be ordered again.
        orders_taken: Orders that the next one must find taken; None until a
            report tells.
        model: Model that was last ordered.
        target: Its version.
        is_asked: Whether a report is on its way.
    """

    sight: EngineObservation
    phase: _Phase = _Phase.IDLE
    since_s: float = -math.inf
    look_at_s: float = math.inf
    retry_at_s: float = -math.inf
    orders_taken: int | None = None
    model: str = ""
    target: int = 0
    is_asked: bool = False


class WeightLoadCore(Core):
    """Decides about one pool's engines.

    Args:
        loads_share: Share of the engines that may load at one time.
    """

    def __init__(self, loads_share: float):
        self.loads_share = loads_share
        self._named: dict[str, int] = {}
        self._mode = LoadMode.CONTINUE
        self._engines: dict[str, _Engine] = {}

    @property
    def named(self) -> dict[str, int]:
        """The newest version that was named, by model."""
        return self._named

    @property
    def next_wakeup_s(self) -> float | None:
        """Sights come several times a second; there is no other wake-up."""
        return None

    def is_loading(self, endpoint_id: str) -> bool:
        """Whether an engine may be loading now."""
        engine = self._engines.get(endpoint_id)
        return engine is not None and engine.phase is not _Phase.IDLE

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one stage event; returns `SendOrder` and `FetchReport`."""
        match event:
            case VersionPublished():
                known = self._named.get(event.model, 0)
                self._named[event.model] = max(known, event.version)
            case EnginesObserved():
                self._on_sights(event)
            case OrderAnswered():
                self._on_answered(event, now_s)
            case ReportReceived():
                self._on_report(event, now_s)
            case ReportFailed():
                self._on_report_failed(event, now_s)
            case _:
                raise TypeError(f"not a stage event: {event!r}")
        return self._look(now_s) + self._order(now_s)

    def _on_sights(self, event: EnginesObserved) -> None:
        self._mode = event.mode
        seen = {sight.endpoint_id: sight for sight in event.engines}
        for endpoint_id in [e for e in self._engines if e not in seen]:
            del self._engines[endpoint_id]
        for endpoint_id, sight in seen.items():
            known = self._engines.get(endpoint_id)
            is_same = (
                known is not None
                and known.sight.incarnation == sight.incarnation
            )
            if not is_same:
                known = self._engines[endpoint_id] = _Engine(sight)
            known.sight = sight
            if known.phase is _Phase.LOADING and _has_target(known):
                _rest(known)

    def _on_answered(self, event: OrderAnswered, now_s: float) -> None:
        engine = self._engines.get(event.endpoint_id)
        if engine is None or engine.phase is not _Phase.ORDERED:
            return
        match event.outcome:
            case OrderOutcome.ACCEPTED:
                engine.orders_taken = (engine.orders_taken or 0) + 1
                self._load(engine, now_s)
            case OrderOutcome.ALREADY_LOADED:
                _rest(engine)
                held = {**engine.sight.versions, engine.model: engine.target}
                engine.sight = dataclasses.replace(engine.sight, versions=held)
            case OrderOutcome.UNKNOWN | OrderOutcome.CONFLICT:
                engine.phase = _Phase.DOUBTFUL
                engine.since_s = now_s
                engine.look_at_s = now_s
            case _:
                _rest(engine)
                engine.retry_at_s = now_s + _RETRY_S

    def _load(self, engine: _Engine, now_s: float) -> None:
        engine.phase = _Phase.LOADING
        engine.since_s = now_s
        engine.look_at_s = now_s + _FIRST_LOOK_S

    def _on_report(self, event: ReportReceived, now_s: float) -> None:
        engine = self._engines.get(event.endpoint_id)
        if engine is None:
            return
        engine.is_asked = False
        engine.look_at_s = now_s + _LOOK_S
        report = event.report
        known = engine.orders_taken or 0
        version = report.versions.get(engine.model, 0)
        if version >= engine.target and not report.is_busy:
            engine.orders_taken = max(known, report.orders_taken)
            engine.sight = dataclasses.replace(
                engine.sight, versions=report.versions
            )
            _rest(engine)
            return
        if engine.orders_taken is None:
            engine.orders_taken = report.orders_taken
        if engine.phase is _Phase.DOUBTFUL:
            self._settle(engine, report, now_s)
        elif engine.phase is _Phase.LOADING:
            self._on_loading(engine, report, now_s)

    def _settle(
        self, engine: _Engine, report: EngineReport, now_s: float
    ) -> None:
        """Finds out whether an order in doubt was accepted."""
        if report.is_busy or report.orders_taken > engine.orders_taken:
            engine.orders_taken = report.orders_taken
            self._load(engine, now_s)
        elif now_s - engine.since_s >= _DOUBT_S:
            # The copy that may still come expects the same count of orders.
            _rest(engine)

    def _on_loading(
        self, engine: _Engine, report: EngineReport, now_s: float
    ) -> None:
        """Gives up a load that takes too long."""
        if now_s - engine.since_s <= _LONGEST_LOAD_S:
            return
        engine.orders_taken = report.orders_taken
        _rest(engine)
        engine.retry_at_s = now_s + _RETRY_S

    def _on_report_failed(self, event: ReportFailed, now_s: float) -> None:
        engine = self._engines.get(event.endpoint_id)
        if engine is None:
            return
        engine.is_asked = False
        engine.look_at_s = now_s + _LOOK_S
        limit_s = _LONGEST_LOAD_S
        if engine.phase is _Phase.DOUBTFUL:
            limit_s = 2 * _DOUBT_S
        if now_s - engine.since_s > limit_s:
            _rest(engine)
            engine.retry_at_s = now_s + _RETRY_S

    def _is_behind(self, engine: _Engine) -> bool:
        is_idle = engine.phase is _Phase.IDLE
        return is_idle and bool(self._missing(engine.sight))

    def _missing(self, sight: EngineObservation) -> str:
        """Returns the model whose weights are furthest behind, or empty."""
        behind = {
            model: version - sight.versions[model]
            for model, version in self._named.items()
            if sight.versions.get(model, version) < version
            and sight.model in ("", model)
        }
        return max(behind, key=lambda m: (behind[m], m), default="")

    def _look(self, now_s: float) -> list[object]:
        """Asks the engines whose order may have taken effect."""
        asks = []
        for endpoint_id, engine in self._engines.items():
            is_unknown = self._is_behind(engine) and engine.orders_taken is None
            is_open = engine.phase in (_Phase.LOADING, _Phase.DOUBTFUL)
            if not is_open and not is_unknown:
                continue
            if is_unknown and engine.look_at_s == math.inf:
                engine.look_at_s = now_s
            if engine.is_asked or now_s < engine.look_at_s:
                continue
            engine.is_asked = True
            asks.append(FetchReport(endpoint_id))
        return asks

    def _order(self, now_s: float) -> list[object]:
        """Orders as many engines as may load now, idle ones first."""
        busy = sum(e.phase is not _Phase.IDLE for e in self._engines.values())
        most = max(1, round(self.loads_share * len(self._engines)))
        behind = [
            engine
            for engine in self._engines.values()
            if self._is_behind(engine)
            and engine.orders_taken is not None
            and now_s >= engine.retry_at_s
        ]
        behind.sort(key=lambda e: (e.sight.runs, e.sight.endpoint_id))
        orders = []
        for engine in behind[: max(0, most - busy)]:
            engine.phase = _Phase.ORDERED
            engine.since_s = now_s
            engine.model = self._missing(engine.sight)
            engine.target = self._named[engine.model]
            orders.append(
                SendOrder(
                    engine.sight.endpoint_id,
                    engine.model,
                    engine.target,
                    self._mode,
                    engine.orders_taken,
                )
            )
        return orders


def _has_target(engine: _Engine) -> bool:
    """Whether an engine has the version that it was last ordered to load."""
    return engine.sight.versions.get(engine.model, 0) >= engine.target


def _rest(engine: _Engine) -> None:
    """Ends an order, whatever came of it."""
    engine.phase = _Phase.IDLE
    engine.look_at_s = math.inf
    engine.is_asked = False
