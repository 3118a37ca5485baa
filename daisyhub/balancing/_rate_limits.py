"""What endpoints state about the request rate that they accept.

An endpoint in need states in its responses how many requests a second it
accepts from all daemons together. The statement holds for one process until a
response without it: that response must belong to a request that was sent after
the last statement was received, as an earlier one may have been answered before
the statement was made.

Times are seconds on a monotonic clock.
"""

import dataclasses
import math

from daisyhub.balancing._leaving import EndpointProcess

__all__ = ["RateLimit", "RateLimits"]

# Maximum number of processes whose statements are kept. An endpoint in need is
# rare; beyond the maximum, the statement that was changed longest ago goes.
MAX_PROCESSES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """A statement of one process.

    Attributes:
        per_s: Requests a second from all daemons together; infinite if the
            process states no limit.
        valid_from_s: For a limit, when it was received; for the absence of
            one, when the request was sent whose response had none. Of two
            statements the later one holds.
    """

    per_s: float
    valid_from_s: float

    @property
    def is_finite(self) -> bool:
        """Whether the process limits its requests."""
        return self.per_s < math.inf


class RateLimits:
    """The last statement of each process that ever stated a limit."""

    def __init__(self):
        # In the order of their last change.
        self._limits: dict[EndpointProcess, RateLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def get(self, process: EndpointProcess) -> RateLimit | None:
        """Returns the last statement; None if it never stated a limit."""
        return self._limits.get(process)

    def is_limited(self, process: EndpointProcess) -> bool:
        """Whether a limit of the process is in force."""
        limit = self._limits.get(process)
        return limit is not None and limit.is_finite

    def limited(self) -> dict[EndpointProcess, RateLimit]:
        """Returns the limits in force by process."""
        return {p: lim for p, lim in self._limits.items() if lim.is_finite}

    def record(self, process: EndpointProcess, limit: RateLimit) -> bool:
        """Records a statement unless a later one is known.

        Returns:
            Whether the process became limited or is limited no more.
        """
        known = self._limits.get(process)
        if known is None and not limit.is_finite:
            return False
        if known is not None and limit.valid_from_s < known.valid_from_s:
            return False
        was_limited = known is not None and known.is_finite
        self._limits.pop(process, None)
        self._limits[process] = limit
        if len(self._limits) > MAX_PROCESSES:
            del self._limits[next(iter(self._limits))]
        return limit.is_finite != was_limited
