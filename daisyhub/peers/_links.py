"""TCP connections that carry messages from one daemon to another.

A link is one-way: its receiver returns only the number of frames that it has
read. Frames without such an acknowledgement for too long show that the
connection is dead, for example because an intermediate device lost its state.
A link without frames in flight causes no traffic, so the cost of a daemon
doesn't grow with the number of its peers.
"""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Callable

from daisyhub.memory import MemoryBudget
from daisyhub.serving import ConnectionTable, EvictableConnection
from daisyhub.settings import Address

__all__ = ["IncomingLink", "OutgoingLink"]

_FRAME_HEADER = struct.Struct("!I")
_ACK = struct.Struct("!Q")
# Value of SO_LINGER with which a close discards what the kernel still holds.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Largest frame accepted, in bytes: a manifest of many routes has a few million.
_MAX_FRAME_BYTES = 1 << 26
# Maximum number of frames that wait for the connection to be opened.
_MAX_QUEUED_FRAMES = 64
# Bytes that the peer hasn't read yet, above which frames are dropped: some of
# the largest frames.
_MAX_UNREAD_BYTES = 1 << 23
# Seconds for one attempt to connect. Without it, an attempt waits for the
# kernel's retransmissions, which take seconds after a partition has healed.
_CONNECT_TIMEOUT_S = 0.5
# Seconds after a failed attempt before the next one.
_RECONNECT_DELAY_S = 0.2
# Seconds without acknowledgement after which a connection is considered dead:
# several round trips and the stalls of a busy daemon.
_ACK_TIMEOUT_S = 1.5
# Seconds without a frame after which the sender closes the connection.
_IDLE_TIMEOUT_S = 30.0


