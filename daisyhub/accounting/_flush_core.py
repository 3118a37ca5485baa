"""Decides when a daemon writes its usage parts to the platform.

Each daemon owns one object at the platform. It contains the daemon's unsealed
parts and the copied parts of incarnations that are no longer live. The object
is read before the first write, so that parts of an earlier epoch are kept.
Wake-up times are on CLOCK_BOOTTIME; windows follow the wall clock, which may
jump.
"""

import dataclasses
from collections.abc import Mapping

from daisyhub.accounting._counters import UsageCounters
from daisyhub.accounting._ledger import SealedParts
from daisyhub.accounting._parts import (
    PartId,
    PartStore,
    UsagePart,
    window_start,
)
from daisyhub.accounting._seal_core import CallFailed, LedgerRead, ReadLedger
from daisyhub.base import Core

__all__ = [
    "FlushCore",
    "FlushTick",
    "ReadStore",
    "StoreRead",
    "StoreWriteRejected",
    "StoreWritten",
    "WriteStore",
]

_MAX_COUNTS_PER_STORE = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class FlushTick:
    """Time has passed.

    Attributes:
        wall_s: Wall-clock time in seconds.
        live: Incarnations of the live peers in the failure domain, by id.
        is_closing: Whether the daemon is shutting down and has to flush now,
            before the window ends.
    """

    wall_s: float
    live: Mapping[str, int]
    is_closing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """This daemon's object was read; version 0 if there is none."""

    store: PartStore
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWritten:
    """The object was written and has this version now."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWriteRejected:
    """The write was rejected: the object has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStore:
    """Action: read this daemon's object."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStore:
    """Action: write this daemon's object if it has `expected_version`."""

    store: PartStore
    expected_version: int


class FlushCore(Core):
    """Flushes usage parts at the end of each window.

    A flush reads the ledger to drop sealed parts, reads the object unless its
    version is known, and writes the object if its set of parts changes.

    Args:
        counters: Provides the parts.
        retry_s: Delay in seconds after a failed call.
    """

    def __init__(self, counters: UsageCounters, retry_s: float):
        self._counters = counters
        self._retry_s = retry_s
        self._stored_parts: dict[PartId, UsagePart] = {}
        self._version: int | None = None
        self._sealed_parts: SealedParts | None = None
        self._orphaned_parts: list[UsagePart] = []
        self._pending_store = PartStore()
        self._is_done = True
        self._is_call_pending = False
        self._window_end_s = 0.0
        self._next_flush_s = 0.0

    @property
    def next_wakeup_s(self) -> float | None:
        """When to send the next `FlushTick`; None while a call is pending."""
        return None if self._is_call_pending else self._next_flush_s

    @property
    def is_done(self) -> bool:
        """Whether the last flush that was started has succeeded."""
        return self._is_done

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event and returns the next read or write."""
        match event:
            case FlushTick():
                return self._on_tick(event, now_s)
            case LedgerRead():
                return self._on_ledger(event, now_s)
            case StoreRead():
                self._version = event.version
                self._stored_parts = {p.part_id: p for p in event.store.parts}
                self._counters.record_flushed(event.store.parts)
                return self._write(now_s)
            case StoreWritten():
                return self._on_written(event, now_s)
            case StoreWriteRejected():
                self._version = None
                return [ReadStore()]
            case CallFailed():
                return self._on_failed(now_s)
        raise TypeError(f"not a flush event: {event!r}")

    def _on_tick(self, event: FlushTick, now_s: float) -> list[object]:
        if self._is_call_pending:
            return []
        if now_s < self._next_flush_s and not event.is_closing:
            return []
        window = window_start(event.wall_s, self._counters.window_s)
        end_wall_s = window + self._counters.window_s
        self._window_end_s = now_s + end_wall_s - event.wall_s
        self._counters.cut_parts()
        self._orphaned_parts = self._counters.orphaned_parts(event.live)
        self._is_call_pending = True
        self._is_done = False
        return [ReadLedger()]

    def _on_ledger(self, event: LedgerRead, now_s: float) -> list[object]:
        self._sealed_parts = SealedParts(event.ledger)
        self._counters.drop_sealed(self._sealed_parts)
        if self._version is None:
            return [ReadStore()]
        return self._write(now_s)

    def _write(self, now_s: float) -> list[object]:
        known_parts = dict(self._stored_parts)
        for part in (*self._counters.own_parts(), *self._orphaned_parts):
            known_parts[part.part_id] = part
        unsealed = [
            p for p in known_parts.values() if p not in self._sealed_parts
        ]
        parts = _oldest(unsealed)
        if {p.part_id for p in parts} == set(self._stored_parts):
            return self._finish_flush(now_s)
        self._pending_store = PartStore(parts=parts)
        return [WriteStore(self._pending_store, self._version)]

    def _on_written(self, event: StoreWritten, now_s: float) -> list[object]:
        self._version = event.version
        self._stored_parts = {p.part_id: p for p in self._pending_store.parts}
        self._counters.record_flushed(self._pending_store.parts)
        return self._finish_flush(now_s)

    def _finish_flush(self, now_s: float) -> list[object]:
        self._is_done = True
        self._next_flush_s = max(now_s, self._window_end_s)
        self._is_call_pending = False
        return []

    def _on_failed(self, now_s: float) -> list[object]:
        self._version = None
        self._is_call_pending = False
        self._next_flush_s = now_s + self._retry_s
        return []


def _oldest(parts: list[UsagePart]) -> tuple[UsagePart, ...]:
    """Returns the oldest parts that fit into one object, at least one."""
    chosen = []
    remaining_counts = _MAX_COUNTS_PER_STORE
    for part in sorted(parts, key=lambda p: (p.window, p.part_id)):
        remaining_counts -= len(part.counts)
        if remaining_counts < 0 and chosen:
            break
        chosen.append(part)
    return tuple(chosen)
