"""The samples of a lot's groups and the attempts to generate them.

A slot is the position of one sample: a group and an index in it. It may have
several attempts at a time; the first sample that arrives is kept.
"""

import dataclasses
import heapq
from collections.abc import Iterable

from daisyhub.rollouts._lot_events import CancelSample, Generate
from daisyhub.rollouts._lot_types import Group, LotSpec, Sample

__all__ = ["SlotTable"]

_RETRY_DELAY_S = 0.2
_MAX_CONCURRENT_ATTEMPTS = 2  # for one sample; failed ones aren't counted
# Lower priorities start first; retries have the priority of repeats.
_PRIORITY_REPEAT = 0
_PRIORITY_FIRST = 1


@dataclasses.dataclass(slots=True)
class _Slot:
    """State of one sample; `is_queued` while it waits for an attempt."""

    sample: Sample | None = None
    attempts: set[int] = dataclasses.field(default_factory=set)
    is_queued: bool = False


class SlotTable:
    """Schedules the generation of samples, lowest group index first.

    Args:
        spec: Specification of the lot.

    Attributes:
        dropped_samples: Number of samples that were discarded as stale.
    """

    def __init__(self, spec: LotSpec):
        self.spec = spec
        self.dropped_samples = 0
        self._groups: dict[int, list[_Slot]] = {}
        self._missing_samples: dict[int, int] = {}
        self._running_attempts: dict[int, tuple[int, int]] = {}
        self._queue: list[tuple[int, int, int]] = []
        self._delayed: list[tuple[float, int, int, int]] = []
        self._last_attempt = 0

    @property
    def next_retry_s(self) -> float | None:
        """When the next delayed sample may be retried.

        None if none is delayed, or while the lot's concurrency is used up.
        """
        if not self._delayed or self._is_full:
            return None
        return self._delayed[0][0]

    @property
    def _is_full(self) -> bool:
        return len(self._running_attempts) >= self.spec.concurrency

    @property
    def complete_groups(self) -> list[int]:
        """Indexes of the groups that have all samples, in ascending order."""
        return sorted(
            g for g, missing in self._missing_samples.items() if not missing
        )

    def add_groups(
        self, groups: Iterable[int], *, is_repeat: bool = False
    ) -> None:
        """Queues the samples of groups that are new here.

        Args:
            groups: Indexes of the groups.
            is_repeat: Whether a repeated pull needs the groups; their samples
                are generated first.
        """
        priority = _PRIORITY_REPEAT if is_repeat else _PRIORITY_FIRST
        size = self.spec.group_size
        for group in groups:
            if group in self._groups:
                continue
            self._groups[group] = [_Slot() for _ in range(size)]
            self._missing_samples[group] = size
            for index in range(size):
                self._push(priority, group, index)

    def drop_groups(self, groups: Iterable[int]) -> list[CancelSample]:
        """Drops groups with their samples and cancels their attempts."""
        cancelled = []
        for group in groups:
            self._missing_samples.pop(group, None)
            for slot in self._groups.pop(group, ()):
                cancelled += self._cancel_attempts(slot)
        return cancelled

    def start_attempts(self, now_s: float) -> list[Generate]:
        """Starts attempts up to the lot's concurrency.

        Spare attempts start only if no sample is queued.
        """
        while self._delayed and self._delayed[0][0] <= now_s:
            _, priority, group, index = heapq.heappop(self._delayed)
            self._push(priority, group, index)
        started = []
        while self._queue and not self._is_full:
            _, group, index = heapq.heappop(self._queue)
            slot = self._slot(group, index)
            if slot is None or not slot.is_queued:
                continue
            slot.is_queued = False
            started.append(self._start_attempt(slot, group, index))
        if not self._queue and self.spec.spare_samples:
            started += self._start_spares()
        return started

    def complete_attempt(
        self, attempt: int, sample: Sample
    ) -> list[CancelSample]:
        """Keeps the first sample of a slot and cancels its other attempts.

        A sample of an attempt that was cancelled or failed is ignored.
        """
        slot_key = self._running_attempts.pop(attempt, None)
        slot = self._slot(*slot_key) if slot_key else None
        if slot is None or attempt not in slot.attempts:
            return []
        slot.attempts.discard(attempt)
        slot.sample = sample
        slot.is_queued = False
        self._missing_samples[slot_key[0]] -= 1
        return self._cancel_attempts(slot)

    def slot_of(self, attempt: int) -> tuple[int, int] | None:
        """Returns the group and index of a running attempt, or None."""
        return self._running_attempts.get(attempt)

    def fail_attempt(self, attempt: int, now_s: float) -> None:
        """Ends an attempt without a sample.

        Schedules a retry unless the slot has a sample or another attempt.
        """
        slot_key = self._running_attempts.pop(attempt, None)
        slot = self._slot(*slot_key) if slot_key else None
        if slot is None:
            return
        slot.attempts.discard(attempt)
        if slot.sample is None and not slot.attempts:
            self._schedule_retry(*slot_key, now_s)

    def discard_stale_samples(
        self, group: int, oldest_version: int, now_s: float
    ) -> bool:
        """Discards stale samples of a group and schedules their retry.

        Args:
            group: Index of the group.
            oldest_version: The oldest weight version that isn't stale.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the group still has all samples; False for a group that
            isn't in the table.
        """
        for index, slot in enumerate(self._groups.get(group, ())):
            if slot.sample is None:
                continue
            if slot.sample.oldest_version < oldest_version:
                slot.sample = None
                self._missing_samples[group] += 1
                self.dropped_samples += 1
                self._schedule_retry(group, index, now_s)
        return self._missing_samples.get(group) == 0

    def group(self, group: int) -> Group:
        """Returns a complete group with its samples."""
        slots = self._groups[group]
        return Group(group=group, samples=tuple(s.sample for s in slots))

    def _slot(self, group: int, index: int) -> _Slot | None:
        slots = self._groups.get(group)
        return slots[index] if slots else None

    def _push(self, priority: int, group: int, index: int) -> None:
        slot = self._slot(group, index)
        if slot is None or slot.sample is not None or slot.attempts:
            return
        slot.is_queued = True
        heapq.heappush(self._queue, (priority, group, index))

    def _schedule_retry(self, group: int, index: int, now_s: float) -> None:
        entry = (now_s + _RETRY_DELAY_S, _PRIORITY_REPEAT, group, index)
        heapq.heappush(self._delayed, entry)

    def _start_attempt(self, slot: _Slot, group: int, index: int) -> Generate:
        others = tuple(sorted(slot.attempts))
        self._last_attempt += 1
        slot.attempts.add(self._last_attempt)
        self._running_attempts[self._last_attempt] = (group, index)
        return Generate(self._last_attempt, group, index, others)

    def _start_spares(self) -> list[Generate]:
        """Starts second attempts for groups that miss few samples.

        A slow or hung engine then delays a nearly complete group less.
        """
        started = []
        for group, missing in sorted(self._missing_samples.items()):
            if not 0 < missing <= self.spec.spare_samples:
                continue
            for index, slot in enumerate(self._groups[group]):
                if self._is_full:
                    return started
                if 0 < len(slot.attempts) < _MAX_CONCURRENT_ATTEMPTS:
                    started.append(self._start_attempt(slot, group, index))
        return started

    def _cancel_attempts(self, slot: _Slot) -> list[CancelSample]:
        cancelled = [CancelSample(number) for number in sorted(slot.attempts)]
        for number in slot.attempts:
            self._running_attempts.pop(number, None)
        slot.attempts.clear()
        return cancelled
