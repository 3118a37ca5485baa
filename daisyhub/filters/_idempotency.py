"""Runs a non-idempotent request with an idempotency key at most once.

The key is claimed in the platform's store by a conditional write before the
request is sent. The claim therefore outlives the daemon and is shared by all
daemons. The claim core makes the decisions, which this filter executes.
"""

import hashlib

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.filters._claim_controller import ClaimController
from daisyhub.filters._claim_types import (
    ClaimRequested,
    RefuseRequest,
    ReplayResponse,
    RequestEnded,
    StoredResponse,
)
from daisyhub.messages import Request, Response

__all__ = ["IdempotencyFilter"]

_CLAIM_PREFIX = "claims/"
_MAX_STORED_RESPONSE_BYTES = 256 * 1024
_DETAILS = {
    ErrorCode.CLAIM_UNAVAILABLE: "the idempotency key can't be claimed now",
    ErrorCode.CLAIM_MISMATCH: (
        "the idempotency key was used with another request before"
    ),
    ErrorCode.CLAIM_IN_PROGRESS: "the same request is in progress",
    ErrorCode.OUTCOME_UNKNOWN: (
        "the request was sent before, and its outcome is unknown"
    ),
    ErrorCode.ANSWER_NOT_KEPT: (
        "the request ran before, and its response was not stored"
    ),
}


class IdempotencyFilter(Filter):
    """Claims the idempotency key and replays the response to repeats.

    Args:
        claims: The claim controller of this process.
    """

    name = "idempotency"

    def __init__(self, claims: ClaimController):
        self._claims = claims

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Claims the idempotency key before it passes the request on.

        Requests without an idempotency key, lot calls and requests on
        idempotent routes are passed on without a claim.

        Raises:
            Refusal: The key can't be claimed, is in use or belongs to another
                request, or the response to the first request is unavailable.
        """
        keys = req.header_values(b"idempotency-key")
        if not keys or req.route is None or req.route.idempotent:
            return await call_next(req)
        event = ClaimRequested(
            attempt=req.request_id,
            name=_claim_name(req.account, keys[0]),
            request_digest=_request_digest(req),
        )
        try:
            action = await self._claims.claim(event, req.deadline_s)
            if isinstance(action, ReplayResponse):
                return _make_replayed_response(action.response)
            if isinstance(action, RefuseRequest):
                raise _make_refusal(action)
            return await self._run(req, call_next)
        except BaseException:
            # Has no effect on an attempt that has ended.
            self._claims.cancel(event.attempt)
            raise

    async def _run(self, req: Request, call_next: Handler) -> Response:
        """Passes the request on and stores its outcome."""
        try:
            resp = await call_next(req)
        except Refusal as exc:
            ended = RequestEnded(req.request_id, exc.ran)
            await self._claims.store_outcome(ended, req.deadline_s)
            raise
        ended = RequestEnded(
            req.request_id, ExecutionStatus.RAN, _make_stored_response(resp)
        )
        await self._claims.store_outcome(ended, req.deadline_s)
        return resp


def _claim_name(account: str, key: bytes) -> str:
    digest = hashlib.sha256(account.encode() + b"\0" + key).hexdigest()
    return f"{_CLAIM_PREFIX}{account or 'open'}/{digest}"


def _request_digest(req: Request) -> str:
    parts = (req.method, req.host, req.path, req.query)
    text = "\0".join(parts).encode() + b"\0" + req.body
    return hashlib.sha256(text).hexdigest()


def _make_stored_response(resp: Response) -> StoredResponse | None:
    """Returns the response to store; None for streams and large bodies."""
    if resp.stream is not None or len(resp.body) > _MAX_STORED_RESPONSE_BYTES:
        return None
    types = resp.header_values(b"content-type")
    return StoredResponse(
        status=resp.status,
        content_type=types[0].decode("latin-1") if types else "",
        body=resp.body,
    )


def _make_replayed_response(stored: StoredResponse) -> Response:
    headers = [(b"idempotency-replayed", b"true")]
    if stored.content_type:
        headers.append((b"content-type", stored.content_type.encode("latin-1")))
    return Response(
        status=stored.status, headers=tuple(headers), body=stored.body
    )


def _make_refusal(action: RefuseRequest) -> Refusal:
    return Refusal(
        action.error,
        _DETAILS[action.error],
        ran=action.ran,
        retry_after_s=action.retry_after_s,
    )
