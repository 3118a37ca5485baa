"""The ASGI application for callers and trainers."""

import itertools
import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.base import Handler
from daisyhub.connections import RequestFailedError
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.identity import KeyTable
from daisyhub.logs import get_logger
from daisyhub.memory import MemoryBudget
from daisyhub.messages import BodyReader, Request, Response
from daisyhub.metrics import Metrics
from daisyhub.problems import problem_response
from daisyhub.serving._protocol import LEASE
from daisyhub.serving._request_body import RequestBody

__all__ = ["CallersApp", "OpenStreams"]

# Applies if the caller states no timeout; the route filter limits it to the
# route's timeout.
_DEFAULT_TIMEOUT_S = 3600.0
_MS_PER_S = 1000
_MAX_TIMEOUT_DIGITS = 9
_TIMEOUT_HEADER = b"daisyhub-timeout-ms"

log = get_logger("callers")

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class OpenStreams:
    """Cancel scopes of open streams by key id.

    Args:
        keys: Reports keys that are no longer valid.
    """

    def __init__(self, keys: KeyTable):
        self._scopes: dict[str, set[anyio.CancelScope]] = {}
        keys.add_listener(self.cancel)

    def add(self, key_id: str, scope: anyio.CancelScope) -> None:
        """Adds an open stream."""
        self._scopes.setdefault(key_id, set()).add(scope)

    def remove(self, key_id: str, scope: anyio.CancelScope) -> None:
        """Removes a stream that ended."""
        scopes = self._scopes.get(key_id, set())
        scopes.discard(scope)
        if not scopes:
            self._scopes.pop(key_id, None)

    def cancel(self, key_id: str) -> None:
        """Cancels the streams of a key that is no longer valid."""
        for scope in self._scopes.get(key_id, ()):
            scope.cancel()


class CallersApp:
    """Converts ASGI calls into requests for the filter chain.

    Serves the callers of the daemon in `daisyhub.daemon`; for the daemon of
    `daisyhub.platform`, see `GatewayApp`.

    Args:
        handler: The filter chain.
        keys: Checks the key of a stream and reports invalidated keys.
        metrics: Counts responses and refusals, and measures latency.
        daemon_id: Part of each request id.
        memory: Memory of the process for what clients send; by default that
            of a process that states none.

    Attributes:
        is_draining: Whether responses ask callers to close their connection.
        open_requests: Number of requests in progress.
    """

    def __init__(
        self,
        handler: Handler,
        keys: KeyTable,
        metrics: Metrics,
        daemon_id: str,
        memory: MemoryBudget | None = None,
    ):
        self._memory = memory or MemoryBudget()
        self._handler = handler
        self._keys = keys
        self._streams = OpenStreams(keys)
        self._metrics = metrics
        # The start time keeps request ids unique across restarts.
        self._id_prefix = f"{daemon_id}-{time.time_ns() // 1000:x}"
        self._numbers = itertools.count(1)
        self.is_draining = False
        self.open_requests = 0

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        self.open_requests += 1
        body = RequestBody(scope["headers"], receive, self._memory)
        try:
            await self._serve(scope, receive, send, body)
        finally:
            self.open_requests -= 1
            body.release()

    async def _serve(
        self, scope: dict, receive: Receive, send: Send, body: RequestBody
    ) -> None:
        request_id = f"{self._id_prefix}-{next(self._numbers)}"
        started_s = time.monotonic()
        key_id = ""
        try:
            req = _build_request(scope, body.read, request_id, started_s)
            body.deadline_s = req.deadline_s
            resp = await self._handler(req)
            key_id = _key_id_of(req)
        except Refusal as exc:
            self._metrics.count("refusals", code=exc.code)
            resp = problem_response(exc, request_id)
        except Exception:
            log.exception("request {} failed", request_id)
            exc = Refusal(
                ErrorCode.INTERNAL,
                "an internal error occurred",
                ran=ExecutionStatus.UNKNOWN,
            )
            resp = problem_response(exc, request_id)
        await self._send_response(
            resp, key_id, request_id, scope, receive, send
        )
        self._metrics.count("answers", status=str(resp.status))
        self._metrics.observe_s("latency", time.monotonic() - started_s)

    async def _send_response(
        self,
        resp: Response,
        key_id: str,
        request_id: str,
        scope: dict,
        receive: Receive,
        send: Send,
    ) -> None:
        headers = [*resp.headers, (b"daisyhub-request-id", request_id.encode())]
        if self.is_draining:
            headers.append((b"connection", b"close"))
        if resp.stream is not None:
            await self._send_stream(resp, headers, key_id, receive, send)
            return
        has_length = resp.status not in (204, 304)
        if has_length:
            length = str(len(resp.body)).encode()
            headers.append((b"content-length", length))
        await send(_start_message(resp.status, headers))
        body = resp.body if scope["method"] != "HEAD" else b""
        await send(
            {"type": "http.response.body", "body": body, LEASE: resp.lease}
        )

    async def _send_stream(
        self, resp: Response, headers, key_id: str, receive, send
    ) -> None:
        """Sends the chunks of a stream as they arrive.

        The stream is cancelled when the caller disconnects or its key becomes
        invalid. An incomplete stream gets no final chunk, so that the caller
        detects the truncation.

        Raises:
            _IncompleteStreamError: The stream failed or was cancelled.
        """
        is_complete = False
        async with anyio.create_task_group() as tasks:
            self._streams.add(key_id, tasks.cancel_scope)
            try:
                # `OpenStreams` can't cancel this stream for a key that became
                # invalid before the stream was added.
                if key_id and not self._keys.is_valid(key_id):
                    tasks.cancel_scope.cancel()
                tasks.start_soon(_cancel_on_disconnect, receive, tasks)
                await send(_start_message(resp.status, headers))
                async for chunk in resp.stream:
                    await send(_body_message(chunk, has_more=True))
                is_complete = True
            except RequestFailedError as exc:
                log.info("a stream failed: {}", exc)
            finally:
                self._streams.remove(key_id, tasks.cancel_scope)
                with anyio.CancelScope(shield=True):
                    await resp.stream.aclose()
            tasks.cancel_scope.cancel()
        if is_complete:
            await send(_body_message(b"", has_more=False))
            return
        raise _IncompleteStreamError


