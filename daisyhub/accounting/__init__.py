"""Usage accounting and rate limits of client accounts.

Each daemon counts the requests it serves, copies the counts to peers and
flushes them to the platform. One daemon of a failure domain seals the windows
and reports them. Daemons also share the accounts' rate limits.
"""

from daisyhub.accounting._counters import PeerUsage, UsageCounters
from daisyhub.accounting._flush_core import (
    FlushCore,
    FlushTick,
    ReadStore,
    StoreRead,
    StoreWriteRejected,
    StoreWritten,
    WriteStore,
)
from daisyhub.accounting._ledger import (
    Ledger,
    SealedParts,
    SealedRanges,
    SealedWindow,
    StoredReport,
    seal,
)
from daisyhub.accounting._parts import (
    ListedStore,
    PartCount,
    PartStore,
    UsageCount,
    UsagePart,
    window_start,
)
from daisyhub.accounting._rate_shares import RateShares
from daisyhub.accounting._seal_core import (
    CallFailed,
    EmptyStore,
    LedgerRead,
    LedgerWriteRejected,
    LedgerWritten,
    ListParts,
    PartsListed,
    ReadLedger,
    ReportAccepted,
    SealCore,
    SealTick,
    SendReport,
    StoreEmptied,
    WriteLedger,
)
from daisyhub.accounting._share_core import (
    LoanGranted,
    LoanRequested,
    SendLoanGrant,
    SendLoanRequest,
    ShareCore,
    ShareTick,
)

__all__ = [
    "CallFailed",
    "EmptyStore",
    "FlushCore",
    "FlushTick",
    "Ledger",
    "LedgerRead",
    "LedgerWriteRejected",
    "LedgerWritten",
    "ListParts",
    "ListedStore",
    "LoanGranted",
    "LoanRequested",
    "PartCount",
    "PartStore",
    "PartsListed",
    "PeerUsage",
    "RateShares",
    "ReadLedger",
    "ReadStore",
    "ReportAccepted",
    "SealCore",
    "SealTick",
    "SealedParts",
    "SealedRanges",
    "SealedWindow",
    "SendLoanGrant",
    "SendLoanRequest",
    "SendReport",
    "ShareCore",
    "ShareTick",
    "StoreEmptied",
    "StoreRead",
    "StoreWriteRejected",
    "StoreWritten",
    "StoredReport",
    "UsageCount",
    "UsageCounters",
    "UsagePart",
    "WriteLedger",
    "WriteStore",
    "seal",
    "window_start",
]
