"""Messages about lots, and requests about them for the holder."""

import msgspec

__all__ = [
    "LotAcceptedNotification",
    "LotEndedNotification",
    "LotHeadRequest",
    "LotItemBodyRequest",
    "LotResponse",
    "LotResultsRequest",
]


class LotResultsRequest(msgspec.Struct, frozen=True, kw_only=True, tag="rq"):
    """Requests results of a lot from its holder.

    Attributes:
        lot_id: The lot.
        after: Position of the first requested result, counted from 0.
        wait_s: Maximum wait in seconds if there is no result yet.
    """

    lot_id: str
    after: int
    wait_s: float


class LotItemBodyRequest(msgspec.Struct, frozen=True, kw_only=True, tag="bq"):
    """Requests the body of an item from the lot's holder."""

    lot_id: str
    item_id: str


class LotHeadRequest(msgspec.Struct, frozen=True, kw_only=True, tag="hq"):
    """Requests a lot without its items from its holder."""

    lot_id: str


class LotAcceptedNotification(msgspec.Struct, frozen=True, tag="lt"):
    """Notifies the holder of a lot that was accepted.

    Attributes:
        head: The lot without its items, JSON.
    """

    head: bytes


class LotEndedNotification(msgspec.Struct, frozen=True, tag="le"):
    """Notifies the holder of a lot that the lot was ended."""

    lot_id: str


class LotResponse(msgspec.Struct, frozen=True, kw_only=True, tag="la"):
    """A holder's response to a request about a lot.

    Attributes:
        is_held: Whether the daemon is the lot's holder and can serve it.
        content: Results as JSON, a head as JSON, or an item's body.
        is_found: Whether the requested item exists.
        is_ended: Whether the lot was ended; its results are in the store.
        part: The stored part that has the requested item's body, which the
            holder doesn't have in memory; None if that is unknown.
    """

    is_held: bool
    content: bytes = b""
    is_found: bool = True
    is_ended: bool = False
    part: int | None = None
