"""Servers that leave while the platform is calm, and what they still get."""

import random
import time

import anyio

from daisyhub.testing.soak._ledger import Ledger
from daisyhub.testing.soak._linked_fleet import LinkedFleet

__all__ = ["Departures"]

# Seconds without disturbances after which daemons must know of departures.
_CONTACT_S = 3.0
# Seconds within which they must know of one.
_DRAIN_S = 2.0
# Seconds for which a server is watched after that.
_WATCHED_S = 1.5
# Seconds from a rejected watch until the daemons have listed the servers.
_RELIST_S = 1.2
_SERVERS_PATH = "/v1/objects/servers"
_HEALTH_PATH = "/health"
_THROTTLED = 429


class Departures:
    """Lets servers leave, draining or removed, and come back as others.

    The store rejects the waiting watches before, as they exceed its rate. It
    is stable all the while, so that this excuses nothing.

    Args:
        seed: Seed of the choice of servers.
        fleet: The servers.
        ledger: Records what they get after their departure.
    """

    def __init__(self, seed: int, fleet: LinkedFleet, ledger: Ledger):
        self._rng = random.Random(f"{seed} departures")
        self._fleet = fleet
        self._ledger = ledger

    async def run(self) -> None:
        """Lets half of the servers leave; returns once they are back."""
        names = list(self._fleet.server_names)
        self._rng.shuffle(names)
        await anyio.sleep(_CONTACT_S)
        await self._reject_watches()
        async with anyio.create_task_group() as tasks:
            for number, name in enumerate(names[: len(names) // 2]):
                is_removed = number % 2 == 0
                tasks.start_soon(self._leave, name, is_removed)

    async def _reject_watches(self) -> None:
        fleet = self._fleet
        fault = {
            "id": "watches",
            "kind": "error",
            "status": _THROTTLED,
            "path": _SERVERS_PATH,
            "method": "GET",
            # Each daemon asks through its peers, too, and again.
            "count": 3 * len(fleet.daemon_names) ** 2,
        }
        await fleet.inject_fault("platform", fault)
        # Each watch returns this change; the next one is rejected.
        name = fleet.server_names[0]
        entry = {**fleet.build_server_entry(name), "slots": 5}
        await fleet.put("servers", name, entry)
        await anyio.sleep(_RELIST_S)
        await fleet.remove_fault("platform", "watches")

    async def _leave(self, name: str, is_removed: bool) -> None:
        fleet = self._fleet
        entry = fleet.build_server_entry(name)
        if is_removed:
            await fleet.delete("servers", name)
        else:
            await fleet.put("servers", name, {**entry, "state": "draining"})
        left_at_s = time.monotonic()
        await anyio.sleep(_DRAIN_S + _WATCHED_S)
        returned_at_s = time.monotonic()
        await fleet.put("servers", name, {**entry, "born": entry["born"] + 1})
        self._ledger.counts["departures"] += 1
        for received in await fleet.received(name):
            late_s = received["at_s"] - left_at_s
            is_late = _DRAIN_S < late_s < returned_at_s - left_at_s
            if is_late and received["path"] != _HEALTH_PATH:
                self._ledger.record_late_arrival(
                    name, received["path"], late_s, is_removed
                )
