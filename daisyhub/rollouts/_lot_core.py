"""Deterministic core that serves one lot.

A slot is a pair (group, index). The lot's object in the store maps pull ids to
groups. Entries are only added, by conditional writes, and a group is committed
to one pull permanently. Samples are delivered only after the map that commits
them is known to be stored. Several holders may therefore serve a lot at once
without delivering a group under two pulls; the lease only avoids duplicate
work. A repeated pull gets the same groups again, which are regenerated if the
samples are lost or stale.
"""

import msgspec

from daisyhub.base import Core
from daisyhub.rollouts._group_choice import choose_groups, chosen_usage
from daisyhub.rollouts._lot_calls import LotCall, LotCalls
from daisyhub.rollouts._lot_events import (
    AckRequested,
    CloseRequested,
    CountUsage,
    LotReleased,
    LotTick,
    OpenRequested,
    PullRequested,
    ReadState,
    RefusalReason,
    SampleFailed,
    SampleReceived,
    StateRead,
    StateReadFailed,
    StateWriteRejected,
    StateWriteUncertain,
    StateWritten,
    StopServing,
    WriteState,
)
from daisyhub.rollouts._lot_types import (
    LotSpec,
    LotState,
    PullRecord,
    Sample,
    has_valid_spans,
)

__all__ = ["LotCore"]

_STORE_RETRY_DELAY_S = 0.2
_IDLE_TIMEOUT_S = 900.0


