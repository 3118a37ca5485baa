"""An HTTP client that keeps its own list of connections for each origin.

One request is on a connection at a time. A connection on which anything went
wrong, timed out or was cancelled is closed and never used again, so that no
late answer can reach another request.
"""

import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

import anyio
import httpcore
from httpcore import AnyIOBackend

from daisyhub.exceptions import DaisyhubError, Ran
from daisyhub.messages import Header
from daisyhub.settings import Address

__all__ = [
    "HttpAnswer",
    "HttpClient",
    "RequestFailedError",
    "StreamedAnswer",
]

_FIRST_BYTE_EVENT = "http11.send_request_headers.started"
_CLOSE_TIMEOUT_S = 0.5


class RequestFailedError(DaisyhubError):
    """No whole answer came.

    Attributes:
        ran: NOT_RUN only if no byte of the request left; else UNKNOWN, or
            RAN if the head of an answer came.
        timed_out: Whether a time-out ended the request.
    """

    code = "request_failed"

    def __init__(self, detail: str, *, ran: Ran, timed_out: bool = False):
        super().__init__(detail)
        self.ran = ran
        self.timed_out = timed_out


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass(slots=True)
class _Connection:
    """An open connection and when it last carried a whole answer."""

    http: httpcore.AsyncHTTPConnection
    idle_since_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a request got; the trace of httpcore sets it."""

    first_byte_left: bool = False
    head_came: bool = False

    async def trace(self, event: str, _: object) -> None:
        if event == _FIRST_BYTE_EVENT:
            self.first_byte_left = True

    @property
    def ran(self) -> Ran:
        if self.head_came:
            return Ran.RAN
        return Ran.UNKNOWN if self.first_byte_left else Ran.NOT_RUN


@contextlib.contextmanager
def _mapped_errors(address: Address, progress: _Progress, deadline_s: float):
    """Ends the block at the deadline; turns every fault into one error."""
    try:
        with anyio.CancelScope(deadline=deadline_s) as scope:
            yield
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as exc:
        raise RequestFailedError(
            f"{address}: {type(exc).__name__} {exc}".rstrip(),
            ran=progress.ran,
            timed_out=isinstance(exc, httpcore.TimeoutException),
        ) from exc
    if scope.cancelled_caught:
        raise RequestFailedError(
            f"{address} gave no whole answer in time",
            ran=progress.ran,
            timed_out=True,
        )


class StreamedAnswer:
    """The head of an answer, and its content in chunks.

    Attributes:
        status: HTTP status.
        headers: Names in lower case.
    """

    def __init__(self, *, client, conn, address, answer, deadline_s):
        self.status: int = answer.status
        self.headers: tuple[Header, ...] = _lower(answer.headers)
        self._client = client
        self._conn = conn
        self._address = address
        self._answer = answer
        self._deadline_s = deadline_s
        self._progress = _Progress(first_byte_left=True, head_came=True)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the content; returns only if it is whole.

        Raises:
            RequestFailedError: The content broke off, or time ran out.
        """
        parts = self._answer.aiter_stream()
        while True:
            chunk = None
            with _mapped_errors(
                self._address, self._progress, self._deadline_s
            ):
                chunk = await anext(parts, None)
            if chunk is None:
                return
            yield chunk

    async def aclose(self) -> None:
        """Keeps the connection if all was read, else closes it."""
        await self._client.finish(self._address, self._conn)


