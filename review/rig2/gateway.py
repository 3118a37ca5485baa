"""A gateway in front of one daemon, which can cut it off from the others.

All that this daemon and the others send to each other passes through it, and
all between this daemon and the store. It knows four addresses, two for each
side, and replaces them in what it forwards, as daemons tell each other where
they listen.

While the cut lasts, datagrams are lost, and what asks for a new channel gets no
answer. Of open channels, it keeps what a side has sent, as that side's system
does, and forwards it after the cut: one piece, a round trip later two, then
four, and so on, as TCP does after a loss. A channel that its sender has reset
loses what it held.
"""

import asyncio
import contextlib
import functools
import os
import socket

__all__ = ["OTHERS", "OTHERS_SEEN", "OWN", "OWN_SEEN", "Gateway"]

# Port that a run keeps at its first address, so that no other takes the same;
# below those of daemons.
_LOCK_PORT = 9876
_MOST_TRIES = 200


def _take_addresses() -> tuple[str, socket.socket]:
    """Returns the end of addresses that no other run has, and their lock.

    All addresses are of one length, so that replacing them changes no size.
    """
    for number in range(os.getpid(), os.getpid() + _MOST_TRIES):
        end = f"{100 + number // 150 % 150}.{100 + number % 150}"
        lock = socket.socket()
        try:
            lock.bind((f"127.131.{end}", _LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return end, lock
    raise OSError("no address is free")


# The lock is kept until the process ends.
_END, _LOCK = _take_addresses()
# Where the others listen, and where the cut daemon finds them.
OTHERS, OTHERS_SEEN = f"127.131.{_END}", f"127.132.{_END}"
# Where the cut daemon listens, and where the others find it.
OWN, OWN_SEEN = f"127.133.{_END}", f"127.134.{_END}"
_Pairs = tuple[tuple[bytes, bytes], ...]
# What is replaced in what the cut daemon sends, and in what it receives.
_OUT: _Pairs = (
    (OWN.encode(), OWN_SEEN.encode()),
    (OTHERS_SEEN.encode(), OTHERS.encode()),
)
_IN: _Pairs = (
    (OTHERS.encode(), OTHERS_SEEN.encode()),
    (OWN_SEEN.encode(), OWN.encode()),
)
_PIECE_BYTES = 1 << 16
# Channels that wait to be accepted fill a listener's queue while it is cut.
_FILLERS = 4
# A round trip between two zones: "One way, 0.5 ms between zones".
_ROUND_TRIP_S = 0.001


def _replace(data: bytes, pairs: _Pairs) -> bytes:
    for old, new in pairs:
        data = data.replace(old, new)
    return data


def _cut_address(data: bytes, pairs: _Pairs) -> int:
    """Returns the number of last bytes that may begin an address."""
    for size in range(min(len(OWN) - 1, len(data)), 0, -1):
        if any(old.startswith(data[-size:]) for old, _ in pairs):
            return size
    return 0


class Gateway:
    """Forwards datagrams and channels unless the cut lasts."""

    def __init__(self):
        self.is_cut = False
        self.healed = asyncio.Event()
        self.healed.set()
        self._tasks: set[asyncio.Task] = set()
        self._listeners: list[socket.socket] = []
        self._spared: list[socket.socket] = []
        self._fillers: list[socket.socket] = []
        self._datagrams: list[asyncio.DatagramTransport] = []
        self._trigger = b""
        self._trigger_ports: set[int] = set()
        self._begun = asyncio.Event()
        # Ports from which the cut daemon's channels come to their targets.
        self.own_ports: set[int] = set()

    async def open(
        self,
        listen_at: tuple[str, int],
        target: tuple[str, int],
        *,
        is_out: bool,
        has_datagrams: bool = False,
        is_spared: bool = False,
    ) -> None:
        """Forwards what arrives at one address to another.

        Args:
            listen_at: IP and port at which it arrives.
            target: IP and port to which it is forwarded.
            is_out: Whether the daemon that can be cut off sends there.
            has_datagrams: Whether datagrams are forwarded too.
            is_spared: Whether the cut leaves it as it is.
        """
        listener = socket.socket()
        listener.bind(listen_at)
        listener.listen()
        listener.setblocking(False)
        (self._spared if is_spared else self._listeners).append(listener)
        self._spawn(self._accept(listener, target, is_out, is_spared))
        if has_datagrams:
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self, target, _OUT if is_out else _IN),
                local_addr=listen_at,
            )
            self._datagrams.append(transport)

    async def cut_at(self, sent: bytes, ports: set[int]) -> None:
        """Begins the cut as the daemon has just sent something.

        Args:
            sent: A part of it. It is on its way, and doesn't arrive.
            ports: The ports to one of which it is sent.
        """
        self._trigger = sent
        self._trigger_ports = ports
        await self._begun.wait()

    def pass_trigger(self, data: bytes, port: int) -> None:
        """Begins the cut if the daemon sent what it waits for."""
        is_meant = port in self._trigger_ports
        if is_meant and self._trigger and self._trigger in data:
            self._trigger = b""
            self._cut()
            self._begun.set()

    def _cut(self) -> None:
        self.is_cut = True
        self.healed.clear()
        for listener in self._listeners:
            # With a full queue, the system drops what asks for a channel.
            listener.listen(0)
            for _ in range(_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(listener.getsockname())
                self._fillers.append(filler)

    def heal(self) -> None:
        """Ends the cut."""
        self.is_cut = False
        self._close_fillers()
        for listener in self._listeners:
            listener.listen()
        self.healed.set()

    def close(self) -> None:
        """Ends all forwarding."""
        for task in self._tasks:
            task.cancel()
        for transport in self._datagrams:
            transport.close()
        for listener in (*self._listeners, *self._spared):
            listener.close()
        self._close_fillers()

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self, listener, target, is_out, is_spared) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(listener)
            if self.is_cut and not is_spared:
                # It came as the cut began, or fills the queue.
                self._fillers.append(accepted)
                await self.healed.wait()
                continue
            self._spawn(self._channel(accepted, target, is_out, is_spared))

    async def _channel(self, accepted, target, is_out, is_spared) -> None:
        there, back = (_OUT, _IN) if is_out else (_IN, _OUT)
        try:
            near = await asyncio.open_connection(sock=accepted)
            far = await asyncio.open_connection(*target)
        except OSError:
            accepted.close()
            return
        if is_out:
            self.own_ports.add(far[1].get_extra_info("sockname")[1])
        await asyncio.gather(
            self._forward(near[0], far[1], there, is_spared),
            self._forward(far[0], near[1], back, is_spared),
        )

    async def _forward(self, reader, writer, pairs, is_spared) -> None:
        """Forwards one direction of a channel until its sender closes it."""
        on_piece = None
        if pairs is _OUT and not is_spared:
            _, port = writer.get_extra_info("peername")
            on_piece = functools.partial(self.pass_trigger, port=port)
        source = _Source(reader, on_piece)
        self._spawn(source.read())
        rest = b""
        # Pieces of what was held that may go on now, and in each round trip.
        left = window = 1
        while True:
            data = await source.pieces.get()
            was_held = self.is_cut and not is_spared
            if was_held:
                await self.healed.wait()
            if source.is_reset:
                writer.transport.abort()
                return
            rest += data
            end = len(rest) - (_cut_address(rest, pairs) if data else 0)
            writer.write(_replace(rest[:end], pairs))
            rest = rest[end:]
            if not data:
                writer.close()
                return
            if was_held or window > 1:
                left -= 1
            if not left:
                await asyncio.sleep(_ROUND_TRIP_S)
                left = window = 2 * window


