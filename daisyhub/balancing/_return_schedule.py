"""When refused callers are told to come back.

Callers that were refused together must not come back together. Each of them
gets a time after those that were refused before it, so that one that comes back
too early keeps its place before the newer ones.

Times are seconds on a monotonic clock.
"""

import dataclasses
from collections.abc import Hashable

__all__ = ["ReturnSchedule", "honoured_wait_s"]

# Maximum number of callers that are remembered; the oldest are forgotten first.
_MAX_CALLERS = 2048
# Fraction of the time left to a caller up to which it honours `Retry-After`.
_HONOURED_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    room_s: float
    expires_at_s: float


class ReturnSchedule:
    """Places of refused callers, in the order of their first refusal."""

    def __init__(self):
        self._places: dict[Hashable, _Place] = {}

    def was_refused(self, caller: Hashable) -> bool:
        """Whether a caller was refused before and wasn't served since."""
        return caller in self._places

    def refuse(
        self, caller: Hashable, room_in_s: float, room_s: float, now_s: float
    ) -> float:
        """Returns after how many seconds a refused caller is to come back.

        Args:
            caller: Tells callers apart.
            room_in_s: Seconds until there is room for the first of them.
            room_s: Seconds for which this caller takes that room.
            now_s: The time.
        """
        for other, place in list(self._places.items()):
            if place.expires_at_s <= now_s:
                del self._places[other]
        if caller not in self._places and len(self._places) >= _MAX_CALLERS:
            del self._places[next(iter(self._places))]
        self._places.setdefault(caller, _Place(room_s, now_s))
        wait_s = room_in_s
        for other, place in self._places.items():
            if other == caller:
                break
            wait_s += place.room_s
        # It comes back at that time, with some delay, or not at all.
        self._places[caller] = _Place(room_s, now_s + 2 * wait_s + room_s + 1.0)
        return wait_s

    def forget(self, caller: Hashable) -> None:
        """Frees the place of a caller that is served."""
        self._places.pop(caller, None)


def honoured_wait_s(
    wait_s: float, room_in_s: float, remaining_s: float
) -> float | None:
    """Returns what to tell a caller that won't wait for long.

    Args:
        wait_s: Seconds after which it is to come back.
        room_in_s: Seconds until there is room.
        remaining_s: Seconds that it has left.

    Returns:
        `wait_s`, or the longest time that the caller honours if there is room
        by then; None if there is none by then.
    """
    honoured_s = _HONOURED_SHARE * max(0.0, remaining_s)
    if wait_s <= honoured_s:
        return wait_s
    return honoured_s if room_in_s <= honoured_s else None
