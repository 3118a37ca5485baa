"""Stops a daemon within the grace time without losing requests."""

import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.gateway import GatewayApp, ShutdownFilter
from daisyhub.logs import DecisionLog
from daisyhub.serving import HttpServer

__all__ = ["GracefulShutdown"]

# Seconds for which a leaving daemon still accepts requests: the platform stops
# sending callers after two failed readiness checks, one per second.
_NOTICE_S = 2.3
# Seconds before the end of the grace time at which the last requests are
# answered, and the daemon ends. After the grace time the platform kills it.
_ANSWER_MARGIN_S = 0.6
_END_MARGIN_S = 0.3
# Fraction of a short grace time that is used at least.
_MIN_SHARE_OF_GRACE = 0.75


class GracefulShutdown:
    """Ends the servers of callers and peers.

    Args:
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        app: The application of callers.
        requests: Answers requests that would last too long.
        servers: The servers of callers and peers.
        hand_over: Passes on what this daemon has a duty for.
        log: Log of the shutdown.
    """

    def __init__(
        self,
        grace_s: float,
        app: GatewayApp,
        requests: ShutdownFilter,
        servers: tuple[HttpServer, ...],
        hand_over: Callable[[], Awaitable[None]],
        log: DecisionLog,
    ):
        self._grace_s = grace_s
        self._app = app
        self._requests = requests
        self._servers = servers
        self._hand_over = hand_over
        self._log = log

    async def run(self) -> None:
        """Returns once all requests have ended, or shortly before SIGKILL."""
        started_s = time.monotonic()
        self._log.record("stop", open_requests=self._app.open_requests)
        self._app.is_draining = True
        self._requests.begin(started_s + self._share(_ANSWER_MARGIN_S))
        with anyio.move_on_after(self._share(_END_MARGIN_S)):
            async with anyio.create_task_group() as tasks:
                # A slow store doesn't keep the servers open for longer.
                tasks.start_soon(self._hand_over)
                await anyio.sleep(_NOTICE_S)
                for server in self._servers:
                    server.stop()
                for server in self._servers:
                    await server.stopped.wait()
        self._log.record(
            "stopped",
            open_requests=self._app.open_requests,
            took_s=round(time.monotonic() - started_s, 3),
        )

    def _share(self, margin_s: float) -> float:
        """Returns the grace time less a margin."""
        least_s = _MIN_SHARE_OF_GRACE * self._grace_s
        return max(least_s, self._grace_s - margin_s)
