"""Calls that clients make to submitted lots."""

import dataclasses

__all__ = ["EndLot", "LotCall", "ReadItemBody", "ReadResults"]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResults:
    """Reads results by position.

    Attributes:
        lot_id: The lot.
        after: Position of the first result to return, from 0.
        wait_s: Seconds to wait if that result isn't listed yet.
    """

    lot_id: str
    after: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadItemBody:
    """Reads the request body of an item."""

    lot_id: str
    item_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndLot:
    """Ends a lot: items that aren't listed are no longer run."""

    lot_id: str


LotCall = ReadResults | ReadItemBody | EndLot
