"""Events and actions of the admission core."""

import dataclasses

from daisyhub.exceptions import ErrorCode

__all__ = [
    "AdmissionTick",
    "AdmitRequest",
    "ConcurrencyLimitChanged",
    "RequestAbandoned",
    "RequestArrived",
    "RequestDeparted",
    "ShedRequest",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestArrived:
    """A request arrived.

    Attributes:
        request_id: Unique id.
        account: The client account; empty on open routes.
        weight: Fair-queueing weight of the account.
        rate: Sustained requests per second that this daemon admits for the
            account; 0 for no limit.
        burst: Size of the account's token bucket in this daemon.
        deadline_s: Time at which the caller stops waiting.
    """

    request_id: str
    account: str
    weight: int
    rate: float
    burst: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencyLimitChanged:
    """The number of requests that may be in service has changed."""

    concurrency_limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDeparted:
    """An admitted request left service after `service_s` seconds."""

    request_id: str
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The caller of a waiting request stopped waiting."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionTick:
    """The wake-up time of the core has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Action: pass the request on."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShedRequest:
    """Action: refuse the request.

    Attributes:
        request_id: Id of the request.
        error: The error code.
        retry_after_s: Seconds after which to retry.
    """

    request_id: str
    error: ErrorCode
    retry_after_s: float
