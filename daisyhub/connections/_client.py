"""An HTTP client that keeps its own list of connections for each origin.

One request is on a connection at a time. A connection on which anything went
wrong, timed out or was cancelled is closed and never used again, so that no
late answer can reach another request. Such a failure also puts the origin's
idle connections in doubt: something between the ends may have lost track of
all that were open, so only those that proved themselves since are kept.
"""

import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

import anyio
import httpcore

from daisyhub.connections._connection import (
    Connection,
    RequestFailedError,
    connect,
    mapped_errors,
)
from daisyhub.exceptions import Ran
from daisyhub.messages import Header
from daisyhub.settings import Address

__all__ = ["ResponseStream", "HttpResponse", "HttpClient", "StreamedResponse"]

_REQUEST_ID_HEADER = b"daisyhub-request-id"
_NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE"})
_NO_BODY_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A whole answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class StreamedResponse:
    """The head of an answer, and its content in chunks.

    Attributes:
        status: HTTP status.
        headers: Names in lower case.
    """

    def __init__(self, *, client, conn, address, answer, timing):
        self.status: int = answer.status
        self.headers: tuple[Header, ...] = _lower(answer.headers)
        self._client = client
        self._conn = conn
        self._address = address
        self._answer = answer
        self._timing = timing
        self._has_failed = False
        self._is_closed = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the content; returns only if it is whole.

        Raises:
            RequestFailedError: The content broke off, or time ran out.
        """
        parts = aiter(self._answer.stream)
        while True:
            chunk = None
            try:
                with mapped_errors(
                    self._address,
                    lambda: self._conn.ran,
                    self._timing.deadline_s,
                ):
                    chunk = await anext(parts, None)
            except RequestFailedError:
                self._has_failed = True
                raise
            if chunk is None:
                # Ends the exchange; the connection is idle from here on.
                self._conn.end()
                await self._answer.aclose()
                return
            yield chunk

    async def aclose(self) -> None:
        """Keeps the connection if all was read, else closes it.

        A reader that leaves early says nothing about other connections.
        Closing it once more does nothing.
        """
        if self._is_closed:
            return
        self._is_closed = True
        if not self._has_failed and not self._conn.http.is_idle():
            await self._conn.aclose()
            return
        await self._client.finish(
            self._address, self._conn, self._timing.started_s
        )

    async def drain(self) -> None:
        """Reads content that nobody wants, so that the connection is kept."""
        with contextlib.suppress(RequestFailedError):
            async for _ in self.chunks():
                pass
        await self.aclose()


class ResponseStream(AsyncIterator[bytes]):
    """Content passed through; `aclose` ends it even before the first chunk.

    Args:
        answer: The answer whose content it is.
    """

    def __init__(self, answer: StreamedResponse):
        self._answer = answer
        self._chunks = answer.chunks()

    async def __anext__(self) -> bytes:
        return await anext(self._chunks)

    async def aclose(self) -> None:
        """Ends the exchange."""
        await self._chunks.aclose()
        await self._answer.aclose()


@dataclasses.dataclass(frozen=True, slots=True)
class _Timing:
    """When an exchange started and must end, on anyio's clock."""

    started_s: float
    deadline_s: float


