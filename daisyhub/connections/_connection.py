"""An HTTP connection that tracks the progress of its current request."""

import collections
import contextlib
import re
import select
import socket
import struct
import time

import anyio
import h11
import httpcore
from httpcore import AnyIOBackend, AsyncNetworkStream

from daisyhub.exceptions import DaisyhubError, ExecutionStatus
from daisyhub.settings import Address

__all__ = [
    "Connection",
    "RequestFailedError",
    "RequestWithdrawnError",
    "connect",
    "mapped_errors",
    "try_connect",
]

_CLOSE_TIMEOUT_S = 0.5
# An idle connection is not reused during the last part of the keep-alive time
# that the peer stated; covers the time until the request reaches the peer.
_KEEP_ALIVE_MARGIN_S = 0.5
# Request ids that a connection remembers. An extra response follows the one to
# its request, a few requests later at most.
_REMEMBERED_IDS = 16
# Status of a request that failed in the server. Of some requests it is counted,
# by id, how often that happens.
_FAILED_STATUS = 500
# `SO_LINGER` value: closing resets the connection and drops unsent data.
_NO_LINGER = struct.pack("ii", 1, 0)
_BACKEND = AnyIOBackend()
# Maximum size of a read, in bytes. asyncio's default is four times as large,
# which each connection may hold beside the response it belongs to.
_READ_BYTES = 1 << 16
_KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")


class RequestFailedError(DaisyhubError):
    """No complete response was received.

    Attributes:
        ran: NOT_RUN only if no byte of the request was sent, RAN if the head
            of its response was received, otherwise UNKNOWN.
        timed_out: Whether the request timed out.
    """

    code = "request_failed"

    def __init__(
        self, detail: str, *, ran: ExecutionStatus, timed_out: bool = False
    ):
        super().__init__(detail)
        self.ran = ran
        self.timed_out = timed_out


class RequestWithdrawnError(RequestFailedError):
    """The caller's `may_send` forbade to send the request."""

    code = "request_withdrawn"


class _TrackedStream(AsyncNetworkStream):
    """A network stream that records whether a request was sent.

    Attributes:
        has_sent: Whether sending the current request has started.
        is_in_exchange: Whether a request was started whose response isn't read
            to its end.
        inner: The underlying stream.
    """

    def __init__(self, stream: AsyncNetworkStream):
        self.has_sent = False
        self.is_in_exchange = False
        self.inner = stream
        self.read = stream.read
        self.get_extra_info = stream.get_extra_info

    async def aclose(self) -> None:
        """Closes the connection; resets it during an exchange.

        After a plain close, the kernel would retransmit an abandoned request
        during a network partition and deliver it once the partition ends.
        """
        if self.is_in_exchange:
            self.reset()
        await self.inner.aclose()

    def reset(self) -> None:
        """Closes the connection at once; drops what wasn't sent."""
        sock = self.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        # anyio's `aclose` would first shut down the sending side gracefully.
        transport = getattr(self.inner._stream, "_transport", None)
        if transport is not None:
            transport.abort()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self.has_sent = True
        await self.inner.write(buffer, timeout)


