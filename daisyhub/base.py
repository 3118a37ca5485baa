"""Abstract base classes and the contract that their implementations keep.

Constructors only store their arguments; work happens in methods. A core is
deterministic: it opens no socket, reads no clock and awaits nothing. It gets
events with the time and returns actions.
"""

import abc
from collections.abc import Awaitable, Callable, Sequence

from daisyhub.messages import Request, Response

__all__ = ["Balancer", "Controller", "Core", "Filter", "Handler"]

Handler = Callable[[Request], Awaitable[Response]]


class Core(abc.ABC):
    """A deterministic state machine that decides and performs no I/O."""

    @abc.abstractmethod
    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event and returns the actions that it calls for.

        Args:
            event: One of the core's typed events.
            now_s: Time in seconds on the clock that the core documents.

        Returns:
            Typed actions, in the order in which to carry them out.
        """

    @property
    @abc.abstractmethod
    def next_wakeup_s(self) -> float | None:
        """When the core wants a `Tick`, on its clock; None for never."""


class Filter(abc.ABC):
    """One step of the request chain.

    A filter refuses by raising `Refusal`, or passes the request on and
    returns the answer, changed or not.
    """

    name: str

    @abc.abstractmethod
    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Handles one request.

        Args:
            req: The request as earlier filters left it.
            call_next: The rest of the chain.

        Returns:
            The answer for the caller.

        Raises:
            Refusal: The request ends here.
        """


class Controller(abc.ABC):
    """Keeps one part of the daemon's state up to date."""

    name: str

    @abc.abstractmethod
    async def run(self) -> None:
        """Runs until cancelled; survives every failure of other parties."""

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """Tells operators the state in plain JSON values."""


class Balancer(abc.ABC):
    """Chooses one endpoint among candidates.

    A balancer is deterministic for a given `random_state`.
    """

    @abc.abstractmethod
    def choose(self, candidates: Sequence["EndpointView"]) -> str | None:
        """Returns the id of the chosen endpoint, or None without candidates."""


class EndpointView(abc.ABC):
    """What a balancer sees of one endpoint."""

    endpoint_id: str
    pool: str
    load: float
    capacity: int
    cheap: bool
    weight_version: int
