"""Typed messages between platform daemons, in MessagePack."""

import msgspec

from daisyhub.balancing import CapacityDigest
from daisyhub.billing import WindowCounts
from daisyhub.cluster._backlogs import BacklogNews
from daisyhub.cluster._load_news import LoadNews
from daisyhub.cluster._task_messages import TaskOrders, TaskReport
from daisyhub.objects import StoredObject
from daisyhub.peers import PeerProtocol
from daisyhub.streams import StoredOrigin

__all__ = [
    "CLUSTER_PROTOCOL",
    "ColdNotification",
    "EndedProcess",
    "EndpointLeavingNotification",
    "HolderNews",
    "LeavingMarkNews",
    "LeavingMarksRequest",
    "LeavingMarksResponse",
    "LotResponse",
    "LotItemBodyRequest",
    "LotEndedNotification",
    "LotHeadRequest",
    "LotResultsRequest",
    "LotAcceptedNotification",
    "ManifestResponse",
    "ManifestRequest",
    "PermitRequest",
    "PermitResponse",
    "Ping",
    "RateLimitNotification",
    "ReachQuestion",
    "SuspectNews",
    "TrialRequest",
    "TrialResponse",
    "StoreResponse",
    "StoreRequest",
    "StreamOriginBatch",
    "StreamOriginQuery",
    "StreamOriginRecord",
    "StreamOriginResponse",
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


class EndedProcess(msgspec.Struct, frozen=True, array_like=True):
    """A process that ended while a suspected request ran there.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            unknown.
        address: Where it listened, `IP:PORT`.
        age_s: Seconds since its end.
    """

    endpoint_id: str
    incarnation: int
    address: str
    age_s: float


class SuspectNews(msgspec.Struct, frozen=True, kw_only=True, tag="sn"):
    """What the sender knows of a suspected request.

    Attributes:
        digest: Digest of its content.
        ended: The processes that ended while it ran there.
        cleared_age_s: Seconds since the time up to which evidence was dropped;
            None if it never was.
        trials: Number of trials that were granted.
    """

    digest: bytes
    ended: tuple[EndedProcess, ...]
    cleared_age_s: float | None = None
    trials: int = 0


class TrialRequest(msgspec.Struct, frozen=True, kw_only=True, tag="tq"):
    """Asks for a trial of a suspected request.

    Attributes:
        news: What the sender knows of it.
    """

    news: SuspectNews


class TrialResponse(msgspec.Struct, frozen=True, kw_only=True, tag="ta"):
    """Whether a trial was granted."""

    is_granted: bool


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


class LotResultsRequest(msgspec.Struct, frozen=True, kw_only=True, tag="rq"):
    """Requests results of a lot from its holder.

    Attributes:
        lot_id: The lot.
        after: Position of the first requested result, counted from 0.
        wait_s: Maximum wait in seconds if there is no result yet.
    """

    lot_id: str
    after: int
    wait_s: float


class LotItemBodyRequest(msgspec.Struct, frozen=True, kw_only=True, tag="bq"):
    """Requests the body of an item from the lot's holder."""

    lot_id: str
    item_id: str


class LotHeadRequest(msgspec.Struct, frozen=True, kw_only=True, tag="hq"):
    """Requests a lot without its items from its holder."""

    lot_id: str


class LotAcceptedNotification(msgspec.Struct, frozen=True, tag="lt"):
    """Notifies the holder of a lot that was accepted.

    Attributes:
        head: The lot without its items, JSON.
    """

    head: bytes


class LotEndedNotification(msgspec.Struct, frozen=True, tag="le"):
    """Notifies the holder of a lot that the lot was ended."""

    lot_id: str


class EndpointLeavingNotification(
    msgspec.Struct, frozen=True, kw_only=True, tag="el"
):
    """Notifies peers that an endpoint announced its leaving.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            unknown.
        address: Where it listens, `IP:PORT`.
    """

    endpoint_id: str
    incarnation: int = 0
    address: str = ""


class LeavingMarkNews(msgspec.Struct, frozen=True, array_like=True):
    """A process of an endpoint that announced its leaving.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            unknown.
        address: Where it listens, `IP:PORT`.
        age_s: Seconds since its announcement.
    """

    endpoint_id: str
    incarnation: int
    address: str
    age_s: float


class LeavingMarksRequest(msgspec.Struct, frozen=True, tag="mr"):
    """Requests a peer's marks of leaving endpoints."""


class LeavingMarksResponse(msgspec.Struct, frozen=True, kw_only=True, tag="ms"):
    """The marks of leaving endpoints that the sender has.

    Attributes:
        digest: Their digest.
        marks: The marks.
    """

    digest: int
    marks: tuple[LeavingMarkNews, ...]


class RateLimitNotification(
    msgspec.Struct, frozen=True, kw_only=True, tag="rl"
):
    """Notifies peers that an endpoint limits its requests, or no more.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            unknown.
        address: Where it listens, `IP:PORT`.
        rate_per_s: Requests a second that it accepts; infinite if it states no
            limit.
        age_s: Seconds since the time from which that holds.
    """

    endpoint_id: str
    incarnation: int
    address: str
    rate_per_s: float
    age_s: float


class ColdNotification(msgspec.Struct, frozen=True, kw_only=True, tag="cn"):
    """Notifies peers that an endpoint became cold.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            unknown.
        address: Where it listens, `IP:PORT`.
        left_s: Seconds for which it stays cold.
        per_s: Requests a second that it tolerates from all daemons together.
    """

    endpoint_id: str
    incarnation: int
    address: str
    left_s: float
    per_s: float


class PermitRequest(msgspec.Struct, frozen=True, kw_only=True, tag="pq"):
    """Asks for a permit for one request to an endpoint with a limit.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            unknown.
        address: Where it listens, `IP:PORT`.
        rate_per_s: Requests a second that it accepts, as the sender knows it;
            infinite if it states no limit.
        age_s: Seconds since the time from which that holds; infinite if it
            never stated a limit.
        is_urgent: Whether somebody waits for the request.
        max_wait_s: How far ahead the permit may start.
        cold_left_s: Seconds for which it stays cold, as the sender knows it.
        cold_per_s: Requests a second that it tolerates while it is cold.
    """

    endpoint_id: str
    incarnation: int
    address: str
    rate_per_s: float
    age_s: float
    is_urgent: bool
    max_wait_s: float
    cold_left_s: float = 0.0
    cold_per_s: float = 0.0


class PermitResponse(msgspec.Struct, frozen=True, kw_only=True, tag="pa"):
    """The response to a request for a permit.

    Attributes:
        is_decided: Whether the daemon decides for the endpoint.
        is_granted: Whether the request may be sent.
        wait_s: Seconds until it may be sent, or until there is room if it was
            denied.
        rate_per_s: Requests a second that the endpoint accepts, as the daemon
            knows it; None if it doesn't.
        age_s: Seconds since the time from which that holds.
        cold_left_s: Seconds for which the endpoint stays cold.
        cold_per_s: Requests a second that it tolerates while it is cold.
    """

    is_decided: bool
    is_granted: bool = False
    wait_s: float = 0.0
    rate_per_s: float | None = None
    age_s: float = 0.0
    cold_left_s: float = 0.0
    cold_per_s: float = 0.0


class StreamOriginRecord(msgspec.Struct, frozen=True, kw_only=True, tag="ow"):
    """Asks a daemon to keep the origin of a stream.

    Attributes:
        key: Key of the stream's first request.
        pool: Pool of the release that began it.
        software: Software version of that release.
        valid_s: Seconds for which its caller may come back.
    """

    key: str
    pool: str
    software: str
    valid_s: float


class StreamOriginBatch(msgspec.Struct, frozen=True, kw_only=True, tag="ob"):
    """Asks the writer of a failure domain to store the origins of streams."""

    origins: tuple[StoredOrigin, ...]


class StreamOriginQuery(msgspec.Struct, frozen=True, kw_only=True, tag="oq"):
    """Asks a daemon for the origin of a stream."""

    key: str


class StreamOriginResponse(msgspec.Struct, frozen=True, kw_only=True, tag="oa"):
    """What a daemon knows of a stream.

    Attributes:
        is_known: Whether it knows the stream.
        pool: Pool of the release that began it.
        software: Software version of that release; empty if two were named.
        valid_s: Seconds for which its caller may come back.
    """

    is_known: bool
    pool: str = ""
    software: str = ""
    valid_s: float = 0.0


class LotResponse(msgspec.Struct, frozen=True, kw_only=True, tag="la"):
    """A holder's response to a request about a lot.

    Attributes:
        is_held: Whether the daemon is the lot's holder and can serve it.
        content: Results as JSON, a head as JSON, or an item's body.
        is_found: Whether the requested item exists.
        is_ended: Whether the lot was ended; its results are in the store.
    """

    is_held: bool
    content: bytes = b""
    is_found: bool = True
    is_ended: bool = False


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
