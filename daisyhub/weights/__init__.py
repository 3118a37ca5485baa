"""New weight versions, brought to engines in stages."""

from daisyhub.weights._assignment import assign_engines
from daisyhub.weights._controller import VersionReader, WeightLoadController
from daisyhub.weights._engine_client import (
    EngineClient,
    EngineReport,
    LoadMode,
    OrderOutcome,
    VersionOrder,
)
from daisyhub.weights._load_core import (
    EngineObservation,
    EnginesObserved,
    FetchReport,
    OrderAnswered,
    ReportFailed,
    ReportReceived,
    SendOrder,
    VersionPublished,
    WeightLoadCore,
)

__all__ = [
    "FetchReport",
    "EngineClient",
    "EngineReport",
    "LoadMode",
    "OrderAnswered",
    "OrderOutcome",
    "ReportFailed",
    "ReportReceived",
    "SendOrder",
    "EngineObservation",
    "EnginesObserved",
    "WeightLoadCore",
    "VersionPublished",
    "VersionOrder",
    "VersionReader",
    "WeightLoadController",
    "assign_engines",
]
