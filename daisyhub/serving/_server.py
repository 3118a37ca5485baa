"""A uvicorn server without its own signal handling and timer."""

import asyncio
import contextlib
import select
import socket

import anyio
import uvicorn

from daisyhub.settings import Address

__all__ = ["HttpServer"]

_BACKLOG = 1024
_KEEP_ALIVE_S = 75
_LAST_REQUESTS_S = 1.0
_LAST_REQUESTS_PAUSE_S = 0.01


class HttpServer(uvicorn.Server):
    """Serves an ASGI app until `stop`.

    Args:
        app: The ASGI app.
        address: Where to listen.
        drain_limit_s: Longest wait for open requests after `stop`.

    Attributes:
        stopped: Set once every request has ended after `stop`.
    """

    def __init__(self, app, address: Address, drain_limit_s: float = 5.0):
        super().__init__(
            uvicorn.Config(
                app,
                http="httptools",
                loop="asyncio",
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                date_header=False,
                server_header=False,
                proxy_headers=False,
                timeout_keep_alive=_KEEP_ALIVE_S,
                timeout_graceful_shutdown=max(1, round(drain_limit_s)),
            )
        )
        self._address = address
        self._stop = anyio.Event()
        self.stopped = anyio.Event()

    async def run_until_stopped(self) -> None:
        """Listens and serves; returns when all requests have ended."""
        sock = socket.create_server(
            (self._address.ip, self._address.port),
            backlog=_BACKLOG,
            reuse_port=False,
        )
        # Accepted sockets inherit it. asyncio sets it only on sockets whose
        # protocol number is given, which these are not; without it, the head
        # and the content of an answer wait for each other's acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(sockets=[sock])
        finally:
            self.stopped.set()

    def stop(self) -> None:
        """Stops accepting; open requests go on to their end."""
        self.should_exit = True
        self._stop.set()

    @contextlib.contextmanager
    def capture_signals(self):
        """Leaves signals to the daemon."""
        yield

    async def main_loop(self) -> None:
        """Waits for `stop` without a timer."""
        await self._stop.wait()

    async def shutdown(self, sockets=None) -> None:
        """Closes idle connections once nothing of a request waits on them."""
        with anyio.move_on_after(_LAST_REQUESTS_S):
            while self._has_unread() or self._has_part_of_request():
                await asyncio.sleep(_LAST_REQUESTS_PAUSE_S)
        # Nothing is awaited between the check and the closing in there.
        await super().shutdown(sockets)

    def _has_unread(self) -> bool:
        """Whether the kernel holds bytes of a connection."""
        poll = select.poll()
        for conn in self.server_state.connections:
            sock = conn.transport.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _has_part_of_request(self) -> bool:
        """Whether a connection may have sent a part of a request's head.

        After an answer, uvicorn's timer runs until the next byte comes. A new
        connection without any request counts as well.
        """
        return any(
            (conn.cycle is None or conn.cycle.response_complete)
            and conn.timeout_keep_alive_task is None
            and not conn.transport.is_closing()
            for conn in self.server_state.connections
        )