class _Source:
    """What one side of a channel sends.

    Args:
        reader: Reads it.
        on_piece: Called with each piece before it is forwarded.

    Attributes:
        pieces: What it sent, each piece as it was read; empty at the end.
        is_reset: Whether it reset the channel.
    """

    def __init__(self, reader: asyncio.StreamReader, on_piece):
        self._reader = reader
        self._on_piece = on_piece
        self.pieces: asyncio.Queue[bytes] = asyncio.Queue()
        self.is_reset = False

    async def read(self) -> None:
        """Reads until the side closes or resets the channel."""
        data = b"-"
        while data:
            try:
                data = await self._reader.read(_PIECE_BYTES)
            except OSError:
                self.is_reset = True
                data = b""
            if self._on_piece:
                self._on_piece(data)
            self.pieces.put_nowait(data)


class _Datagrams(asyncio.DatagramProtocol):
    """Forwards datagrams; loses them while the cut lasts."""

    def __init__(
        self, gateway: Gateway, target: tuple[str, int], pairs: _Pairs
    ):
        self._gateway = gateway
        self._target = target
        self._pairs = pairs
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Forwards a datagram; its receiver doesn't look at who sent it."""
        del addr
        if not self._gateway.is_cut:
            self._transport.sendto(_replace(data, self._pairs), self._target)

    def error_received(self, exc: Exception) -> None:
        """Ignores that nobody listens at the target."""
