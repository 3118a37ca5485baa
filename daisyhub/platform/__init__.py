"""The platform's interfaces: objects, leases, endpoints, usage reports."""

from daisyhub.platform._client import (
    EndpointRecord,
    PlatformClient,
    PlatformObject,
    UsageReport,
)
from daisyhub.platform._lease import (
    LeaseCore,
    LeaseRead,
    LeaseRecord,
    LeaseTick,
    LeaseWriteDone,
    LeaseWriteFailed,
    LeaseWriteRefused,
    ReadLease,
    WriteLease,
)
from daisyhub.platform._lease_keeper import Lease, LeaseKeeper

__all__ = [
    "EndpointRecord",
    "Lease",
    "LeaseCore",
    "LeaseKeeper",
    "LeaseRead",
    "LeaseRecord",
    "LeaseTick",
    "LeaseWriteDone",
    "LeaseWriteFailed",
    "LeaseWriteRefused",
    "PlatformClient",
    "PlatformObject",
    "ReadLease",
    "UsageReport",
    "WriteLease",
]
