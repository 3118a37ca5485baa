"""Start times of requests to a cold endpoint, at equal distances.

Each granted request has a slot of its own, so that no second has more requests
than the rate, whatever is granted ahead of time and in which order. A class of
requests that is held to its share leaves slots free for the other one.
"""

import math

__all__ = ["SlotGrid"]

# Part of a slot by which a time may precede it, for rounding.
_TOLERANCE = 1e-6
# Number of taken slots beyond which past ones are dropped.
_MAX_TAKEN = 64


class SlotGrid:
    """Slots at one endpoint.

    Args:
        rate_per_s: Slots a second.
        from_s: When the first slot is, on a monotonic clock.
    """

    def __init__(self, rate_per_s: float, from_s: float):
        self.rate_per_s = rate_per_s
        self._from_s = from_s
        self._taken: set[int] = set()

    def earliest_s(self, now_s: float) -> float:
        """Returns the first free slot that isn't before a time."""
        position = (now_s - self._from_s) * self.rate_per_s
        number = max(0, math.ceil(position - _TOLERANCE))
        while number in self._taken:
            number += 1
        return max(now_s, self._from_s + number / self.rate_per_s)

    def take(self, start_at_s: float, now_s: float) -> None:
        """Takes the slot at a time that `earliest_s` returned."""
        self._taken.add(round((start_at_s - self._from_s) * self.rate_per_s))
        if len(self._taken) > _MAX_TAKEN:
            past = (now_s - self._from_s) * self.rate_per_s - 1
            self._taken = {n for n in self._taken if n >= past}

    def resume(self, rate_per_s: float, now_s: float) -> "SlotGrid":
        """Returns a grid of another rate that starts after what was taken."""
        from_s = max(self._from_s, now_s)
        if self._taken:
            last_s = self._from_s + max(self._taken) / self.rate_per_s
            from_s = max(from_s, last_s + 1 / min(rate_per_s, self.rate_per_s))
        return SlotGrid(rate_per_s, from_s)
