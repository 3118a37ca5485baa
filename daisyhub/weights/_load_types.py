"""Events and actions of the core that orders loads of weights.

Times are seconds on a monotonic clock.
"""

import dataclasses

from daisyhub.weights._engine_client import EngineReport, LoadMode, OrderOutcome

__all__ = [
    "EngineObservation",
    "EnginesObserved",
    "FetchReport",
    "OrderAnswered",
    "ReportFailed",
    "ReportReceived",
    "SendOrder",
    "VersionPublished",
]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionPublished:
    """A trainer published a version of a model's weights."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineObservation:
    """The observed state of one engine.

    Attributes:
        endpoint_id: Its id.
        incarnation: Its incarnation; a restart resets its count of orders.
        versions: Version of the weights by model.
        runs: Number of open runs; a run is one stream of a lot's item.
        model: The model that it serves; empty if it serves all.
        is_deferred: Whether it should get runs before its next load; see
            `should_defer_load`.
    """

    endpoint_id: str
    incarnation: int
    versions: dict[str, int]
    runs: int
    model: str = ""
    is_deferred: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesObserved:
    """The engines of a pool were observed.

    Attributes:
        engines: All engines of the pool that may get orders.
        mode: How running requests are treated during a load.
    """

    engines: tuple[EngineObservation, ...]
    mode: LoadMode


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswered:
    """The call that sends an order ended, with or without a response."""

    endpoint_id: str
    outcome: OrderOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report was received from an engine."""

    endpoint_id: str
    report: EngineReport


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFailed:
    """A report could not be fetched."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: order an engine to load a version of a model.

    Attributes:
        endpoint_id: The engine.
        model: The model.
        version: Version of its weights.
        mode: How running requests are treated during the load.
        orders_taken: Number of orders that the engine must have accepted
            since its start; otherwise it rejects this one.
    """

    endpoint_id: str
    model: str
    version: int
    mode: LoadMode
    orders_taken: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchReport:
    """Action: fetch an engine's report."""

    endpoint_id: str
