"""Versioned objects in the platform's store, relayed access and watchers."""

from daisyhub.objects._base import (
    HistoryGoneError,
    ObjectConflictError,
    ObjectList,
    ObjectSource,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
    WatchBatch,
    encode_value,
    is_same_json,
)
from daisyhub.objects._paced_reads import PacedRead, PacedReads
from daisyhub.objects._relayed import RelayedStore, RelayProvider
from daisyhub.objects._shared_watch import (
    ReaderProvider,
    SharedWatch,
    WatchedCopy,
)
from daisyhub.objects._tries import StoreTry, TryOutcome, record_tries
from daisyhub.objects._watcher import KindWatcher

__all__ = [
    "HistoryGoneError",
    "KindWatcher",
    "ObjectConflictError",
    "ObjectList",
    "ObjectSource",
    "ObjectStore",
    "ObjectStoreError",
    "PacedRead",
    "PacedReads",
    "ReaderProvider",
    "RelayedStore",
    "RelayProvider",
    "SharedWatch",
    "StoreTry",
    "StoredObject",
    "TryOutcome",
    "WatchBatch",
    "WatchedCopy",
    "encode_value",
    "is_same_json",
    "record_tries",
]
