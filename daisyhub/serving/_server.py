"""A uvicorn server without uvicorn's signal handling and periodic tick."""

import asyncio
import contextlib
import functools
import select
import socket

import anyio
import uvicorn

from daisyhub.memory import MemoryBudget
from daisyhub.serving._connection_table import ConnectionTable
from daisyhub.serving._limits import ListenerLimits
from daisyhub.serving._protocol import CONNECTION, LEASE, BoundedProtocol
from daisyhub.settings import Address

__all__ = ["HttpServer"]

_BACKLOG = 1024
# Connections accepted at a time. All of them are open before the first can make
# room for others.
_ACCEPT_COUNT = 16
_READ_BYTES = 1 << 16
# Size of the parts in which a response is written. A smaller response doesn't
# count; of a larger one, the last part doesn't.
_WRITE_BYTES = 1 << 14
# Maximum time that `shutdown` waits for partly received requests, and the
# interval at which it checks for them.
_LAST_REQUESTS_TIMEOUT_S = 1.0
_LAST_REQUESTS_POLL_INTERVAL_S = 0.01


class HttpServer(uvicorn.Server):
    """Serves an ASGI application until `stop` is called.

    Args:
        app: The ASGI application.
        address: Address to listen on.
        drain_limit_s: Maximum time for open requests to end after `stop`;
            rounded to whole seconds, at least one.
        limits: Limits of its connections.

    Attributes:
        stopped: Set when the server has ended.
    """

    def __init__(
        self,
        app,
        address: Address,
        drain_limit_s: float = 5.0,
        limits: ListenerLimits | None = None,
    ):
        if limits is None:
            limits = ListenerLimits(memory=MemoryBudget())
        self._app = app
        protocol = functools.partial(
            BoundedProtocol,
            limits,
            ConnectionTable(limits.connections),
            bytearray(_READ_BYTES),
        )
        super().__init__(
            uvicorn.Config(
                self._serve_request,
                interface="asgi3",
                http=protocol,
                backlog=_ACCEPT_COUNT,
                loop="asyncio",
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                date_header=False,
                server_header=False,
                proxy_headers=False,
                timeout_graceful_shutdown=max(1, round(drain_limit_s)),
            )
        )
        self._address = address
        self._stop = anyio.Event()
        self.stopped = anyio.Event()

    async def run_until_stopped(self) -> None:
        """Listens and serves; returns when the server has ended."""
        sock = socket.create_server(
            (self._address.ip, self._address.port),
            backlog=_BACKLOG,
            reuse_port=False,
        )
        # Accepted sockets inherit the option. asyncio sets it only on sockets
        # with an explicit protocol number, which these lack. Without it, the
        # body of a response waits until the peer acknowledges the head.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(sockets=[sock])
        finally:
            self.stopped.set()

    async def startup(self, sockets=None) -> None:
        """Starts listening."""
        await super().startup(sockets)
        for sock in sockets or ():
            # uvicorn's backlog is also the number of connections accepted at a
            # time.
            sock.listen(_BACKLOG)

    async def _serve_request(self, scope: dict, receive, send) -> None:
        """Calls the application; writes large responses in parts."""
        conn = scope.pop(CONNECTION, None)

        async def send_parts(message: dict) -> None:
            if message["type"] == "http.response.start":
                conn.begin_response()
            body = message.get("body", b"")
            lease = message.pop(LEASE, None)
            if len(body) > _WRITE_BYTES:
                conn.hold_response(len(body), lease)
                body = memoryview(body)
            while len(body) > _WRITE_BYTES:
                part = {**message, "body": body[:_WRITE_BYTES]}
                await send({**part, "more_body": True})
                conn.on_part_sent()
                body = body[_WRITE_BYTES:]
                message = {**message, "body": body}
            await send(message)

        await self._app(scope, receive, send_parts)

    def stop(self) -> None:
        """Starts the shutdown; no connections are accepted any more.

        Open requests get `drain_limit_s` to end and are cancelled afterwards.
        """
        self.should_exit = True
        self._stop.set()

    @contextlib.contextmanager
    def capture_signals(self):
        """Does nothing; the daemon handles signals."""
        yield

    async def main_loop(self) -> None:
        """Waits for `stop` without uvicorn's periodic tick."""
        await self._stop.wait()

    async def shutdown(self, sockets=None) -> None:
        """Shuts down once no connection has a partly received request.

        uvicorn closes every connection without an open request, so a request
        that is being received would be lost. The wait is bounded, as a
        connection may never send the rest.
        """
        with anyio.move_on_after(_LAST_REQUESTS_TIMEOUT_S):
            while self._has_unread() or self._has_partial_request():
                await asyncio.sleep(_LAST_REQUESTS_POLL_INTERVAL_S)
        # `super().shutdown` awaits nothing before it closes connections, so the
        # check above still holds then.
        await super().shutdown(sockets)

    def _has_unread(self) -> bool:
        """Whether the kernel has unread bytes of any connection."""
        poll = select.poll()
        for conn in self.server_state.connections:
            sock = conn.transport.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _has_partial_request(self) -> bool:
        """Whether a connection may have received a part of a request's head.

        After a response, the keep-alive timer runs until the next byte is
        received. A new connection without any request counts as well.
        """
        return any(
            (conn.cycle is None or conn.cycle.response_complete)
            and conn.timeout_keep_alive_task is None
            and not conn.transport.is_closing()
            for conn in self.server_state.connections
        )
