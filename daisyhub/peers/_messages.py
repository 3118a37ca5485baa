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
    """The highest beat that the sender knows of one daemon.

    Attributes:
        name_hash: Short hash of the daemon's id.
        beat: Its incarnation plus its ticks since.
        is_leaving: Whether it is shutting down.
    """

    name_hash: int
    beat: int
    is_leaving: bool = False


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="hb"):
    """Sent at each tick to a few daemons.

    Attributes:
        incarnation: Start of the process, microseconds since the epoch.
        config_version: The version in force there.
        withdrawn_keys: How many key ids it knows to be withdrawn.
        is_leaving: Whether it is shutting down.
        withdrawn_digest: Digest of these key ids.
        beat: The incarnation plus the ticks since.
        members: What the sender knows of its failure domain.
    """

    incarnation: int
    config_version: int
    withdrawn_keys: int
    is_leaving: bool = False
    withdrawn_digest: str = ""
    beat: int = 0
    members: tuple[MemberBeat, ...] = ()


class EndpointUpdateBatch(msgspec.Struct, frozen=True, kw_only=True, tag="en"):
    """News of endpoints since the last tick."""

    news: tuple[EndpointUpdate, ...]


class UsageCopy(msgspec.Struct, frozen=True, kw_only=True, tag="uc"):
    """Usage parts, kept by peers in case their daemon dies unflushed."""

    parts: tuple[UsagePart, ...]


class UsageCopyAck(msgspec.Struct, frozen=True, kw_only=True, tag="uh"):
    """Tells a peer that its parts up to `number` of `epoch` are kept."""

    epoch: int
    number: int


class ConfigRequest(msgspec.Struct, frozen=True, kw_only=True, tag="cf"):
    """Asks a peer for its head and for sections that aren't known here."""

    known_digests: tuple[str, ...]


class ConfigResponse(msgspec.Struct, frozen=True, kw_only=True, tag="cp"):
    """A head, the section texts asked for, and the withdrawn keys."""

    head: ConfigHead
    contents: dict[str, str]
    withdrawn: tuple[str, ...]


class EndpointsRequest(msgspec.Struct, frozen=True, kw_only=True, tag="ef"):
    """Asks a peer of the same failure domain for its endpoints."""


class EndpointsResponse(msgspec.Struct, frozen=True, kw_only=True, tag="ep"):
    """The endpoints that a daemon knows, as the platform would list them."""

    records: tuple[EndpointRecord, ...]


class LotCallRequest(msgspec.Struct, frozen=True, kw_only=True, tag="lc"):
    """A trainer's call, passed on to the daemon that holds the lot.

    Attributes:
        lot_id: The lot.
        verb: `open`, `pull`, `ack` or `close`.
        account: Client account of the trainer's key.
        body: The call's JSON.
    """

    lot_id: str
    verb: str
    account: str
    body: bytes


class LotCallResponse(msgspec.Struct, frozen=True, kw_only=True, tag="la"):
    """The holder's answer to a `LotCallRequest`.

    Attributes:
        status: HTTP status.
        body: JSON.
        retry_after_s: When to ask again, if the call was refused.
        is_elsewhere: Whether the daemon doesn't hold the lot.
    """

    status: int
    body: bytes
    retry_after_s: float | None = None
    is_elsewhere: bool = False


class Call(msgspec.Struct, frozen=True, kw_only=True, tag="call"):
    """Asks for one answer; `call_id` is unique for the sender."""

    call_id: int
    content: ConfigRequest | EndpointsRequest | LotCallRequest


class CallResponse(msgspec.Struct, frozen=True, kw_only=True, tag="answer"):
    """Answers a call; without content the callee could not serve it."""

    call_id: int
    content: ConfigResponse | EndpointsResponse | LotCallResponse | None


class RateLoanRequest(msgspec.Struct, frozen=True, kw_only=True, tag="ra"):
    """Asks to borrow parts of accounts' limits.

    Attributes:
        incarnation: Of the asker.
        stamp_s: The asker's clock; the grant repeats both.
        wants: Accounts and quanta.
    """

    incarnation: int
    stamp_s: float
    wants: tuple[tuple[str, int], ...]


class RateLoanGrant(msgspec.Struct, frozen=True, kw_only=True, tag="rg"):
    """Lends parts of accounts' limits, in answer to a `RateLoanRequest`."""

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
    """All messages of one sender to one receiver at one time."""

    sender: str
    incarnation: int
    messages: tuple[Message, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the MessagePack form."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Reads the MessagePack form.

    Raises:
        msgspec.DecodeError: The bytes are no envelope.
    """
    return _decoder.decode(data)
