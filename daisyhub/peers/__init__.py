"""Messages between daemons."""

from daisyhub.peers._messages import (
    Call,
    CallAnswer,
    ConfigFetch,
    ConfigParts,
    EndpointFetch,
    EndpointNewsBatch,
    EndpointParts,
    Envelope,
    Heartbeat,
    LotAnswer,
    LotCall,
    RateAsk,
    RateGrant,
    UsageCopy,
    UsageHeld,
    decode_envelope,
    encode_envelope,
)
from daisyhub.peers._network import PeerNetwork, PeerUnreachableError

__all__ = [
    "Call",
    "CallAnswer",
    "ConfigFetch",
    "ConfigParts",
    "EndpointFetch",
    "EndpointNewsBatch",
    "EndpointParts",
    "Envelope",
    "Heartbeat",
    "LotAnswer",
    "LotCall",
    "PeerNetwork",
    "PeerUnreachableError",
    "RateAsk",
    "RateGrant",
    "UsageCopy",
    "UsageHeld",
    "decode_envelope",
    "encode_envelope",
]
