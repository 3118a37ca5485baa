"""Runs a non-idempotent request with an idempotency key at most once.

The key is claimed in the platform's store by conditional create before the
request is sent, so that the claim outlives the daemon, and all daemons see
the same one. The claim core decides; this filter carries it out.
"""

import hashlib

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import ErrorCode, Ran, Refusal
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
_KEPT_ANSWER_BYTES = 256 * 1024
_DETAILS = {
    ErrorCode.CLAIM_UNAVAILABLE: "the idempotency key can't be claimed now",
    ErrorCode.CLAIM_MISMATCH: (
        "the idempotency key came with another request before"
    ),
    ErrorCode.CLAIM_IN_PROGRESS: "the same request is in progress",
    ErrorCode.OUTCOME_UNKNOWN: (
        "the request was sent before, and its outcome is unknown"
    ),
    ErrorCode.ANSWER_NOT_KEPT: (
        "the request ran before, and its answer was not kept"
    ),
}


class IdempotencyFilter(Filter):
    """Claims the idempotency key, and replays the answer to repeats.

    Args:
        claims: The claims of this process.
    """

    name = "idempotency"

    def __init__(self, claims: ClaimController):
        self._claims = claims

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Passes on requests without a key; claims the others first."""
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
                return _replay(action.answer)
            if isinstance(action, RefuseRequest):
                raise _refusal(action)
            return await self._run(req, call_next)
        except BaseException:
            # Without effect on an attempt that has ended.
            self._claims.drop(event.attempt)
            raise

    async def _run(self, req: Request, call_next: Handler) -> Response:
        """Sends the request and stores its outcome."""
        try:
            resp = await call_next(req)
        except Refusal as exc:
            ended = RequestEnded(req.request_id, exc.ran)
            await self._claims.end(ended, req.deadline_s)
            raise
        ended = RequestEnded(req.request_id, Ran.RAN, _kept_answer(resp))
        await self._claims.end(ended, req.deadline_s)
        return resp


def _claim_name(account: str, key: bytes) -> str:
    digest = hashlib.sha256(account.encode() + b"\0" + key).hexdigest()
    return f"{_CLAIM_PREFIX}{account or 'open'}/{digest}"


def _request_digest(req: Request) -> str:
    parts = (req.method, req.host, req.path, req.query)
    text = "\0".join(parts).encode() + b"\0" + req.body
    return hashlib.sha256(text).hexdigest()


def _kept_answer(resp: Response) -> StoredResponse | None:
    """Returns what repeats get; None for streams and large answers."""
    if resp.stream is not None or len(resp.body) > _KEPT_ANSWER_BYTES:
        return None
    types = resp.header_values(b"content-type")
    return StoredResponse(
        status=resp.status,
        content_type=types[0].decode("latin-1") if types else "",
        body=resp.body,
    )


def _replay(answer: StoredResponse) -> Response:
    headers = [(b"idempotency-replayed", b"true")]
    if answer.content_type:
        headers.append((b"content-type", answer.content_type.encode("latin-1")))
    return Response(
        status=answer.status, headers=tuple(headers), body=answer.body
    )


def _refusal(action: RefuseRequest) -> Refusal:
    return Refusal(
        action.error,
        _DETAILS[action.error],
        ran=action.ran,
        retry_after_s=action.retry_after_s,
    )
