"""Claims of idempotency keys: the stored record, events and actions."""

import dataclasses
from typing import Literal

import msgspec

from daisyhub.exceptions import ErrorCode, ExecutionStatus

__all__ = [
    "ClaimCancelled",
    "ClaimReadCompleted",
    "ClaimReadFailed",
    "ClaimRecord",
    "ClaimRequested",
    "ClaimStored",
    "ClaimTick",
    "ClaimWriteRejected",
    "ClaimWriteUncertain",
    "ForwardRequest",
    "ReadClaim",
    "RefuseRequest",
    "ReplayResponse",
    "RequestEnded",
    "ReturnOutcome",
    "StoredResponse",
    "WriteClaim",
]


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A response as stored for repeats of its request.

    Attributes:
        status: HTTP status.
        content_type: Value of the content-type header; empty if absent.
        body: The whole body.
    """

    status: int
    content_type: str = ""
    body: bytes = b""


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a claim object, one for each account and idempotency key.

    Attributes:
        request_digest: SHA-256 of method, host, path, query and body.
        state: `claimed` before the request is sent, `free` if the request
            certainly did not run, `done` if it ran and its response is
            stored, `ran` if it ran and its response is not stored, `unknown`
            if it may have run.
        attempt: Unique id of the attempt that claimed the key.
        answer: The response, in state `done`.
    """

    request_digest: str
    state: Literal["claimed", "free", "done", "ran", "unknown"]
    attempt: str
    answer: StoredResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A request with an idempotency key arrived.

    Attributes:
        attempt: Unique id of this attempt, never reused.
        name: Name of the claim object.
        request_digest: Digest of the request, as in `ClaimRecord`.
    """

    attempt: str
    name: str
    request_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimStored:
    """The attempt's last write succeeded.

    Attributes:
        attempt: Id of the attempt.
        version: The new version of the claim object.
    """

    attempt: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWriteRejected:
    """The attempt's last write had no effect due to a version conflict."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWriteUncertain:
    """The attempt's last write may have taken effect, or may do so later."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReadCompleted:
    """A read succeeded.

    Attributes:
        attempt: Id of the attempt.
        record: The stored claim; None if the object does not exist.
        version: Version of the claim object; 0 if it does not exist.
    """

    attempt: str
    record: ClaimRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReadFailed:
    """A read failed, timed out or returned an invalid record."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """The forwarded request ended.

    Attributes:
        attempt: Id of the attempt.
        ran: Whether an endpoint executed the request.
        response: The response to store for repeats; None if there is none or
            it can't be stored.
    """

    attempt: str
    ran: ExecutionStatus
    response: StoredResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimCancelled:
    """The attempt was cancelled, in any of its states."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTick:
    """The wake-up time of the core has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Action: write the claim object if it has `expected_version`.

    Version 0 means that the object must not exist.
    """

    attempt: str
    name: str
    record: ClaimRecord
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadClaim:
    """Action: read the claim object."""

    attempt: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Action: forward the request, whose key is claimed."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayResponse:
    """Action: return the stored response of an earlier attempt."""

    attempt: str
    response: StoredResponse


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Action: refuse the request.

    Attributes:
        attempt: Id of the attempt.
        error: The error code.
        ran: Whether an endpoint executed this request, in this or an earlier
            attempt.
        retry_after_s: Seconds after which to retry; None if retrying is of no
            use.
    """

    attempt: str
    error: ErrorCode
    ran: ExecutionStatus
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnOutcome:
    """Action: return the outcome of the forwarded request to the caller."""

    attempt: str
