"""One lot decided by a deterministic core.

A slot is (group, index). The lot's object in the store maps pull ids to
groups; the map only grows, each version is written on top of the one before,
and a group stands under one pull for good. Samples are handed over only
after the map that names them is known to be stored. So any number of holders
may serve a lot at any time without delivering a group under two pulls; the
lease only saves work. A repeat of a pull gets its own groups again, generated
anew if the samples are gone or stale.
"""

import msgspec

from daisyhub.base import Core
from daisyhub.rollouts._group_choice import choose_groups, usage_of
from daisyhub.rollouts._lot_events import (
    AckRequested,
    CloseRequested,
    CountUsage,
    DeliverGroups,
    LotReleased,
    LotTick,
    OpenRequested,
    PullRequested,
    ReadState,
    RefusalReason,
    RefuseCall,
    SampleFailed,
    SampleReceived,
    SendProgress,
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
    check_spans,
)
from daisyhub.rollouts._slot_table import SlotTable

__all__ = ["LotCore"]

_STORE_PAUSE_S = 0.2
_IDLE_S = 900.0

LotCall = PullRequested | OpenRequested | AckRequested | CloseRequested


class LotCore(Core):
    """Decides about one lot at one holder.

    Args:
        spec: What the lot consists of.
        holder: Unique for each time that a holder takes the lot.
    """

    def __init__(self, spec: LotSpec, holder: str):
        self.spec = spec
        self.holder = holder
        self.invalid_responses = 0
        self._slots = SlotTable(spec)
        self._state: LotState | None = None
        self._version = 0
        self._owned: set[int] = set()
        self._calls: dict[int, LotCall] = {}
        self._acks: set[str] = set()
        self._wants_close = False
        self._must_read = True
        self._unread: set[int] = set()
        self._read_for: set[int] = set()
        self._write: WriteState | None = None
        self._writes = 0
        self._unbilled: dict[str, CountUsage] = {}
        self._is_waiting = False
        self._store_at_s = 0.0
        self._touched_s: float | None = None
        self._is_released = False
        self.is_over = False

    @property
    def remaining(self) -> int:
        """Groups that no committed pull names."""
        return len(self.spec.prompts) - len(self._owned)

    @property
    def dropped_samples(self) -> int:
        """Samples dropped because they were too old."""
        return self._slots.dropped_samples

    @property
    def open_pulls(self) -> tuple[str, ...]:
        """Pulls that aren't acknowledged."""
        if self._state is None:
            return ()
        pulls = self._state.pulls.items()
        return tuple(key for key, record in pulls if not record.is_acked)

    @property
    def next_wakeup_s(self) -> float | None:
        """When a wait ends, or something may be tried again."""
        if self.is_over:
            return None
        times = [call.until_s for call in self._calls.values()]
        if self._slots.next_retry_s is not None:
            times.append(self._slots.next_retry_s)
        if not self._is_waiting and (self._write or self._must_read):
            times.append(self._store_at_s)
        if self._touched_s is not None:
            times.append(self._touched_s + _IDLE_S)
        return min(times, default=None)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one lot event; returns lot actions."""
        actions = []
        match event:
            case LotTick():
                pass
            case SampleReceived():
                actions += self._on_ready(event, now_s)
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
                self._on_store_trouble(event, now_s)
            case LotReleased():
                self._is_released = True
            case _:
                raise TypeError(f"not a lot event: {event!r}")
        return actions + self._go_on(now_s)

    def _go_on(self, now_s: float) -> list[object]:
        """Does what is possible now."""
        if self.is_over:
            return self._refuse_all(RefusalReason.RELEASED)
        if self._is_idle(now_s) or self._is_released:
            return self._wind_up(now_s)
        actions = self._serve_calls(now_s)
        actions += self._talk_to_store(now_s)
        if self._state is not None and not self._wants_close:
            actions += self._slots.start(now_s)
        return actions

    def _is_idle(self, now_s: float) -> bool:
        if self._touched_s is None:
            self._touched_s = now_s
        return not self._calls and now_s - self._touched_s >= _IDLE_S

    def _wind_up(self, now_s: float) -> list[object]:
        """Refuses calls at once; waits only for a write in flight."""
        self._is_released = True
        actions = self._refuse_all(RefusalReason.RELEASED)
        actions += self._slots.forget(range(len(self.spec.prompts)))
        if self._is_waiting or self._write is not None or self._unbilled:
            return actions + self._talk_to_store(now_s)
        self.is_over = True
        return [*actions, StopServing()]

    def _refuse_all(self, reason: RefusalReason) -> list[object]:
        refused = [RefuseCall(number, reason) for number in self._calls]
        self._calls.clear()
        self._unread.clear()
        return refused

    def _on_call(self, call: LotCall, now_s: float) -> None:
        self._touched_s = now_s
        self._calls[call.call] = call
        match call:
            case PullRequested():
                self._acks.update(call.acks)
            case OpenRequested():
                self._read_first(call)
            case AckRequested():
                self._acks.add(call.pull_id)
                if self._state and call.pull_id not in self._state.pulls:
                    self._read_first(call)
            case CloseRequested():
                self._wants_close = True

    def _read_first(self, call: LotCall) -> None:
        """Lets a call wait for a read that starts after it.

        An earlier holder's last write may have come after the read here.
        """
        self._unread.add(call.call)
        self._must_read = True

    def _on_ready(self, event: SampleReceived, now_s: float) -> list[object]:
        place = self._slots.slot_of(event.attempt)
        if place is None:
            return []
        if not check_spans(event.response):
            self.invalid_responses += 1
            self._slots.fail_attempt(event.attempt, now_s)
            return []
        response = event.response
        sample = Sample(
            index=place[1], tokens=response.tokens, spans=response.spans
        )
        return self._slots.finish(event.attempt, sample)

    def _on_read(self, event: StateRead) -> list[object]:
        self._is_waiting = False
        self._unread -= self._read_for
        self._must_read = bool(self._unread)
        return self._adopt(event.state, event.version)

    def _on_written(self, event: StateWritten) -> list[object]:
        write = self._write
        if write is None or event.write_id != write.write_id:
            return []
        self._is_waiting = False
        self._write = None
        return self._adopt(write.state, event.version)

    def _on_store_trouble(self, event: object, now_s: float) -> None:
        """Reads again after a refusal; sends a write in doubt again.

        The same id and expected version make a repeated write harmless: at
        most one of the copies takes effect.
        """
        write_id = self._write.write_id if self._write else ""
        if getattr(event, "write_id", write_id) != write_id:
            return
        self._is_waiting = False
        self._store_at_s = now_s + _STORE_PAUSE_S
        if isinstance(event, StateWriteRejected):
            self._write = None
            self._must_read = True
            self._store_at_s = now_s

    def _adopt(self, state: LotState, version: int) -> list[object]:
        """Takes over what is stored; it goes before anything kept here."""
        if self._state is not None and version < self._version:
            return []
        is_first = self._state is None
        self._state = state
        self._version = version
        actions = self._bill()
        done = []
        for record in state.pulls.values():
            is_own = record.commit_id.startswith(f"{self.holder}.")
            is_new = not self._owned.issuperset(record.groups)
            self._owned.update(record.groups)
            if record.is_acked or (is_new and not is_own):
                done += record.groups
        actions += self._slots.forget(done)
        if is_first:
            every = range(len(self.spec.prompts))
            self._slots.want(g for g in every if g not in self._owned)
        if state.is_closed:
            actions += self._on_closed()
        return actions

    def _bill(self) -> list[object]:
        """Counts each of the own commits that took effect, once."""
        stored = {r.commit_id for r in self._state.pulls.values()}
        counted = [u for key, u in self._unbilled.items() if key in stored]
        self._unbilled.clear()
        return counted

    def _on_closed(self) -> list[object]:
        actions = []
        for call in list(self._calls.values()):
            if isinstance(call, CloseRequested | AckRequested):
                actions.append(self._tell(call))
        self._is_released = True
        return actions + self._refuse_all(RefusalReason.CLOSED)

    def _tell(self, call: LotCall) -> SendProgress:
        self._drop_call(call)
        return SendProgress(
            call.call, self.remaining, self.open_pulls, self._state.is_closed
        )

    def _refuse(self, call: LotCall, reason: RefusalReason) -> RefuseCall:
        self._drop_call(call)
        return RefuseCall(call.call, reason)

    def _drop_call(self, call: LotCall) -> None:
        del self._calls[call.call]
        self._unread.discard(call.call)

    def _serve_calls(self, now_s: float) -> list[object]:
        actions = []
        for call in list(self._calls.values()):
            if self._state is not None:
                actions += self._serve(call, now_s)
            if call.call in self._calls and now_s >= call.until_s:
                actions.append(self._end_wait(call))
        return actions

    def _serve(self, call: LotCall, now_s: float) -> list[object]:
        if call.call in self._unread:
            return []
        match call:
            case OpenRequested():
                return [self._tell(call)]
            case PullRequested():
                return self._serve_pull(call, now_s)
            case AckRequested():
                return self._serve_ack(call)
        return []

    def _serve_ack(self, call: AckRequested) -> list[object]:
        record = self._state.pulls.get(call.pull_id)
        if record is None:
            return [self._refuse(call, RefusalReason.UNKNOWN_PULL)]
        return [self._tell(call)] if record.is_acked else []

    def _serve_pull(self, call: PullRequested, now_s: float) -> list[object]:
        record = self._state.pulls.get(call.pull_id)
        if record is None:
            return []
        if record.is_acked:
            return [self._refuse(call, RefusalReason.ACKED)]
        self._slots.want(record.groups, is_repeat=True)
        oldest = call.version - self.spec.max_staleness
        # Checks every group, so that all stale samples are replaced at once.
        fresh = [
            self._slots.is_fresh(group, oldest, now_s)
            for group in record.groups
        ]
        if not all(fresh):
            return []
        return [self._hand_over(call, record.groups)]

    def _hand_over(
        self, call: PullRequested, groups: tuple[int, ...]
    ) -> DeliverGroups:
        self._drop_call(call)
        return DeliverGroups(
            call.call,
            call.pull_id,
            tuple(self._slots.group(group) for group in groups),
            self.remaining,
        )

    def _end_wait(self, call: LotCall) -> object:
        """Ends a call whose time is over with a true answer."""
        is_pull = isinstance(call, PullRequested)
        if not is_pull or self._state is None or self._write is not None:
            return self._refuse(call, RefusalReason.PLATFORM)
        return self._hand_over(call, ())

    def _talk_to_store(self, now_s: float) -> list[object]:
        if self._is_waiting or now_s < self._store_at_s:
            return []
        if self._write is None and not self._must_read:
            self._write = self._next_write(now_s)
        if self._write is None and not self._must_read:
            return []
        self._is_waiting = True
        if self._write is not None:
            return [self._write]
        self._read_for = set(self._unread)
        return [ReadState()]

    def _next_write(self, now_s: float) -> WriteState | None:
        """Puts all that waits to be stored into one write."""
        if self._is_released:
            return None
        acked = self._newly_acked()
        chosen = choose_groups(
            self._unstored_pulls(),
            self._slots,
            self._owned,
            self.spec.max_staleness,
            now_s,
        )
        is_closing = self._wants_close and not self._state.is_closed
        if not (acked or chosen or is_closing):
            return None
        self._writes += 1
        write_id = f"{self.holder}.{self._writes}"
        if chosen:
            self._unbilled[write_id] = usage_of(chosen, self._slots)
        added = {
            pull_id: PullRecord(groups=groups, commit_id=write_id)
            for pull_id, groups in chosen.items()
        }
        state = LotState(
            pulls={**self._state.pulls, **acked, **added},
            is_closed=self._wants_close,
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
        """Returns the records that acknowledgements change.

        They are kept until the store has them; unknown ones are dropped.
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
