"""The ASGI application for callers: one final response per request."""

import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.base import Handler
from daisyhub.connections import RequestFailedError
from daisyhub.exceptions import (
    NOT_RUN_STATUSES,
    ErrorCode,
    ExecutionStatus,
    Refusal,
)
from daisyhub.gateway._wire import CallerWire
from daisyhub.logs import DecisionLog
from daisyhub.memory import MemoryBudget
from daisyhub.messages import Request, Response
from daisyhub.metrics import Metrics
from daisyhub.problems import problem_body
from daisyhub.serving import LEASE, RequestBody

__all__ = ["GatewayApp"]

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class GatewayApp:
    """Converts ASGI calls into requests for the filter chain.

    Serves the callers of `daisyhub.platform`'s daemon; for the daemon in
    `daisyhub.daemon`, see `CallersApp`. A request is cancelled when its caller
    disconnects. Nothing is sent before the chain returns a response; refusals
    have `Retry-After` where a retry makes sense.

    Args:
        handler: The filter chain.
        wire: Wire format of callers.
        metrics: Counts responses and refusals, and measures latency.
        log: Receives refusals, internal errors, disconnects and failed
            streams.
        memory: Memory of the process for what clients send; by default that
            of a process that states none.

    Attributes:
        is_draining: Whether responses ask callers to close their connection.
        open_requests: Number of requests in progress.
    """

    def __init__(
        self,
        handler: Handler,
        wire: CallerWire,
        metrics: Metrics,
        log: DecisionLog,
        memory: MemoryBudget | None = None,
    ):
        self._memory = memory or MemoryBudget()
        self._handler = handler
        self._wire = wire
        self._metrics = metrics
        self._log = log
        self.is_draining = False
        self.open_requests = 0

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        self.open_requests += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.open_requests -= 1

    async def _serve(self, scope: dict, receive: Receive, send: Send) -> None:
        body = RequestBody(scope["headers"], receive, self._memory)
        try:
            await self._answer(scope, receive, send, body)
        finally:
            body.release()

    async def _answer(
        self, scope: dict, receive: Receive, send: Send, body: RequestBody
    ) -> None:
        started_s = time.monotonic()
        try:
            req = self._wire.read_request(scope, body.read, started_s)
        except Refusal as exc:
            await self._send(self._refuse(exc, None), send)
            return
        body.deadline_s = req.deadline_s
        receiver = _RequestReceiver(receive, body)
        resp = await self._handle(req, receiver)
        if resp is None:
            self._metrics.count("callers_left")
            self._log.record("caller_left", id=req.request_id)
            return
        if resp.stream is not None:
            await self._send_stream(resp, receiver, send)
        else:
            await self._send(resp, send)
        self._metrics.count("answers", status=str(resp.status))
        self._metrics.observe_s("latency", time.monotonic() - started_s)

    async def _handle(
        self, req: Request, receiver: "_RequestReceiver"
    ) -> Response | None:
        """Runs the chain; returns None if the caller disconnects meanwhile."""
        resp = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(receiver.cancel_on_disconnect, tasks.cancel_scope)
            try:
                resp = await self._handler(req)
                await _check_response(resp)
            except Refusal as exc:
                resp = self._refuse(exc, req)
            except Exception as exc:
                self._log.record(
                    "request_fault", id=req.request_id, reason=repr(exc)
                )
                refusal = Refusal(
                    ErrorCode.INTERNAL,
                    "an internal error occurred",
                    ran=ExecutionStatus.UNKNOWN,
                )
                resp = self._refuse(refusal, req)
            tasks.cancel_scope.cancel()
        return resp

    def _refuse(self, exc: Refusal, req: Request | None) -> Response:
        """Counts and logs a refusal; returns its response.

        A status that promises that the request has not run is replaced unless
        the refusal says so too.

        `Retry-After` has two decimals, as delays may be below one second.
        """
        request_id = req.request_id if req else ""
        if (
            exc.error.promises_not_run
            and exc.ran is not ExecutionStatus.NOT_RUN
        ):
            self._log.record(
                "refusal_without_evidence", id=request_id, code=exc.code
            )
            exc = Refusal(ErrorCode.INTERNAL, exc.detail, ran=exc.ran)
        self._metrics.count("refusals", code=exc.code)
        self._log.record(
            "refused",
            id=request_id,
            lot=getattr(req.lot_call, "lot_id", "") if req else "",
            code=exc.code,
            reason=exc.detail,
            ran=exc.ran.value,
            retry_after_s=exc.retry_after_s,
            waited_s=round(time.monotonic() - req.started_s, 3) if req else 0,
        )
        headers = [(b"content-type", b"application/problem+json")]
        if exc.retry_after_s is not None:
            text = f"{exc.retry_after_s:.2f}"
            headers.append((b"retry-after", text.encode()))
        return Response(
            status=exc.error.status,
            headers=tuple(headers),
            body=problem_body(exc, request_id),
        )

    def _response_headers(self, resp: Response) -> list:
        headers = list(self._wire.response_headers(resp))
        if self.is_draining:
            headers.append((b"connection", b"close"))
        return headers

    async def _send(self, resp: Response, send: Send) -> None:
        headers = self._response_headers(resp)
        headers.append((b"content-length", str(len(resp.body)).encode()))
        await send(_start_message(resp.status, headers))
        await send(
            {
                "type": "http.response.body",
                "body": resp.body,
                LEASE: resp.lease,
            }
        )

    async def _send_stream(
        self, resp: Response, receiver: "_RequestReceiver", send: Send
    ) -> None:
        """Sends the chunks of a stream as they arrive.

        An incomplete stream gets no final chunk, so that the caller detects
        the truncation.

        Raises:
            _IncompleteStreamError: The stream failed or the caller
                disconnected.
        """
        is_complete = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(receiver.cancel_on_disconnect, tasks.cancel_scope)
            try:
                await send(
                    _start_message(resp.status, self._response_headers(resp))
                )
                async for chunk in resp.stream:
                    await send(_body_message(chunk, has_more=True))
                is_complete = True
            except RequestFailedError as exc:
                self._log.record("stream_cut", reason=str(exc))
            finally:
                with anyio.CancelScope(shield=True):
                    await resp.stream.aclose()
            tasks.cancel_scope.cancel()
        if not is_complete:
            raise _IncompleteStreamError
        await send(_body_message(b"", has_more=False))


async def _check_response(resp: Response) -> None:
    """Checks that a response makes no promise, which only refusals may.

    Raises:
        Refusal: Its status promises that the request has not run.
    """
    if resp.status not in NOT_RUN_STATUSES:
        return
    if resp.stream is not None:
        await resp.stream.aclose()
    raise Refusal(
        ErrorCode.INTERNAL,
        f"a response with status {resp.status} is no refusal",
        ran=ExecutionStatus.UNKNOWN,
    )


class _IncompleteStreamError(Exception):
    """Makes the server close the connection without a final chunk."""


class _RequestReceiver:
    """Waits for the disconnect of a request's caller."""

    def __init__(self, receive: Receive, body: RequestBody):
        self._receive = receive
        self._body = body

    async def cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancels the scope when the caller closes its connection.

        Waits until the body is read, as both use the same `receive`.
        """
        await self._body.was_read.wait()
        while (await self._receive())["type"] != "http.disconnect":
            pass
        scope.cancel()


def _start_message(status: int, headers: list) -> dict:
    return {"type": "http.response.start", "status": status, "headers": headers}


def _body_message(data: bytes, *, has_more: bool) -> dict:
    return {"type": "http.response.body", "body": data, "more_body": has_more}
