"""Decides which endpoints are cold, and what each of them tolerates.

Addresses endpoints that crash when requests arrive at their usual rate shortly
after their start, or after their caches were lost. While an endpoint is cold,
all daemons together send it a low rate of requests.

Three things tell it: the entry, which states how long the endpoint stays cold,
responses, which do the same, and the start of the process. Of the statements in
entries the newest one holds, and so for responses; peers' news only prolong it.
The longest of all holds, as sending too much is the worse mistake.

`now_s` is on a monotonic clock; `wall_s` is the cluster's time of day.
"""

import dataclasses
import math
from collections.abc import Callable

from daisyhub.balancing._endpoint import EndpointEntry
from daisyhub.balancing._leaving import EndpointProcess
from daisyhub.base import Core

__all__ = [
    "BecameCold",
    "ColdCore",
    "ColdPool",
    "ColdTimeBounded",
    "EntryListed",
    "PeerToldCold",
    "ResponseStatedCold",
]

# Times beyond this many times the pool's cold time are taken for faults.
_MAX_COLD_FACTOR = 10.0
# The bound, in seconds, for pools that state no cold time.
_MAX_COLD_S = 60.0
# Maximum number of processes that are remembered; the one that was heard of
# longest ago goes first. Far more than are listed at any time.
_MAX_PROCESSES = 16384
_MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdPool:
    """What a pool's manifest says of cold endpoints.

    Attributes:
        start_s: Seconds for which an endpoint is cold after its start.
        per_s: Requests a second that a cold endpoint tolerates from all daemons
            together; 0 if its endpoints are never treated as cold.
    """

    start_s: float
    per_s: float

    @property
    def bound_s(self) -> float:
        """The longest time that a statement is believed, in seconds."""
        return _MAX_COLD_FACTOR * self.start_s or _MAX_COLD_S


@dataclasses.dataclass(frozen=True, slots=True)
class EntryListed:
    """Event: a new or changed entry of an endpoint was received."""

    entry: EndpointEntry


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseStatedCold:
    """Event: a response of an endpoint states how long it stays cold.

    Attributes:
        entry: The endpoint to which the request was sent.
        left_s: Seconds for which it stays cold.
        sent_at_s: When the request was sent.
    """

    entry: EndpointEntry
    left_s: float
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerToldCold:
    """Event: a peer knows a process to be cold.

    Attributes:
        process: The process.
        left_s: Seconds for which it stays cold.
        per_s: Requests a second that it tolerates, as the peer knows it.
    """

    process: EndpointProcess
    left_s: float
    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BecameCold:
    """Action: a process is cold that was warm, or unknown, before.

    Attributes:
        process: The process.
        left_s: Seconds for which it stays cold.
        per_s: Requests a second that it tolerates.
        was_known: Whether it was known before, so that daemons may send to it
            at the usual rate until they hear of it.
    """

    process: EndpointProcess
    left_s: float
    per_s: float
    was_known: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ColdTimeBounded:
    """Action: a stated time is negative or beyond the bound.

    Attributes:
        process: The process.
        stated_s: The stated time.
        used_s: The time that is used instead.
    """

    process: EndpointProcess
    stated_s: float
    used_s: float


@dataclasses.dataclass(slots=True)
class _State:
    """What is known of a process.

    Attributes:
        pool: Its pool; empty if only peers told of it.
        first_seen_s: When it was first heard of.
        entry_until_s: Until when it is cold by its newest entry.
        response_until_s: Until when it is cold by the newest response.
        response_at_s: When a response last stated that it is cold.
        peers_until_s: Until when it is cold by the news of peers.
        peers_per_s: The rate that peers told.
    """

    pool: str
    first_seen_s: float
    entry_until_s: float = -math.inf
    response_until_s: float = -math.inf
    response_at_s: float = -math.inf
    peers_until_s: float = -math.inf
    peers_per_s: float = math.inf

    @property
    def until_s(self) -> float:
        """Until when it is cold by all statements."""
        return max(
            self.entry_until_s, self.response_until_s, self.peers_until_s
        )


