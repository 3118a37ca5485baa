"""A TCP proxy on loopback that injects network faults."""

import enum
import socket
import struct

import anyio
import anyio.abc

from daisyhub.settings import Address

__all__ = ["Link", "LinkMode"]

_LOOPBACK = "127.0.0.1"
_CHUNK_BYTES = 65536
# Seconds by which a slow link delays each chunk; half of the timeout of a store
# call (0.7 s).
_SLOW_DELAY_S = 0.35
# With this value of SO_LINGER a close sends a reset (RST) instead of a FIN.
_LINGER_RESET = struct.pack("ii", 1, 0)


class LinkMode(enum.Enum):
    """How a link treats the bytes that it receives.

    Attributes:
        PASS: Forwards them.
        SLOW: Delays each chunk.
        RESET: Resets open and new connections.
        ONE_WAY: Buffers responses until the link is restored.
        SILENT: Buffers bytes in both directions until the link is restored.
        REFUSE: Resets new connections, and forwards on open ones.
    """

    PASS = "pass"
    SLOW = "slow"
    RESET = "reset"
    ONE_WAY = "one_way"
    SILENT = "silent"
    REFUSE = "refuse"


class Link:
    """Forwards TCP connections to one address.

    A link is restored by the modes `PASS` and `SLOW`. It then forwards the
    buffered bytes, so that a call may take effect late. A client may have a
    mode of its own, by the address that it connects from.

    Args:
        target: Address to which connections are forwarded.
        source_ip: Loopback address from which they are forwarded, so that the
            target can distinguish the clients of several links.
    """

    def __init__(self, target: Address, source_ip: str = _LOOPBACK):
        self._target = target
        self._source_ip = source_ip
        self._mode = LinkMode.PASS
        self._client_modes: dict[str, LinkMode] = {}
        self._restored = anyio.Event()
        # The open streams, with the address of their client.
        self._open_streams: dict[anyio.abc.SocketStream, str] = {}
        self._listener: anyio.abc.Listener | None = None
        self.address: Address | None = None

    async def listen(self) -> Address:
        """Opens the listener; returns its address."""
        self._listener = await anyio.create_tcp_listener(local_host=_LOOPBACK)
        port = self._listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = Address(ip=_LOOPBACK, port=port)
        return self.address

    async def run(self) -> None:
        """Forwards until cancelled."""
        async with self._listener:
            await self._listener.serve(self._serve)

    def set_mode(self, mode: LinkMode, client_ip: str = "") -> None:
        """Sets the mode, also for open connections.

        Args:
            mode: The mode.
            client_ip: The client for which it is set, until it is set to
                `PASS`; empty for all that have no mode of their own.
        """
        if not client_ip:
            self._mode = mode
        elif mode is LinkMode.PASS:
            self._client_modes.pop(client_ip, None)
        else:
            self._client_modes[client_ip] = mode
        for stream, ip in list(self._open_streams.items()):
            if self._mode_of(ip) is LinkMode.RESET:
                _reset(stream)
        if mode in (LinkMode.PASS, LinkMode.SLOW):
            self._restored.set()
            self._restored = anyio.Event()

    def _mode_of(self, client_ip: str) -> LinkMode:
        return self._client_modes.get(client_ip, self._mode)

    async def _serve(self, client_stream: anyio.abc.SocketStream) -> None:
        # Without an address, the client has closed the connection.
        client_ip = client_stream.extra(
            anyio.abc.SocketAttribute.remote_address, ("", 0)
        )[0]
        if self._mode_of(client_ip) in (LinkMode.RESET, LinkMode.REFUSE):
            _reset(client_stream)
            return
        try:
            server_stream = await anyio.connect_tcp(
                self._target.ip,
                self._target.port,
                local_host=self._source_ip,
            )
        except OSError:
            _reset(client_stream)
            return
        self._open_streams[client_stream] = client_ip
        self._open_streams[server_stream] = client_ip
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward, client_stream, server_stream, client_ip
                )
                tasks.start_soon(
                    self._forward, server_stream, client_stream, client_ip, True
                )
        finally:
            for stream in (client_stream, server_stream):
                self._open_streams.pop(stream, None)
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    async def _forward(
        self, source, sink, client_ip: str, is_response: bool = False
    ) -> None:
        try:
            while True:
                data = await source.receive(_CHUNK_BYTES)
                await self._delay(client_ip, is_response)
                await sink.send(data)
        except anyio.EndOfStream:
            try:
                await sink.send_eof()
            except (OSError, anyio.BrokenResourceError):
                return
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            _reset(source)
            _reset(sink)

    async def _delay(self, client_ip: str, is_response: bool) -> None:
        if self._mode_of(client_ip) is LinkMode.SLOW:
            await anyio.sleep(_SLOW_DELAY_S)
        while self._is_held(client_ip, is_response):
            await self._restored.wait()

    def _is_held(self, client_ip: str, is_response: bool) -> bool:
        mode = self._mode_of(client_ip)
        is_one_way = mode is LinkMode.ONE_WAY and is_response
        return mode is LinkMode.SILENT or is_one_way


def _reset(stream: anyio.abc.SocketStream) -> None:
    """Shuts a connection down so that the peer receives a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        # The event loop owns the descriptor: shut down, don't close it.
        raw.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
