"""Decides which engine loads which version of which model, and when.

Trainers publish a version every few seconds and need it for their next step.
Only a fraction of a pool's engines loads at one time, those with the fewest
runs first, so that the others continue to serve the current training step.

If the response to an order is lost, the order is in doubt until the engine's
report shows whether it was accepted. It is sent again only with the same
expected number of accepted orders, so that the engine rejects one of the two
copies, however late it arrives.

Times are seconds on a monotonic clock.
"""

import dataclasses
import enum
import math

from daisyhub.base import Core
from daisyhub.weights._engine_client import EngineReport, LoadMode, OrderOutcome
from daisyhub.weights._load_types import (
    EngineObservation,
    EnginesObserved,
    FetchReport,
    OrderAnswered,
    ReportFailed,
    ReportReceived,
    SendOrder,
    VersionPublished,
)

__all__ = [
    "WeightLoadCore",
]

# Delay from an accepted order to the first report, and interval between further
# reports. A load takes about a second.
_FIRST_REPORT_DELAY_S = 0.8
_REPORT_INTERVAL_S = 0.25
# Time after which a load that hasn't ended no longer delays other engines.
_LOAD_TIMEOUT_S = 6.0
# Time without effect after which an order in doubt may be sent again.
_DOUBT_TIMEOUT_S = 0.6
# Delay before an engine that refused an order or failed gets another.
_RETRY_DELAY_S = 0.5


class _Phase(enum.Enum):
    """Phase of an engine's last order.

    Attributes:
        IDLE: No order is open.
        ORDERED: The order is being sent.
        DOUBTFUL: It is unknown whether the engine accepted the order.
        LOADING: The engine accepted the order.
    """

    IDLE = "idle"
    ORDERED = "ordered"
    DOUBTFUL = "doubtful"
    LOADING = "loading"


@dataclasses.dataclass(slots=True)
class _Engine:
    """State of one engine.

    Attributes:
        observation: Its last observed state.
        phase: Phase of the last order.
        phase_since_s: When the phase began.
        report_due_s: When to fetch its report.
        retry_at_s: When it may get another order.
        orders_taken: Number of orders that it has accepted, sent with the
            next order; None until it is reported.
        model: Model of the last order.
        target_version: Version of the last order.
        is_report_pending: Whether its report is being fetched.
    """

    observation: EngineObservation
    phase: _Phase = _Phase.IDLE
    phase_since_s: float = -math.inf
    report_due_s: float = math.inf
    retry_at_s: float = -math.inf
    orders_taken: int | None = None
    model: str = ""
    target_version: int = 0
    is_report_pending: bool = False