class ColdCore(Core):
    """The endpoints that are cold.

    Args:
        find_pool: Returns what the manifest says of a pool; None if it doesn't
            name it.
    """

    def __init__(self, find_pool: Callable[[str], ColdPool | None]):
        self._find_pool = find_pool
        # In the order in which they were last heard of.
        self._states: dict[EndpointProcess, _State] = {}
        self._none_from_s = -math.inf

    @property
    def none_from_s(self) -> float:
        """A time from which no process is cold, as far as is known.

        Tells without a look at each process that all are warm.
        """
        return self._none_from_s

    def refresh(self) -> None:
        """Applies changes of pools to `none_from_s`."""
        self._none_from_s = max(
            map(self._warm_from_s, self._states.values()), default=-math.inf
        )

    @property
    def next_wakeup_s(self) -> float | None:
        """None; coldness expires by itself."""
        return None

    def __len__(self) -> int:
        return len(self._states)

    def handle(
        self, event: object, now_s: float, wall_s: float = 0.0
    ) -> list[object]:
        """Handles one event; returns what changed.

        Args:
            event: The event.
            now_s: Current time.
            wall_s: The cluster's time of day.
        """
        match event:
            case EntryListed() | ResponseStatedCold():
                process, pool = event.entry.process, event.entry.pool
            case PeerToldCold():
                process, pool = event.process, ""
            case _:
                raise TypeError(f"not an event of coldness: {event!r}")
        was_known = process in self._states
        was_cold = self.left_s(process, now_s, wall_s) > 0
        state = self._states.pop(process, None) or _State(pool, now_s)
        state.pool = pool or state.pool
        self._states[process] = state
        if len(self._states) > _MAX_PROCESSES:
            del self._states[next(iter(self._states))]
        actions = self._update(process, state, event, now_s)
        self._none_from_s = max(self._none_from_s, self._warm_from_s(state))
        left_s = self.left_s(process, now_s, wall_s)
        if left_s > 0 and not was_cold:
            per_s = self.per_s(process, now_s, wall_s)
            actions.append(BecameCold(process, left_s, per_s, was_known))
        return actions

    def left_s(
        self, process: EndpointProcess, now_s: float, wall_s: float
    ) -> float:
        """Returns the seconds for which a process stays cold; 0 if warm."""
        state = self._states.get(process)
        if state is None:
            return 0.0
        pool = self._find_pool(state.pool)
        if pool is None or not pool.per_s:
            # Only what peers told counts; a pool may be unknown here.
            told_s = state.peers_until_s - now_s
            return max(0.0, told_s) if pool is None else 0.0
        started_left_s = self._started_left_s(
            process, state, pool, now_s, wall_s
        )
        return max(0.0, state.until_s - now_s, started_left_s)

    def per_s(
        self, process: EndpointProcess, now_s: float, wall_s: float
    ) -> float:
        """Returns the requests a second that a process tolerates.

        Infinite if it is warm.
        """
        if self.left_s(process, now_s, wall_s) <= 0:
            return math.inf
        state = self._states[process]
        pool = self._find_pool(state.pool)
        return pool.per_s if pool else state.peers_per_s

    def cold(self, now_s: float, wall_s: float) -> dict[EndpointProcess, float]:
        """Returns the seconds for which each cold process stays so."""
        left = {p: self.left_s(p, now_s, wall_s) for p in self._states}
        return {process: left_s for process, left_s in left.items() if left_s}

    def _warm_from_s(self, state: _State) -> float:
        """Returns a time from which a process certainly is warm."""
        pool = self._find_pool(state.pool)
        if pool is None:
            return state.peers_until_s
        if not pool.per_s:
            return -math.inf
        return max(state.until_s, state.first_seen_s + pool.start_s)

    def _started_left_s(
        self,
        process: EndpointProcess,
        state: _State,
        pool: ColdPool,
        now_s: float,
        wall_s: float,
    ) -> float:
        """Returns for how long a process stays cold after its start.

        A start in the future, as by a clock that differs, counts as the time at
        which the process was first heard of.
        """
        if not process.incarnation:
            return 0.0
        age_s = wall_s - process.incarnation / _MS_PER_S
        return pool.start_s - max(age_s, now_s - state.first_seen_s)

    def _update(
        self,
        process: EndpointProcess,
        state: _State,
        event: object,
        now_s: float,
    ) -> list[object]:
        """Applies a statement; returns whether its time was bounded."""
        stated_s = (
            event.entry.cold_left_s
            if isinstance(event, EntryListed)
            else event.left_s
        )
        pool = self._find_pool(state.pool)
        bound_s = pool.bound_s if pool else _MAX_COLD_S
        # NaN compares false and becomes 0.
        used_s = min(stated_s, bound_s) if stated_s > 0 else 0.0
        until_s = now_s + used_s if used_s else -math.inf
        match event:
            case EntryListed():
                state.entry_until_s = until_s
            case ResponseStatedCold() if used_s:
                state.response_until_s, state.response_at_s = until_s, now_s
            case ResponseStatedCold() if event.sent_at_s > state.response_at_s:
                # An earlier request may have been answered before the endpoint
                # became cold.
                state.response_until_s = -math.inf
            case PeerToldCold():
                state.peers_until_s = max(state.peers_until_s, until_s)
                state.peers_per_s = event.per_s
        if used_s == stated_s:
            return []
        return [ColdTimeBounded(process, stated_s, used_s)]
