"""Interface of engine clients, independent of the wire format."""

import abc
import dataclasses
import enum
from collections.abc import Callable

from daisyhub.settings import Address

__all__ = [
    "EngineClient",
    "EngineReport",
    "LoadMode",
    "OrderOutcome",
    "OrderResponse",
    "ReportResponse",
    "VersionOrder",
]


class LoadMode(enum.Enum):
    """How running requests are treated when new weights are loaded.

    Attributes:
        FINISH: They finish with the old weights before the load.
        CONTINUE: They continue with the new weights after the load.
    """

    FINISH = "finish"
    CONTINUE = "continue"


class OrderOutcome(enum.Enum):
    """Outcome of an order.

    Attributes:
        ACCEPTED: The engine starts to load the version.
        ALREADY_LOADED: The engine has the version already.
        CONFLICT: The engine has accepted another number of orders than
            expected.
        STALE_FENCING: The engine has received a higher fencing number before.
        OTHER_ENDPOINT: Another endpoint listens at the address.
        REFUSED: The engine rejected the order, or it wasn't sent.
        UNKNOWN: No valid response; the engine may have accepted the order.
    """

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds"
    CONFLICT = "conflict"
    STALE_FENCING = "deposed"
    OTHER_ENDPOINT = "other_endpoint"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionOrder:
    """An order to load a version.

    Attributes:
        endpoint_id: The engine that must perform it.
        model: The model.
        version: Version of its weights.
        mode: How running requests are treated.
        holder: Name of the machine that sends the order.
        fencing: Fencing number of the duty.
        orders_taken: Number of orders that the engine must have accepted
            since its start; otherwise it rejects this one.
    """

    endpoint_id: str
    model: str
    version: int
    mode: LoadMode
    holder: str
    fencing: int
    orders_taken: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """An engine's report of its state, several hundred milliseconds old.

    Attributes:
        versions: Version of the weights by model.
        is_busy: Whether it is performing an order.
        orders_taken: Number of orders accepted since its start.
        waiting: Number of queued requests.
        running: Number of running requests.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            not stated.
    """

    versions: dict[str, int]
    is_busy: bool
    orders_taken: int
    waiting: int = 0
    running: int = 0
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderResponse:
    """Result of an order.

    Attributes:
        outcome: The outcome.
        is_leaving: Whether the engine announced that it is leaving.
        rate_limit: Requests a second that it accepts; see
            `EndpointResponseHead`.
    """

    outcome: OrderOutcome
    is_leaving: bool = False
    rate_limit: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportResponse:
    """Result of a call for a report.

    Attributes:
        report: The report; None if the call failed.
        is_leaving: Whether the engine announced that it is leaving.
        rate_limit: Requests a second that it accepts; see
            `EndpointResponseHead`.
    """

    report: EngineReport | None = None
    is_leaving: bool = False
    rate_limit: float | None = None


class EngineClient(abc.ABC):
    """Sends orders to engines and fetches their reports."""

    @abc.abstractmethod
    async def order(
        self,
        address: Address,
        order: VersionOrder,
        may_send: Callable[[], bool],
    ) -> OrderResponse:
        """Sends an order; the outcome is `UNKNOWN` without valid response.

        Args:
            address: Where the engine listens.
            order: The order.
            may_send: Whether the order may still be sent, called once a
                connection is open; if not, the outcome is `REFUSED`.
        """

    @abc.abstractmethod
    async def report(
        self, address: Address, may_send: Callable[[], bool]
    ) -> ReportResponse:
        """Fetches an engine's report; see `order` for the arguments."""
