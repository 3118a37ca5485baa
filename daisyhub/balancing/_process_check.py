"""Whether the process that a daemon knows still is the one that listens.

A process that starts again under its id may be of another release. A daemon
that is cut off, or stood still, learns of that late, so before it goes on with
a text or a stream it has the process confirmed.
"""

import abc
import dataclasses
import math

from daisyhub.balancing._endpoint import EndpointEntry
from daisyhub.clocks import boot_time_s

__all__ = ["UNCONDITIONAL", "Confirmation", "ProcessCheck", "TrustedProcesses"]

# Seconds for which a confirmation is valid: a connection is opened meanwhile.
# Far below the time in which a process ends and starts again.
_VALID_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """The process of an entry was found to be the one that listens.

    Attributes:
        asked_at_s: When it was asked, on CLOCK_BOOTTIME, which counts the time
            for which this daemon stood still.
    """

    asked_at_s: float

    def is_valid(self) -> bool:
        """Whether what needs the confirmation may be sent now."""
        return boot_time_s() - self.asked_at_s <= _VALID_S


# For requests that any process may serve.
UNCONDITIONAL = Confirmation(math.inf)


class ProcessCheck(abc.ABC):
    """Confirms processes of endpoints."""

    async def confirm(self, entry: EndpointEntry) -> Confirmation | None:
        """Returns a confirmation; None if the process can't be confirmed."""
        asked_at_s = boot_time_s()
        is_current = await self.is_current(entry)
        return Confirmation(asked_at_s) if is_current else None

    @abc.abstractmethod
    async def is_current(self, entry: EndpointEntry) -> bool:
        """Whether the process of an entry listens at its address.

        False also if that can't be found out soon.
        """


class TrustedProcesses(ProcessCheck):
    """Takes the processes for current, where endpoints state no start."""

    async def is_current(self, entry: EndpointEntry) -> bool:
        """Returns True; see `ProcessCheck.is_current`."""
        return True