class _IncompleteStreamError(Exception):
    """Makes the server close the connection without a final chunk."""


def _start_message(status: int, headers: list) -> dict:
    return {"type": "http.response.start", "status": status, "headers": headers}


def _body_message(data: bytes, *, has_more: bool) -> dict:
    return {"type": "http.response.body", "body": data, "more_body": has_more}


async def _cancel_on_disconnect(receive: Receive, tasks) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    tasks.cancel_scope.cancel()


def _build_request(
    scope: dict, read_body: BodyReader, request_id: str, started_s: float
) -> Request:
    headers = tuple(scope["headers"])
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) != 1:
        raise Refusal(
            ErrorCode.HEADER_INVALID,
            "exactly one Host header is required",
            ran=ExecutionStatus.NOT_RUN,
        )
    host = hosts[0].decode("latin-1").lower().partition(":")[0]
    return Request(
        request_id=request_id,
        method=scope["method"],
        path=scope["raw_path"].decode("latin-1"),
        query=scope["query_string"].decode("latin-1"),
        host=host,
        headers=headers,
        read_body=read_body,
        started_s=started_s,
        deadline_s=started_s + _parse_timeout_s(headers),
    )


def _parse_timeout_s(headers) -> float:
    """Returns the timeout in seconds that the caller stated, or the default.

    Raises:
        Refusal: The stated timeout is invalid.
    """
    for name, value in headers:
        if name != _TIMEOUT_HEADER:
            continue
        if not value.isdigit() or len(value) > _MAX_TIMEOUT_DIGITS:
            raise Refusal(
                ErrorCode.HEADER_INVALID,
                "daisyhub-timeout-ms must be a whole number of milliseconds"
                f" with at most {_MAX_TIMEOUT_DIGITS} digits",
                ran=ExecutionStatus.NOT_RUN,
            )
        return int(value) / _MS_PER_S
    return _DEFAULT_TIMEOUT_S


def _key_id_of(req: Request) -> str:
    """Returns the key id of a request whose key was already validated.

    Keys have the form `dh_<key id>_<secret>`. Empty if there is no key.
    """
    for value in req.header_values(b"authorization"):
        return value.decode("latin-1").partition("dh_")[2].partition("_")[0]
    return ""
