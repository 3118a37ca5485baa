"""Claims of idempotency keys: the stored record, events and actions."""

import dataclasses
from typing import Literal

import msgspec

from daisyhub.exceptions import ErrorCode, Ran

__all__ = [
    "ClaimRequested",
    "ClaimWriteRejected",
    "ClaimCancelled",
    "ClaimReadCompleted",
    "ClaimReadFailed",
    "ClaimRecord",
    "ReturnOutcome",
    "ClaimStored",
    "ClaimTick",
    "ClaimWriteUncertain",
    "ForwardRequest",
    "StoredResponse",
    "ReadClaim",
    "RefuseRequest",
    "ReplayResponse",
    "RequestEnded",
    "WriteClaim",
]


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """An answer as it is kept for repeats.

    Attributes:
        status: HTTP status.
        content_type: Content type, or empty.
        body: Content.
    """

    status: int
    content_type: str = ""
    body: bytes = b""


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The claim object's value, one for each (account, idempotency key).

    Attributes:
        request_digest: SHA-256 of method, host, path, query and body.
        state: `claimed` before the request is sent, `free` if it surely did
            not run, `done` with the answer, `ran` without it, `unknown` if
            nobody can tell.
        attempt: Unique id of the attempt that claimed it.
        answer: The answer, in state `done`.
    """

    request_digest: str
    state: Literal["claimed", "free", "done", "ran", "unknown"]
    attempt: str
    answer: StoredResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A request with an idempotency key came.

    Attributes:
        attempt: Unique id of this attempt, never used again.
        name: Name of the claim object.
        request_digest: Digest of the request.
    """

    attempt: str
    name: str
    request_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimStored:
    """The attempt's last write took effect."""

    attempt: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWriteRejected:
    """The attempt's last write met another version: it had no effect."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWriteUncertain:
    """The attempt's last write may or may not take effect, even later."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReadCompleted:
    """A read was answered; `record` is None if there is no object."""

    attempt: str
    record: ClaimRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReadFailed:
    """A read was not answered."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """The forwarded request ended.

    Attributes:
        attempt: Its attempt.
        ran: Whether an endpoint executed it.
        answer: What to keep for repeats; None if it can't be kept.
    """

    attempt: str
    ran: Ran
    answer: StoredResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimCancelled:
    """The attempt was cancelled in the midst of whatever it was doing."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Action: write the claim object if it is at `expected_version`."""

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
    """Action: the key is claimed; send the request."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayResponse:
    """Action: give the first attempt's answer."""

    attempt: str
    answer: StoredResponse


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Action: refuse; `ran` speaks of the key's request so far."""

    attempt: str
    error: ErrorCode
    ran: Ran
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnOutcome:
    """Action: nothing is left to do; hand over the request's outcome."""

    attempt: str
