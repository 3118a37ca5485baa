"""The platform's interface for usage reports and endpoint orders."""

import abc
import enum

__all__ = ["OrderDeskOutcome", "OrderDeskClient"]


class OrderDeskOutcome(enum.Enum):
    """What the platform said to a call."""

    DONE = "done"
    STALE_FENCING = "deposed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class OrderDeskClient(abc.ABC):
    """Calls the platform; each call names its sender and fencing number."""

    @abc.abstractmethod
    async def report_usage(
        self, window: int, counts: dict[str, int], fencing: int
    ) -> OrderDeskOutcome:
        """Reports a window; an exact repeat does no harm.

        Args:
            window: Its number since 1970.
            counts: Requests that began to run in it, by account.
            fencing: Number of the duty.
        """

    @abc.abstractmethod
    async def order_endpoints(
        self, pool: str, domain: str, count: int, *, cheap: bool, fencing: int
    ) -> OrderDeskOutcome:
        """Orders how many endpoints of one kind a failure domain has."""
