"""Notices requests under which endpoints end, and keeps them from others."""

import asyncio
from collections.abc import AsyncIterator

import anyio

from daisyhub.balancing import EndpointEntry
from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway._send_task import SendTask
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.suspects import Suspects, Verdict

__all__ = ["CrashWatch"]

# Seconds for a connection that tells whether a process still listens: a few
# round trips between failure domains.
_CONNECT_TIMEOUT_S = 0.15
# Seconds after which an endpoint is checked whose request was abandoned: a few
# times the usual latency of a look-up.
_ABANDONED_CHECK_DELAY_S = 0.3


class CrashWatch:
    """Judges requests, and records how those ended that were sent.

    Items and reward calls are exempt: they are owed, whatever happens to the
    endpoints that run them.

    Args:
        suspects: The suspected requests.
        http: Tells whether an endpoint still listens.
        metrics: Counts evidence and blocked requests.
        log: Log of both.
    """

    def __init__(
        self,
        suspects: Suspects,
        http: HttpClient,
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._suspects = suspects
        self._http = http
        self._metrics = metrics
        self._log = log
        self._checks: set[asyncio.Task] = set()

    async def judge(self, task: SendTask, digest: bytes) -> Verdict:
        """Returns how a request may be sent.

        Raises:
            Refusal: It is blocked.
        """
        if task.is_background:
            return Verdict.FREE
        verdict = await self._suspects.judge(digest)
        if verdict is Verdict.FREE:
            return verdict
        self._metrics.count("suspected_requests", verdict=verdict.value)
        self._log.record(
            "request_suspected",
            id=task.request_id,
            account=task.account,
            target=task.target,
            content=digest.hex(),
            verdict=verdict.value,
        )
        if verdict is Verdict.BLOCKED:
            raise Refusal(
                ErrorCode.REQUEST_BLOCKED,
                "endpoints ended while they ran this request",
                ran=ExecutionStatus.UNKNOWN,
            )
        return verdict

    def may_repeat(self, task: SendTask, digest: bytes) -> bool:
        """Whether a request may be sent to a further endpoint."""
        return task.is_background or not self._suspects.is_isolated(digest)

    async def record_failure(
        self,
        task: SendTask,
        digest: bytes,
        entry: EndpointEntry,
        exc: RequestFailedError,
    ) -> None:
        """Records that a request got no whole response.

        It is evidence only if nobody listens at the endpoint's address any
        more: a connection is also lost by a reset, a cut or a lost response.
        """
        was_running = exc.ran is not ExecutionStatus.NOT_RUN
        if task.is_background or not was_running or exc.timed_out:
            return
        await self._record_end_if_refused(task, digest, entry, str(exc))

    async def _record_end_if_refused(
        self, task: SendTask, digest: bytes, entry: EndpointEntry, reason: str
    ) -> None:
        is_refused = await self._http.is_refused(
            entry.address, _CONNECT_TIMEOUT_S
        )
        if not is_refused:
            return
        self._metrics.count("endpoints_ended_under_requests")
        self._log.record(
            "endpoint_ended",
            id=task.request_id,
            content=digest.hex(),
            endpoint=entry.endpoint_id,
            incarnation=entry.incarnation,
            reason=reason,
        )
        self._suspects.record_end(digest, entry.process)

    def record_abandoned(
        self, task: SendTask, digest: bytes, entry: EndpointEntry
    ) -> None:
        """Records a request whose caller left before the response.

        It may still end the endpoint.
        """
        if task.is_background:
            return
        check = asyncio.create_task(self._check_abandoned(task, digest, entry))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check_abandoned(
        self, task: SendTask, digest: bytes, entry: EndpointEntry
    ) -> None:
        await anyio.sleep(_ABANDONED_CHECK_DELAY_S)
        await self._record_end_if_refused(
            task, digest, entry, "its caller left"
        )

    def record_response(
        self, digest: bytes, entry: EndpointEntry, sent_at_s: float
    ) -> None:
        """Records a whole response; see `Suspects.record_response`."""
        self._suspects.record_response(digest, entry.process, sent_at_s)

    def watch(
        self,
        stream: AsyncIterator[bytes],
        task: SendTask,
        digest: bytes,
        entry: EndpointEntry,
        sent_at_s: float,
    ) -> AsyncIterator[bytes]:
        """Returns a stream whose end is recorded, see the other methods."""
        return _WatchedStream(stream, self, task, digest, entry, sent_at_s)


class _WatchedStream(AsyncIterator[bytes]):
    """A stream that tells a `CrashWatch` how it ends."""

    def __init__(self, stream, watch, task, digest, entry, sent_at_s):
        self._stream = stream
        self._watch = watch
        self._request = (task, digest, entry)
        self._sent_at_s = sent_at_s

    async def __anext__(self) -> bytes:
        task, digest, entry = self._request
        try:
            return await anext(self._stream)
        except StopAsyncIteration:
            self._watch.record_response(digest, entry, self._sent_at_s)
            raise
        except RequestFailedError as exc:
            await self._watch.record_failure(task, digest, entry, exc)
            raise

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()
