"""Bounds the memory that the items of large open lots take at the holder.

The load: more large lots at once than fit into the memory of a process. All of
them are accepted and stored, so that none may be refused any more. Those beyond
the limit stay in the store until others are closed.
"""

import dataclasses

import anyio

from daisyhub.lots._types import LotHead

__all__ = ["LotMemory", "estimate_bytes"]

# Size from which on a lot counts, in bytes. Smaller ones never wait.
_LARGE_BYTES = 1 << 20
# Memory of an item beside its texts, in bytes.
_ITEM_OVERHEAD = 1024


def estimate_bytes(head: LotHead) -> int:
    """Returns the memory of a lot's items, in bytes.

    It is too low for lots of older versions, whose heads don't state a size.
    """
    return head.stored_bytes + head.total * _ITEM_OVERHEAD


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    size: int
    admitted: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class LotMemory:
    """Admits large lots in the order of their arrival.

    A single one always fits.

    Args:
        limit_bytes: Maximum size of all that are admitted.
    """

    def __init__(self, limit_bytes: int):
        self._limit = limit_bytes
        self._held: dict[str, int] = {}
        self._waiting: dict[str, _Waiting] = {}

    @property
    def waiting_lots(self) -> int:
        """Number of lots that wait in the store."""
        return len(self._waiting)

    async def admit(self, head: LotHead) -> None:
        """Waits until a lot fits, or is released; it counts until then."""
        size = estimate_bytes(head)
        if size < _LARGE_BYTES or head.lot_id in self._held:
            return
        waiting = self._waiting.setdefault(head.lot_id, _Waiting(size))
        self._admit_next()
        await waiting.admitted.wait()

    def release(self, lot_id: str) -> None:
        """Makes room, as a lot is closed or no longer needed."""
        self._held.pop(lot_id, None)
        waiting = self._waiting.pop(lot_id, None)
        if waiting is not None:
            waiting.admitted.set()
        self._admit_next()

    def clear(self) -> None:
        """Releases all lots, as the duty ended."""
        self._held.clear()
        self._waiting.clear()

    def _admit_next(self) -> None:
        for lot_id, waiting in list(self._waiting.items()):
            held = sum(self._held.values())
            if held and held + waiting.size > self._limit:
                return
            del self._waiting[lot_id]
            self._held[lot_id] = waiting.size
            waiting.admitted.set()
