"""Abstract base classes of the package.

Constructors of implementations perform no I/O and start no tasks. A core is
deterministic: it opens no socket, reads no clock and awaits nothing. It takes
events together with the time and returns actions.
"""

import abc
from collections.abc import Awaitable, Callable, Sequence

from daisyhub.messages import Request, Response

__all__ = ["Balancer", "Controller", "Core", "Filter", "Handler"]

Handler = Callable[[Request], Awaitable[Response]]


class Core(abc.ABC):
    """A deterministic state machine without I/O."""

    @abc.abstractmethod
    def handle(self, event: object, now_s: float) -> list[object]:
        """Processes one event and returns the resulting actions.

        Args:
            event: One of the core's typed events.
            now_s: Time of the event, seconds on the clock that the core's
                docstring names.

        Returns:
            Typed actions, in the order in which to perform them.

        Raises:
            TypeError: The core has no such event.
        """

    @property
    @abc.abstractmethod
    def next_wakeup_s(self) -> float | None:
        """Time of the next tick event, seconds on the core's clock.

        None if the core needs no tick.
        """


class Filter(abc.ABC):
    """One step of the request chain.

    A filter either raises `Refusal`, or calls the next step and returns its
    response, possibly modified.

    Attributes:
        name: Unique name of the class.
    """

    name: str

    @abc.abstractmethod
    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Handles one request.

        Args:
            req: The request, possibly modified by earlier filters.
            call_next: Calls the rest of the chain.

        Returns:
            The response for the caller.

        Raises:
            Refusal: The request is rejected.
        """


class Controller(abc.ABC):
    """A background task that keeps one part of the daemon's state current.

    Attributes:
        name: Unique name of the class, used in the status and in the logs.
    """

    name: str

    @abc.abstractmethod
    async def run(self) -> None:
        """Runs until cancelled; failures of remote systems don't end it."""

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """Returns the state for operators in plain JSON values."""


class Balancer(abc.ABC):
    """Selects one endpoint among candidates.

    The selection is deterministic for a given `random_state`.
    """

    @abc.abstractmethod
    def choose(self, candidates: Sequence["EndpointView"]) -> str | None:
        """Returns the id of the selected endpoint; None without candidates."""


class EndpointView(abc.ABC):
    """State of an endpoint as read by balancers.

    Attributes:
        endpoint_id: Unique id.
        pool: The pool that it belongs to.
        load: Estimated number of its open requests.
        capacity: Number of requests that it serves concurrently.
        cheap: Whether the platform may reclaim it (spot capacity).
        weight_version: Highest reported version of its weights.
    """

    endpoint_id: str
    pool: str
    load: float
    capacity: int
    cheap: bool
    weight_version: int