class LotCore(LotCalls, Core):
    """Serves one lot at one holder.

    Args:
        spec: Specification of the lot.
        holder: Id that is unique for each time a holder acquires the lot;
            prefix of its write ids.

    Attributes:
        invalid_responses: Number of engine responses with invalid spans.
        is_finished: Whether the lot isn't served here any more.
    """

    def __init__(self, spec: LotSpec, holder: str):
        super().__init__(spec)
        self.holder = holder
        self.invalid_responses = 0
        self._version = 0
        self._acks: set[str] = set()
        self._is_close_requested = False
        self._calls_covered_by_read: set[int] = set()
        self._write_count = 0
        self._unbilled_usage: dict[str, CountUsage] = {}
        self._is_store_call_pending = False
        self._next_store_call_s = 0.0
        self._last_call_s: float | None = None
        self._is_released = False
        self.is_finished = False

    @property
    def dropped_samples(self) -> int:
        """Number of samples that were discarded as stale."""
        return self._slots.dropped_samples

    @property
    def next_wakeup_s(self) -> float | None:
        """When a call expires, a retry is due, or the lot becomes idle."""
        if self.is_finished:
            return None
        times = [call.until_s for call in self._calls.values()]
        if self._slots.next_retry_s is not None:
            times.append(self._slots.next_retry_s)
        if not self._is_store_call_pending and (
            self._pending_write or self._is_read_needed
        ):
            times.append(self._next_store_call_s)
        if self._last_call_s is not None:
            times.append(self._last_call_s + _IDLE_TIMEOUT_S)
        return min(times, default=None)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event and returns the actions to take."""
        actions = []
        match event:
            case LotTick():
                pass
            case SampleReceived():
                actions += self._on_sample(event, now_s)
            case SampleFailed():
                self._slots.fail_attempt(event.attempt, now_s)
            case (
                PullRequested()
                | OpenRequested()
                | AckRequested()
                | CloseRequested()
            ):
                self._on_call(event, now_s)
            case StateRead():
                actions += self._on_read(event)
            case StateWritten():
                actions += self._on_written(event)
            case (
                StateReadFailed() | StateWriteRejected() | StateWriteUncertain()
            ):
                self._on_store_failure(event, now_s)
            case LotReleased():
                self._is_released = True
            case _:
                raise TypeError(f"not a lot event: {event!r}")
        return actions + self._advance(now_s)

    def _advance(self, now_s: float) -> list[object]:
        """Returns all actions that are possible now."""
        if self.is_finished:
            return self._refuse_all(RefusalReason.RELEASED)
        if self._is_idle(now_s) or self._is_released:
            return self._shut_down(now_s)
        actions = self._serve_calls(now_s)
        actions += self._next_store_action(now_s)
        if self._state is not None and not self._is_close_requested:
            actions += self._slots.start_attempts(now_s)
        return actions

    def _is_idle(self, now_s: float) -> bool:
        if self._last_call_s is None:
            self._last_call_s = now_s
        return not self._calls and now_s - self._last_call_s >= _IDLE_TIMEOUT_S

    def _shut_down(self, now_s: float) -> list[object]:
        """Refuses all calls; finishes once all own commits are billed.

        A pending write is repeated until its outcome is known, and the state
        is read if that is needed to learn which commits took effect.
        """
        self._is_released = True
        actions = self._refuse_all(RefusalReason.RELEASED)
        actions += self._slots.drop_groups(range(len(self.spec.prompts)))
        if (
            self._is_store_call_pending
            or self._pending_write is not None
            or self._unbilled_usage
        ):
            return actions + self._next_store_action(now_s)
        self.is_finished = True
        return [*actions, StopServing()]

    def _on_call(self, call: LotCall, now_s: float) -> None:
        self._last_call_s = now_s
        self._calls[call.call] = call
        match call:
            case PullRequested():
                self._acks.update(call.acks)
            case OpenRequested():
                self._require_read(call)
            case AckRequested():
                self._acks.add(call.pull_id)
                if self._state and call.pull_id not in self._state.pulls:
                    self._require_read(call)
            case CloseRequested():
                self._is_close_requested = True

    def _on_sample(self, event: SampleReceived, now_s: float) -> list[object]:
        slot = self._slots.slot_of(event.attempt)
        if slot is None:
            return []
        if not has_valid_spans(event.response):
            self.invalid_responses += 1
            self._slots.fail_attempt(event.attempt, now_s)
            return []
        response = event.response
        sample = Sample(
            index=slot[1], tokens=response.tokens, spans=response.spans
        )
        return self._slots.complete_attempt(event.attempt, sample)

    def _on_read(self, event: StateRead) -> list[object]:
        self._is_store_call_pending = False
        self._calls_awaiting_read -= self._calls_covered_by_read
        self._is_read_needed = bool(self._calls_awaiting_read)
        return self._apply_state(event.state, event.version)

    def _on_written(self, event: StateWritten) -> list[object]:
        write = self._pending_write
        if write is None or event.write_id != write.write_id:
            return []
        self._is_store_call_pending = False
        self._pending_write = None
        return self._apply_state(write.state, event.version)

    def _on_store_failure(self, event: object, now_s: float) -> None:
        """Schedules the next store call after a failure.

        A rejected write is dropped and the state is read again. A write with
        an uncertain outcome is repeated with the same id and expected version,
        so that at most one of the copies takes effect.
        """
        write_id = self._pending_write.write_id if self._pending_write else ""
        if getattr(event, "write_id", write_id) != write_id:
            return
        self._is_store_call_pending = False
        self._next_store_call_s = now_s + _STORE_RETRY_DELAY_S
        if isinstance(event, StateWriteRejected):
            self._pending_write = None
            self._is_read_needed = True
            self._next_store_call_s = now_s

    def _apply_state(self, state: LotState, version: int) -> list[object]:
        """Replaces the local state by the stored one, unless that is older.

        Drops the groups that are acknowledged or that another holder has newly
        committed; a repeated pull queues the latter again.
        """
        if self._state is not None and version < self._version:
            return []
        is_first = self._state is None
        self._state = state
        self._version = version
        actions = self._pop_confirmed_usage()
        done = []
        for record in state.pulls.values():
            is_own = record.commit_id.startswith(f"{self.holder}.")
            is_new = not self._committed_groups.issuperset(record.groups)
            self._committed_groups.update(record.groups)
            if record.is_acked or (is_new and not is_own):
                done += record.groups
        actions += self._slots.drop_groups(done)
        if is_first:
            all_groups = range(len(self.spec.prompts))
            self._slots.add_groups(
                g for g in all_groups if g not in self._committed_groups
            )
        if state.is_closed:
            actions += self._on_closed()
        return actions

    def _pop_confirmed_usage(self) -> list[object]:
        """Returns the usage of own commits that took effect, each once.

        The other commits have failed, since no write is pending here.
        """
        stored = {r.commit_id for r in self._state.pulls.values()}
        counted = [
            u for key, u in self._unbilled_usage.items() if key in stored
        ]
        self._unbilled_usage.clear()
        return counted

    def _on_closed(self) -> list[object]:
        actions = []
        for call in list(self._calls.values()):
            if isinstance(call, CloseRequested | AckRequested):
                actions.append(self._send_progress(call))
        self._is_released = True
        return actions + self._refuse_all(RefusalReason.CLOSED)

    def _next_store_action(self, now_s: float) -> list[object]:
        """Returns the next write or read; only one is pending at a time.

        A write with an uncertain outcome is repeated before any read. A new
        write waits until no read is needed.
        """
        if self._is_store_call_pending or now_s < self._next_store_call_s:
            return []
        if self._pending_write is None and not self._is_read_needed:
            self._pending_write = self._next_write(now_s)
        if self._pending_write is None and not self._is_read_needed:
            return []
        self._is_store_call_pending = True
        if self._pending_write is not None:
            return [self._pending_write]
        self._calls_covered_by_read = set(self._calls_awaiting_read)
        return [ReadState()]

    def _next_write(self, now_s: float) -> WriteState | None:
        """Combines all pending changes of the state into one write, if any."""
        if self._is_released:
            return None
        acked = self._newly_acked()
        chosen = choose_groups(
            self._unstored_pulls(),
            self._slots,
            self._committed_groups,
            self.spec.max_staleness,
            now_s,
        )
        is_closing = self._is_close_requested and not self._state.is_closed
        if not (acked or chosen or is_closing):
            return None
        self._write_count += 1
        write_id = f"{self.holder}.{self._write_count}"
        if chosen:
            self._unbilled_usage[write_id] = chosen_usage(chosen, self._slots)
        added = {
            pull_id: PullRecord(groups=groups, commit_id=write_id)
            for pull_id, groups in chosen.items()
        }
        state = LotState(
            pulls={**self._state.pulls, **acked, **added},
            is_closed=self._is_close_requested,
        )
        return WriteState(write_id, state, self._version)

    def _unstored_pulls(self) -> list[PullRequested]:
        return [
            call
            for call in self._calls.values()
            if isinstance(call, PullRequested)
            and call.pull_id not in self._state.pulls
        ]

    def _newly_acked(self) -> dict[str, PullRecord]:
        """Returns the pull records that pending acknowledgements change.

        Acknowledgements stay pending until they are stored; those of unknown
        pulls are dropped.
        """
        pulls = self._state.pulls
        self._acks = {
            pull_id
            for pull_id in self._acks
            if pull_id in pulls and not pulls[pull_id].is_acked
        }
        return {
            pull_id: msgspec.structs.replace(pulls[pull_id], is_acked=True)
            for pull_id in self._acks
        }