class HttpClient:
    """Sends requests over kept connections, last used first out.

    Args:
        connect_timeout_s: Longest wait for a connection.
        idle_s: Connections idle for longer are closed instead of used.
    """

    def __init__(self, *, connect_timeout_s: float, idle_s: float):
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._idle: dict[Address, list[_Connection]] = {}
        self._backend = AnyIOBackend()

    async def request(
        self,
        method: str,
        address: Address,
        target: str,
        *,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
        timeout_s: float,
        answer_bytes: int = 1 << 23,
        fresh: bool = False,
    ) -> HttpAnswer:
        """Sends one request and reads the whole answer.

        Args:
            method: HTTP method.
            address: Where to send it.
            target: Path and query, as sent.
            headers: Headers besides the host and the length.
            body: The content.
            timeout_s: Longest time for everything.
            answer_bytes: Largest content of the answer.
            fresh: Whether to open a new connection in any case.

        Raises:
            RequestFailedError: No whole answer came.
        """
        answer = await self.open(
            method,
            address,
            target,
            headers=headers,
            body=body,
            timeout_s=timeout_s,
            fresh=fresh,
        )
        chunks = []
        size = 0
        try:
            async for chunk in answer.chunks():
                size += len(chunk)
                if size > answer_bytes:
                    raise RequestFailedError(
                        f"the answer exceeds {answer_bytes} bytes", ran=Ran.RAN
                    )
                chunks.append(chunk)
        finally:
            await answer.aclose()
        return HttpAnswer(
            status=answer.status, headers=answer.headers, body=b"".join(chunks)
        )

    async def open(
        self,
        method: str,
        address: Address,
        target: str,
        *,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
        timeout_s: float,
        fresh: bool = False,
    ) -> "StreamedAnswer":
        """Sends one request and returns the answer's head.

        The caller reads `chunks()` and calls `aclose()` in any case.
        `timeout_s` bounds the whole exchange.

        Raises:
            RequestFailedError: No head came.
        """
        deadline_s = anyio.current_time() + timeout_s
        conn = await self._take(address, fresh)
        progress = _Progress()
        try:
            with _mapped_errors(address, progress, deadline_s):
                answer = await self._send(
                    conn, method, address, target, headers, body, progress
                )
                progress.head_came = True
                self._check_framing(answer, method)
        except BaseException:
            await _close(conn)
            raise
        return StreamedAnswer(
            client=self,
            conn=conn,
            address=address,
            answer=answer,
            deadline_s=deadline_s,
        )

    async def finish(self, address: Address, conn: "_Connection") -> None:
        """Keeps a connection after a whole answer, else closes it."""
        if not conn.http.is_idle():
            await _close(conn)
            return
        conn.idle_since_s = time.monotonic()
        self._idle.setdefault(address, []).append(conn)

    async def aclose(self) -> None:
        """Closes every idle connection."""
        for conns in self._idle.values():
            for conn in conns:
                await _close(conn)
        self._idle.clear()

    def forget(self, address: Address) -> None:
        """Drops the idle connections of an address; they are in doubt."""
        self._idle.pop(address, None)

    async def _take(self, address: Address, fresh: bool) -> _Connection:
        conns = self._idle.get(address, [])
        oldest_s = time.monotonic() - self._idle_s
        while conns and not fresh:
            conn = conns.pop()
            is_recent = conn.idle_since_s >= oldest_s
            if is_recent and not conn.http.has_expired():
                return conn
            await _close(conn)
        origin = httpcore.Origin(b"http", address.ip.encode(), address.port)
        return _Connection(
            httpcore.AsyncHTTPConnection(
                origin, network_backend=self._backend, keepalive_expiry=None
            )
        )

    async def _send(
        self, conn, method, address, target, headers, body, progress
    ) -> httpcore.Response:
        own = [(b"host", str(address).encode())]
        if body or method not in ("GET", "HEAD", "DELETE"):
            own.append((b"content-length", str(len(body)).encode()))
        req = httpcore.Request(
            method,
            httpcore.URL(
                scheme=b"http",
                host=address.ip.encode(),
                port=address.port,
                target=target.encode(),
            ),
            headers=[*own, *headers],
            content=body,
            extensions={
                "timeout": {"connect": self._connect_timeout_s},
                "trace": progress.trace,
            },
        )
        return await conn.http.handle_async_request(req)

    def _check_framing(self, answer: httpcore.Response, method: str) -> None:
        """Refuses answers whose end could not be told from a cut."""
        if method == "HEAD" or answer.status in (204, 304):
            return
        names = {name.lower() for name, _ in answer.headers}
        if b"content-length" in names or b"transfer-encoding" in names:
            return
        raise RequestFailedError("the answer has no length", ran=Ran.RAN)


async def _close(conn: _Connection) -> None:
    with anyio.move_on_after(_CLOSE_TIMEOUT_S, shield=True):
        await conn.http.aclose()


def _lower(headers) -> tuple[Header, ...]:
    return tuple((name.lower(), value) for name, value in headers)
