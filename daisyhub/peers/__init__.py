"""Membership of daemons, and messages between them.

Platform daemons use only the network, with the messages of `daisyhub.cluster`.
"""

from daisyhub.peers._membership import (
    HeartbeatReceived,
    LocalStateChanged,
    MembershipCore,
    MembershipTick,
    SendHeartbeat,
)
from daisyhub.peers._messages import (
    Call,
    CallResponse,
    ConfigRequest,
    ConfigResponse,
    EndpointsRequest,
    EndpointsResponse,
    EndpointUpdateBatch,
    Envelope,
    Heartbeat,
    LotCallRequest,
    LotCallResponse,
    MemberBeat,
    RateLoanGrant,
    RateLoanRequest,
    UsageCopy,
    UsageCopyAck,
    decode_envelope,
    encode_envelope,
)
from daisyhub.peers._network import (
    PeerNetwork,
    PeerProtocol,
    PeerUnreachableError,
)

__all__ = [
    "Call",
    "CallResponse",
    "ConfigRequest",
    "ConfigResponse",
    "EndpointsRequest",
    "EndpointUpdateBatch",
    "EndpointsResponse",
    "Envelope",
    "Heartbeat",
    "HeartbeatReceived",
    "LotCallResponse",
    "LotCallRequest",
    "MemberBeat",
    "MembershipCore",
    "MembershipTick",
    "PeerNetwork",
    "PeerProtocol",
    "PeerUnreachableError",
    "RateLoanRequest",
    "RateLoanGrant",
    "LocalStateChanged",
    "SendHeartbeat",
    "UsageCopy",
    "UsageCopyAck",
    "decode_envelope",
    "encode_envelope",
]
