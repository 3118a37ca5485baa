"""Bounds the memory that the entries of items of open lots take at the holder.

The load: more items of open lots at once than fit into the memory of a process,
even without their bodies. All of the lots are accepted and stored, so that none
may be refused any more. Those beyond the limit stay in the store until others
are closed.
"""

import dataclasses

import anyio

from daisyhub.lots._types import LotHead

__all__ = ["LotMemory"]

# Number of items from which on a lot counts. Smaller ones never wait.
_MIN_ITEMS = 1024
# Memory of an item beside its bodies, in bytes.
_ITEM_OVERHEAD = 1024
# Seconds for which a new holder collects lots before it admits the oldest of
# them. It learns of all of them within one list of the store.
_COLLECT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    head: LotHead
    size: int
    admitted: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class LotMemory:
    """Admits lots of many items in the order in which they were accepted.

    A single one always fits. A new holder thus admits those that an earlier one
    had begun.

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

    async def admit(self, head: LotHead, *, is_inherited: bool = False) -> None:
        """Waits until a lot fits, or is released; it counts until then.

        Args:
            head: The lot.
            is_inherited: Whether it was accepted before this daemon became the
                holder, so that older ones may be found in a moment.
        """
        if head.total < _MIN_ITEMS or head.lot_id in self._held:
            return
        size = head.total * _ITEM_OVERHEAD
        waiting = self._waiting.setdefault(head.lot_id, _Waiting(head, size))
        if is_inherited:
            with anyio.move_on_after(_COLLECT_S):
                await waiting.admitted.wait()
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
        oldest_first = sorted(
            self._waiting.items(), key=lambda entry: entry[1].head.accepted_s
        )
        for lot_id, waiting in oldest_first:
            held = sum(self._held.values())
            if held and held + waiting.size > self._limit:
                return
            del self._waiting[lot_id]
            self._held[lot_id] = waiting.size
            waiting.admitted.set()
