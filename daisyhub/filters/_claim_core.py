"""Claims of idempotency keys decided by a deterministic core.

A key is claimed by conditional write before its request is sent. A claim is
taken over only if it says `free`, or if it is this process's own attempt of
which the process knows that it was never sent. Every other claim of another
attempt bars the key: a dead daemon's claim stays unknown for good.

A write whose effect is unknown, and a final state that couldn't be stored,
are pending: the process knows the truth, answers repeats from it, and
settles the stored claim once the store answers again.
"""

import dataclasses

from msgspec.structs import replace

from daisyhub.base import Core
from daisyhub.exceptions import ErrorCode, Ran
from daisyhub.filters._claim_types import (
    ClaimCancelled,
    ClaimReadCompleted,
    ClaimReadFailed,
    ClaimRecord,
    ClaimRequested,
    ClaimStored,
    ClaimTick,
    ClaimWriteRejected,
    ClaimWriteUncertain,
    ForwardRequest,
    ReadClaim,
    RefuseRequest,
    ReplayResponse,
    RequestEnded,
    ReturnOutcome,
    WriteClaim,
)

__all__ = ["ClaimCore"]

_CLAIM_TRIES = 3
_RETRY_IN_PROGRESS_S = 1.0
_RETRY_PLATFORM_S = 2.0
_SETTLE_AGAIN_S = 1.0
_SETTLES_PER_TICK = 16
_MAX_PENDING = 4096
_MAX_PENDING_BYTES = 4 << 20
_FINAL_STATES = {Ran.NOT_RUN: "free", Ran.RAN: "ran", Ran.UNKNOWN: "unknown"}


@dataclasses.dataclass(slots=True)
class _Claim:
    """An attempt's claim.

    Attributes:
        name: Name of the object.
        record: What the attempt last wrote, or wants to.
        expected_version: Version that the write expects.
        tries: Writes of the claim so far.
        is_writing: Whether a pending claim's write or read is under way.
    """

    name: str
    record: ClaimRecord
    expected_version: int = 0
    tries: int = 0
    is_writing: bool = False


