"""A uvicorn server without its own signal handling and timer."""

import contextlib
import socket

import anyio
import uvicorn

from daisyhub.settings import Address

__all__ = ["HttpServer"]

_BACKLOG = 1024
_KEEP_ALIVE_S = 75


class HttpServer(uvicorn.Server):
    """Serves an ASGI app until `stop`.

    Args:
        app: The ASGI app.
        address: Where to listen.
        drain_limit_s: Longest wait for open requests after `stop`.
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
        await self.serve(sockets=[sock])

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
