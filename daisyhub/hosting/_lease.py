"""Leases decided by a deterministic core.

A lease is one object. Its holder renews it by conditional update and counts
its validity from the moment before the request was sent, less a margin. Any
other process takes it over only after it has seen the object unchanged for a
whole term and margin on its own clock. Each take-over raises the fencing
number. Times are seconds on CLOCK_BOOTTIME.
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
    "LeaseWriteRefused",
    "ReadLease",
    "WriteLease",
]

_RENEWALS_PER_TERM = 3


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The lease object's value.

    Attributes:
        holder: Id of the process in charge; empty after a release.
        fencing: Rises with every change of holder.
        term_s: How long a successor waits after the last change it saw.
    """

    holder: str
    fencing: int
    term_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTick:
    """Time has passed.

    Attributes:
        is_candidate: Whether this process should try to take the lease. One
            that doesn't asks the store nothing, but keeps what it holds.
    """

    is_candidate: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRead:
    """A read was answered; `record` is None if there is no object."""

    record: LeaseRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWritten:
    """The write with this id took effect as `version`."""

    write_id: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWriteRefused:
    """The write with this id met another version."""

    write_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWriteFailed:
    """The effect of the write with this id is unknown, or a read failed."""

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
    """Decides when to read, take, renew and give up one lease.

    Args:
        holder: Id of this process; must differ after a restart.
        term_s: Term to write.
        margin_s: What the holder keeps back of the term.
    """

    def __init__(self, holder: str, term_s: float, margin_s: float):
        self.holder = holder
        self.term_s = term_s
        self.margin_s = margin_s
        self._wanted = True
        self._is_candidate = True
        self._fencing = 0
        self._valid_until_s = float("-inf")
        self._seen_version: int | None = None
        self._seen_since_s = 0.0
        self._seen_record: LeaseRecord | None = None
        self._write_id = 0
        self._write_sent_s = 0.0
        self._is_waiting = False
        self._next_s: float | None = 0.0

    @property
    def next_wakeup_s(self) -> float | None:
        """When to send the next `LeaseTick`."""
        return None if self._is_waiting else self._next_s

    def fencing_if_held(self, now_s: float, extra_margin_s: float = 0) -> int:
        """Returns the fencing number, or 0 if the lease may have lapsed."""
        if now_s + extra_margin_s < self._valid_until_s:
            return self._fencing
        return 0

    @property
    def observed_holder(self) -> str:
        """The holder that the last read or write told."""
        return self._seen_record.holder if self._seen_record else ""

    def release(self) -> None:
        """Gives the lease up from now on; the next tick writes it."""
        self._wanted = False
        self._valid_until_s = float("-inf")

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one lease event; returns `ReadLease` or `WriteLease`."""
        match event:
            case LeaseTick():
                self._is_candidate = event.is_candidate
                return self._on_tick(now_s)
            case LeaseRead():
                return self._on_read(event, now_s)
            case LeaseWritten():
                return self._on_write_done(event, now_s)
            case LeaseWriteRefused() | LeaseWriteFailed():
                return self._on_write_lost(event, now_s)
        raise TypeError(f"not a lease event: {event!r}")

    def _on_tick(self, now_s: float) -> list[object]:
        if self._is_waiting:
            return []
        if not self._is_candidate and not self._is_own():
            return self._stand_by(now_s)
        if self._seen_version is None:
            return self._ask()
        if self._is_own():
            return self._renew_or_release(now_s)
        if not self._wanted:
            self._next_s = None
            return []
        if self._is_free(now_s):
            return self._write(self.holder, self._next_fencing(), now_s)
        return self._ask()

    def _stand_by(self, now_s: float) -> list[object]:
        """Forgets what was seen: it is too old once this one may try."""
        self._seen_version = None
        self._seen_record = None
        self._next_s = now_s + self.term_s / _RENEWALS_PER_TERM
        return []

    def _is_own(self) -> bool:
        record = self._seen_record
        return record is not None and record.holder == self.holder

    def _is_free(self, now_s: float) -> bool:
        record = self._seen_record
        if record is None or not record.holder:
            return True
        return now_s - self._seen_since_s >= record.term_s + self.margin_s

    def _next_fencing(self) -> int:
        return self._seen_record.fencing + 1 if self._seen_record else 1

    def _renew_or_release(self, now_s: float) -> list[object]:
        if not self._wanted:
            return self._write("", self._seen_record.fencing, now_s)
        return self._write(self.holder, self._seen_record.fencing, now_s)

    def _ask(self) -> list[object]:
        self._is_waiting = True
        return [ReadLease()]

    def _write(self, holder: str, fencing: int, now_s: float) -> list[object]:
        self._is_waiting = True
        self._write_id += 1
        self._write_sent_s = now_s
        record = LeaseRecord(holder=holder, fencing=fencing, term_s=self.term_s)
        self._pending = record
        return [WriteLease(self._write_id, record, self._seen_version)]

    def _on_read(self, event: LeaseRead, now_s: float) -> list[object]:
        self._is_waiting = False
        if event.version != self._seen_version:
            self._seen_version = event.version
            self._seen_record = event.record
            self._seen_since_s = now_s
        if self._is_own() or self._is_free(now_s):
            return self._on_tick(now_s)
        self._next_s = now_s + self.term_s / _RENEWALS_PER_TERM
        return []

    def _on_write_done(self, event: LeaseWritten, now_s: float) -> list[object]:
        if event.write_id != self._write_id:
            return []
        self._is_waiting = False
        self._seen_version = event.version
        self._seen_record = self._pending
        self._seen_since_s = now_s
        if not self._pending.holder:
            self._next_s = None
            return []
        if self._wanted:
            self._fencing = self._pending.fencing
            self._valid_until_s = (
                self._write_sent_s + self.term_s - self.margin_s
            )
        self._next_s = now_s + self.term_s / _RENEWALS_PER_TERM
        return []

    def _on_write_lost(self, event: object, now_s: float) -> list[object]:
        if event.write_id not in (0, self._write_id):
            return []
        self._is_waiting = False
        self._seen_version = None
        self._seen_record = None
        self._next_s = now_s + self.term_s / (2 * _RENEWALS_PER_TERM)
        return []
