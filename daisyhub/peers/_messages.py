"""Typed messages between daemons, in MessagePack."""

import msgspec

from daisyhub.accounting import UsagePart
from daisyhub.balancing import EndpointUpdate
from daisyhub.config import ConfigHead
from daisyhub.hosting import EndpointRecord

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
    "LotCallResponse",
    "LotCallRequest",
    "RateLoanRequest",
    "RateLoanGrant",
    "MemberBeat",
    "UsageCopy",
    "UsageCopyAck",
    "decode_envelope",
    "encode_envelope",
]


class MemberBeat(msgspec.Struct, frozen=True, array_like=True):
    """The highest beat of one daemon that the sender knows.

    Attributes:
        name_hash: Short hash of the daemon's id.
        beat: Its incarnation plus the number of ticks since its start.
        is_leaving: Whether it is shutting down.
    """

    name_hash: int
    beat: int
    is_leaving: bool = False


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="hb"):
    """The state of a daemon, sent at each tick to a few others.

    Attributes:
        incarnation: Start of the process, microseconds since the epoch.
        config_version: Its active configuration version.
        withdrawn_keys: Number of key ids that it knows to be withdrawn.
        is_leaving: Whether it is shutting down.
        withdrawn_digest: Digest of these key ids.
        beat: The incarnation plus the number of ticks since the start.
        members: Known beats of the members of the sender's failure domain;
            empty in heartbeats to other domains and in responses.
    """

    incarnation: int
    config_version: int
    withdrawn_keys: int
    is_leaving: bool = False
    withdrawn_digest: str = ""
    beat: int = 0
    members: tuple[MemberBeat, ...] = ()


class EndpointUpdateBatch(msgspec.Struct, frozen=True, kw_only=True, tag="en"):
    """Endpoint updates since the last batch, or those of leaving endpoints."""

    news: tuple[EndpointUpdate, ...]


class UsageCopy(msgspec.Struct, frozen=True, kw_only=True, tag="uc"):
    """Copies of usage parts, kept in case their daemon dies before a flush."""

    parts: tuple[UsagePart, ...]


class UsageCopyAck(msgspec.Struct, frozen=True, kw_only=True, tag="uh"):
    """Acknowledges that copies of parts up to `number` of `epoch` are kept."""

    epoch: int
    number: int


class ConfigRequest(msgspec.Struct, frozen=True, kw_only=True, tag="cf"):
    """Requests a peer's head, withdrawn keys, and the parts not yet known.

    Attributes:
        known_digests: Digests of the parts that the response may omit.
    """

    known_digests: tuple[str, ...]


class ConfigResponse(msgspec.Struct, frozen=True, kw_only=True, tag="cp"):
    """The response to a `ConfigRequest`.

    Attributes:
        head: Head of the peer's active configuration.
        contents: Texts of the requested parts, by digest.
        withdrawn: Ids of the withdrawn API keys, sorted.
    """

    head: ConfigHead
    contents: dict[str, str]
    withdrawn: tuple[str, ...]


class EndpointsRequest(msgspec.Struct, frozen=True, kw_only=True, tag="ef"):
    """Requests the endpoints of a peer of the same failure domain."""


class EndpointsResponse(msgspec.Struct, frozen=True, kw_only=True, tag="ep"):
    """The endpoints that a daemon knows, in the form of the platform's list."""

    records: tuple[EndpointRecord, ...]


class LotCallRequest(msgspec.Struct, frozen=True, kw_only=True, tag="lc"):
    """A trainer's call, forwarded to the daemon that holds the lot.

    Attributes:
        lot_id: The lot.
        verb: `open`, `pull`, `ack` or `close`.
        account: Client account of the trainer's key.
        body: The call's body, JSON.
    """

    lot_id: str
    verb: str
    account: str
    body: bytes


class LotCallResponse(msgspec.Struct, frozen=True, kw_only=True, tag="la"):
    """The holder's response to a `LotCallRequest`.

    Attributes:
        status: HTTP status.
        body: JSON.
        retry_after_s: Seconds after which to retry a refused call, or None.
        is_elsewhere: Whether the responding daemon doesn't hold the lot.
    """

    status: int
    body: bytes
    retry_after_s: float | None = None
    is_elsewhere: bool = False


class Call(msgspec.Struct, frozen=True, kw_only=True, tag="call"):
    """A request that expects one response; `call_id` is unique per sender."""

    call_id: int
    content: ConfigRequest | EndpointsRequest | LotCallRequest


class CallResponse(msgspec.Struct, frozen=True, kw_only=True, tag="answer"):
    """The response to a call; `content` is None if the call failed."""

    call_id: int
    content: ConfigResponse | EndpointsResponse | LotCallResponse | None


class RateLoanRequest(msgspec.Struct, frozen=True, kw_only=True, tag="ra"):
    """Requests a loan of parts of accounts' rate limits.

    Attributes:
        incarnation: Incarnation of the requester, repeated in the grant.
        stamp_s: Time on the requester's clock, repeated in the grant.
        wants: Accounts and the number of quanta requested of each.
    """

    incarnation: int
    stamp_s: float
    wants: tuple[tuple[str, int], ...]


class RateLoanGrant(msgspec.Struct, frozen=True, kw_only=True, tag="rg"):
    """The response to a `RateLoanRequest`: the accounts and quanta lent."""

    incarnation: int
    stamp_s: float
    grants: tuple[tuple[str, int], ...]


Message = (
    Heartbeat
    | EndpointUpdateBatch
    | UsageCopy
    | UsageCopyAck
    | RateLoanRequest
    | RateLoanGrant
    | Call
    | CallResponse
)


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """Messages that one daemon sends to another in one transmission."""

    sender: str
    incarnation: int
    messages: tuple[Message, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns an envelope as MessagePack."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decodes an envelope from MessagePack.

    Raises:
        msgspec.DecodeError: The bytes are not a valid envelope.
    """
    try:
        return _decoder.decode(data)
    except RecursionError as exc:
        raise msgspec.DecodeError("message is nested too deeply") from exc
