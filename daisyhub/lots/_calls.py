"""Callers' calls about lots that are handed in whole."""

import dataclasses

__all__ = ["EndLot", "LotCall", "ReadItemBody", "ReadResults"]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResults:
    """Reads results by position.

    Attributes:
        lot_id: The lot.
        after: First position wanted, from 0.
        wait_s: How long to wait if there is no result yet.
    """

    lot_id: str
    after: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadItemBody:
    """Reads the body of an item that isn't listed yet."""

    lot_id: str
    item_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndLot:
    """Ends a lot: what isn't listed is no longer wanted."""

    lot_id: str


LotCall = ReadResults | ReadItemBody | EndLot
