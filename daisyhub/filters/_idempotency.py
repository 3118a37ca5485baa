"""Runs a non-idempotent request with an idempotency key at most once.

The key is claimed in the platform's store by conditional create before the
request is sent, so that the claim outlives the daemon, and all daemons see
the same one.
"""

import contextlib
import hashlib
import uuid

import msgspec

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import (
    ErrorCode,
    PlatformConflictError,
    PlatformUnavailableError,
    Ran,
    Refusal,
)
from daisyhub.filters._claims import ClaimRecord, ClaimVerdict, decide_claim
from daisyhub.messages import Request, Response
from daisyhub.platform import PlatformClient

__all__ = ["IdempotencyFilter"]

_CLAIM_PREFIX = "claims/"
_KEPT_ANSWER_BYTES = 256 * 1024
_RETRY_PLATFORM_S = 2.0
_RETRY_IN_PROGRESS_S = 1.0
_TAKE_TRIES = 3


class IdempotencyFilter(Filter):
    """Claims the idempotency key, and replays the answer to repeats.

    Args:
        client: The platform.
        claimant: This daemon and incarnation.
    """

    name = "idempotency"

    def __init__(self, client: PlatformClient, claimant: str):
        self._client = client
        self._claimant = claimant

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Passes on requests without a key; claims the others first."""
        keys = req.header_values(b"idempotency-key")
        if not keys or req.route is None or req.route.idempotent:
            return await call_next(req)
        name = _claim_name(req.account, keys[0])
        digest = _request_digest(req)
        for _ in range(_TAKE_TRIES):
            replay = await self._claim_or_replay(name, digest)
            if isinstance(replay, Response):
                return replay
            if replay > 0:
                return await self._run(req, call_next, name, digest, replay)
        raise Refusal(
            ErrorCode.CLAIM_IN_PROGRESS,
            "the same request is in progress",
            retry_after_s=_RETRY_IN_PROGRESS_S,
        )

    async def _claim_or_replay(self, name, digest) -> Response | int:
        """Returns the claim's version, an answer, or 0 after a lost race."""
        record = ClaimRecord(
            request_digest=digest, state="claimed", claimant=self._claimant
        )
        try:
            return await self._put(name, record, 0)
        except PlatformConflictError:
            pass
        except PlatformUnavailableError as exc:
            raise _claim_unavailable() from exc
        try:
            found = await self._client.get(name)
        except PlatformUnavailableError as exc:
            raise _claim_unavailable() from exc
        if found is None:
            return 0
        known = msgspec.convert(found.value, ClaimRecord)
        verdict = decide_claim(known, digest, self._claimant)
        if verdict is not ClaimVerdict.TAKE:
            return _answer_repeat(verdict, known)
        try:
            return await self._put(name, record, found.version)
        except PlatformConflictError:
            return 0
        except PlatformUnavailableError as exc:
            raise _claim_unavailable() from exc

    async def _run(self, req, call_next, name, digest, version) -> Response:
        record = ClaimRecord(
            request_digest=digest, state="unknown", claimant=self._claimant
        )
        try:
            resp = await call_next(req)
            record = _done_record(record, resp)
            return resp
        except Refusal as exc:
            if exc.ran is Ran.NOT_RUN:
                record = msgspec.structs.replace(record, state="free")
            raise
        finally:
            with contextlib.suppress(
                PlatformUnavailableError, PlatformConflictError
            ):
                await self._put(name, record, version)

    async def _put(self, name, record, version) -> int:
        return await self._client.put(
            name,
            msgspec.to_builtins(record),
            expected_version=version,
            write_id=uuid.uuid4().hex,
        )


def _claim_name(account: str, key: bytes) -> str:
    digest = hashlib.sha256(account.encode() + b"\0" + key).hexdigest()
    return f"{_CLAIM_PREFIX}{account or 'open'}/{digest}"


def _request_digest(req: Request) -> str:
    parts = (req.method, req.host, req.path, req.query)
    text = "\0".join(parts).encode() + b"\0" + req.body
    return hashlib.sha256(text).hexdigest()


def _done_record(record: ClaimRecord, resp: Response) -> ClaimRecord:
    """Keeps the answer; one that is too large is kept as unknown."""
    if resp.stream is not None or len(resp.body) > _KEPT_ANSWER_BYTES:
        return record
    types = resp.header_values(b"content-type")
    return msgspec.structs.replace(
        record,
        state="done",
        status=resp.status,
        content_type=types[0].decode("latin-1") if types else "",
        body=resp.body,
    )


def _answer_repeat(verdict: ClaimVerdict, known: ClaimRecord) -> Response:
    if verdict is ClaimVerdict.REPLAY:
        headers = [(b"idempotency-replayed", b"true")]
        if known.content_type:
            value = known.content_type.encode("latin-1")
            headers.append((b"content-type", value))
        return Response(
            status=known.status, headers=tuple(headers), body=known.body
        )
    if verdict is ClaimVerdict.MISMATCH:
        raise Refusal(
            ErrorCode.CLAIM_MISMATCH,
            "the idempotency key came with another request before",
        )
    if verdict is ClaimVerdict.IN_PROGRESS:
        raise Refusal(
            ErrorCode.CLAIM_IN_PROGRESS,
            "the same request is in progress",
            ran=Ran.UNKNOWN,
            retry_after_s=_RETRY_IN_PROGRESS_S,
        )
    raise Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        "the request was sent before, and its outcome is unknown",
        ran=Ran.UNKNOWN,
    )


def _claim_unavailable() -> Refusal:
    return Refusal(
        ErrorCode.CLAIM_UNAVAILABLE,
        "the idempotency key can't be claimed now",
        retry_after_s=_RETRY_PLATFORM_S,
    )
