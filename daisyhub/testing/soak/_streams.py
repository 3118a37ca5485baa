"""Callers of streams in a soak, who come back at other daemons."""

import random

import anyio

from daisyhub.testing.fleet import Fleet
from daisyhub.testing.soak._ledger import Ledger
from daisyhub.testing.stream_caller import StreamCaller

__all__ = ["StreamLoad"]

# Seconds between new streams.
_INTERVAL_S = 0.3
# Requests by which a caller tries to read one stream, and seconds between two.
_MAX_REQUESTS = 6
_RETURN_DELAY_S = 0.1


class StreamLoad:
    """Reads streams, each by several requests at different daemons.

    Args:
        seed: Seed of the daemons and of the events after which callers leave.
        fleet: The daemons to call.
        ledger: Records requests and what the streams are made of.
        events: Number of events of a stream.
    """

    def __init__(self, seed: int, fleet: Fleet, ledger: Ledger, events: int):
        self._rng = random.Random(f"{seed} streams")
        self._fleet = fleet
        self._ledger = ledger
        self._events = events
        self._is_running = True

    def stop(self) -> None:
        """Stops new streams."""
        self._is_running = False

    async def run(self) -> None:
        """Reads streams until `stop`."""
        number = 0
        async with anyio.create_task_group() as tasks:
            while self._is_running:
                number += 1
                caller = StreamCaller(self._fleet, f"s{number}")
                tasks.start_soon(self._read, caller)
                await anyio.sleep(_INTERVAL_S)

    async def _read(self, caller: StreamCaller) -> None:
        for _ in range(_MAX_REQUESTS):
            request_id, path = caller.next_request()
            self._ledger.record_sent(request_id, path, is_idempotent=True)
            max_events = self._rng.randint(1, self._events)
            daemon = self._rng.choice(self._fleet.daemon_names)
            try:
                await caller.read(daemon, max_events)
            except AssertionError as exc:
                self._ledger.record_broken_stream(caller.name, str(exc))
                return
            if len(caller.events) == self._events:
                break
            await anyio.sleep(_RETURN_DELAY_S)
        self._ledger.record_stream(
            caller.name,
            caller.events,
            is_whole=len(caller.events) == self._events,
        )
