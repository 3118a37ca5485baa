"""Idle connections by address, of which the last used is reused first.

After an error or a timeout, idle connections to the address are suspect: an
intermediate device may have lost the state of all connections that were open.
Only those that completed a response after the failed request started are kept.
"""

import asyncio
import collections
import time

import anyio

from daisyhub.connections._connection import Connection
from daisyhub.settings import Address

__all__ = ["ConnectionPool"]

# Maximum seconds for which a request waits for a connection in use instead of
# opening another one: small beside the latency of a look-up, and long beside
# that of the shortest requests.
_MAX_RELEASE_WAIT_S = 0.015


class ConnectionPool:
    """Keeps idle connections, and passes them to requests that wait.

    Args:
        idle_s: Idle time after which a connection is closed, not reused.
    """

    def __init__(self, idle_s: float):
        self._idle_s = idle_s
        self._idle: dict[Address, list[Connection]] = {}
        # Buffered requests in progress by address, and those that wait for
        # the connection of one of them.
        self._in_use: collections.Counter[Address] = collections.Counter()
        self._waiters: dict[Address, collections.deque[asyncio.Future]] = {}
        self._dropped: list[Connection] = []
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._sweep_task: asyncio.Task | None = None

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
        self._schedule_sweep()

    async def aclose(self) -> None:
        """Closes every idle connection."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
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

    def _schedule_sweep(self) -> None:
        """Makes sure that connections are closed though none is used again."""
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(self._idle_s, self._start_sweep)

    def _start_sweep(self) -> None:
        self._sweep_timer = None
        self._sweep_task = asyncio.create_task(self._sweep())

    async def _sweep(self) -> None:
        """Closes expired connections."""
        now_s = time.monotonic()
        for address, conns in list(self._idle.items()):
            recent = [c for c in conns if self._is_recent(c, now_s)]
            self._dropped += [c for c in conns if c not in recent]
            if recent:
                self._idle[address] = recent
            else:
                del self._idle[address]
        if self._idle:
            self._schedule_sweep()
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
