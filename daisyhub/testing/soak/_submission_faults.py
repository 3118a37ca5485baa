"""Disturbs the store, and the daemon that writes, while lots are submitted."""

import contextlib
import itertools
import signal
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.connections import RequestFailedError
from daisyhub.testing.fleet import Fleet
from daisyhub.testing.soak._linked_fleet import CLIENT_NETWORK
from daisyhub.testing.soak._links import Link, LinkMode
from daisyhub.testing.soak._load_generator import LoadGenerator
from daisyhub.testing.soak._plan import Disturbance, WriteFault

__all__ = ["SubmissionDisturber"]

_STORE = "platform"
# Lots that are submitted at once, so that the fault applies to several.
_LOT_COUNT = 4
# Maximum wait in seconds for a write to which the fault applies, and the
# interval of the checks; a late write is caught before its response.
_WRITE_TIMEOUT_S = 2.0
_POLL_INTERVAL_S = 0.02


class SubmissionDisturber:
    """Applies `WriteFault`s.

    Args:
        fleet: The processes.
        links: The links, by name.
        client_ips: The address from which each daemon calls the store.
        load_generator: Submits the lots.
        signal_daemon: Sends a signal to a daemon and waits until it runs again;
            takes its name, the signal and the duration of a stop in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        links: dict[str, Link],
        client_ips: dict[str, str],
        load_generator: LoadGenerator,
        signal_daemon: Callable[[str, int, float], Awaitable[None]],
    ):
        self._fleet = fleet
        self._links = links
        self._client_ips = client_ips
        self._load_generator = load_generator
        self._signal_daemon = signal_daemon
        self._numbers = itertools.count(1)

    async def apply(self, disturbance: Disturbance) -> None:
        """Applies a disturbance of the kind `SUBMISSION`."""
        write_fault = disturbance.write_fault
        fault_id = f"write-{next(self._numbers)}"
        fault = {
            "id": fault_id,
            "kind": write_fault.effect,
            "method": "POST",
            "path": f"/v1/objects/{write_fault.kind}",
            "client": CLIENT_NETWORK,
            "delay_s": write_fault.delay_s,
        }
        await self._fleet.inject_fault(_STORE, fault)
        self._load_generator.start_lots(_LOT_COUNT)
        daemon = await self._wait_for_write(fault_id)
        async with anyio.create_task_group() as tasks:
            if write_fault.signal and daemon:
                tasks.start_soon(
                    self._signal_daemon,
                    daemon,
                    signal.Signals[write_fault.signal],
                    disturbance.duration_s,
                )
            await anyio.sleep(write_fault.rejection_delay_s)
            await self._fleet.remove_fault(_STORE, fault_id)
            names = [daemon] if daemon else []
            if write_fault.rejects_all:
                names = self._fleet.daemon_names
            await self._reject(write_fault, names, disturbance.duration_s)

    async def _wait_for_write(self, fault_id: str) -> str:
        """Waits until the fault was applied to a write.

        Returns:
            Name of the daemon that sent the write; empty if there was none.
        """
        with anyio.move_on_after(_WRITE_TIMEOUT_S):
            while True:
                with contextlib.suppress(RequestFailedError):
                    clients = await self._fleet.faulted_clients(
                        _STORE, fault_id
                    )
                    for name, ip in self._client_ips.items():
                        if ip in clients[:1]:
                            return name
                await anyio.sleep(_POLL_INTERVAL_S)
        return ""

    async def _reject(
        self, write_fault: WriteFault, names: list[str], duration_s: float
    ) -> None:
        """Lets the store reject all calls of some daemons for a time."""
        links = [self._links[f"store {name}"] for name in names]
        fault_ids = []
        if write_fault.rejection in ("reset", "silent"):
            for link in links:
                link.set_mode(LinkMode(write_fault.rejection))
        elif write_fault.rejection:
            for name in names:
                fault_ids.append(f"reject-{next(self._numbers)}")
                fault = {
                    "id": fault_ids[-1],
                    "kind": "error",
                    "status": int(write_fault.rejection),
                    "client": self._client_ips[name],
                }
                await self._fleet.inject_fault(_STORE, fault)
        await anyio.sleep(duration_s)
        for fault_id in fault_ids:
            await self._fleet.remove_fault(_STORE, fault_id)
        if write_fault.rejection in ("reset", "silent"):
            for link in links:
                link.set_mode(LinkMode.PASS)
