"""A map that finds its lowest-priority key in amortized logarithmic time."""

import heapq

__all__ = ["PriorityMap"]

# Stale heap entries allowed in addition to one for each key. The heap is
# rebuilt when it has more.
_STALE_ENTRY_ALLOWANCE = 64


class PriorityMap:
    """Maps keys to priorities; equal priorities are ordered by key.

    Changed and removed keys leave stale entries in the heap, which are skipped
    on reading and dropped when the heap is rebuilt.
    """

    def __init__(self):
        self._priorities: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._priorities)

    def set(self, key: str, priority: float) -> None:
        """Adds a key or changes its priority."""
        if self._priorities.get(key) == priority:
            return
        self._priorities[key] = priority
        heapq.heappush(self._heap, (priority, key))
        if len(self._heap) > 2 * len(self._priorities) + _STALE_ENTRY_ALLOWANCE:
            self._rebuild()

    def discard(self, key: str) -> None:
        """Removes a key if present."""
        self._priorities.pop(key, None)

    def first(self) -> tuple[float, str] | None:
        """Returns the lowest priority and its key; None if empty."""
        while self._heap:
            priority, key = self._heap[0]
            if self._priorities.get(key) == priority:
                return priority, key
            heapq.heappop(self._heap)
        return None

    def _rebuild(self) -> None:
        self._heap = [(p, key) for key, p in self._priorities.items()]
        heapq.heapify(self._heap)
