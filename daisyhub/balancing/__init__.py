"""Endpoint state and load balancing.

`EndpointTable` and a balancer serve `daisyhub.daemon`, whose daemons send to
endpoints of their own failure domain. `EndpointDirectory` serves
`daisyhub.platform`, whose daemons send to endpoints of all failure domains.
"""

from daisyhub.balancing._balancers import (
    LeastLoaded,
    RoundRobin,
)
from daisyhub.balancing._capacity_core import (
    CapacityCore,
    CapacitySample,
    EndpointCapacity,
)
from daisyhub.balancing._capacity_digest import (
    CapacityDigest,
    CapacityEntry,
    UsualTime,
)
from daisyhub.balancing._choice import AdaptiveChoice
from daisyhub.balancing._cold_core import (
    BecameCold,
    ColdCore,
    ColdPool,
    ColdTimeBounded,
    EntryListed,
    PeerToldCold,
    ResponseStatedCold,
)
from daisyhub.balancing._coldness import Coldness
from daisyhub.balancing._directory import EndpointDirectory
from daisyhub.balancing._endpoint import Endpoint, EndpointEntry, is_suspect
from daisyhub.balancing._endpoint_load import (
    AdaptiveMode,
    AdaptivePools,
    EndpointLoad,
)
from daisyhub.balancing._endpoint_table import (
    DRAIN_PREFIX,
    DrainOrder,
    EndpointState,
    EndpointTable,
    EndpointUpdate,
)
from daisyhub.balancing._lapses import LapseWindow
from daisyhub.balancing._leaving import (
    EndpointProcess,
    LeavingMark,
    digest_marks,
)
from daisyhub.balancing._permit_core import (
    Denial,
    Grant,
    PermitCore,
    Urgency,
)
from daisyhub.balancing._permits import (
    Bound,
    LocalPermits,
    Permit,
    PermitSource,
)
from daisyhub.balancing._process_check import (
    UNCONDITIONAL,
    Confirmation,
    ProcessCheck,
    TrustedProcesses,
)
from daisyhub.balancing._rate_limits import RateLimit, RateLimits
from daisyhub.balancing._reach_core import (
    AskPeers,
    EndpointAnswered,
    EndpointSilent,
    ProbeEndpoints,
    ReachCore,
    ReachTick,
)
from daisyhub.balancing._releases import Release
from daisyhub.balancing._return_schedule import (
    ReturnSchedule,
    honoured_wait_s,
)
from daisyhub.balancing._subset import order_endpoints, rank_by_daemon

__all__ = [
    "AdaptiveChoice",
    "AdaptiveMode",
    "AdaptivePools",
    "AskPeers",
    "BecameCold",
    "Bound",
    "ColdCore",
    "ColdPool",
    "ColdTimeBounded",
    "Coldness",
    "CapacityCore",
    "CapacityDigest",
    "CapacityEntry",
    "CapacitySample",
    "Confirmation",
    "DRAIN_PREFIX",
    "Denial",
    "DrainOrder",
    "Endpoint",
    "EndpointAnswered",
    "EndpointCapacity",
    "EndpointDirectory",
    "EndpointEntry",
    "EndpointLoad",
    "EndpointProcess",
    "EndpointSilent",
    "EndpointState",
    "EndpointTable",
    "EndpointUpdate",
    "EntryListed",
    "Grant",
    "LapseWindow",
    "LeastLoaded",
    "LeavingMark",
    "LocalPermits",
    "PeerToldCold",
    "Permit",
    "PermitCore",
    "PermitSource",
    "ProbeEndpoints",
    "ProcessCheck",
    "RateLimit",
    "RateLimits",
    "ReachCore",
    "ReachTick",
    "Release",
    "ResponseStatedCold",
    "ReturnSchedule",
    "RoundRobin",
    "Urgency",
    "UsualTime",
    "digest_marks",
    "honoured_wait_s",
    "is_suspect",
    "order_endpoints",
    "rank_by_daemon",
    "TrustedProcesses",
    "UNCONDITIONAL",
]
