"""A deterministic core that decides on claims of idempotency keys.

A key is claimed by a conditional write before its request is sent. A stored
claim is taken over only if its state is `free`, or if it belongs to an attempt
of this process whose request was never sent. Every other claim of another
attempt blocks the key. The claim of a daemon that died blocks it permanently,
since it is unknown whether the request ran.

A claim is pending if the effect of its write is uncertain, or if its final
state could not be stored. The process knows the correct state, answers repeats
from it, and reconciles the stored claim once the store is available again.
"""

import dataclasses

from msgspec.structs import replace

from daisyhub.base import Core
from daisyhub.exceptions import ErrorCode, ExecutionStatus
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

# After this many writes of a claim, each rejected with a version conflict, the
# request is refused as in progress.
_MAX_CLAIM_WRITES = 3
_IN_PROGRESS_RETRY_DELAY_S = 1.0
_UNAVAILABLE_RETRY_DELAY_S = 2.0
_RECONCILE_INTERVAL_S = 1.0
_MAX_RECONCILED_PER_TICK = 16
# Bounds on the memory of pending claims: their number, and the total size of
# their response bodies.
_MAX_PENDING = 4096
_MAX_PENDING_BYTES = 4 << 20
_FINAL_STATES = {
    ExecutionStatus.NOT_RUN: "free",
    ExecutionStatus.RAN: "ran",
    ExecutionStatus.UNKNOWN: "unknown",
}


@dataclasses.dataclass(slots=True)
class _Claim:
    """The claim of an attempt.

    Attributes:
        name: Name of the claim object.
        record: The record last written or to be written.
        expected_version: Object version on which the write is conditional.
        write_count: Writes of the initial claim so far.
        is_reconciling: Whether a write or read of a pending claim is in
            progress.
    """

    name: str
    record: ClaimRecord
    expected_version: int = 0
    write_count: int = 0
    is_reconciling: bool = False


