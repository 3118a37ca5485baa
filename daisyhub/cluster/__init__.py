"""The cluster of platform daemons: live peers, relayed store calls, clock.

Its messages are sent with `daisyhub.peers.PeerNetwork`. It uses pings instead
of the heartbeats and the membership of that package.
"""

from daisyhub.cluster._backlogs import BacklogNews, BacklogTable, PoolBacklog
from daisyhub.cluster._cluster_clock import ClusterClock
from daisyhub.cluster._controller import ClusterController
from daisyhub.cluster._durable_origins import (
    ORIGINS_KIND,
    DurableStreamOrigins,
)
from daisyhub.cluster._endpoint_messages import (
    ColdNotification,
    EndedProcess,
    EndpointLeavingNotification,
    PermitRequest,
    PermitResponse,
    RateLimitNotification,
    SuspectNews,
    TrialRequest,
    TrialResponse,
)
from daisyhub.cluster._leaving_news import LeavingNews
from daisyhub.cluster._load_news import LoadNews
from daisyhub.cluster._lot_messages import (
    LotAcceptedNotification,
    LotEndedNotification,
    LotHeadRequest,
    LotItemBodyRequest,
    LotResponse,
    LotResultsRequest,
)
from daisyhub.cluster._messages import (
    CLUSTER_PROTOCOL,
    HolderNews,
    ManifestRequest,
    ManifestResponse,
    Ping,
    StoreRequest,
    StoreResponse,
    UsageReport,
)
from daisyhub.cluster._owners import OwnerTable
from daisyhub.cluster._peer_types import HolderView, PeerState
from daisyhub.cluster._peers import PeerTable
from daisyhub.cluster._permits import SharedPermits
from daisyhub.cluster._ping_plan import (
    PING_INTERVAL_S,
    STANDBY_COUNT,
    PingPlan,
    is_small_cluster,
    ping_timeout_s,
)
from daisyhub.cluster._reach import ReachMonitor
from daisyhub.cluster._store_calls import (
    PeerReaderProvider,
    PeerRelayProvider,
    StoreRequestHandler,
)
from daisyhub.cluster._stream_messages import (
    StreamOriginBatch,
    StreamOriginQuery,
    StreamOriginRecord,
    StreamOriginResponse,
)
from daisyhub.cluster._stream_origins import SharedStreamOrigins
from daisyhub.cluster._suspects import SharedSuspects
from daisyhub.cluster._task_messages import (
    RewardEnd,
    RewardOrder,
    RunEnd,
    RunOrder,
    RunProgress,
    TaskOrders,
    TaskReport,
)
from daisyhub.cluster._verifier import WatchVerifier

__all__ = [
    "BacklogNews",
    "BacklogTable",
    "PoolBacklog",
    "CLUSTER_PROTOCOL",
    "DurableStreamOrigins",
    "ColdNotification",
    "EndedProcess",
    "EndpointLeavingNotification",
    "LeavingNews",
    "ORIGINS_KIND",
    "LoadNews",
    "OwnerTable",
    "PermitRequest",
    "PermitResponse",
    "RateLimitNotification",
    "ReachMonitor",
    "SharedPermits",
    "SharedStreamOrigins",
    "SharedSuspects",
    "StreamOriginBatch",
    "StreamOriginQuery",
    "StreamOriginRecord",
    "StreamOriginResponse",
    "SuspectNews",
    "TrialRequest",
    "TrialResponse",
    "ClusterController",
    "HolderNews",
    "HolderView",
    "PING_INTERVAL_S",
    "RewardEnd",
    "RewardOrder",
    "RunEnd",
    "RunOrder",
    "RunProgress",
    "TaskOrders",
    "TaskReport",
    "UsageReport",
    "STANDBY_COUNT",
    "is_small_cluster",
    "LotResponse",
    "LotItemBodyRequest",
    "LotEndedNotification",
    "LotHeadRequest",
    "LotResultsRequest",
    "LotAcceptedNotification",
    "ManifestResponse",
    "ManifestRequest",
    "PeerReaderProvider",
    "PeerRelayProvider",
    "PeerState",
    "PeerTable",
    "Ping",
    "PingPlan",
    "StoreResponse",
    "StoreRequest",
    "StoreRequestHandler",
    "ClusterClock",
    "WatchVerifier",
    "ping_timeout_s",
]
