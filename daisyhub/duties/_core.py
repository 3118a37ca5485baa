"""Decides when to acquire, verify and release a duty.

A duty is one object in the store. A conditional write makes a daemon its
holder and increments the fencing number, which the holder sends with each call
to a receiver, such as an engine or the platform. Where every receiver rejects
stale fencing numbers, the holder needs no renewal: it remains the holder until
another daemon that no longer receives its pings writes a higher number. Where
receivers don't check, the holder acts only within a term after it last read or
wrote its own record, and a daemon that takes over without a release waits for
one term before it acts.

A daemon that hears only few others can't tell whether the holder is lost or
whether it is cut off itself. It writes a challenge into the record first, and
takes the duty only if the holder doesn't remove it in time.

Times are seconds on CLOCK_BOOTTIME, which counts suspended time.
"""

import dataclasses
import math

import msgspec

from daisyhub.base import Core
from daisyhub.duties._types import (
    DutyCallFailed,
    DutyRecord,
    DutyRecordReceived,
    DutyTick,
    FencingRejected,
    ReadDuty,
    WriteDuty,
)

__all__ = ["DutyCore"]

# Checks of the own record per term. With three, two in a row may fail before
# the term ends.
_CHECKS_PER_TERM = 3
# Delay after a failed call: a few round trips to the store.
_RETRY_DELAY_S = 0.3
# Interval between reads of a record whose holder is live.
_HOLDER_CHECK_INTERVAL_S = 5.0
# Seconds after the last confirmation for which a holder continues work that
# needs no fencing: longer than most outages of the store, and about the time
# within which work that waits for new orders of the duty is late anyway.
_MAX_UNCONFIRMED_S = 10.0
# Share of a term within which a live holder answers a challenge: it reads its
# record `_CHECKS_PER_TERM` times in a term, and one read may fail.
_ANSWER_TERM_SHARE = 2 / 3
# Seconds after an answered challenge before this daemon writes another one.
_CHALLENGE_INTERVAL_S = 5.0
# Seconds for which a daemon verifies its duty after another one challenged or
# deposed it, even while it hears all peers: the two may have forgotten each
# other during a long cut.
_CONTESTED_S = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Challenge:
    """A challenge that this daemon relies on.

    Attributes:
        revision: Revision of the record that has it.
        seen_at_s: When this daemon received that record.
    """

    revision: int
    seen_at_s: float


