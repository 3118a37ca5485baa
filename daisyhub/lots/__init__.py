"""Lots that are handed in whole and read by position."""

from daisyhub.lots._calls import EndLot, LotCall, ReadItemBody, ReadResults
from daisyhub.lots._dispatch_core import DispatchCore
from daisyhub.lots._filter import SubmittedLotsFilter
from daisyhub.lots._holder import LotHolder, LotHolderDependencies
from daisyhub.lots._listing_core import ListingCore
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

__all__ = [
    "DispatchCore",
    "EndLot",
    "EventReader",
    "SubmittedLotsFilter",
    "LotHolderDependencies",
    "ItemResult",
    "ItemRunner",
    "ItemSpec",
    "ListingCore",
    "LotCall",
    "LotHead",
    "LotHolder",
    "LotReader",
    "LotSpec",
    "LotStore",
    "LotWire",
    "ReadItemBody",
    "ReadResults",
    "ResultState",
    "RewardCaller",
    "RewardSpec",
    "StreamEvent",
]
