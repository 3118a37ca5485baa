"""Typed messages between platform daemons, in MessagePack."""

import msgspec

from daisyhub.balancing import CapacityDigest
from daisyhub.billing import WindowCounts
from daisyhub.cluster._backlogs import BacklogNews
from daisyhub.cluster._endpoint_messages import (
    ColdNotification,
    EndpointLeavingNotification,
    LeavingMarksRequest,
    LeavingMarksResponse,
    PermitRequest,
    PermitResponse,
    RateLimitNotification,
    SuspectNews,
    TrialRequest,
    TrialResponse,
)
from daisyhub.cluster._load_news import LoadNews
from daisyhub.cluster._lot_messages import (
    LotAcceptedNotification,
    LotEndedNotification,
    LotHeadRequest,
    LotItemBodyRequest,
    LotResponse,
    LotResultsRequest,
)
from daisyhub.cluster._stream_messages import (
    StreamOriginBatch,
    StreamOriginQuery,
    StreamOriginRecord,
    StreamOriginResponse,
)
from daisyhub.cluster._task_messages import TaskOrders, TaskReport
from daisyhub.objects import StoredObject
from daisyhub.peers import PeerProtocol

__all__ = [
    "CLUSTER_PROTOCOL",
    "HolderNews",
    "ManifestResponse",
    "ManifestRequest",
    "Ping",
    "ReachQuestion",
    "StoreResponse",
    "StoreRequest",
    "UsageReport",
]


