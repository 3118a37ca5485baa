"""Lots that trainers submit whole, and whose results are read by position.

A lot is a set of items to generate. The daemon that holds the duty for lots
decides which item runs on which engine, has workers stream the items, and lists
the results: each one is written to the store at a position that never changes.
Any daemon accepts lots, works for the holder and serves results.
"""

from daisyhub.lots._admission import LotAdmission
from daisyhub.lots._calls import EndLot, LotCall, ReadItemBody, ReadResults
from daisyhub.lots._dispatch_core import DispatchCore
from daisyhub.lots._engine_capacity import EngineCapacity
from daisyhub.lots._filter import SubmittedLotsFilter
from daisyhub.lots._holder import LotHolder
from daisyhub.lots._holder_types import LotHolderDependencies
from daisyhub.lots._listing_core import ListingCore
from daisyhub.lots._lot_requests import LotRequestHandler
from daisyhub.lots._lot_store import LotStore
from daisyhub.lots._reader import LotReader
from daisyhub.lots._rewards import RewardCaller
from daisyhub.lots._runner import ItemRunner
from daisyhub.lots._types import (
    ItemResult,
    ItemSpec,
    LotHead,
    LotSpec,
    ResultState,
    RewardSpec,
)
from daisyhub.lots._wire import EventReader, LotWire, StreamEvent
from daisyhub.lots._worker import TaskWorker
from daisyhub.lots._worker_pool import WorkerPool

__all__ = [
    "DispatchCore",
    "EndLot",
    "EngineCapacity",
    "EventReader",
    "ItemResult",
    "ItemRunner",
    "ItemSpec",
    "ListingCore",
    "LotAdmission",
    "LotCall",
    "LotHead",
    "LotHolder",
    "LotHolderDependencies",
    "LotReader",
    "LotRequestHandler",
    "LotSpec",
    "LotStore",
    "LotWire",
    "ReadItemBody",
    "ReadResults",
    "ResultState",
    "RewardCaller",
    "RewardSpec",
    "StreamEvent",
    "SubmittedLotsFilter",
    "TaskWorker",
    "WorkerPool",
]
