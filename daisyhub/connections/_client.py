"""An HTTP client with a pool of idle connections for each address.

A connection carries one request at a time. After an error, a timeout or a
cancellation, a connection is closed and never reused, so that a late response
can't be taken for the response to another request. A request that repeats one
that failed in the server uses another connection than that, since an extra
response with the same id would count as a second failure.
"""

import time
from collections.abc import Callable

import anyio

from daisyhub.connections._connection import (
    Connection,
    RequestFailedError,
    connect,
    mapped_errors,
    try_connect,
)
from daisyhub.connections._exchange import (
    NoRoomError,
    check_may_send,
    exchange_heads,
    find_request_id,
    lower_names,
    read_body,
)
from daisyhub.connections._pool import ConnectionPool
from daisyhub.connections._response import (
    HttpResponse,
    StreamedResponse,
    Timing,
)
from daisyhub.exceptions import ExecutionStatus
from daisyhub.memory import MemoryBudget, MemoryLease
from daisyhub.messages import Header
from daisyhub.settings import Address

__all__ = ["HttpClient"]


# Seconds without a response head after which a cancelled request shows that its
# server was silent: longer than the usual latency of a look-up.
_MIN_SILENCE_S = 0.25

ExchangeObserver = Callable[[Address, bool], None]


def _always() -> bool:
    """The default of `may_send`."""
    return True


class HttpClient(ConnectionPool):
    """Sends requests over pooled connections, the last used first.

    Args:
        connect_timeout_s: Maximum time to open a connection.
        idle_s: Idle time after which a connection is closed, not reused.
        on_exchange: Called with the address of a server and whether it
            answered: at each response head, failure, and request that is
            cancelled after a long silence.
        memory: Memory of the process for buffered responses; by default that
            of a process that states none.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float,
        idle_s: float,
        on_exchange: ExchangeObserver = lambda *_: None,
        memory: MemoryBudget | None = None,
    ):
        super().__init__(idle_s)
        self._memory = memory or MemoryBudget()
        self._connect_timeout_s = connect_timeout_s
        self._on_exchange = on_exchange

    def hold(self, size: int) -> MemoryLease:
        """Returns the lease of a body that was made to be sent."""
        return self._memory.hold(size)

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
            request_id = find_request_id(headers)
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
            await check_may_send(may_send, conn, address)
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
                response = await exchange_heads(
                    conn, method, address, target, headers, body
                )
                self._on_exchange(address, True)
                content, lease = await read_body(
                    conn, response, max_body_bytes, self._memory
                )
        except NoRoomError:
            # The server isn't at fault.
            await conn.aclose()
            raise
        except RequestFailedError:
            self._report_failure(address, conn)
            await self._discard(address, conn, started_s)
            raise
        except BaseException:
            # A cancellation doesn't make other connections suspect.
            self._report_cancelled(address, conn, started_s)
            await conn.aclose()
            raise
        conn.update_keep_alive(response.headers)
        await self.release(address, conn, started_s)
        return HttpResponse(
            status=response.status,
            headers=lower_names(response.headers),
            body=content,
            lease=lease,
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
    ) -> StreamedResponse:
        """Sends a request and returns once the response's head is received.

        The caller reads `chunks()` and must call `aclose()`. The timeout
        covers the whole exchange; see `request` for the arguments.

        Raises:
            RequestWithdrawnError: `may_send` returned False.
            RequestFailedError: No valid response head was received.
        """
        started_s = time.monotonic()
        deadline_s = anyio.current_time() + timeout_s
        timing = Timing(started_s, deadline_s)
        conn = await self._acquire(
            address, find_request_id(headers), fresh, deadline_s
        )
        await check_may_send(may_send, conn, address)
        conn.begin_exchange()
        try:
            with mapped_errors(address, lambda: conn.ran, deadline_s):
                response = await exchange_heads(
                    conn, method, address, target, headers, body
                )
        except RequestFailedError:
            self._report_failure(address, conn)
            await self._discard(address, conn, started_s)
            raise
        except BaseException:
            self._report_cancelled(address, conn, started_s)
            await conn.aclose()
            raise
        self._on_exchange(address, True)
        conn.update_keep_alive(response.headers)
        return StreamedResponse(
            client=self,
            conn=conn,
            address=address,
            response=response,
            timing=timing,
        )

    def _report_failure(self, address: Address, conn: Connection) -> None:
        """Reports a failed exchange, unless its head was received."""
        if not conn.has_response_head:
            self._on_exchange(address, False)

    def _report_cancelled(
        self, address: Address, conn: Connection, started_s: float
    ) -> None:
        """Reports a cancelled exchange if its server was silent for long."""
        is_long = time.monotonic() - started_s >= _MIN_SILENCE_S
        if is_long and not conn.has_response_head:
            self._on_exchange(address, False)

    def report_answer(self, address: Address) -> None:
        """Reports that a part of a streamed body was received."""
        self._on_exchange(address, True)

    async def is_refused(self, address: Address, timeout_s: float) -> bool:
        """Whether a new connection is refused, as nobody listens there.

        An opened connection is kept for the next request. Without a response
        in time, the result is False.
        """
        try:
            conn = await try_connect(address, timeout_s)
        except ConnectionRefusedError:
            return True
        if conn is not None:
            self._idle.setdefault(address, []).append(conn)
        return False

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
        started_s = time.monotonic()
        try:
            with mapped_errors(
                address, lambda: ExecutionStatus.NOT_RUN, deadline_s
            ):
                return await connect(address, self._connect_timeout_s)
        except RequestFailedError:
            self._on_exchange(address, False)
            raise
        except anyio.get_cancelled_exc_class():
            if time.monotonic() - started_s >= _MIN_SILENCE_S:
                self._on_exchange(address, False)
            raise