class Connection:
    """An open connection that carries one request at a time.

    Attributes:
        http: The HTTP/1.1 connection of httpcore.
        idle_since_s: Monotonic time at which the last response was completed.
        has_response_head: Whether the head of the current request's response
            was received.
        keep_alive_s: Seconds for which an idle connection may be reused:
            those that the peer stated, less a margin; infinite if it stated
            none.
        carried_ids: Ids of the last requests on this connection.
        failed_ids: Ids of the last requests that failed in the server.
    """

    def __init__(self, address: Address, stream: AsyncNetworkStream):
        origin = httpcore.Origin(b"http", address.ip.encode(), address.port)
        self._stream = _TrackedStream(stream)
        self.http = httpcore.AsyncHTTP11Connection(origin, stream=self._stream)
        self.idle_since_s = 0.0
        self.has_response_head = False
        self.keep_alive_s = float("inf")
        self.carried_ids: collections.deque[bytes] = collections.deque(
            maxlen=_REMEMBERED_IDS
        )
        self.failed_ids: collections.deque[bytes] = collections.deque(
            maxlen=_REMEMBERED_IDS
        )
        self._poll: select.poll | None = None

    @property
    def parser(self) -> h11.Connection:
        """The parser of the connection, with what was read beyond the head."""
        return self.http._h11_state

    async def read(self, max_bytes: int) -> bytes:
        """Returns received bytes; empty at the end of the connection.

        Raises:
            httpcore.ReadError: The connection failed.
        """
        return await self._stream.read(max_bytes)

    def begin_exchange(self) -> None:
        """Resets the state for a new request."""
        self._stream.has_sent = False
        self._stream.is_in_exchange = True
        self.has_response_head = False

    def end_exchange(self) -> None:
        """Records that the response was read to its end."""
        self._stream.is_in_exchange = False

    def record_request(self, request_id: bytes, status: int) -> None:
        """Records a request whose response has this status."""
        self.carried_ids.append(request_id)
        if status == _FAILED_STATUS:
            self.failed_ids.append(request_id)

    def update_keep_alive(self, headers) -> None:
        """Applies the timeout of a response's `Keep-Alive` header."""
        for name, value in headers:
            if name.lower() != b"keep-alive":
                continue
            stated = _KEEP_ALIVE.search(value)
            if stated is not None:
                self.keep_alive_s = max(
                    0.0, int(stated[1]) - _KEEP_ALIVE_MARGIN_S
                )

    @property
    def ran(self) -> ExecutionStatus:
        """Whether the current request was executed, as far as is known."""
        if self.has_response_head:
            return ExecutionStatus.RAN
        return (
            ExecutionStatus.UNKNOWN
            if self._stream.has_sent
            else ExecutionStatus.NOT_RUN
        )

    def is_reusable(self) -> bool:
        """Whether the last response was complete and no bytes followed it.

        Excess bytes would be parsed as the response to the next request.
        httpcore doesn't check for bytes that were read already, so this
        checks h11's buffer and anyio's read queue.
        """
        if not self.http.is_idle():
            return False
        if self.parser.trailing_data[0]:
            return False
        protocol = getattr(self._stream.inner._stream, "_protocol", None)
        return not getattr(protocol, "read_queue", None)

    def is_readable(self) -> bool:
        """Whether received bytes or the peer's close wait in the kernel."""
        if self._poll is None:
            self._poll = select.poll()
            sock = self._stream.get_extra_info("socket")
            self._poll.register(sock, select.POLLIN)
        return bool(self._poll.poll(0))

    def abort(self) -> None:
        """Resets the connection at once; reading from it fails."""
        self._stream.reset()

    async def aclose(self) -> None:
        """Closes the connection; ignores errors and delays a cancellation.

        Takes at most `_CLOSE_TIMEOUT_S`.
        """
        with anyio.move_on_after(_CLOSE_TIMEOUT_S, shield=True):
            with contextlib.suppress(Exception):
                await self.http.aclose()


async def connect(address: Address, timeout_s: float) -> Connection:
    """Opens a connection.

    Raises:
        httpcore.ConnectError: The connection failed.
        httpcore.ConnectTimeout: Connecting timed out.
    """
    stream = await _BACKEND.connect_tcp(address.ip, address.port, timeout_s)
    transport = getattr(stream._stream, "_transport", None)
    if transport is not None:
        transport.max_size = _READ_BYTES
    return Connection(address, stream)


async def try_connect(address: Address, timeout_s: float) -> Connection | None:
    """Opens a connection; returns None if that fails or takes too long.

    Raises:
        ConnectionRefusedError: Nobody listens at the address.
    """
    with anyio.move_on_after(timeout_s):
        try:
            conn = await connect(address, timeout_s)
        except (httpcore.ConnectError, httpcore.TimeoutException) as exc:
            cause = exc
            while cause is not None:
                if isinstance(cause, ConnectionRefusedError):
                    raise cause from None
                cause = cause.__cause__
            return None
        conn.idle_since_s = time.monotonic()
        return conn
    return None


@contextlib.contextmanager
def mapped_errors(address: Address, get_ran, deadline_s: float):
    """Cancels the block at the deadline; maps httpcore's errors to one error.

    Args:
        address: Address of the peer, for the error message.
        get_ran: Returns whether the request was executed; called on failure.
        deadline_s: Deadline on anyio's clock.

    Raises:
        RequestFailedError: The block failed or timed out.
    """
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
            ran=get_ran(),
            timed_out=isinstance(exc, httpcore.TimeoutException),
        ) from exc
    if scope.cancelled_caught:
        raise RequestFailedError(
            f"{address} did not respond completely in time",
            ran=get_ran(),
            timed_out=True,
        )