class ClaimCore(Core):
    """Decides for all keyed requests of one process."""

    def __init__(self):
        self._claiming: dict[str, _Claim] = {}
        self._running: dict[str, _Claim] = {}
        self._storing: dict[str, _Claim] = {}
        self._pending: dict[str, _Claim] = {}
        self._open_names: dict[str, str] = {}
        self._known_names: dict[str, str] = {}
        self._pending_bytes = 0
        self._settle_at_s: float | None = None

    @property
    def next_wakeup_s(self) -> float | None:
        """When to settle pending claims."""
        return self._settle_at_s

    @property
    def pending(self) -> int:
        """Claims whose stored state lags behind what the process knows."""
        return len(self._pending)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one claim event; returns the attempt's next action."""
        match event:
            case ClaimTick():
                return self._on_tick(now_s)
            case ClaimRequested():
                return self._on_asked(event)
            case ClaimCancelled():
                return self._on_dropped(event, now_s)
            case RequestEnded():
                return self._on_ended(event)
            case ClaimStored() | ClaimWriteRejected() | ClaimWriteUncertain():
                return self._on_written(event, now_s)
            case ClaimReadCompleted() | ClaimReadFailed():
                return self._on_read(event)
        raise TypeError(f"not a claim event: {event!r}")

    def _on_asked(self, event: ClaimRequested) -> list[object]:
        known = self._find_known(event.name)
        if known is not None:
            if known.record.request_digest != event.request_digest:
                return [_mismatch(event.attempt)]
            if event.name in self._open_names:
                return [_in_progress(event.attempt)]
            return [_answer_repeat(event.attempt, known.record)]
        record = ClaimRecord(
            request_digest=event.request_digest,
            state="claimed",
            attempt=event.attempt,
        )
        self._open_names[event.name] = event.attempt
        self._claiming[event.attempt] = _Claim(event.name, record)
        return self._write_claim(event.attempt, 0)

    def _find_known(self, name: str) -> _Claim | None:
        """Returns the claim that this process itself has for a key."""
        attempt = self._open_names.get(name) or self._known_names.get(name)
        for phase in (
            self._claiming,
            self._running,
            self._storing,
            self._pending,
        ):
            if attempt in phase:
                return phase[attempt]
        return None

    def _write_claim(self, attempt: str, version: int) -> list[object]:
        claim = self._claiming[attempt]
        if claim.tries >= _CLAIM_TRIES:
            return [self._leave(attempt, _in_progress(attempt))]
        claim.tries += 1
        claim.expected_version = version
        return [_write(attempt, claim)]

    def _leave(self, attempt: str, action: object) -> object:
        """Ends an attempt that was not sent."""
        claim = self._claiming.pop(attempt)
        del self._open_names[claim.name]
        return action

    def _on_written(self, event, now_s: float) -> list[object]:
        if event.attempt in self._claiming:
            return self._on_claim_written(event, now_s)
        if event.attempt in self._storing:
            return self._on_final_written(event, now_s)
        if event.attempt in self._pending:
            return self._on_pending_written(event)
        return []

    def _on_claim_written(self, event, now_s: float) -> list[object]:
        claim = self._claiming[event.attempt]
        match event:
            case ClaimStored():
                del self._claiming[event.attempt]
                claim.expected_version = event.version
                self._running[event.attempt] = claim
                return [ForwardRequest(event.attempt)]
            case ClaimWriteRejected():
                return [ReadClaim(event.attempt, claim.name)]
        # The write may take effect later: this process alone knows that the
        # attempt never runs.
        action = self._leave(event.attempt, _unavailable(event.attempt))
        claim.record = replace(claim.record, state="free")
        self._add_pending(event.attempt, claim, now_s)
        return [action]

    def _on_read(self, event) -> list[object]:
        if event.attempt in self._pending:
            return self._on_pending_read(event)
        if event.attempt not in self._claiming:
            return []
        if isinstance(event, ClaimReadFailed):
            return [self._leave(event.attempt, _unavailable(event.attempt))]
        if event.record is None:
            return self._write_claim(event.attempt, 0)
        digest = self._claiming[event.attempt].record.request_digest
        if event.record.request_digest != digest:
            return [self._leave(event.attempt, _mismatch(event.attempt))]
        if self._is_free(event.record):
            return self._write_claim(event.attempt, event.version)
        action = _answer_repeat(event.attempt, event.record)
        return [self._leave(event.attempt, action)]

    def _is_free(self, record: ClaimRecord) -> bool:
        """Whether the stored claim's request surely never ran."""
        if record.state == "free":
            return True
        known = self._pending.get(record.attempt)
        return known is not None and known.record.state == "free"

    def _on_ended(self, event: RequestEnded) -> list[object]:
        claim = self._running.pop(event.attempt)
        claim.record = _final_record(claim.record, event)
        self._storing[event.attempt] = claim
        return [_write(event.attempt, claim)]

    def _on_final_written(self, event, now_s: float) -> list[object]:
        claim = self._storing.pop(event.attempt)
        del self._open_names[claim.name]
        if not isinstance(event, ClaimStored):
            self._add_pending(event.attempt, claim, now_s)
        return [ReturnOutcome(event.attempt)]

    def _on_dropped(self, event: ClaimCancelled, now_s: float) -> list[object]:
        if event.attempt in self._claiming:
            self._on_claim_written(ClaimWriteUncertain(event.attempt), now_s)
        if event.attempt in self._running:
            self._on_ended(RequestEnded(event.attempt, Ran.UNKNOWN))
        if event.attempt in self._storing:
            self._on_final_written(ClaimWriteUncertain(event.attempt), now_s)
        return []

    def _add_pending(self, attempt: str, claim: _Claim, now_s: float) -> None:
        size = _kept_bytes(claim)
        if self._pending_bytes + size > _MAX_PENDING_BYTES:
            claim.record = replace(claim.record, state="ran", answer=None)
            size = 0
        if len(self._pending) >= _MAX_PENDING:
            # Forgetting is safe: the stored claim bars the key.
            self._drop_pending(next(iter(self._pending)))
        self._pending[attempt] = claim
        self._pending_bytes += size
        if claim.record.state != "free":
            self._known_names[claim.name] = attempt
        if self._settle_at_s is None:
            self._settle_at_s = now_s + _SETTLE_AGAIN_S

    def _drop_pending(self, attempt: str) -> None:
        claim = self._pending.pop(attempt)
        self._pending_bytes -= _kept_bytes(claim)
        if self._known_names.get(claim.name) == attempt:
            del self._known_names[claim.name]

    def _on_tick(self, now_s: float) -> list[object]:
        """Starts to settle some pending claims, the oldest first."""
        if self._settle_at_s is None or now_s < self._settle_at_s:
            return []
        self._settle_at_s = now_s + _SETTLE_AGAIN_S if self._pending else None
        actions = []
        for attempt, claim in self._pending.items():
            if len(actions) >= _SETTLES_PER_TICK:
                break
            if claim.is_writing:
                continue
            claim.is_writing = True
            actions.append(_write(attempt, claim))
        return actions

    def _on_pending_written(self, event) -> list[object]:
        claim = self._pending[event.attempt]
        match event:
            case ClaimStored():
                self._drop_pending(event.attempt)
                return []
            case ClaimWriteRejected():
                return [ReadClaim(event.attempt, claim.name)]
        self._postpone(event.attempt)
        return []

    def _on_pending_read(self, event) -> list[object]:
        claim = self._pending[event.attempt]
        if isinstance(event, ClaimReadFailed):
            self._postpone(event.attempt)
            return []
        if event.version == claim.expected_version:
            # A stale read: the write has just met another version.
            self._postpone(event.attempt)
            return []
        record = event.record
        is_own = record is not None and record.attempt == event.attempt
        if not is_own or record.state != "claimed":
            self._drop_pending(event.attempt)
            return []
        claim.expected_version = event.version
        return [_write(event.attempt, claim)]

    def _postpone(self, attempt: str) -> None:
        """Moves a pending claim behind the others."""
        claim = self._pending.pop(attempt)
        claim.is_writing = False
        self._pending[attempt] = claim


