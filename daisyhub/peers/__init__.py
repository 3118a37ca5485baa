"""Messages between daemons."""

from daisyhub.peers._membership import (
    HeartbeatHeard,
    MembershipCore,
    MembershipTick,
    PostureChanged,
    SendHeartbeat,
)
from daisyhub.peers._messages import (
    Call,
    CallAnswer,
    ConfigFetch,
    ConfigParts,
    EndpointNewsBatch,
    Envelope,
    Heartbeat,
    LotAnswer,
    LotCall,
    MemberBeat,
    UsageCopy,
    decode_envelope,
    encode_envelope,
)
from daisyhub.peers._network import PeerNetwork, PeerUnreachableError

__all__ = [
    "Call",
    "CallAnswer",
    "ConfigFetch",
    "ConfigParts",
    "EndpointNewsBatch",
    "Envelope",
    "Heartbeat",
    "HeartbeatHeard",
    "LotAnswer",
    "LotCall",
    "MemberBeat",
    "MembershipCore",
    "MembershipTick",
    "PeerNetwork",
    "PeerUnreachableError",
    "PostureChanged",
    "SendHeartbeat",
    "UsageCopy",
    "decode_envelope",
    "encode_envelope",
]
