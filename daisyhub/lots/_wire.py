"""Interfaces for the wire formats of lots, results and event streams."""

import abc
import dataclasses

from daisyhub.lots._types import ItemResult, LotSpec
from daisyhub.messages import Request

__all__ = ["EventReader", "LotWire", "StreamEvent"]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of an engine's stream.

    Attributes:
        number: Its number within the text, from 1.
        data: The piece of text that it adds.
        version: Weight version that generated it.
    """

    number: int
    data: str
    version: int


class EventReader(abc.ABC):
    """Incremental parser for the events of one stream."""

    @abc.abstractmethod
    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Returns the events that this chunk completes.

        Raises:
            ValueError: The bytes aren't a valid event.
        """

    @property
    @abc.abstractmethod
    def is_between_events(self) -> bool:
        """Whether no part of a further event was received."""


class LotWire(abc.ABC):
    """Wire format of submitted lots, their results and event streams."""

    @abc.abstractmethod
    def read_lot(self, req: Request, accepted_s: float) -> LotSpec:
        """Returns the lot that a request submits.

        Args:
            req: The request, with its account, route and body set.
            accepted_s: Time on the cluster's clock, in seconds since 1970.

        Raises:
            Refusal: The body isn't a valid lot.
        """

    @abc.abstractmethod
    def may_be_lot(self, body: bytes) -> bool:
        """Whether a request body is a lot that a daemon may have stored."""

    @abc.abstractmethod
    def write_results(
        self, total: int, after: int, results: list[ItemResult]
    ) -> bytes:
        """Returns the response body of a read of results.

        Args:
            total: Number of items of the lot.
            after: Position of the first result in `results`.
            results: Consecutive results.
        """

    @abc.abstractmethod
    def make_reader(self, version: int) -> EventReader:
        """Returns a reader for one stream.

        Args:
            version: Weight version of its events until the stream states
                another one.
        """
