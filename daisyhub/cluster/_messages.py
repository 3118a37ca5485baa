"""Typed messages between daemons, in MessagePack."""

import msgspec

from daisyhub.billing import WindowCounts
from daisyhub.objects import StoredObject
from daisyhub.peers import PeerProtocol

__all__ = [
    "CLUSTER_PROTOCOL",
    "LotResponse",
    "LotItemBodyRequest",
    "LotEndedNotification",
    "LotHeadRequest",
    "LotResultsRequest",
    "LotAcceptedNotification",
    "ManifestResponse",
    "ManifestRequest",
    "Ping",
    "StoreResponse",
    "StoreRequest",
]


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag="ping"):
    """What a daemon tells its peers several times a second.

    Attributes:
        domain: Its failure domain.
        address: Where its peer socket listens, `IP:PORT`.
        wall_s: Its time of day, seconds since 1970.
        is_leaving: Whether it is shutting down.
        reaches_store: Whether its last call of the store succeeded.
        manifest_revision: Revision of the manifest in force there, 0 for none.
        newest: Revision of the newest change that it saw, by kind.
        duties: Fencing numbers of the duties that it holds.
        usage: What it counted in recent windows.
        speed: Its machine's processor, in cores.
        closed_before: The first window whose counts may still rise there.
        peers: Addresses of the daemons that it hears, by id; in some pings.
    """

    domain: str
    address: str
    wall_s: float
    speed: float = 0.0
    is_leaving: bool = False
    reaches_store: bool = False
    manifest_revision: int = 0
    newest: dict[str, int] = {}
    duties: dict[str, int] = {}
    usage: tuple[WindowCounts, ...] = ()
    closed_before: int = 0
    peers: dict[str, str] = {}


class StoreRequest(msgspec.Struct, frozen=True, kw_only=True, tag="sq"):
    """Asks a peer to carry a call of the store.

    Attributes:
        verb: Name of the method of `ObjectStore`.
        kind: Kind of the objects.
        name: Name of the object, if it is about one.
        content: The spec or the status, JSON.
        revision: Revision that a write expects, or a watch goes on from.
        wait_s: How long a watch waits.
    """

    verb: str
    kind: str
    name: str = ""
    content: bytes = b""
    revision: int = 0
    wait_s: float = 0.0


class StoreResponse(msgspec.Struct, frozen=True, kw_only=True, tag="sa"):
    """What a carried call brought.

    Attributes:
        failure: `conflict`, `history_gone`, `unavailable`, or empty.
        detail: One sentence on the failure.
        may_be_done: Whether a call that failed may have taken effect.
        found: The object that was read, written or met.
        revision: The revision of a list or a watch.
        items: The objects of a list, or the changes of a watch.
    """

    failure: str = ""
    detail: str = ""
    may_be_done: bool = False
    found: StoredObject | None = None
    revision: int = 0
    items: tuple[StoredObject, ...] = ()


class ManifestRequest(msgspec.Struct, frozen=True, kw_only=True, tag="mq"):
    """Asks for the manifest in force."""


class ManifestResponse(msgspec.Struct, frozen=True, kw_only=True, tag="ma"):
    """The manifest in force, None if there is none."""

    found: StoredObject | None


class LotResultsRequest(msgspec.Struct, frozen=True, kw_only=True, tag="rq"):
    """Asks a lot's holder for results.

    Attributes:
        lot_id: The lot.
        after: First position wanted.
        wait_s: How long to wait if there is none yet.
    """

    lot_id: str
    after: int
    wait_s: float


class LotItemBodyRequest(msgspec.Struct, frozen=True, kw_only=True, tag="bq"):
    """Asks a lot's holder for the body of an item."""

    lot_id: str
    item_id: str


class LotHeadRequest(msgspec.Struct, frozen=True, kw_only=True, tag="hq"):
    """Asks a lot's holder for the lot without its items."""

    lot_id: str


class LotAcceptedNotification(msgspec.Struct, frozen=True, tag="lt"):
    """Tells a lot's holder that the lot was accepted; `head` is encoded."""

    head: bytes


class LotEndedNotification(msgspec.Struct, frozen=True, tag="le"):
    """Tells a lot's holder that the lot was ended."""

    lot_id: str


class LotResponse(msgspec.Struct, frozen=True, kw_only=True, tag="la"):
    """A holder's answer.

    Attributes:
        is_held: Whether the daemon holds the lot at all.
        content: Encoded results, an encoded head, or an item's body.
        is_found: Whether what was asked for exists.
        is_ended: Whether the lot was ended; the store tells its results.
    """

    is_held: bool
    content: bytes = b""
    is_found: bool = True
    is_ended: bool = False


class _Call(msgspec.Struct, frozen=True, kw_only=True, tag="call"):
    """Asks for one answer; `call_id` is unique for the sender."""

    call_id: int
    content: (
        StoreRequest
        | ManifestRequest
        | LotHeadRequest
        | LotResultsRequest
        | LotItemBodyRequest
    )


class _CallAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="answer"):
    """Answers a call; without content the callee could not serve it."""

    call_id: int
    content: StoreResponse | ManifestResponse | LotResponse | None


class _Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """All messages of one sender to one receiver at one time."""

    sender: str
    incarnation: int
    messages: tuple[
        Ping
        | LotAcceptedNotification
        | LotEndedNotification
        | _Call
        | _CallAnswer,
        ...,
    ]


CLUSTER_PROTOCOL = PeerProtocol(_Envelope, _Call, _CallAnswer)
