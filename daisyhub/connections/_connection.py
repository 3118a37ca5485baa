"""One HTTP connection, and how far the request on it got."""

import contextlib
import re
import select
import socket
import struct

import anyio
import httpcore
from httpcore import AnyIOBackend, AsyncNetworkStream

from daisyhub.exceptions import DaisyhubError, Ran
from daisyhub.settings import Address

__all__ = ["Connection", "RequestFailedError", "connect", "mapped_errors"]

_CLOSE_TIMEOUT_S = 0.5
# Seconds before the time that the peer states at which an idle connection is
# no longer used; covers the way of the request there.
_KEEP_MARGIN_S = 0.5
# Closing resets the connection and drops what wasn't sent.
_NO_LINGER = struct.pack("ii", 1, 0)
_BACKEND = AnyIOBackend()
_KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")


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


class _Wire(AsyncNetworkStream):
    """A network stream that notes when the first byte leaves.

    Attributes:
        has_sent: Whether a byte of the present request has left.
        in_exchange: Whether an answer is awaited or still being read.
    """

    def __init__(self, stream: AsyncNetworkStream):
        self.has_sent = False
        self.in_exchange = False
        self.stream = stream
        self.read = stream.read
        self.get_extra_info = stream.get_extra_info

    async def aclose(self) -> None:
        """Closes the connection; resets it within an exchange.

        A mere close leaves the kernel sending a request that was given up,
        for as long as the network between is cut.
        """
        if self.in_exchange:
            self._reset()
        await self.stream.aclose()

    def _reset(self) -> None:
        sock = self.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        # anyio's own close ends the sending side in order first.
        transport = getattr(self.stream._stream, "_transport", None)
        if transport is not None:
            transport.abort()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self.has_sent = True
        await self.stream.write(buffer, timeout)


class Connection:
    """An open connection; carries one request at a time.

    Attributes:
        http: The protocol on it.
        idle_since_s: Monotonic time at which it last ended a whole answer.
        head_came: Whether the present request's answer has begun.
        keep_s: How long the peer keeps it open while idle, less a margin.
    """

    def __init__(self, address: Address, stream: AsyncNetworkStream):
        origin = httpcore.Origin(b"http", address.ip.encode(), address.port)
        self._wire = _Wire(stream)
        self.http = httpcore.AsyncHTTP11Connection(origin, stream=self._wire)
        self.idle_since_s = 0.0
        self.head_came = False
        self.keep_s = float("inf")
        self._poll: select.poll | None = None

    def begin(self) -> None:
        """Notes that a new request starts."""
        self._wire.has_sent = False
        self._wire.in_exchange = True
        self.head_came = False

    def end(self) -> None:
        """Notes that the present request's answer was read whole."""
        self._wire.in_exchange = False

    def note_headers(self, headers) -> None:
        """Takes the idle time that an answer's `Keep-Alive` states."""
        for name, value in headers:
            if name.lower() != b"keep-alive":
                continue
            stated = _KEEP_ALIVE.search(value)
            if stated is not None:
                self.keep_s = max(0.0, int(stated[1]) - _KEEP_MARGIN_S)

    @property
    def ran(self) -> Ran:
        """What can be said of the present request if it fails now."""
        if self.head_came:
            return Ran.RAN
        return Ran.UNKNOWN if self._wire.has_sent else Ran.NOT_RUN

    def is_reusable(self) -> bool:
        """Whether the last answer was whole and nothing was read after it.

        Bytes after an answer would be taken for the next request's answer.
        httpcore doesn't look at those that it has read already, so this
        looks into h11's buffer and anyio's queue.
        """
        if not self.http.is_idle():
            return False
        if self.http._h11_state.trailing_data[0]:
            return False
        protocol = getattr(self._wire.stream._stream, "_protocol", None)
        return not getattr(protocol, "read_queue", None)

    def is_readable(self) -> bool:
        """Whether the kernel has bytes or the peer's end of the connection."""
        if self._poll is None:
            self._poll = select.poll()
            sock = self._wire.get_extra_info("socket")
            self._poll.register(sock, select.POLLIN)
        return bool(self._poll.poll(0))

    async def aclose(self) -> None:
        """Closes it, whatever goes on."""
        with anyio.move_on_after(_CLOSE_TIMEOUT_S, shield=True):
            with contextlib.suppress(Exception):
                await self.http.aclose()


async def connect(address: Address, timeout_s: float) -> Connection:
    """Opens a connection.

    Raises:
        httpcore.ConnectError: It was refused.
        httpcore.ConnectTimeout: It took too long.
    """
    stream = await _BACKEND.connect_tcp(address.ip, address.port, timeout_s)
    return Connection(address, stream)


@contextlib.contextmanager
def mapped_errors(address: Address, get_ran, deadline_s: float):
    """Ends the block at the deadline; turns every fault into one error.

    Args:
        address: The peer, for the error's text.
        get_ran: Returns what can be said of the request if it fails now.
        deadline_s: When to end, on anyio's clock.

    Raises:
        RequestFailedError: The block failed or took too long.
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
            f"{address} gave no whole answer in time",
            ran=get_ran(),
            timed_out=True,
        )
