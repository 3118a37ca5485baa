"""Loading of new weight versions by engines, a few at a time.

Used by the daemons of `daisyhub.platform`; those of `daisyhub.daemon` use
`daisyhub.rollouts` for this.
"""

from daisyhub.weights._controller import VersionReader, WeightLoadController
from daisyhub.weights._engine_client import (
    EngineClient,
    EngineReport,
    LoadMode,
    OrderOutcome,
    OrderResponse,
    ReportResponse,
    VersionOrder,
)
from daisyhub.weights._load_core import (
    WeightLoadCore,
)
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
from daisyhub.weights._sharing import assign_engines

__all__ = [
    "EngineClient",
    "EngineObservation",
    "EngineReport",
    "EnginesObserved",
    "FetchReport",
    "LoadMode",
    "OrderAnswered",
    "OrderOutcome",
    "OrderResponse",
    "ReportResponse",
    "ReportFailed",
    "ReportReceived",
    "SendOrder",
    "VersionOrder",
    "VersionPublished",
    "VersionReader",
    "WeightLoadController",
    "WeightLoadCore",
    "assign_engines",
]
