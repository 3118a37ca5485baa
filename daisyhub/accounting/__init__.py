"""Usage: counts of each daemon, windows sealed once, reports."""

from daisyhub.accounting._counters import PeerUsage, UsageCounters
from daisyhub.accounting._flush_core import (
    FlushCore,
    FlushTick,
    ReadStore,
    StoreRead,
    StoreRefused,
    StoreWritten,
    WriteStore,
)
from daisyhub.accounting._ledger import (
    EpochMark,
    Ledger,
    Marks,
    SealedWindow,
    StoredReport,
    seal,
)
from daisyhub.accounting._parts import (
    PartStore,
    UsageCount,
    UsagePart,
    window_of,
)
from daisyhub.accounting._seal_core import (
    CallFailed,
    LedgerRead,
    LedgerRefused,
    LedgerWritten,
    ListParts,
    PartsListed,
    ReadLedger,
    ReportDone,
    SealCore,
    SealTick,
    SendReport,
    WriteLedger,
)

__all__ = [
    "CallFailed",
    "EpochMark",
    "FlushCore",
    "FlushTick",
    "Ledger",
    "LedgerRead",
    "LedgerRefused",
    "LedgerWritten",
    "ListParts",
    "Marks",
    "PartStore",
    "PartsListed",
    "PeerUsage",
    "ReadLedger",
    "ReadStore",
    "ReportDone",
    "SealCore",
    "SealTick",
    "SealedWindow",
    "SendReport",
    "StoreRead",
    "StoreRefused",
    "StoreWritten",
    "StoredReport",
    "UsageCount",
    "UsageCounters",
    "UsagePart",
    "WriteLedger",
    "WriteStore",
    "seal",
    "window_of",
]
