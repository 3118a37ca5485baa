"""An HTTP client with a pool of idle connections for each address.

A connection carries one request at a time. After an error, a timeout or a
cancellation, a connection is closed and never reused, so that a late response
can't be taken for the response to another request. A request that repeats one
that failed in the server uses another connection than that, since an extra
response with the same id would count as a second failure.

An error or a timeout also makes the other idle connections to the address
suspect: an intermediate device may have lost the state of all connections that
were open. Only connections that completed a response after the failed request
started are kept.
"""

import asyncio
import collections
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Callable, Collection

import anyio
import httpcore

from daisyhub.connections._connection import (
    Connection,
    RequestFailedError,
    RequestWithdrawnError,
    connect,
    mapped_errors,
)
from daisyhub.exceptions import ExecutionStatus
from daisyhub.messages import Header
from daisyhub.settings import Address

__all__ = ["HttpClient", "HttpResponse", "ResponseStream", "StreamedResponse"]

# Maximum seconds for which a request waits for a connection in use instead of
# opening another one: small beside the latency of a look-up, and long beside
# that of the shortest requests.
_MAX_RELEASE_WAIT_S = 0.015
_REQUEST_ID_HEADER = b"daisyhub-request-id"
_NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE"})
_NO_BODY_STATUSES = frozenset({204, 304})


