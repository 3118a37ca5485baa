"""The cluster of platform daemons: live peers, relayed store calls, clock.

Its messages are sent with `daisyhub.peers.PeerNetwork`. It uses pings instead
of the heartbeats and the membership of that package.
"""

from daisyhub.cluster._cluster_clock import ClusterClock
from daisyhub.cluster._controller import ClusterController
from daisyhub.cluster._messages import (
    CLUSTER_PROTOCOL,
    LotAcceptedNotification,
    LotEndedNotification,
    LotHeadRequest,
    LotItemBodyRequest,
    LotResponse,
    LotResultsRequest,
    ManifestRequest,
    ManifestResponse,
    Ping,
    StoreRequest,
    StoreResponse,
)
from daisyhub.cluster._peers import PeerState, PeerTable
from daisyhub.cluster._ping_plan import PingPlan, ping_timeout_s
from daisyhub.cluster._store_calls import PeerRelayProvider, StoreRequestHandler
from daisyhub.cluster._verifier import WatchVerifier

__all__ = [
    "CLUSTER_PROTOCOL",
    "ClusterController",
    "LotResponse",
    "LotItemBodyRequest",
    "LotEndedNotification",
    "LotHeadRequest",
    "LotResultsRequest",
    "LotAcceptedNotification",
    "ManifestResponse",
    "ManifestRequest",
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
