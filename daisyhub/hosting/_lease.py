"""Deterministic core that acquires, renews and releases a lease.

A lease is one stored object. Its holder renews it by conditional update. The
lease is valid for the term less a margin, counted from the time at which the
renewal was sent. Another process may acquire it only after it has observed
the object unchanged for the term plus the margin on its own clock. Each
change of holder increments the fencing number. Times are seconds on
CLOCK_BOOTTIME.
"""

import dataclasses

import msgspec

from daisyhub.base import Core

__all__ = [
    "LeaseCore",
    "LeaseRead",
    "LeaseRecord",
    "LeaseTick",
    "LeaseWritten",
    "LeaseWriteFailed",
    "LeaseWriteRejected",
    "ReadLease",
    "WriteLease",
]

_RENEWALS_PER_TERM = 3


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The lease object's value.

    Attributes:
        holder: Id of the holder; empty after a release.
        fencing: Fencing number, incremented when a process acquires the lease.
        term_s: Seconds without a change, plus a margin, after which another
            process may acquire the lease.
    """

    holder: str
    fencing: int
    term_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTick:
    """Event: time has passed.

    Attributes:
        is_candidate: Whether this process should try to acquire the lease. A
            process that isn't a candidate sends no requests to the store,
            except to renew or release a lease that it holds.
    """

    is_candidate: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRead:
    """Event: the lease was read; None and version 0 if it doesn't exist."""

    record: LeaseRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWritten:
    """Event: the write with this id created `version`."""

    write_id: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWriteRejected:
    """Event: the write with this id was rejected by a version conflict."""

    write_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWriteFailed:
    """Event: the outcome of a write is unknown, or a read failed (id 0)."""

    write_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Action: read the lease object."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLease:
    """Action: write the lease object if it is at `expected_version`."""

    write_id: int
    record: LeaseRecord
    expected_version: int


class LeaseCore(Core):
    """Decides when to read, acquire, renew and release one lease.

    Args:
        holder: Id of this process; must change with each restart, so that a
            process doesn't mistake its predecessor's lease for its own.
        term_s: Term of the lease, in seconds.
        margin_s: Safety margin in seconds. The holder stops using the lease
            this much earlier, and others wait this much longer.
    """

    def __init__(self, holder: str, term_s: float, margin_s: float):
        self.holder = holder
        self.term_s = term_s
        self.margin_s = margin_s
        self._should_hold = True
        self._is_candidate = True
        self._fencing = 0
        self._valid_until_s = float("-inf")
        self._observed_version: int | None = None
        self._observed_at_s = 0.0
        self._observed_record: LeaseRecord | None = None
        self._write_id = 0
        self._write_sent_at_s = 0.0
        self._is_request_pending = False
        self._next_tick_s: float | None = 0.0

    @property
    def next_wakeup_s(self) -> float | None:
        """Time of the next `LeaseTick`; None if no tick is needed."""
        return None if self._is_request_pending else self._next_tick_s

    def fencing_if_held(self, now_s: float, extra_margin_s: float = 0) -> int:
        """Returns the fencing number, or 0 if the lease may have expired.

        Args:
            now_s: The current time.
            extra_margin_s: Seconds before the expiry from which to return 0.
        """
        if now_s + extra_margin_s < self._valid_until_s:
            return self._fencing
        return 0

    @property
    def observed_holder(self) -> str:
        """The holder as of the last read or write; empty if unknown."""
        return self._observed_record.holder if self._observed_record else ""

    def release(self) -> None:
        """Stops using the lease; the next tick writes the release."""
        self._should_hold = False
        self._valid_until_s = float("-inf")

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; returns at most one read or write action."""
        match event:
            case LeaseTick():
                self._is_candidate = event.is_candidate
                return self._on_tick(now_s)
            case LeaseRead():
                return self._on_read(event, now_s)
            case LeaseWritten():
                return self._on_write_done(event, now_s)
            case LeaseWriteRejected() | LeaseWriteFailed():
                return self._on_write_failed(event, now_s)
        raise TypeError(f"not a lease event: {event!r}")

    def _on_tick(self, now_s: float) -> list[object]:
        if self._is_request_pending:
            return []
        if not self._is_candidate and not self._is_held_by_self():
            return self._discard_observation(now_s)
        if self._observed_version is None:
            return self._read()
        if self._is_held_by_self():
            return self._renew_or_release(now_s)
        if not self._should_hold:
            self._next_tick_s = None
            return []
        if self._is_free(now_s):
            return self._write(self.holder, self._next_fencing(), now_s)
        return self._read()

    def _discard_observation(self, now_s: float) -> list[object]:
        """Discards the observed state; a candidate must read it again."""
        self._observed_version = None
        self._observed_record = None
        self._next_tick_s = now_s + self.term_s / _RENEWALS_PER_TERM
        return []

    def _is_held_by_self(self) -> bool:
        record = self._observed_record
        return record is not None and record.holder == self.holder

    def _is_free(self, now_s: float) -> bool:
        record = self._observed_record
        if record is None or not record.holder:
            return True
        return now_s - self._observed_at_s >= record.term_s + self.margin_s

    def _next_fencing(self) -> int:
        return self._observed_record.fencing + 1 if self._observed_record else 1

    def _renew_or_release(self, now_s: float) -> list[object]:
        if not self._should_hold:
            return self._write("", self._observed_record.fencing, now_s)
        return self._write(self.holder, self._observed_record.fencing, now_s)

    def _read(self) -> list[object]:
        self._is_request_pending = True
        return [ReadLease()]

    def _write(self, holder: str, fencing: int, now_s: float) -> list[object]:
        self._is_request_pending = True
        self._write_id += 1
        self._write_sent_at_s = now_s
        record = LeaseRecord(holder=holder, fencing=fencing, term_s=self.term_s)
        self._pending_record = record
        return [WriteLease(self._write_id, record, self._observed_version)]

    def _on_read(self, event: LeaseRead, now_s: float) -> list[object]:
        self._is_request_pending = False
        if event.version != self._observed_version:
            self._observed_version = event.version
            self._observed_record = event.record
            self._observed_at_s = now_s
        if self._is_held_by_self() or self._is_free(now_s):
            return self._on_tick(now_s)
        self._next_tick_s = now_s + self.term_s / _RENEWALS_PER_TERM
        return []

    def _on_write_done(self, event: LeaseWritten, now_s: float) -> list[object]:
        if event.write_id != self._write_id:
            return []
        self._is_request_pending = False
        self._observed_version = event.version
        self._observed_record = self._pending_record
        self._observed_at_s = now_s
        if not self._pending_record.holder:
            self._next_tick_s = None
            return []
        if self._should_hold:
            self._fencing = self._pending_record.fencing
            self._valid_until_s = (
                self._write_sent_at_s + self.term_s - self.margin_s
            )
        self._next_tick_s = now_s + self.term_s / _RENEWALS_PER_TERM
        return []

    def _on_write_failed(self, event: object, now_s: float) -> list[object]:
        if event.write_id not in (0, self._write_id):
            return []
        self._is_request_pending = False
        self._observed_version = None
        self._observed_record = None
        self._next_tick_s = now_s + self.term_s / (2 * _RENEWALS_PER_TERM)
        return []
