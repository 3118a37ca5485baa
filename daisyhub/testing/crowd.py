"""Clients that ignore the limits on requests.

A crowd opens connections to one listener, sends what it is given over each and
leaves them open.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable

from daisyhub.settings import Address

__all__ = ["Crowd"]

# Receive buffer of a client that doesn't read, in bytes.
_SMALL_BUFFER = 4096
_READ_BYTES = 1 << 16
# Seconds without progress of any client after which all are taken for held up.
_STALL_S = 3.0
_POLL_INTERVAL_S = 0.05


class Crowd:
    """Connections over which the same pieces are sent at the same time.

    Args:
        address: The listener.
        size: Number of connections.
        reads: Whether the clients read what they receive.
    """

    def __init__(self, address: Address, size: int, *, reads: bool = True):
        self._address = address
        self._size = size
        self._reads = reads
        self._socks: list[socket.socket] = []
        self._tasks: list[asyncio.Task] = []
        self._moved = 0
        self.received: list[bytes] = []

    async def send(
        self,
        make_pieces: Callable[[int], Iterable[bytes]],
        may_go_on: Callable[[], bool],
    ) -> None:
        """Sends until all is sent, is refused, or nothing moves any more.

        Args:
            make_pieces: Returns what a client sends, given its number.
            may_go_on: Checked meanwhile; sending ends once it returns False.
        """
        await self._connect()
        sending = [
            asyncio.create_task(self._send_one(n, make_pieces(n)))
            for n in range(len(self._socks))
        ]
        self._tasks += sending
        if self._reads:
            reading = map(self._read_one, range(len(self._socks)))
            self._tasks += [asyncio.create_task(task) for task in reading]
        await self._watch(
            lambda: may_go_on() and not all(task.done() for task in sending)
        )

    async def wait_until_still(self) -> None:
        """Waits until nothing has been sent or received for some seconds."""
        await self._watch(lambda: True)

    async def _watch(self, may_go_on: Callable[[], bool]) -> None:
        loop = asyncio.get_running_loop()
        moved, moved_at_s = -1, loop.time()
        while may_go_on():
            if self._moved != moved:
                moved, moved_at_s = self._moved, loop.time()
            if loop.time() - moved_at_s > _STALL_S:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Closes all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(self._size):
            sock = socket.socket()
            sock.setblocking(False)
            if not self._reads:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER
                )
            self._socks.append(sock)
            self.received.append(b"")
            await loop.sock_connect(
                sock, (self._address.ip, self._address.port)
            )

    async def _send_one(self, number: int, pieces: Iterable[bytes]) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                await loop.sock_sendall(self._socks[number], piece)
                self._moved += len(piece)
                # `sock_sendall` doesn't yield while the socket has room.
                await asyncio.sleep(0)

    async def _read_one(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while data := await loop.sock_recv(
                self._socks[number], _READ_BYTES
            ):
                self._moved += len(data)
                self.received[number] += data