def _write(attempt: str, claim: _Claim) -> WriteClaim:
    return WriteClaim(attempt, claim.name, claim.record, claim.expected_version)


def _kept_bytes(claim: _Claim) -> int:
    answer = claim.record.answer
    return len(answer.body) if answer is not None else 0


def _final_record(record: ClaimRecord, event: RequestEnded) -> ClaimRecord:
    if event.answer is not None:
        return replace(record, state="done", answer=event.answer)
    return replace(record, state=_FINAL_STATES[event.ran])


def _answer_repeat(attempt: str, record: ClaimRecord) -> object:
    match record.state:
        case "done":
            return ReplayResponse(attempt, record.answer)
        case "ran":
            return RefuseRequest(attempt, ErrorCode.ANSWER_NOT_KEPT, Ran.RAN)
        case "claimed":
            # Its daemon may still be at work, or be gone.
            return RefuseRequest(
                attempt,
                ErrorCode.OUTCOME_UNKNOWN,
                Ran.UNKNOWN,
                _RETRY_IN_PROGRESS_S,
            )
    return RefuseRequest(attempt, ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)


def _mismatch(attempt: str) -> RefuseRequest:
    return RefuseRequest(attempt, ErrorCode.CLAIM_MISMATCH, Ran.NOT_RUN)


def _in_progress(attempt: str) -> RefuseRequest:
    return RefuseRequest(
        attempt,
        ErrorCode.CLAIM_IN_PROGRESS,
        Ran.UNKNOWN,
        _RETRY_IN_PROGRESS_S,
    )


def _unavailable(attempt: str) -> RefuseRequest:
    return RefuseRequest(
        attempt,
        ErrorCode.CLAIM_UNAVAILABLE,
        Ran.NOT_RUN,
        _RETRY_PLATFORM_S,
    )
