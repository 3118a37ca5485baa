"""The product's own platform: API client, leases, orders and pool sizing.

`daisyhub.platform` contains the adapters to the users' platform.
"""

from daisyhub.hosting._client import (
    EndpointRecord,
    OrderRequest,
    OrderResponse,
    PlatformClient,
    PlatformObject,
    UsageReport,
)
from daisyhub.hosting._lease import (
    LeaseCore,
    LeaseRead,
    LeaseRecord,
    LeaseTick,
    LeaseWriteFailed,
    LeaseWriteRejected,
    LeaseWritten,
    ReadLease,
    WriteLease,
)
from daisyhub.hosting._lease_runner import (
    Lease,
    LeaseFactory,
    rank_candidates,
)
from daisyhub.hosting._orders import (
    BookAccessFailed,
    BookLoaded,
    BookWriteRejected,
    BookWritten,
    EndpointOrder,
    LoadBook,
    OrderBook,
    OrderCore,
    OrderOutcomeUnknown,
    OrderResponseReceived,
    OrderTick,
    SendOrder,
    WriteBook,
)
from daisyhub.hosting._pool_sizing import (
    ObservedEndpoint,
    PoolSizer,
    PoolState,
    SizingDecision,
)

__all__ = [
    "OrderResponse",
    "OrderRequest",
    "BookAccessFailed",
    "BookLoaded",
    "BookWriteRejected",
    "BookWritten",
    "EndpointOrder",
    "LoadBook",
    "OrderResponseReceived",
    "OrderBook",
    "OrderCore",
    "OrderOutcomeUnknown",
    "OrderTick",
    "SendOrder",
    "WriteBook",
    "ObservedEndpoint",
    "PoolState",
    "PoolSizer",
    "SizingDecision",
    "EndpointRecord",
    "Lease",
    "LeaseCore",
    "LeaseFactory",
    "LeaseRead",
    "LeaseRecord",
    "LeaseTick",
    "LeaseWritten",
    "LeaseWriteFailed",
    "LeaseWriteRejected",
    "PlatformClient",
    "PlatformObject",
    "ReadLease",
    "UsageReport",
    "WriteLease",
    "rank_candidates",
]