class HolderNews(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the sender knows of the holder of a duty.

    Attributes:
        duty: The duty.
        daemon_id: Its holder.
        incarnation: Start of the holder's process.
        fencing: The holder's fencing number.
        address: Where its peer socket listens, `IP:PORT`.
        reaches_store: Whether it reaches the store.
        age_s: Seconds since a daemon received a ping of it.
    """

    duty: str
    daemon_id: str
    incarnation: int
    fencing: int
    address: str
    reaches_store: bool
    age_s: float


class Ping(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="ping"
):
    """The state of a daemon, sent to its peers several times a second.

    Fields with their default values aren't sent, since a ping must fit into a
    datagram.

    Attributes:
        domain: Its failure domain.
        address: Where its peer socket listens, `IP:PORT`.
        wall_s: Its time of day, seconds since 1970.
        is_leaving: Whether it is shutting down.
        reaches_store: Whether its last direct call of the store succeeded.
        manifest_revision: Revision of its active manifest, 0 for none.
        newest: Revision of the newest change that it received, by kind.
        duties: Fencing numbers of the duties that it holds, by duty.
        standbys: The daemons that may take over its duties, which it pings in
            each round.
        holders: Other daemons that have a duty.
        speed: Processor speed available to it, in cores.
        peers: Addresses of some daemons that it knows, by id.
        leaving_digest: Digest of its marks of leaving endpoints; 0 if it has
            none.
        suspects: Some of the blocked requests that the sender knows, in turn.
        evacuations: Revisions of the store at which the evacuation of a failure
            domain was found, and was gone; by domain, for those that changed
            last.
        answer_age_s: Seconds since an endpoint answered it; None for never.
        is_cut_off: Whether it reaches no endpoint although peers do.
        relay: Where it listens for requests that peers send through it,
            `IP:PORT`; empty for none.
        adaptive_pools: Pools whose endpoints state a pace.
        capacity: Some of its samples of the capacity of endpoints; None
            without an adaptive pool.
        backlog: Newest figures of the work of open lots; None without any.
        loads: Endpoints of adaptive pools that stated to the sender that they
            have no free slot.
        challenges: Duties of whose holder the sender gets no pings and which
            it has asked through the store whether it is alive.
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
    standbys: tuple[str, ...] = ()
    holders: tuple[HolderNews, ...] = ()
    peers: dict[str, str] = {}
    leaving_digest: int = 0
    suspects: tuple[SuspectNews, ...] = ()
    evacuations: dict[str, tuple[int, int]] = {}
    answer_age_s: float | None = None
    is_cut_off: bool = False
    relay: str = ""
    adaptive_pools: tuple[str, ...] = ()
    capacity: CapacityDigest | None = None
    backlog: BacklogNews | None = None
    loads: tuple[LoadNews, ...] = ()
    challenges: tuple[str, ...] = ()


class ReachQuestion(msgspec.Struct, frozen=True, tag="rc"):
    """Asks a daemon to find out whether endpoints answer it.

    Its next pings tell.
    """


class UsageReport(msgspec.Struct, frozen=True, kw_only=True, tag="us"):
    """Usage counts of a daemon, sent to the holder that reports them.

    Attributes:
        usage: Its counts of recent windows.
        closed_before: Its first window whose counts may still increase.
    """

    usage: tuple[WindowCounts, ...]
    closed_before: int


class StoreRequest(msgspec.Struct, frozen=True, kw_only=True, tag="sq"):
    """Requests that a peer relay a call to the store.

    Attributes:
        verb: `read`, `list`, `watch`, `create`, `replace`, `set_status` or
            `delete`, for the corresponding method of `ObjectStore`.
        kind: Kind of the objects.
        name: Name of the object, empty for a list or a watch.
        content: The spec or the status to write, JSON.
        revision: Revision that a write expects, or after which a watch starts.
        wait_s: Maximum wait of a watch, in seconds.
        of_copy: Whether to list or watch the peer's copy instead of the store.
    """

    verb: str
    kind: str
    name: str = ""
    content: bytes = b""
    revision: int = 0
    wait_s: float = 0.0
    of_copy: bool = False


class StoreResponse(msgspec.Struct, frozen=True, kw_only=True, tag="sa"):
    """The result of a relayed store call.

    Attributes:
        failure: `conflict`, `history_gone` or `unavailable`; empty on success.
        detail: One sentence that describes the failure.
        may_be_done: Whether a failed call may have taken effect; true unless
            the peer states otherwise.
        is_throttled: Whether the store rejected the call because of its rate.
        found: The object that was read, written or in conflict; None if there
            is none, and unset if the peer doesn't say.
        revision: The revision of a list or a watch.
        items: The objects of a list, or the changes of a watch.
        complete_to: Revision up to which the list of a copy certainly reflects
            all changes.
    """

    failure: str = ""
    detail: str = ""
    may_be_done: bool = True
    is_throttled: bool = False
    found: StoredObject | None | msgspec.UnsetType = msgspec.UNSET
    revision: int = 0
    items: tuple[StoredObject, ...] = ()
    complete_to: int = 0


class ManifestRequest(msgspec.Struct, frozen=True, kw_only=True, tag="mq"):
    """Requests the active manifest."""


class ManifestResponse(msgspec.Struct, frozen=True, kw_only=True, tag="ma"):
    """The active manifest, None if there is none."""

    found: StoredObject | None


class _Call(msgspec.Struct, frozen=True, kw_only=True, tag="call"):
    """A request that expects one response; `call_id` is unique per sender."""

    call_id: int
    content: (
        StoreRequest
        | ManifestRequest
        | LotHeadRequest
        | LotResultsRequest
        | LotItemBodyRequest
        | PermitRequest
        | TrialRequest
        | StreamOriginRecord
        | StreamOriginQuery
        | StreamOriginBatch
    )


class _CallResponse(msgspec.Struct, frozen=True, kw_only=True, tag="answer"):
    """The response to a call; `content` is None if the call failed."""

    call_id: int
    content: (
        StoreResponse
        | ManifestResponse
        | LotResponse
        | PermitResponse
        | TrialResponse
        | StreamOriginResponse
        | None
    )


class _Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """Messages that one daemon sends to another in one transmission."""

    sender: str
    incarnation: int
    messages: tuple[
        Ping
        | UsageReport
        | TaskOrders
        | TaskReport
        | LotAcceptedNotification
        | LotEndedNotification
        | EndpointLeavingNotification
        | LeavingMarksRequest
        | LeavingMarksResponse
        | RateLimitNotification
        | ColdNotification
        | SuspectNews
        | ReachQuestion
        | _Call
        | _CallResponse,
        ...,
    ]


CLUSTER_PROTOCOL = PeerProtocol(_Envelope, _Call, _CallResponse)
