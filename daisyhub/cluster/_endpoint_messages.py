"""Messages about endpoints: ends, leaving, limits, cold times and permits."""

import msgspec

__all__ = [
    "ColdNotification",
    "EndedProcess",
    "EndpointLeavingNotification",
    "LeavingMarkNews",
    "LeavingMarksRequest",
    "LeavingMarksResponse",
    "PermitRequest",
    "PermitResponse",
    "RateLimitNotification",
    "SuspectNews",
    "TrialRequest",
    "TrialResponse",
]


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
