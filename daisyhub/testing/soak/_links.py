"""A proxy on loopback that harms the connections through it."""

import enum
import socket
import struct

import anyio
import anyio.abc

from daisyhub.settings import Address

__all__ = ["Link", "LinkMode"]

_LOOPBACK = "127.0.0.1"
_CHUNK_BYTES = 65536
# Seconds by which a slow link holds each piece; half of the time that a call
# of the store may take (0.7 s).
_SLOW_S = 0.35
# Closing with this option sends a reset instead of an end.
_LINGER_RESET = struct.pack("ii", 1, 0)


class LinkMode(enum.Enum):
    """What happens to bytes on a link."""

    PASS = "pass"
    SLOW = "slow"
    RESET = "reset"
    ONE_WAY = "one_way"
    SILENT = "silent"


class Link:
    """Forwards TCP connections to one address.

    Bytes that a silent link holds go on when the link is healed, so that
    calls may take effect late. On a one-way link only answers are held.

    Args:
        target: Where connections go.
    """

    def __init__(self, target: Address):
        self._target = target
        self._mode = LinkMode.PASS
        self._healed = anyio.Event()
        self._open: set[anyio.abc.SocketStream] = set()
        self._listener: anyio.abc.Listener | None = None
        self.address: Address | None = None

    async def listen(self) -> Address:
        """Opens the listener; returns where it is."""
        self._listener = await anyio.create_tcp_listener(local_host=_LOOPBACK)
        port = self._listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = Address(ip=_LOOPBACK, port=port)
        return self.address

    async def run(self) -> None:
        """Forwards until cancelled."""
        async with self._listener:
            await self._listener.serve(self._serve)

    def set_mode(self, mode: LinkMode) -> None:
        """Harms or heals the link, also for connections that are open."""
        self._mode = mode
        if mode is LinkMode.RESET:
            for stream in list(self._open):
                _reset(stream)
        if mode in (LinkMode.PASS, LinkMode.SLOW):
            self._healed.set()
            self._healed = anyio.Event()

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        if self._mode is LinkMode.RESET:
            _reset(near)
            return
        try:
            far = await anyio.connect_tcp(self._target.ip, self._target.port)
        except OSError:
            _reset(near)
            return
        self._open |= {near, far}
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, near, far, False)
                tasks.start_soon(self._pump, far, near, True)
        finally:
            self._open -= {near, far}
            for stream in (near, far):
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    async def _pump(self, source, sink, is_answer: bool) -> None:
        try:
            while True:
                piece = await source.receive(_CHUNK_BYTES)
                await self._hold(is_answer)
                await sink.send(piece)
        except anyio.EndOfStream:
            try:
                await sink.send_eof()
            except (OSError, anyio.BrokenResourceError):
                return
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            _reset(source)
            _reset(sink)

    async def _hold(self, is_answer: bool) -> None:
        if self._mode is LinkMode.SLOW:
            await anyio.sleep(_SLOW_S)
        while self._mode is LinkMode.SILENT or (
            self._mode is LinkMode.ONE_WAY and is_answer
        ):
            await self._healed.wait()


def _reset(stream: anyio.abc.SocketStream) -> None:
    """Closes a connection so that the other end sees a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        # The event loop still owns the descriptor: shut down, don't close.
        raw.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
