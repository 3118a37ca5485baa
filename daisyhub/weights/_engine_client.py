"""What engines are asked and told, apart from how it is spelled."""

import abc
import dataclasses
import enum

from daisyhub.settings import Address

__all__ = [
    "EngineClient",
    "EngineReport",
    "LoadMode",
    "OrderOutcome",
    "VersionOrder",
]


class LoadMode(enum.Enum):
    """What becomes of requests that run when new weights come."""

    FINISH = "finish"
    CONTINUE = "continue"


class OrderOutcome(enum.Enum):
    """What an engine said to an order."""

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
        endpoint_id: The engine that must carry it out.
        model: The model.
        version: Its version.
        mode: What becomes of open requests.
        holder: Machine that gives the order.
        fencing: Its number.
        orders_taken: How many orders the engine must have taken before.
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
    """What an engine tells of itself, some hundred milliseconds late.

    Attributes:
        versions: Weight version by model.
        is_busy: Whether it carries out an order.
        orders_taken: Orders accepted since its start.
        waiting: Requests that wait there.
        running: Requests that run there.
    """

    versions: dict[str, int]
    is_busy: bool
    orders_taken: int
    waiting: int = 0
    running: int = 0


class EngineClient(abc.ABC):
    """Talks to engines."""

    @abc.abstractmethod
    async def order(
        self, address: Address, order: VersionOrder
    ) -> OrderOutcome:
        """Gives an order; a lost answer is `UNKNOWN`."""

    @abc.abstractmethod
    async def report(self, address: Address) -> EngineReport | None:
        """Returns an engine's report, or None if none came."""
