"""Interface of clients of the platform's order desk.

The order desk takes usage reports and orders for endpoints.
"""

import abc
import enum

__all__ = ["OrderDeskClient", "OrderDeskOutcome"]


class OrderDeskOutcome(enum.Enum):
    """Outcome of a call of the order desk.

    Attributes:
        DONE: The call took effect.
        STALE_FENCING: Rejected, since a higher fencing number was used before.
        REFUSED: The call was rejected or could not be sent.
        UNKNOWN: No response, or one that doesn't tell; the call may have taken
            effect.
    """

    DONE = "done"
    STALE_FENCING = "deposed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class OrderDeskClient(abc.ABC):
    """Calls the order desk with the sender's name and a fencing number."""

    @abc.abstractmethod
    async def report_usage(
        self, window: int, counts: dict[str, int], fencing: int
    ) -> OrderDeskOutcome:
        """Reports a window; idempotent for equal counts.

        Args:
            window: Number of the window, counted since 1970.
            counts: Number of its requests that started to run, by account.
            fencing: Fencing number of the duty.
        """

    @abc.abstractmethod
    async def order_endpoints(
        self, pool: str, domain: str, count: int, *, cheap: bool, fencing: int
    ) -> OrderDeskOutcome:
        """Orders a number of endpoints of a pool in a failure domain.

        Args:
            pool: Name of the pool.
            domain: The failure domain.
            count: Desired total number of endpoints.
            cheap: Whether to order spot capacity.
            fencing: Fencing number of the duty.
        """