class WeightLoadCore(Core):
    """Decides about the engines of one pool.

    Args:
        loads_share: Fraction of the engines that may load concurrently.
    """

    def __init__(self, loads_share: float):
        self.loads_share = loads_share
        self._newest_versions: dict[str, int] = {}
        self._mode = LoadMode.CONTINUE
        self._engines: dict[str, _Engine] = {}

    @property
    def newest_versions(self) -> dict[str, int]:
        """The newest published version by model."""
        return self._newest_versions

    @property
    def next_wakeup_s(self) -> float | None:
        """None: the controller sends periodic observations."""
        return None

    def is_loading(self, endpoint_id: str) -> bool:
        """Whether an engine may be loading now."""
        engine = self._engines.get(endpoint_id)
        return engine is not None and engine.phase is not _Phase.IDLE

    def handle(self, event: object, now_s: float) -> list[object]:
        """Processes an event; returns `SendOrder` and `FetchReport` actions."""
        match event:
            case VersionPublished():
                known = self._newest_versions.get(event.model, 0)
                self._newest_versions[event.model] = max(known, event.version)
            case EnginesObserved():
                self._on_observed(event)
            case OrderAnswered():
                self._on_answered(event, now_s)
            case ReportReceived():
                self._on_report(event, now_s)
            case ReportFailed():
                self._on_report_failed(event, now_s)
            case _:
                raise TypeError(f"not a weight load event: {event!r}")
        return self._fetch_due_reports(now_s) + self._order_loads(now_s)

    def _on_observed(self, event: EnginesObserved) -> None:
        self._mode = event.mode
        observed_by_id = {
            observation.endpoint_id: observation
            for observation in event.engines
        }
        for endpoint_id in [
            e for e in self._engines if e not in observed_by_id
        ]:
            del self._engines[endpoint_id]
        for endpoint_id, observation in observed_by_id.items():
            known = self._engines.get(endpoint_id)
            is_same = (
                known is not None
                and known.observation.incarnation == observation.incarnation
            )
            if not is_same:
                known = self._engines[endpoint_id] = _Engine(observation)
            known.observation = observation
            if known.phase is _Phase.LOADING and _has_target_version(known):
                _end_order(known)

    def _on_answered(self, event: OrderAnswered, now_s: float) -> None:
        engine = self._engines.get(event.endpoint_id)
        if engine is None or engine.phase is not _Phase.ORDERED:
            return
        match event.outcome:
            case OrderOutcome.ACCEPTED:
                engine.orders_taken = (engine.orders_taken or 0) + 1
                self._start_load(engine, now_s)
            case OrderOutcome.ALREADY_LOADED:
                _end_order(engine)
                versions = {
                    **engine.observation.versions,
                    engine.model: engine.target_version,
                }
                engine.observation = dataclasses.replace(
                    engine.observation, versions=versions
                )
            case OrderOutcome.UNKNOWN | OrderOutcome.CONFLICT:
                engine.phase = _Phase.DOUBTFUL
                engine.phase_since_s = now_s
                engine.report_due_s = now_s
            case _:
                _end_order(engine)
                engine.retry_at_s = now_s + _RETRY_DELAY_S

    def _start_load(self, engine: _Engine, now_s: float) -> None:
        engine.phase = _Phase.LOADING
        engine.phase_since_s = now_s
        engine.report_due_s = now_s + _FIRST_REPORT_DELAY_S

    def _on_report(self, event: ReportReceived, now_s: float) -> None:
        engine = self._engines.get(event.endpoint_id)
        if engine is None:
            return
        engine.is_report_pending = False
        engine.report_due_s = now_s + _REPORT_INTERVAL_S
        report = event.report
        version = report.versions.get(engine.model, 0)
        if version >= engine.target_version and not report.is_busy:
            engine.orders_taken = report.orders_taken
            engine.observation = dataclasses.replace(
                engine.observation, versions=report.versions
            )
            _end_order(engine)
            return
        if engine.orders_taken is None:
            engine.orders_taken = report.orders_taken
        if engine.phase is _Phase.DOUBTFUL:
            self._resolve_doubt(engine, report, now_s)
        elif engine.phase is _Phase.LOADING:
            self._check_load_timeout(engine, report, now_s)

    def _resolve_doubt(
        self, engine: _Engine, report: EngineReport, now_s: float
    ) -> None:
        """Determines from a report whether an order in doubt was accepted."""
        if report.is_busy or report.orders_taken > engine.orders_taken:
            engine.orders_taken = report.orders_taken
            self._start_load(engine, now_s)
        elif now_s - engine.phase_since_s >= _DOUBT_TIMEOUT_S:
            # A delayed copy expects the same number of accepted orders, so the
            # engine accepts only one of the two. The reported number may also
            # be the lower one: an engine that is told by the next holder to
            # load what it is loading accepts that without counting it.
            engine.orders_taken = report.orders_taken
            _end_order(engine)

    def _check_load_timeout(
        self, engine: _Engine, report: EngineReport, now_s: float
    ) -> None:
        """Ends an order whose load exceeds the timeout."""
        if now_s - engine.phase_since_s <= _LOAD_TIMEOUT_S:
            return
        engine.orders_taken = report.orders_taken
        _end_order(engine)
        engine.retry_at_s = now_s + _RETRY_DELAY_S

    def _on_report_failed(self, event: ReportFailed, now_s: float) -> None:
        """Ends the open order of an engine that sends no report for too long.

        An order in doubt gets twice the time that it gets with reports.
        """
        engine = self._engines.get(event.endpoint_id)
        if engine is None:
            return
        engine.is_report_pending = False
        engine.report_due_s = now_s + _REPORT_INTERVAL_S
        if engine.phase is _Phase.IDLE:
            # The report was to tell the number of orders before the first one.
            return
        limit_s = _LOAD_TIMEOUT_S
        if engine.phase is _Phase.DOUBTFUL:
            limit_s = 2 * _DOUBT_TIMEOUT_S
        if now_s - engine.phase_since_s > limit_s:
            _end_order(engine)
            engine.retry_at_s = now_s + _RETRY_DELAY_S

    def _needs_load(self, engine: _Engine) -> bool:
        """Whether an engine without an open order lacks a newer version."""
        is_idle = engine.phase is _Phase.IDLE
        return is_idle and bool(self._most_outdated_model(engine.observation))

    def _most_outdated_model(self, observation: EngineObservation) -> str:
        """Returns the model that lags by the most versions.

        Only models that the engine has and serves count. Empty if none lags.
        """
        lags = {
            model: version - observation.versions[model]
            for model, version in self._newest_versions.items()
            if observation.versions.get(model, version) < version
            and observation.model in ("", model)
        }
        return max(lags, key=lambda m: (lags[m], m), default="")

    def _fetch_due_reports(self, now_s: float) -> list[object]:
        """Returns actions that fetch the due reports.

        A report is needed while an order is open, and before the first order,
        which must state how many orders the engine has accepted.
        """
        fetches = []
        for endpoint_id, engine in self._engines.items():
            is_unknown = (
                self._needs_load(engine) and engine.orders_taken is None
            )
            is_order_open = engine.phase in (_Phase.LOADING, _Phase.DOUBTFUL)
            if not is_order_open and not is_unknown:
                continue
            if is_unknown and engine.report_due_s == math.inf:
                engine.report_due_s = now_s
            if engine.is_report_pending or now_s < engine.report_due_s:
                continue
            engine.is_report_pending = True
            fetches.append(FetchReport(endpoint_id))
        return fetches

    def _order_loads(self, now_s: float) -> list[object]:
        """Returns as many orders as allowed, engines with few runs first.

        At least one engine may load, whatever the fraction.
        """
        busy_count = sum(
            e.phase is not _Phase.IDLE for e in self._engines.values()
        )
        max_loads = max(1, round(self.loads_share * len(self._engines)))
        outdated = [
            engine
            for engine in self._engines.values()
            if self._needs_load(engine)
            and not engine.observation.is_deferred
            and engine.orders_taken is not None
            and now_s >= engine.retry_at_s
        ]
        outdated.sort(
            key=lambda e: (e.observation.runs, e.observation.endpoint_id)
        )
        orders = []
        for engine in outdated[: max(0, max_loads - busy_count)]:
            engine.phase = _Phase.ORDERED
            engine.phase_since_s = now_s
            engine.model = self._most_outdated_model(engine.observation)
            engine.target_version = self._newest_versions[engine.model]
            orders.append(
                SendOrder(
                    engine.observation.endpoint_id,
                    engine.model,
                    engine.target_version,
                    self._mode,
                    engine.orders_taken,
                )
            )
        return orders


def _has_target_version(engine: _Engine) -> bool:
    """Whether an engine has the version that it was last ordered to load."""
    return (
        engine.observation.versions.get(engine.model, 0)
        >= engine.target_version
    )


def _end_order(engine: _Engine) -> None:
    """Marks an engine's order as ended, whether or not it took effect."""
    engine.phase = _Phase.IDLE
    engine.report_due_s = math.inf
    engine.is_report_pending = False
