"""The ASGI app for callers: one request in, one final answer out."""

import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.base import Handler
from daisyhub.connections import RequestFailedError
from daisyhub.exceptions import ErrorCode, Ran, Refusal
from daisyhub.gateway._wire import CallerWire
from daisyhub.logs import DecisionLog
from daisyhub.messages import Request, Response
from daisyhub.metrics import Metrics
from daisyhub.problems import problem_body

__all__ = ["GatewayApp"]

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class GatewayApp:
    """Turns ASGI calls into requests for the filter chain.

    A caller that leaves cancels its request. An answer is sent once it is
    final; refusals say when to come back.

    Args:
        handler: The filter chain.
        wire: How callers speak.
        metrics: Counts answers.
        log: Where refusals are noted.
    """

    def __init__(
        self,
        handler: Handler,
        wire: CallerWire,
        metrics: Metrics,
        log: DecisionLog,
    ):
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
        started_s = time.monotonic()
        inbox = _Inbox(receive)
        try:
            req = self._wire.read_request(scope, inbox.read_body, started_s)
        except Refusal as exc:
            await self._send(self._refused(exc, None), send)
            return
        resp = await self._handle(req, inbox)
        if resp is None:
            self._metrics.count("callers_left")
            self._log.note("caller_left", id=req.request_id)
            return
        if resp.stream is not None:
            await self._send_stream(resp, inbox, send)
        else:
            await self._send(resp, send)
        self._metrics.count("answers", status=str(resp.status))
        self._metrics.observe_s("latency", time.monotonic() - started_s)

    async def _handle(self, req: Request, inbox: "_Inbox") -> Response | None:
        """Runs the chain; returns None if the caller left before its end."""
        resp = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(inbox.cancel_when_gone, tasks.cancel_scope)
            try:
                resp = await self._handler(req)
            except Refusal as exc:
                resp = self._refused(exc, req)
            except Exception as exc:
                self._log.note(
                    "request_fault", id=req.request_id, reason=repr(exc)
                )
                fault = Refusal(
                    ErrorCode.INTERNAL, "an internal fault", ran=Ran.UNKNOWN
                )
                resp = self._refused(fault, req)
            tasks.cancel_scope.cancel()
        return resp

    def _refused(self, exc: Refusal, req: Request | None) -> Response:
        request_id = req.request_id if req else ""
        self._metrics.count("refusals", code=exc.code)
        self._log.note(
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

    def _head(self, resp: Response) -> list:
        headers = list(self._wire.response_headers(resp))
        if self.is_draining:
            headers.append((b"connection", b"close"))
        return headers

    async def _send(self, resp: Response, send: Send) -> None:
        headers = self._head(resp)
        headers.append((b"content-length", str(len(resp.body)).encode()))
        await send(_start(resp.status, headers))
        await send({"type": "http.response.body", "body": resp.body})

    async def _send_stream(
        self, resp: Response, inbox: "_Inbox", send: Send
    ) -> None:
        """Passes chunks on as they come; a cut stream gets no final chunk."""
        is_whole = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(inbox.cancel_when_gone, tasks.cancel_scope)
            try:
                await send(_start(resp.status, self._head(resp)))
                async for chunk in resp.stream:
                    await send(_chunk(chunk, more=True))
                is_whole = True
            except RequestFailedError as exc:
                self._log.note("stream_cut", reason=str(exc))
            finally:
                with anyio.CancelScope(shield=True):
                    await resp.stream.aclose()
            tasks.cancel_scope.cancel()
        if not is_whole:
            raise _StreamCutError
        await send(_chunk(b"", more=False))


class _StreamCutError(Exception):
    """Makes the server close the connection without a final chunk."""


class _Inbox:
    """What the server receives of one request."""

    def __init__(self, receive: Receive):
        self._receive = receive
        self._is_read = anyio.Event()

    async def read_body(self, limit: int) -> bytes:
        """Reads the whole body, at most `limit` bytes.

        Raises:
            Refusal: It is larger, or broke off.
        """
        chunks = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise Refusal(ErrorCode.BODY_INVALID, "the body broke off")
            chunks.append(message.get("body", b""))
            size += len(chunks[-1])
            if size > limit:
                raise Refusal(
                    ErrorCode.BODY_TOO_LARGE, f"the body exceeds {limit} bytes"
                )
            if not message.get("more_body", False):
                self._is_read.set()
                return b"".join(chunks)

    async def cancel_when_gone(self, scope: anyio.CancelScope) -> None:
        """Cancels a scope once the caller has closed its connection."""
        await self._is_read.wait()
        while (await self._receive())["type"] != "http.disconnect":
            pass
        scope.cancel()


def _start(status: int, headers: list) -> dict:
    return {"type": "http.response.start", "status": status, "headers": headers}


def _chunk(data: bytes, *, more: bool) -> dict:
    return {"type": "http.response.body", "body": data, "more_body": more}
