"""A map whose key of lowest priority is found in logarithmic time."""

import heapq

__all__ = ["PriorityMap"]

_STALE_ENTRIES_KEPT = 64


class PriorityMap:
    """Priorities by key; equal priorities are ordered by key."""

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
        if len(self._heap) > 2 * len(self._priorities) + _STALE_ENTRIES_KEPT:
            self._rebuild()

    def discard(self, key: str) -> None:
        """Removes a key if it is there."""
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