class ClaimCore(Core):
    """Decides on all requests with an idempotency key in one process.

    An attempt goes through the states claiming, running and storing. If its
    stored claim may not match its final state, it then becomes pending. Times
    are seconds on a monotonic clock.
    """

    def __init__(self):
        self._claiming: dict[str, _Claim] = {}
        self._running: dict[str, _Claim] = {}
        self._storing: dict[str, _Claim] = {}
        self._pending: dict[str, _Claim] = {}
        # Attempt ids by claim name, of unfinished attempts and of pending
        # claims that block their key.
        self._active_attempts: dict[str, str] = {}
        self._pending_attempts: dict[str, str] = {}
        self._pending_bytes = 0
        self._reconcile_at_s: float | None = None

    @property
    def next_wakeup_s(self) -> float | None:
        """When to reconcile pending claims; None if nothing is scheduled."""
        return self._reconcile_at_s

    @property
    def pending_count(self) -> int:
        """Number of claims whose stored state may be out of date."""
        return len(self._pending)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one claim event.

        Returns:
            The attempt's next action, or none if the attempt has ended; writes
            of pending claims for a `ClaimTick`.
        """
        match event:
            case ClaimTick():
                return self._on_tick(now_s)
            case ClaimRequested():
                return self._on_requested(event)
            case ClaimCancelled():
                return self._on_cancelled(event, now_s)
            case RequestEnded():
                return self._on_ended(event)
            case ClaimStored() | ClaimWriteRejected() | ClaimWriteUncertain():
                return self._on_written(event, now_s)
            case ClaimReadCompleted() | ClaimReadFailed():
                return self._on_read(event)
        raise TypeError(f"not a claim event: {event!r}")

    def _on_requested(self, event: ClaimRequested) -> list[object]:
        claim = self._find_local_claim(event.name)
        if claim is not None:
            if claim.record.request_digest != event.request_digest:
                return [_refuse_mismatch(event.attempt)]
            if event.name in self._active_attempts:
                return [_refuse_in_progress(event.attempt)]
            return [_make_repeat_action(event.attempt, claim.record)]
        record = ClaimRecord(
            request_digest=event.request_digest,
            state="claimed",
            attempt=event.attempt,
        )
        self._active_attempts[event.name] = event.attempt
        self._claiming[event.attempt] = _Claim(event.name, record)
        return self._write_claim(event.attempt, 0)

    def _find_local_claim(self, name: str) -> _Claim | None:
        """Returns this process's own claim of a key, or None.

        Pending claims in state `free` are left out: they do not block the key.
        """
        attempt = self._active_attempts.get(name) or self._pending_attempts.get(
            name
        )
        for claims in (
            self._claiming,
            self._running,
            self._storing,
            self._pending,
        ):
            if attempt in claims:
                return claims[attempt]
        return None

    def _write_claim(self, attempt: str, version: int) -> list[object]:
        claim = self._claiming[attempt]
        if claim.write_count >= _MAX_CLAIM_WRITES:
            return [self._abandon_claim(attempt, _refuse_in_progress(attempt))]
        claim.write_count += 1
        claim.expected_version = version
        return [_make_write(attempt, claim)]

    def _abandon_claim(self, attempt: str, action: object) -> object:
        """Ends an attempt whose request was not sent; returns `action`."""
        claim = self._claiming.pop(attempt)
        del self._active_attempts[claim.name]
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
        # The write may still take effect. Only this process knows that the
        # attempt never runs.
        action = self._abandon_claim(
            event.attempt, _refuse_unavailable(event.attempt)
        )
        claim.record = replace(claim.record, state="free")
        self._add_pending(event.attempt, claim, now_s)
        return [action]

    def _on_read(self, event) -> list[object]:
        if event.attempt in self._pending:
            return self._on_pending_read(event)
        if event.attempt not in self._claiming:
            return []
        if isinstance(event, ClaimReadFailed):
            return [
                self._abandon_claim(
                    event.attempt, _refuse_unavailable(event.attempt)
                )
            ]
        if event.record is None:
            return self._write_claim(event.attempt, 0)
        digest = self._claiming[event.attempt].record.request_digest
        if event.record.request_digest != digest:
            return [
                self._abandon_claim(
                    event.attempt, _refuse_mismatch(event.attempt)
                )
            ]
        if self._can_take_over(event.record):
            return self._write_claim(event.attempt, event.version)
        action = _make_repeat_action(event.attempt, event.record)
        return [self._abandon_claim(event.attempt, action)]

    def _can_take_over(self, record: ClaimRecord) -> bool:
        """Whether the request of a stored claim certainly never ran."""
        if record.state == "free":
            return True
        claim = self._pending.get(record.attempt)
        return claim is not None and claim.record.state == "free"

    def _on_ended(self, event: RequestEnded) -> list[object]:
        claim = self._running.pop(event.attempt)
        claim.record = _make_final_record(claim.record, event)
        self._storing[event.attempt] = claim
        return [_make_write(event.attempt, claim)]

    def _on_final_written(self, event, now_s: float) -> list[object]:
        claim = self._storing.pop(event.attempt)
        del self._active_attempts[claim.name]
        if not isinstance(event, ClaimStored):
            self._add_pending(event.attempt, claim, now_s)
        return [ReturnOutcome(event.attempt)]

    def _on_cancelled(
        self, event: ClaimCancelled, now_s: float
    ) -> list[object]:
        if event.attempt in self._claiming:
            self._on_claim_written(ClaimWriteUncertain(event.attempt), now_s)
        if event.attempt in self._running:
            self._on_ended(RequestEnded(event.attempt, ExecutionStatus.UNKNOWN))
        if event.attempt in self._storing:
            self._on_final_written(ClaimWriteUncertain(event.attempt), now_s)
        return []

    def _add_pending(self, attempt: str, claim: _Claim, now_s: float) -> None:
        size = _stored_bytes(claim)
        if self._pending_bytes + size > _MAX_PENDING_BYTES:
            # Only the response is dropped. Repeats are refused as already run.
            claim.record = replace(claim.record, state="ran", answer=None)
            size = 0
        if len(self._pending) >= _MAX_PENDING:
            # Dropping a claim is safe: if its request may have run, the stored
            # claim blocks the key.
            self._remove_pending(next(iter(self._pending)))
        self._pending[attempt] = claim
        self._pending_bytes += size
        if claim.record.state != "free":
            self._pending_attempts[claim.name] = attempt
        if self._reconcile_at_s is None:
            self._reconcile_at_s = now_s + _RECONCILE_INTERVAL_S

    def _remove_pending(self, attempt: str) -> None:
        claim = self._pending.pop(attempt)
        self._pending_bytes -= _stored_bytes(claim)
        if self._pending_attempts.get(claim.name) == attempt:
            del self._pending_attempts[claim.name]

    def _on_tick(self, now_s: float) -> list[object]:
        """Writes a bounded number of pending claims, in queue order."""
        if self._reconcile_at_s is None or now_s < self._reconcile_at_s:
            return []
        self._reconcile_at_s = (
            now_s + _RECONCILE_INTERVAL_S if self._pending else None
        )
        actions = []
        for attempt, claim in self._pending.items():
            if len(actions) >= _MAX_RECONCILED_PER_TICK:
                break
            if claim.is_reconciling:
                continue
            claim.is_reconciling = True
            actions.append(_make_write(attempt, claim))
        return actions

    def _on_pending_written(self, event) -> list[object]:
        claim = self._pending[event.attempt]
        match event:
            case ClaimStored():
                self._remove_pending(event.attempt)
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
            # The read is stale: the write has just been rejected because the
            # object has another version.
            self._postpone(event.attempt)
            return []
        record = event.record
        is_own = record is not None and record.attempt == event.attempt
        if not is_own or record.state != "claimed":
            # Another attempt has claimed the key, or the final state is stored.
            self._remove_pending(event.attempt)
            return []
        claim.expected_version = event.version
        return [_make_write(event.attempt, claim)]

    def _postpone(self, attempt: str) -> None:
        """Moves a pending claim to the end of the queue."""
        claim = self._pending.pop(attempt)
        claim.is_reconciling = False
        self._pending[attempt] = claim


def _make_write(attempt: str, claim: _Claim) -> WriteClaim:
    return WriteClaim(attempt, claim.name, claim.record, claim.expected_version)


def _stored_bytes(claim: _Claim) -> int:
    answer = claim.record.answer
    return len(answer.body) if answer is not None else 0


def _make_final_record(record: ClaimRecord, event: RequestEnded) -> ClaimRecord:
    if event.response is not None:
        return replace(record, state="done", answer=event.response)
    return replace(record, state=_FINAL_STATES[event.ran])


def _make_repeat_action(attempt: str, record: ClaimRecord) -> object:
    match record.state:
        case "done":
            return ReplayResponse(attempt, record.answer)
        case "ran":
            return RefuseRequest(
                attempt, ErrorCode.ANSWER_NOT_KEPT, ExecutionStatus.RAN
            )
        case "claimed":
            # Its daemon may still be running the request, or may have died.
            return RefuseRequest(
                attempt,
                ErrorCode.OUTCOME_UNKNOWN,
                ExecutionStatus.UNKNOWN,
                _IN_PROGRESS_RETRY_DELAY_S,
            )
    return RefuseRequest(
        attempt, ErrorCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN
    )


def _refuse_mismatch(attempt: str) -> RefuseRequest:
    return RefuseRequest(
        attempt, ErrorCode.CLAIM_MISMATCH, ExecutionStatus.NOT_RUN
    )


def _refuse_in_progress(attempt: str) -> RefuseRequest:
    return RefuseRequest(
        attempt,
        ErrorCode.CLAIM_IN_PROGRESS,
        ExecutionStatus.UNKNOWN,
        _IN_PROGRESS_RETRY_DELAY_S,
    )


def _refuse_unavailable(attempt: str) -> RefuseRequest:
    return RefuseRequest(
        attempt,
        ErrorCode.CLAIM_UNAVAILABLE,
        ExecutionStatus.NOT_RUN,
        _UNAVAILABLE_RETRY_DELAY_S,
    )