class OutgoingLink(asyncio.Protocol):
    """Sends frames to one peer; connects when there is a frame to send.

    Frames may be lost if the connection ends.

    Args:
        address: Where the peer listens.
    """

    def __init__(self, address: Address):
        self._address = address
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task | None = None
        self._queue: list[bytes] = []
        self._retry_at_s = 0.0
        self._sent = 0
        self._acked = 0
        # When the oldest frame without acknowledgement was sent, or when the
        # last acknowledgement arrived if that is later.
        self._waiting_since_s = 0.0
        self._last_sent_s = 0.0
        self._ack_bytes = b""
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    def send(self, frame: bytes) -> bool:
        """Queues a frame; returns False if it was dropped."""
        if self._is_closed:
            return False
        if self._transport is not None:
            return self._write(frame)
        if len(self._queue) >= _MAX_QUEUED_FRAMES:
            return False
        now_s = time.monotonic()
        if self._connecting is None:
            if now_s < self._retry_at_s:
                return False
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._connect())
        self._queue.append(frame)
        return True

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were queued but not passed to the kernel."""
        queued = sum(len(frame) for frame in self._queue)
        if self._transport is not None:
            queued += self._transport.get_write_buffer_size()
        return queued

    def close(self) -> None:
        """Sends what is buffered and closes the connection."""
        self._is_closed = True
        self._stop_timer()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection; drops what is buffered."""
        self.close()
        if self._transport is not None:
            _reset(self._transport)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the frames that waited for the connection."""
        self._transport = transport
        self._sent = self._acked = 0
        self._ack_bytes = b""
        frames, self._queue = self._queue, []
        for frame in frames:
            self._write(frame)

    def data_received(self, data: bytes) -> None:
        """Reads the peer's counts of received frames; the last one holds."""
        self._ack_bytes += data
        complete = len(self._ack_bytes) // _ACK.size * _ACK.size
        if not complete:
            return
        (self._acked,) = _ACK.unpack_from(self._ack_bytes, complete - _ACK.size)
        self._ack_bytes = self._ack_bytes[complete:]
        self._waiting_since_s = time.monotonic()

    def connection_lost(self, exc: Exception | None) -> None:
        """The next frame opens a new connection."""
        del exc
        self._transport = None
        self._stop_timer()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        address = self._address
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: self, address.ip, address.port
                )
        except (OSError, TimeoutError):
            # Unreachable peers are found and logged by their missing pings.
            self._queue.clear()
            self._retry_at_s = time.monotonic() + _RECONNECT_DELAY_S
        finally:
            self._connecting = None

    def _write(self, frame: bytes) -> bool:
        if self._transport.get_write_buffer_size() > _MAX_UNREAD_BYTES:
            return False
        now_s = time.monotonic()
        if self._sent == self._acked:
            self._waiting_since_s = now_s
        self._sent += 1
        self._last_sent_s = now_s
        self._transport.write(_FRAME_HEADER.pack(len(frame)) + frame)
        if self._timer is None:
            self._start_timer(_ACK_TIMEOUT_S)
        return True

    def _start_timer(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        """Ends a dead or idle connection, or checks again later."""
        self._timer = None
        if self._transport is None:
            return
        now_s = time.monotonic()
        if self._sent > self._acked:
            left_s = self._waiting_since_s + _ACK_TIMEOUT_S - now_s
            if left_s <= 0:
                _reset(self._transport)
                return
            self._start_timer(left_s)
            return
        if now_s - self._last_sent_s >= _IDLE_TIMEOUT_S:
            self._transport.close()
            return
        self._start_timer(_ACK_TIMEOUT_S)


def _reset(transport: asyncio.Transport) -> None:
    """Closes a connection and discards the frames that weren't delivered.

    `abort` alone discards only what asyncio buffers. The kernel would deliver
    the rest once a partition has healed.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        # The connection may have ended already.
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
    transport.abort()


class IncomingLink(asyncio.Protocol, EvictableConnection):
    """Receives the frames of one connection and acknowledges them.

    Args:
        on_frame: Called with each complete frame.
        open_links: The open links of the daemon; this one adds and removes
            itself.
        table: The same, for their maximum number.
        memory: Memory of the process for what others send. The link is closed
            if an unfinished frame has no room.
    """

    def __init__(
        self,
        on_frame: Callable[[bytes], None],
        open_links: set["IncomingLink"],
        table: ConnectionTable,
        memory: MemoryBudget,
    ):
        self._on_frame = on_frame
        self._claim = memory.open(self.abort)
        self._open_links = open_links
        self._table = table
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._received = 0
        self._last_received_s = time.monotonic()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the link."""
        self._transport = transport
        self._open_links.add(self)
        self._table.add(self)

    def data_received(self, data: bytes) -> None:
        """Passes complete frames on, then acknowledges them."""
        self._last_received_s = time.monotonic()
        self._claim.add(len(data))
        if self._claim.is_evicted:
            return
        self._buffer += data
        start = 0
        count = 0
        size = len(self._buffer)
        while size - start >= _FRAME_HEADER.size:
            (length,) = _FRAME_HEADER.unpack_from(self._buffer, start)
            if length > _MAX_FRAME_BYTES:
                self._transport.abort()
                return
            end = start + _FRAME_HEADER.size + length
            if size < end:
                break
            self._on_frame(
                bytes(self._buffer[start + _FRAME_HEADER.size : end])
            )
            start = end
            count += 1
        if not count:
            return
        del self._buffer[:start]
        self._claim.release()
        self._claim.add(len(self._buffer))
        self._table.set_idle(self)
        self._received += count
        self._transport.write(_ACK.pack(self._received))

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the link."""
        del exc
        self._open_links.discard(self)
        self._table.remove(self)
        self._claim.release()

    def abort(self) -> None:
        """Closes the connection; drops an unfinished frame."""
        self._buffer = bytearray()
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """Makes room for another link."""
        self.abort()

    def close_if_idle(self, now_s: float) -> None:
        """Closes the link of a sender that is gone without closing it.

        Args:
            now_s: Current time on the monotonic clock.
        """
        if now_s - self._last_received_s > 2 * _IDLE_TIMEOUT_S:
            self.abort()
