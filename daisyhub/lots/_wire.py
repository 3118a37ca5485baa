"""What trainers and engines say about lots, apart from how it is spelled."""

import abc
import dataclasses

from daisyhub.lots._types import ItemResult, LotSpec
from daisyhub.messages import Request

__all__ = ["EventReader", "LotWire", "StreamEvent"]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of an engine's stream.

    Attributes:
        number: Its number, from 1.
        data: What it adds to the text.
        version: Weight version that made it.
    """

    number: int
    data: str
    version: int


class EventReader(abc.ABC):
    """Reads the events of one stream out of its chunks."""

    @abc.abstractmethod
    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Returns the events that are whole now.

        Raises:
            ValueError: The bytes are no event.
        """

    @property
    @abc.abstractmethod
    def is_between_events(self) -> bool:
        """Whether nothing of a further event has come."""


class LotWire(abc.ABC):
    """How lots are handed in and their results are read."""

    @abc.abstractmethod
    def read_lot(self, req: Request, accepted_s: float) -> LotSpec:
        """Returns the lot that a request hands in.

        Args:
            req: The request, its account, route and body set.
            accepted_s: True time, seconds since 1970.

        Raises:
            Refusal: The body can't be read.
        """

    @abc.abstractmethod
    def write_results(
        self, total: int, after: int, results: list[ItemResult]
    ) -> bytes:
        """Returns the body with the results from position `after` on."""

    @abc.abstractmethod
    def make_reader(self, version: int) -> EventReader:
        """Returns a reader of a stream that starts under `version`."""