class HttpClient:
    """Sends requests over kept connections, last used first out.

    Args:
        connect_timeout_s: Longest wait for a connection.
        idle_s: Connections idle for longer are closed instead of used.
    """

    def __init__(self, *, connect_timeout_s: float, idle_s: float):
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._idle: dict[Address, list[Connection]] = {}
        self._doomed: list[Connection] = []
        self._sweep_at_s = 0.0

    async def request(
        self,
        method: str,
        address: Address,
        target: str,
        *,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
        timeout_s: float,
        max_body_bytes: int = 1 << 23,
        fresh: bool = False,
    ) -> HttpResponse:
        """Sends one request and reads the whole answer.

        Args:
            method: HTTP method.
            address: Where to send it.
            target: Path and query, as sent.
            headers: Headers besides the host and the length.
            body: The content.
            timeout_s: Longest time for everything.
            max_body_bytes: Largest content of the answer.
            fresh: Whether to open a new connection in any case.

        Raises:
            RequestFailedError: No whole answer came.
        """
        started_s = time.monotonic()
        deadline_s = anyio.current_time() + timeout_s
        conn = await self._take(address, fresh, deadline_s)
        conn.begin()
        try:
            with mapped_errors(address, lambda: conn.ran, deadline_s):
                answer = await _exchange_heads(
                    conn, method, address, target, headers, body
                )
                content = await _read_all(conn, answer, max_body_bytes)
        except RequestFailedError:
            await self._discard(address, conn, started_s)
            raise
        except BaseException:
            # Whoever cancelled it says nothing about other connections.
            await conn.aclose()
            raise
        conn.note_headers(answer.headers)
        await self.finish(address, conn, started_s)
        return HttpResponse(
            status=answer.status, headers=_lower(answer.headers), body=content
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
    ) -> "StreamedResponse":
        """Sends one request and returns the answer's head.

        The caller reads `chunks()` and calls `aclose()` in any case.
        `timeout_s` bounds the whole exchange.

        Raises:
            RequestFailedError: No head came.
        """
        started_s = time.monotonic()
        deadline_s = anyio.current_time() + timeout_s
        timing = _Timing(started_s, deadline_s)
        conn = await self._take(address, fresh, deadline_s)
        conn.begin()
        try:
            with mapped_errors(address, lambda: conn.ran, deadline_s):
                answer = await _exchange_heads(
                    conn, method, address, target, headers, body
                )
        except RequestFailedError:
            await self._discard(address, conn, started_s)
            raise
        except BaseException:
            await conn.aclose()
            raise
        conn.note_headers(answer.headers)
        return StreamedResponse(
            client=self,
            conn=conn,
            address=address,
            answer=answer,
            timing=timing,
        )

    async def finish(
        self, address: Address, conn: Connection, started_s: float
    ) -> None:
        """Keeps a connection after a whole answer, else closes it."""
        if not conn.http.is_idle():
            await self._discard(address, conn, started_s)
            return
        if not conn.is_reusable():
            await conn.aclose()
            return
        conn.idle_since_s = time.monotonic()
        self._idle.setdefault(address, []).append(conn)
        await self._sweep(conn.idle_since_s)

    async def aclose(self) -> None:
        """Closes every idle connection."""
        for address in list(self._idle):
            self.drop_idle_connections(address)
        await self._close_doomed()

    def has_idle(self, address: Address) -> bool:
        """Whether a kept connection to an address is idle."""
        conns = self._idle.get(address)
        return bool(conns) and self._is_recent(conns[-1], time.monotonic())

    def drop_idle_connections(self, address: Address) -> None:
        """Drops the idle connections of an address; they are in doubt."""
        self._doomed += self._idle.pop(address, [])

    async def _discard(
        self, address: Address, conn: Connection, started_s: float
    ) -> None:
        """Closes a connection, and those idle since before its request."""
        kept = []
        for other in self._idle.pop(address, []):
            is_proven = other.idle_since_s >= started_s
            (kept if is_proven else self._doomed).append(other)
        if kept:
            self._idle[address] = kept
        await conn.aclose()
        await self._close_doomed()

    async def _close_doomed(self) -> None:
        while self._doomed:
            await self._doomed.pop().aclose()

    async def _sweep(self, now_s: float) -> None:
        """Closes connections that have been idle for too long."""
        if now_s < self._sweep_at_s:
            return
        self._sweep_at_s = now_s + self._idle_s
        for address, conns in list(self._idle.items()):
            recent = [c for c in conns if self._is_recent(c, now_s)]
            self._doomed += [c for c in conns if c not in recent]
            if recent:
                self._idle[address] = recent
            else:
                del self._idle[address]
        await self._close_doomed()

    def _is_recent(self, conn: Connection, now_s: float) -> bool:
        idle_s = min(self._idle_s, conn.keep_s)
        return conn.idle_since_s >= now_s - idle_s

    async def _take(
        self, address: Address, fresh: bool, deadline_s: float
    ) -> Connection:
        # Other tasks may replace the list while this one closes.
        while not fresh and (conns := self._idle.get(address)):
            conn = conns.pop()
            is_recent = self._is_recent(conn, time.monotonic())
            if is_recent and not conn.is_readable():
                return conn
            await conn.aclose()
        with mapped_errors(address, lambda: Ran.NOT_RUN, deadline_s):
            return await connect(address, self._connect_timeout_s)


async def _exchange_heads(
    conn: Connection,
    method: str,
    address: Address,
    target: str,
    headers: tuple[Header, ...],
    body: bytes,
) -> httpcore.Response:
    """Sends a request; returns the answer once its head has come."""
    req = _request(method, address, target, headers, body)
    answer = await conn.http.handle_async_request(req)
    conn.head_came = True
    _check_echo(answer, headers)
    _check_framing(answer, method)
    return answer


async def _read_all(
    conn: Connection, answer: httpcore.Response, limit: int
) -> bytes:
    """Reads the content to its end."""
    chunks = []
    size = 0
    async for chunk in answer.stream:
        size += len(chunk)
        if size > limit:
            raise RequestFailedError(
                f"the answer exceeds {limit} bytes", ran=Ran.RAN
            )
        chunks.append(chunk)
    # Ends the exchange; the connection is idle from here on.
    conn.end()
    await answer.aclose()
    return b"".join(chunks)


def _request(
    method: str,
    address: Address,
    target: str,
    headers: tuple[Header, ...],
    body: bytes,
) -> httpcore.Request:
    own = []
    if all(name != b"host" for name, _ in headers):
        own.append((b"host", str(address).encode()))
    if body or method not in _NO_BODY_METHODS:
        own.append((b"content-length", str(len(body)).encode()))
    return httpcore.Request(
        method,
        httpcore.URL(
            scheme=b"http",
            host=address.ip.encode(),
            port=address.port,
            target=target.encode(),
        ),
        headers=[*own, *headers],
        content=body,
    )


def _check_echo(answer: httpcore.Response, sent: tuple[Header, ...]) -> None:
    """Refuses an answer that names another request than the one sent."""
    own = [value for name, value in sent if name == _REQUEST_ID_HEADER]
    if not own:
        return
    for name, value in answer.headers:
        if name.lower() == _REQUEST_ID_HEADER and value != own[0]:
            raise RequestFailedError(
                "the answer belongs to another request", ran=Ran.UNKNOWN
            )


def _check_framing(answer: httpcore.Response, method: str) -> None:
    """Refuses answers whose end could not be told from a cut."""
    if method == "HEAD" or answer.status in _NO_BODY_STATUSES:
        return
    names = {name.lower() for name, _ in answer.headers}
    if b"content-length" in names or b"transfer-encoding" in names:
        return
    raise RequestFailedError("the answer has no length", ran=Ran.RAN)


def _lower(headers) -> tuple[Header, ...]:
    return tuple((name.lower(), value) for name, value in headers)
