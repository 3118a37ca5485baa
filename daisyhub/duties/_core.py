"""Decides when to take, check and give up a duty.

A duty is one object in the store; a conditional write makes a daemon its
holder and raises the fencing number. Where every receiver refuses old numbers
the holder needs no renewal: it stays until another daemon, which hears it no
longer, writes a higher number. Where receivers don't check, the holder acts
only within a term after it last saw its own record, and a successor waits that
term before it acts.

Times are seconds on CLOCK_BOOTTIME, which counts suspended time.
"""

import dataclasses
import math

import msgspec

from daisyhub.base import Core

__all__ = [
    "DutyCallFailed",
    "DutyCore",
    "FencingRejected",
    "DutyFound",
    "DutyRecord",
    "DutyTick",
    "ReadDuty",
    "WriteDuty",
]

# Part of the term after which the holder checks its record, so that two
# checks may fail within the term.
_CHECKS_PER_TERM = 3
# Seconds between a failed call and the next; some round trips to the store.
_FAILED_PAUSE_S = 0.3
# Seconds between looks at a record whose holder is live.
_LOOK_S = 5.0


class DutyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A duty's object.

    Attributes:
        holder: Process in charge; empty after a release.
        fencing: Rises with every change of holder.
    """

    holder: str
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DutyTick:
    """Time has passed.

    Attributes:
        is_first: Whether this daemon is to take the duty if it is free.
        is_holder_live: Whether the known holder's process is heard.
        has_lost_peers: Whether daemons that were heard before are silent now.
        seen_fencing: Highest number that peers tell to hold.
    """

    is_first: bool
    is_holder_live: bool
    has_lost_peers: bool = False
    seen_fencing: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DutyFound:
    """A read or a write was answered, or a write was refused.

    Attributes:
        record: The record as it is now; None if there is none.
        revision: Its revision; 0 for none.
    """

    record: DutyRecord | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutyCallFailed:
    """A read or a write brought no usable answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class FencingRejected:
    """A receiver refused the number: another daemon used a higher one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDuty:
    """Action: read the record."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteDuty:
    """Action: write the record if it is at `revision`; 0 creates it."""

    record: DutyRecord
    revision: int


class DutyCore(Core):
    """Decides about one duty.

    Args:
        process: Id of this process; differs after a restart.
        term_s: Time within which holders must not take turns.
        is_checked: Whether every receiver refuses old fencing numbers.
    """

    def __init__(self, process: str, term_s: float, is_checked: bool):
        self.process = process
        self.term_s = term_s
        self.is_checked = is_checked
        self._record: DutyRecord | None = None
        self._revision: int | None = None
        self._is_waiting = False
        self._sent_at_s = -math.inf
        self._looked_at_s = -math.inf
        self._confirmed_at_s = -math.inf
        self._may_act_from_s = -math.inf
        self._barred_until_s = -math.inf
        self._paused_until_s = -math.inf
        self._is_wanted = True
        self._took_from = ""

    @property
    def next_wakeup_s(self) -> float | None:
        """Ticks come with every ping; there is no wake-up besides."""
        return None

    @property
    def record(self) -> DutyRecord | None:
        """The record as last seen."""
        return self._record

    def fencing_if_held(self, now_s: float) -> int:
        """Returns the number to act with, or 0 if this one may not act."""
        if not self._is_own() or not self._is_wanted:
            return 0
        if now_s < self._may_act_from_s:
            return 0
        margin_s = self.term_s / _CHECKS_PER_TERM
        valid_until_s = self._confirmed_at_s + self.term_s - margin_s
        if not self.is_checked and now_s >= valid_until_s:
            return 0
        return self._record.fencing

    def release(self) -> None:
        """Gives the duty up from now on; the next tick writes it."""
        self._is_wanted = False

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event; returns `ReadDuty` or `WriteDuty` or nothing."""
        match event:
            case DutyTick():
                return self._on_tick(event, now_s)
            case DutyFound():
                self._on_found(event, now_s)
            case DutyCallFailed():
                self._is_waiting = False
                self._revision = None
                self._paused_until_s = now_s + _FAILED_PAUSE_S
            case FencingRejected():
                self._on_deposed(now_s)
            case _:
                raise TypeError(f"not a duty event: {event!r}")
        return []

    def _is_own(self) -> bool:
        return self._record is not None and self._record.holder == self.process

    def _on_tick(self, tick: DutyTick, now_s: float) -> list[object]:
        if self._is_waiting or now_s < self._paused_until_s:
            return []
        if self._record and tick.seen_fencing > self._record.fencing:
            return self._read(now_s)
        if self._is_own():
            return self._on_own_tick(tick, now_s)
        if not tick.is_first or not self._is_wanted:
            return []
        if self._revision is None:
            return self._read(now_s)
        if tick.is_holder_live and self._record and self._record.holder:
            return self._look(now_s)
        if now_s < self._barred_until_s:
            return []
        return self._take(now_s)

    def _on_own_tick(self, tick: DutyTick, now_s: float) -> list[object]:
        if self._revision is None:
            return self._read(now_s)
        if not self._is_wanted:
            released = DutyRecord(holder="", fencing=self._record.fencing)
            return self._write(released, now_s)
        must_check = tick.has_lost_peers or not self.is_checked
        check_s = self.term_s / _CHECKS_PER_TERM
        if must_check and now_s - self._looked_at_s >= check_s:
            return self._read(now_s)
        return []

    def _look(self, now_s: float) -> list[object]:
        if now_s - self._looked_at_s < _LOOK_S:
            return []
        return self._read(now_s)

    def _read(self, now_s: float) -> list[object]:
        self._is_waiting = True
        self._sent_at_s = self._looked_at_s = now_s
        return [ReadDuty()]

    def _take(self, now_s: float) -> list[object]:
        """Writes on top of a record that was read just now, or reads it."""
        if now_s - self._looked_at_s > self.term_s / _CHECKS_PER_TERM:
            return self._read(now_s)
        fencing = self._record.fencing + 1 if self._record else 1
        return self._write(
            DutyRecord(holder=self.process, fencing=fencing), now_s
        )

    def _write(self, record: DutyRecord, now_s: float) -> list[object]:
        self._is_waiting = True
        self._sent_at_s = now_s
        self._took_from = self._record.holder if self._record else ""
        return [WriteDuty(record, self._revision or 0)]

    def _on_found(self, found: DutyFound, now_s: float) -> None:
        was_own = self._is_own()
        self._is_waiting = False
        self._record = found.record
        self._revision = found.revision
        if self._is_own():
            self._confirmed_at_s = self._sent_at_s
            is_taken = not was_own and bool(self._took_from)
            if is_taken and not self.is_checked:
                self._may_act_from_s = now_s + self.term_s
        elif was_own:
            self._on_deposed(now_s)

    def _on_deposed(self, now_s: float) -> None:
        """Leaves the duty alone for a term, so that holders don't take turns.

        The record is read again before anything else is decided.
        """
        self._revision = None
        self._barred_until_s = now_s + self.term_s
        if self._is_own():
            self._record = None