class DutyCore(Core):
    """Decides whether this process holds one duty.

    Args:
        process: Id of this process, `daemon id/incarnation`; differs after a
            restart.
        term_s: Term in seconds. A daemon that lost the duty doesn't acquire it
            again for one term. Where receivers don't check fencing numbers,
            the holder also acts only within one term after it last read or
            wrote its own record, and a daemon that takes over without a
            release waits for one term before it acts.
        is_fencing_checked: Whether every receiver rejects stale fencing
            numbers.
    """

    def __init__(self, process: str, term_s: float, is_fencing_checked: bool):
        self.process = process
        self.term_s = term_s
        self.is_fencing_checked = is_fencing_checked
        self._record: DutyRecord | None = None
        self._revision: int | None = None
        self._is_call_pending = False
        self._is_write_pending = False
        # When the last call and the last read were sent, and when the last call
        # was sent that returned the own record.
        self._sent_at_s = -math.inf
        self._last_read_at_s = -math.inf
        self._confirmed_at_s = -math.inf
        self._may_act_from_s = -math.inf
        self._cooldown_until_s = -math.inf
        self._retry_at_s = -math.inf
        self._should_hold = True
        # Holder in the record that the last write replaces.
        self._previous_holder = ""
        # Revision that the last write expects, and that of a write of unknown
        # outcome, which may still take effect while the record is at it.
        self._written_at = 0
        self._unresolved_at: int | None = None
        # Highest fencing number that peers report.
        self._max_peer_fencing = 0
        self._challenge: _Challenge | None = None
        self._challenge_from_s = -math.inf
        self._contested_until_s = -math.inf

    @property
    def next_wakeup_s(self) -> float | None:
        """None: the controller sends periodic ticks."""
        return None

    @property
    def record(self) -> DutyRecord | None:
        """The last record received; None if there is none or it is unknown."""
        return self._record

    @property
    def is_challenging(self) -> bool:
        """Whether this daemon waits for the holder to answer a challenge."""
        return self._challenge is not None

    def fencing_if_held(self, now_s: float) -> int:
        """Returns the fencing number, or 0 if this process may not act."""
        if not self._is_own() or not self._should_hold:
            return 0
        if now_s < self._may_act_from_s:
            return 0
        # Without checks by receivers, stops one check interval before the term
        # ends.
        margin_s = self.term_s / _CHECKS_PER_TERM
        valid_until_s = self._confirmed_at_s + self.term_s - margin_s
        if not self.is_fencing_checked and now_s >= valid_until_s:
            return 0
        return self._record.fencing

    def tenure(self, now_s: float) -> int:
        """Returns the fencing number for work that needs no fencing, or 0.

        Such work may be done by two daemons for a while. A holder continues it
        while the store doesn't confirm the duty, until peers report a
        successor, and a successor starts it without waiting for the term of its
        predecessor.
        """
        if self.is_fencing_checked:
            return self.fencing_if_held(now_s)
        if not self._is_own() or not self._should_hold:
            return 0
        is_superseded = self._max_peer_fencing > self._record.fencing
        is_old = now_s >= self._confirmed_at_s + _MAX_UNCONFIRMED_S
        return 0 if is_superseded or is_old else self._record.fencing

    def release(self) -> None:
        """Stops holding the duty; the next tick writes the release."""
        self._should_hold = False

    def allow(self) -> None:
        """Makes this daemon a candidate again after a release."""
        self._should_hold = True

    def handle(self, event: object, now_s: float) -> list[object]:
        """Processes an event; returns at most one `ReadDuty` or `WriteDuty`."""
        match event:
            case DutyTick():
                return self._on_tick(event, now_s)
            case DutyRecordReceived():
                self._on_record(event, now_s)
            case DutyCallFailed():
                self._is_call_pending = False
                if self._is_write_pending:
                    self._unresolved_at = self._written_at
                    self._is_write_pending = False
                self._revision = None
                self._retry_at_s = now_s + _RETRY_DELAY_S
            case FencingRejected():
                self._on_lost(now_s)
            case _:
                raise TypeError(f"not a duty event: {event!r}")
        return []

    def _is_own(self) -> bool:
        return self._record is not None and self._record.holder == self.process

    def _on_tick(self, tick: DutyTick, now_s: float) -> list[object]:
        self._max_peer_fencing = tick.max_peer_fencing
        if self._is_call_pending or now_s < self._retry_at_s:
            return []
        if self._record and tick.max_peer_fencing > self._record.fencing:
            return self._read(now_s)
        if self._is_own():
            return self._on_own_tick(tick, now_s)
        if not tick.is_candidate or not self._should_hold:
            self._challenge = None
            return self._resolve_write(now_s)
        if self._revision is None:
            return self._read(now_s)
        return self._on_candidate_tick(tick, now_s)

    def _on_candidate_tick(self, tick: DutyTick, now_s: float) -> list[object]:
        is_held = self._record is not None and bool(self._record.holder)
        if tick.is_holder_live and is_held:
            self._challenge = None
            return self._resolve_write(now_s) or self._check_holder(now_s)
        if now_s < self._cooldown_until_s:
            return []
        if is_held and not tick.is_silence_conclusive:
            return self._acquire_if_unanswered(now_s)
        self._challenge = None
        return self._acquire(now_s)

    def _acquire_if_unanswered(self, now_s: float) -> list[object]:
        """Challenges the holder; acquires the duty if it doesn't answer.

        A challenge of another daemon serves as well. Any change of the record
        since the challenge shows that a holder is alive.
        """
        if self._challenge is None:
            if now_s < self._challenge_from_s:
                return []
            if not self._record.challenger:
                return self._write_challenge(now_s)
            self._challenge = _Challenge(self._revision, now_s)
        if self._revision != self._challenge.revision:
            self._challenge = None
            self._challenge_from_s = now_s + _CHALLENGE_INTERVAL_S
            return []
        waited_s = now_s - self._challenge.seen_at_s
        if waited_s < _ANSWER_TERM_SHARE * self.term_s:
            return []
        return self._acquire(now_s)

    def _write_challenge(self, now_s: float) -> list[object]:
        """Writes a challenge if the last read is recent; otherwise reads."""
        if not self._is_read_recent(now_s):
            return self._read(now_s)
        challenge = msgspec.structs.replace(
            self._record, challenger=self.process
        )
        return self._write(challenge, now_s)

    def _on_own_tick(self, tick: DutyTick, now_s: float) -> list[object]:
        self._challenge = None
        if self._revision is None:
            return self._read(now_s)
        if not self._should_hold:
            released = DutyRecord(holder="", fencing=self._record.fencing)
            return self._write(released, now_s)
        if self._record.challenger:
            self._contested_until_s = now_s + _CONTESTED_S
            answer = msgspec.structs.replace(self._record, challenger="")
            return self._write(answer, now_s)
        must_verify = (
            tick.has_lost_peers
            or tick.is_challenged
            or now_s < self._contested_until_s
            or not self.is_fencing_checked
        )
        check_interval_s = self.term_s / _CHECKS_PER_TERM
        if must_verify and now_s - self._last_read_at_s >= check_interval_s:
            return self._read(now_s)
        return []

    def _resolve_write(self, now_s: float) -> list[object]:
        """Reads the record until a write of unknown outcome is decided.

        Otherwise a daemon that is no candidate any more would never learn that
        it holds the duty, while the others wait for it.
        """
        if self._unresolved_at is None:
            return []
        interval_s = self.term_s / _CHECKS_PER_TERM
        is_due = now_s - self._last_read_at_s >= interval_s
        return self._read(now_s) if self._revision is None or is_due else []

    def _check_holder(self, now_s: float) -> list[object]:
        """Reads a live holder's record every `_HOLDER_CHECK_INTERVAL_S`."""
        if now_s - self._last_read_at_s < _HOLDER_CHECK_INTERVAL_S:
            return []
        return self._read(now_s)

    def _read(self, now_s: float) -> list[object]:
        self._is_call_pending = True
        self._sent_at_s = self._last_read_at_s = now_s
        return [ReadDuty()]

    def _acquire(self, now_s: float) -> list[object]:
        """Writes a new holder if the last read is recent; otherwise reads."""
        if not self._is_read_recent(now_s):
            return self._read(now_s)
        fencing = self._record.fencing + 1 if self._record else 1
        return self._write(
            DutyRecord(holder=self.process, fencing=fencing), now_s
        )

    def _is_read_recent(self, now_s: float) -> bool:
        age_s = now_s - self._last_read_at_s
        return age_s <= self.term_s / _CHECKS_PER_TERM

    def _write(self, record: DutyRecord, now_s: float) -> list[object]:
        self._is_call_pending = True
        self._sent_at_s = now_s
        self._previous_holder = self._record.holder if self._record else ""
        self._is_write_pending = True
        self._written_at = self._revision or 0
        return [WriteDuty(record, self._written_at)]

    def _on_record(self, found: DutyRecordReceived, now_s: float) -> None:
        was_own = self._is_own()
        self._is_call_pending = False
        self._is_write_pending = False
        if found.revision != self._unresolved_at:
            self._unresolved_at = None
        self._record = found.record
        self._revision = found.revision
        if self._is_own():
            self._confirmed_at_s = self._sent_at_s
            is_taken_over = not was_own and bool(self._previous_holder)
            if is_taken_over and not self.is_fencing_checked:
                self._may_act_from_s = now_s + self.term_s
        elif was_own:
            self._on_lost(now_s)

    def _on_lost(self, now_s: float) -> None:
        """Handles the loss of the duty.

        Starts a cooldown of one term, so that holders don't alternate. Clears
        the revision, so that the record is read before any write.
        """
        self._revision = None
        self._cooldown_until_s = now_s + self.term_s
        self._contested_until_s = now_s + _CONTESTED_S
        if self._is_own():
            self._record = None
