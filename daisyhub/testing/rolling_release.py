"""Load on a fleet, and the replacement of its servers under that load.

A request that a server executed is matched by its id with the call that caused
it, so that the daemon and the time at which the caller sent it are known.
"""

import contextlib
import dataclasses
import itertools
import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.connections import RequestFailedError
from daisyhub.testing.fleet import Fleet

__all__ = ["DRAIN_S", "Call", "EndedProcess", "RollingRelease", "SteadyCalls"]

# The platform's `drain-ms`: how long a server serves on after it announced its
# leaving.
DRAIN_S = 2.0
_WAIT_TIMEOUT_S = 20.0
# A pause after each call, so that the callers leave some capacity.
_PAUSE_S = 0.01
# Path prefixes of the called routes, `safe` and `unsafe`.
_PREFIXES = ("/records/", "/writes/")


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call of a daemon by a client.

    Attributes:
        daemon: The daemon.
        request_id: Unique id.
        sent_s: Monotonic time before the client sent it.
        answered_s: Monotonic time after the client received the response.
        status: Status of the response; 0 if there was none.
        is_announcing: Whether the response said that the server is leaving.
    """

    daemon: str
    request_id: str
    sent_s: float
    answered_s: float
    status: int
    is_announcing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EndedProcess:
    """A server's process that was replaced.

    Attributes:
        server: Name of the server.
        executed: What it executed, as `Fleet.executed_requests` returns it.
    """

    server: str
    executed: tuple[dict, ...]


class SteadyCalls:
    """Calls all daemons of a fleet.

    Args:
        fleet: The fleet.

    Attributes:
        by_id: All calls that have ended, by request id.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._numbers = itertools.count()
        self.by_id: dict[str, Call] = {}

    async def run(self, callers: int) -> None:
        """Calls each daemon with some closed-loop callers until cancelled."""
        async with anyio.create_task_group() as tasks:
            for daemon in self._fleet.daemon_names * callers:
                tasks.start_soon(self._call_until_cancelled, daemon)

    async def call(self, daemon: str) -> Call:
        """Calls a daemon once."""
        number = next(self._numbers)
        request_id = f"{daemon}-call-{number}"
        status, headers = 0, {}
        sent_s = time.monotonic()
        with contextlib.suppress(RequestFailedError):
            response = await self._fleet.call(
                daemon,
                "POST",
                f"{_PREFIXES[number % len(_PREFIXES)]}{number}",
                request_id=request_id,
            )
            status, headers = response.status, dict(response.headers)
        call = Call(
            daemon=daemon,
            request_id=request_id,
            sent_s=sent_s,
            answered_s=time.monotonic(),
            status=status,
            is_announcing=headers.get(b"server-leaving") == b"1",
        )
        self.by_id[request_id] = call
        return call

    async def call_until_known(self, daemon: str, server: str) -> float:
        """Calls a daemon until it knows that a server is leaving.

        It may learn that from any response of the server, not only of calls.

        Returns:
            Monotonic time at which it is sure to know.
        """
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while True:
                if (await self.call(daemon)).is_announcing:
                    return time.monotonic()
                status = await self._fleet.status(daemon)
                if server in status["leaving_endpoints"]:
                    return time.monotonic()

    def announced_s(self, daemon: str, executed: tuple | list) -> float:
        """Returns when a daemon first passed on a process's announcement.

        Args:
            daemon: The daemon.
            executed: What the process executed.

        Returns:
            Monotonic time at which the caller had the response; infinity if
            there was none.
        """
        return min(
            (
                call.answered_s
                for call in self._calls(daemon, executed)
                if call.is_announcing
            ),
            default=float("inf"),
        )

    def sent_after(
        self, known_s: float, daemon: str, executed: tuple | list
    ) -> list[Call]:
        """Returns calls that reached a process though the daemon knew better.

        Args:
            known_s: Monotonic time at which the daemon knew that the process
                is leaving.
            daemon: The daemon.
            executed: What the process executed.

        Returns:
            Calls that the client sent to the daemon after that time.
        """
        return [
            call
            for call in self._calls(daemon, executed)
            if call.sent_s > known_s
        ]

    def failed(self) -> list[Call]:
        """Returns the calls that didn't get a response of a server."""
        return [call for call in self.by_id.values() if call.status != 200]

    def _calls(self, daemon: str, executed: tuple | list) -> list[Call]:
        calls = [self.by_id.get(request["id"]) for request in executed]
        return [call for call in calls if call and call.daemon == daemon]

    async def _call_until_cancelled(self, daemon: str) -> None:
        while True:
            await self.call(daemon)
            await anyio.sleep(_PAUSE_S)


class RollingRelease:
    """Replaces the servers of a fleet in turn, each under its old address.

    Args:
        fleet: The fleet.
        list_lag_s: Seconds after its announcement at which the list shows a
            server as leaving; None if it never does.
        wait_until_known: Called after a server's announcement, with its name;
            the server ends `DRAIN_S` after it returns. By default, servers end
            `DRAIN_S` after their announcement, whether a daemon read it or not.

    Attributes:
        ended: The processes replaced so far.
    """

    def __init__(
        self,
        fleet: Fleet,
        list_lag_s: float | None,
        wait_until_known: Callable[[str], Awaitable[None]] | None = None,
    ):
        self._fleet = fleet
        self._list_lag_s = list_lag_s
        self._wait_until_known = wait_until_known
        self.ended: list[EndedProcess] = []

    async def run(self) -> None:
        """Replaces all servers; waits for each until all daemons list it."""
        for server in self._fleet.server_names:
            await self.end(server)
            await self.start(server)

    async def end(self, server: str) -> None:
        """Has a server announce its leaving; kills it when it has drained."""
        async with anyio.create_task_group() as tasks:
            await self._fleet.announce_leaving(server)
            if self._wait_until_known is not None:
                await self._wait_until_known(server)
            if self._list_lag_s is not None and self._list_lag_s < DRAIN_S:
                tasks.start_soon(self._list_as_leaving, server)
            await anyio.sleep(DRAIN_S)
        executed = await self._fleet.executed_requests(server)
        self.ended.append(EndedProcess(server, tuple(executed)))
        self._fleet.kill_server(server)

    async def start(self, server: str) -> None:
        """Starts a server's next process; waits until all daemons list it."""
        await self._fleet.start_server(server)
        entry = self._fleet.build_server_entry(server)
        await self._fleet.put("servers", server, {**entry, "born": 2})
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while True:
                statuses = [
                    await self._fleet.status(daemon)
                    for daemon in self._fleet.daemon_names
                ]
                # Older builds don't list them.
                if not any(
                    server in status.get("leaving_endpoints", ())
                    for status in statuses
                ):
                    return
                await anyio.sleep(0.05)

    async def _list_as_leaving(self, server: str) -> None:
        await anyio.sleep(self._list_lag_s)
        entry = self._fleet.build_server_entry(server)
        await self._fleet.put("servers", server, {**entry, "state": "draining"})
