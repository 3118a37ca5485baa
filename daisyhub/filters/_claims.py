"""Claims of idempotency keys: what a repeated request may do."""

import enum

import msgspec

__all__ = ["ClaimRecord", "ClaimVerdict", "decide_claim"]


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The claim object's value, one for each (account, idempotency key).

    Attributes:
        request_digest: SHA-256 of method, path, query and body.
        state: `claimed` before the request is sent, `free` if it surely did
            not run, `done` with the answer, `unknown` if nobody can tell.
        claimant: Daemon and incarnation that claimed it.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body: Content of the answer.
    """

    request_digest: str
    state: str
    claimant: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimVerdict(enum.Enum):
    """What to do with a request whose key has a claim already."""

    TAKE = "take"
    REPLAY = "replay"
    MISMATCH = "mismatch"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"


def decide_claim(
    found: ClaimRecord, request_digest: str, claimant: str
) -> ClaimVerdict:
    """Decides about a repeat.

    Args:
        found: The claim in the store.
        request_digest: Digest of the repeated request.
        claimant: This daemon and incarnation.
    """
    if found.request_digest != request_digest:
        return ClaimVerdict.MISMATCH
    if found.state == "free":
        return ClaimVerdict.TAKE
    if found.state == "done":
        return ClaimVerdict.REPLAY
    if found.state == "claimed" and found.claimant == claimant:
        return ClaimVerdict.IN_PROGRESS
    return ClaimVerdict.UNKNOWN