def _always() -> bool:
    """The default of `may_send`."""
    return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A complete response, its body included."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class StreamedResponse:
    """A response whose body is read in chunks.

    Attributes:
        status: HTTP status.
        headers: Header fields, with names in lower case.
    """

    def __init__(self, *, client, conn, address, response, timing):
        self.status: int = response.status
        self.headers: tuple[Header, ...] = _lower_names(response.headers)
        self._client = client
        self._conn = conn
        self._address = address
        self._response = response
        self._timing = timing
        self._has_failed = False
        self._is_closed = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; returns only after a complete body.

        Raises:
            RequestFailedError: The body was truncated or timed out.
        """
        parts = aiter(self._response.stream)
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
                # After `aclose`, httpcore's connection is idle, or closed if
                # the server ends it. `end_exchange` comes first, so that this
                # close isn't a reset.
                self._conn.end_exchange()
                await self._response.aclose()
                return
            yield chunk

    async def aclose(self) -> None:
        """Releases the connection after a complete body, else closes it.

        A reader that stops early doesn't make other connections suspect.
        Further calls do nothing.
        """
        if self._is_closed:
            return
        self._is_closed = True
        if not self._has_failed and not self._conn.http.is_idle():
            await self._conn.aclose()
            return
        await self._client.release(
            self._address, self._conn, self._timing.started_s
        )

    async def drain(self) -> None:
        """Reads and discards the body, so that the connection is reused."""
        with contextlib.suppress(RequestFailedError):
            async for _ in self.chunks():
                pass
        await self.aclose()


class ResponseStream(AsyncIterator[bytes]):
    """Iterates over the body of a response.

    Unlike `aclose` of a generator, `aclose` of this class also closes the
    response if it is called before the first chunk.

    Args:
        response: The response to read.
    """

    def __init__(self, response: StreamedResponse):
        self._response = response
        self._chunks = response.chunks()

    async def __anext__(self) -> bytes:
        return await anext(self._chunks)

    async def aclose(self) -> None:
        """Closes the response."""
        await self._chunks.aclose()
        await self._response.aclose()


@dataclasses.dataclass(frozen=True, slots=True)
class _Timing:
    """Start and deadline of an exchange.

    Attributes:
        started_s: Monotonic time of the start.
        deadline_s: Deadline on anyio's clock.
    """

    started_s: float
    deadline_s: float


class HttpClient:
    """Sends requests over pooled connections, the last used first.

    Args:
        connect_timeout_s: Maximum time to open a connection.
        idle_s: Idle time after which a connection is closed, not reused.
    """

    def __init__(self, *, connect_timeout_s: float, idle_s: float):
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._idle: dict[Address, list[Connection]] = {}
        # Buffered requests in progress by address, and those that wait for
        # the connection of one of them.
        self._in_use: collections.Counter[Address] = collections.Counter()
        self._waiters: dict[Address, collections.deque[asyncio.Future]] = {}
        self._dropped: list[Connection] = []
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
        may_wait: bool = False,
        may_send: Callable[[], bool] = _always,
    ) -> HttpResponse:
        """Sends a request and returns the complete response.

        Args:
            method: HTTP method.
            address: Address of the server.
            target: Path and query, sent unchanged.
            headers: Headers to send; `Content-Length` is added where the
                request needs it, and `Host` if it is missing.
            body: Body of the request.
            timeout_s: Timeout of the whole exchange, connecting included.
            max_body_bytes: Maximum size of the response's body.
            fresh: Whether to open a new connection instead of reusing one.
            may_wait: Whether to wait a little for a connection in use before
                opening another one.
            may_send: Whether the request may still be sent, called once a
                connection is open.

        Raises:
            RequestWithdrawnError: `may_send` returned False.
            RequestFailedError: No complete response was received, or it is
                larger than `max_body_bytes`.
        """
        started_s = time.monotonic()
        deadline_s = anyio.current_time() + timeout_s
        is_shared = may_wait and self.has_connection(address)
        self._in_use[address] += 1
        try:
            conn = None
            if is_shared and not self._idle.get(address):
                conn = await self._wait_for_release(address)
            request_id = _request_id(headers)
            if conn is not None and request_id in conn.failed_ids:
                self._idle.setdefault(address, []).append(conn)
                conn = None
            elif conn is not None and conn.is_readable():
                await conn.aclose()
                conn = None
            if conn is None:
                conn = await self._acquire(
                    address, request_id, fresh, deadline_s
                )
            await _check_may_send(may_send, conn, address)
            return await self._exchange(
                conn,
                (method, address, target, headers, body),
                started_s,
                deadline_s,
                max_body_bytes,
            )
        finally:
            self._in_use[address] -= 1
            if not self._in_use[address]:
                del self._in_use[address]

    async def _exchange(
        self,
        conn: Connection,
        request: tuple[str, Address, str, tuple[Header, ...], bytes],
        started_s: float,
        deadline_s: float,
        max_body_bytes: int,
    ) -> HttpResponse:
        """Sends a request on a connection; returns the complete response.

        Args:
            conn: The connection.
            request: Method, address, target, headers and body.
            started_s: Monotonic time of the start.
            deadline_s: Deadline on anyio's clock.
            max_body_bytes: Maximum size of the response's body.

        Raises:
            RequestFailedError: See `request`.
        """
        method, address, target, headers, body = request
        conn.begin_exchange()
        try:
            with mapped_errors(address, lambda: conn.ran, deadline_s):
                response = await _exchange_heads(
                    conn, method, address, target, headers, body
                )
                content = await _read_body(conn, response, max_body_bytes)
        except RequestFailedError:
            await self._discard(address, conn, started_s)
            raise
        except BaseException:
            # A cancellation doesn't make other connections suspect.
            await conn.aclose()
            raise
        conn.update_keep_alive(response.headers)
        await self.release(address, conn, started_s)
        return HttpResponse(
            status=response.status,
            headers=_lower_names(response.headers),
            body=content,
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
        may_send: Callable[[], bool] = _always,
    ) -> "StreamedResponse":
        """Sends a request and returns once the response's head is received.

        The caller reads `chunks()` and must call `aclose()`. The timeout
        covers the whole exchange; see `request` for the arguments.

        Raises:
            RequestWithdrawnError: `may_send` returned False.
            RequestFailedError: No valid response head was received.
        """
        started_s = time.monotonic()
        deadline_s = anyio.current_time() + timeout_s
        timing = _Timing(started_s, deadline_s)
        conn = await self._acquire(
            address, _request_id(headers), fresh, deadline_s
        )
        await _check_may_send(may_send, conn, address)
        conn.begin_exchange()
        try:
            with mapped_errors(address, lambda: conn.ran, deadline_s):
                response = await _exchange_heads(
                    conn, method, address, target, headers, body
                )
        except RequestFailedError:
            await self._discard(address, conn, started_s)
            raise
        except BaseException:
            await conn.aclose()
            raise
        conn.update_keep_alive(response.headers)
        return StreamedResponse(
            client=self,
            conn=conn,
            address=address,
            response=response,
            timing=timing,
        )

    async def release(
        self, address: Address, conn: Connection, started_s: float
    ) -> None:
        """Returns a connection to the pool, or closes it.

        If it isn't idle, since the server ends it after the response or the
        response is incomplete, the older idle connections are closed too.

        Args:
            address: Address of the server.
            conn: The connection.
            started_s: Monotonic time at which its request started.
        """
        if not conn.http.is_idle():
            await self._discard(address, conn, started_s)
            return
        if not conn.is_reusable():
            await conn.aclose()
            return
        conn.idle_since_s = time.monotonic()
        if self._hand_over(address, conn):
            return
        self._idle.setdefault(address, []).append(conn)
        await self._sweep(conn.idle_since_s)

    async def aclose(self) -> None:
        """Closes every idle connection."""
        for address in list(self._idle):
            self.drop_idle_connections(address)
        await self._close_dropped()

    def has_connection(self, address: Address) -> bool:
        """Whether a connection to an address is idle, or soon may be."""
        if self._in_use[address]:
            return True
        conns = self._idle.get(address)
        return bool(conns) and self._is_recent(conns[-1], time.monotonic())

    async def _wait_for_release(self, address: Address) -> Connection | None:
        """Returns a connection that is released soon, or None."""
        waiter = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(address, collections.deque())
        waiters.append(waiter)
        try:
            with anyio.move_on_after(_MAX_RELEASE_WAIT_S):
                await waiter
            # It may have been handed over just when the time was up.
            is_handed_over = waiter.done() and not waiter.cancelled()
            return waiter.result() if is_handed_over else None
        except BaseException:
            if waiter.done() and not waiter.cancelled():
                # The connection was handed over to a cancelled request.
                self._idle.setdefault(address, []).append(waiter.result())
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
            if not waiters:
                self._waiters.pop(address, None)

    def _hand_over(self, address: Address, conn: Connection) -> bool:
        """Passes a released connection to a waiting request, if any."""
        waiters = self._waiters.get(address)
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done():
                waiter.set_result(conn)
                return True
        return False

    def drop_idle_connections(self, address: Address) -> None:
        """Removes the idle connections to an address, which are suspect.

        They are closed later, as this method can't await.
        """
        self._dropped += self._idle.pop(address, [])

    async def _discard(
        self, address: Address, conn: Connection, started_s: float
    ) -> None:
        """Closes a failed connection and those idle since before its request.

        Connections that completed a response since then are kept.
        """
        kept = []
        for other in self._idle.pop(address, []):
            is_proven = other.idle_since_s >= started_s
            (kept if is_proven else self._dropped).append(other)
        if kept:
            self._idle[address] = kept
        await conn.aclose()
        await self._close_dropped()

    async def _close_dropped(self) -> None:
        while self._dropped:
            await self._dropped.pop().aclose()

    async def _sweep(self, now_s: float) -> None:
        """Closes expired connections, at most once per idle timeout."""
        if now_s < self._sweep_at_s:
            return
        self._sweep_at_s = now_s + self._idle_s
        for address, conns in list(self._idle.items()):
            recent = [c for c in conns if self._is_recent(c, now_s)]
            self._dropped += [c for c in conns if c not in recent]
            if recent:
                self._idle[address] = recent
            else:
                del self._idle[address]
        await self._close_dropped()

    def _is_recent(self, conn: Connection, now_s: float) -> bool:
        idle_s = min(self._idle_s, conn.keep_alive_s)
        return conn.idle_since_s >= now_s - idle_s

    def _pop_idle(
        self, address: Address, request_id: bytes | None
    ) -> Connection | None:
        """Removes and returns the idle connection last used, or None.

        Those on which a request with the same id failed are left.
        """
        conns = self._idle.get(address, [])
        for index in reversed(range(len(conns))):
            if request_id not in conns[index].failed_ids:
                return conns.pop(index)
        return None

    async def _acquire(
        self,
        address: Address,
        request_id: bytes | None,
        fresh: bool,
        deadline_s: float,
    ) -> Connection:
        """Returns an idle connection, see `_pop_idle`, or a new one.

        An idle connection is readable if the server closed it or sent excess
        bytes; it isn't reused then.

        Raises:
            RequestFailedError: No new connection could be opened in time.
        """
        # Read anew each time: other tasks may replace the list during a close.
        while not fresh and (conn := self._pop_idle(address, request_id)):
            is_recent = self._is_recent(conn, time.monotonic())
            if is_recent and not conn.is_readable():
                return conn
            await conn.aclose()
        with mapped_errors(
            address, lambda: ExecutionStatus.NOT_RUN, deadline_s
        ):
            return await connect(address, self._connect_timeout_s)


async def _check_may_send(
    may_send: Callable[[], bool], conn: Connection, address: Address
) -> None:
    """Closes the connection and raises an error if nothing may be sent.

    Raises:
        RequestWithdrawnError: `may_send` returned False.
    """
    if may_send():
        return
    await conn.aclose()
    raise RequestWithdrawnError(
        f"the request to {address} was withdrawn before it was sent",
        ran=ExecutionStatus.NOT_RUN,
    )


async def _exchange_heads(
    conn: Connection,
    method: str,
    address: Address,
    target: str,
    headers: tuple[Header, ...],
    body: bytes,
) -> httpcore.Response:
    """Sends a request; returns once the response's head is received.

    Raises:
        RequestFailedError: The response fails `_check_request_id` or
            `_check_framing`.
    """
    req = _build_request(method, address, target, headers, body)
    response = await conn.http.handle_async_request(req)
    conn.has_response_head = True
    request_id = _request_id(headers)
    _check_request_id(response, request_id, conn.carried_ids)
    if request_id:
        conn.record_request(request_id, response.status)
    _check_framing(response, method)
    return response


async def _read_body(
    conn: Connection, response: httpcore.Response, max_bytes: int
) -> bytes:
    """Returns the complete body of a response.

    Raises:
        RequestFailedError: The body is larger than `max_bytes`.
    """
    chunks = []
    size = 0
    async for chunk in response.stream:
        size += len(chunk)
        if size > max_bytes:
            raise RequestFailedError(
                f"the response exceeds {max_bytes} bytes",
                ran=ExecutionStatus.RAN,
            )
        chunks.append(chunk)
    # After `aclose`, httpcore's connection is idle, or closed if the server
    # ends it. `end_exchange` comes first, so that this close isn't a reset.
    conn.end_exchange()
    await response.aclose()
    return b"".join(chunks)


def _build_request(
    method: str,
    address: Address,
    target: str,
    headers: tuple[Header, ...],
    body: bytes,
) -> httpcore.Request:
    added = []
    if all(name != b"host" for name, _ in headers):
        added.append((b"host", str(address).encode()))
    if body or method not in _NO_BODY_METHODS:
        added.append((b"content-length", str(len(body)).encode()))
    return httpcore.Request(
        method,
        httpcore.URL(
            scheme=b"http",
            host=address.ip.encode(),
            port=address.port,
            target=target.encode(),
        ),
        headers=[*added, *headers],
        content=body,
    )


def _request_id(headers: tuple[Header, ...]) -> bytes | None:
    """Returns the id in the headers of a request, or None."""
    for name, value in headers:
        if name == _REQUEST_ID_HEADER:
            return value
    return None


def _check_request_id(
    response: httpcore.Response,
    request_id: bytes | None,
    earlier_ids: Collection[bytes],
) -> None:
    """Rejects a response that echoes the id of another request.

    Args:
        response: The response.
        request_id: The id that was sent, if any.
        earlier_ids: Ids of earlier requests on the connection.

    Raises:
        RequestFailedError: The response belongs to another request.
    """
    for name, value in response.headers:
        if name.lower() != _REQUEST_ID_HEADER or value == request_id:
            continue
        # A server may choose the id of a request that was sent without one.
        if request_id is not None or value in earlier_ids:
            raise RequestFailedError(
                "the response has the request id of another request",
                ran=ExecutionStatus.UNKNOWN,
            )


def _check_framing(response: httpcore.Response, method: str) -> None:
    """Rejects a response whose end can't be told from a lost connection."""
    if method == "HEAD" or response.status in _NO_BODY_STATUSES:
        return
    names = {name.lower() for name, _ in response.headers}
    if b"content-length" in names or b"transfer-encoding" in names:
        return
    raise RequestFailedError(
        "the response has neither Content-Length nor Transfer-Encoding",
        ran=ExecutionStatus.RAN,
    )


def _lower_names(headers) -> tuple[Header, ...]:
    return tuple((name.lower(), value) for name, value in headers)
