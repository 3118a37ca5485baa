"""Serves the calls of trainers to one lot, as far as its state is known."""

from daisyhub.rollouts._lot_events import (
    AckRequested,
    CloseRequested,
    DeliverGroups,
    OpenRequested,
    PullRequested,
    RefusalReason,
    RefuseCall,
    SendProgress,
    WriteState,
)
from daisyhub.rollouts._lot_types import LotSpec, LotState
from daisyhub.rollouts._slot_table import SlotTable

__all__ = ["LotCall", "LotCalls"]

LotCall = PullRequested | OpenRequested | AckRequested | CloseRequested


class LotCalls:
    """The open calls to a lot, and what they need of the lot's state.

    The part of `LotCore` that answers calls; that one changes the state.

    Args:
        spec: Specification of the lot.
    """

    def __init__(self, spec: LotSpec):
        self.spec = spec
        self._slots = SlotTable(spec)
        self._state: LotState | None = None
        self._committed_groups: set[int] = set()
        self._calls: dict[int, LotCall] = {}
        self._is_read_needed = True
        self._calls_awaiting_read: set[int] = set()
        self._pending_write: WriteState | None = None

    @property
    def remaining(self) -> int:
        """Number of groups that aren't committed to a pull."""
        return len(self.spec.prompts) - len(self._committed_groups)

    @property
    def open_pulls(self) -> tuple[str, ...]:
        """Ids of committed pulls that aren't acknowledged."""
        if self._state is None:
            return ()
        pulls = self._state.pulls.items()
        return tuple(key for key, record in pulls if not record.is_acked)

    def _refuse_all(self, reason: RefusalReason) -> list[object]:
        refused = [RefuseCall(number, reason) for number in self._calls]
        self._calls.clear()
        self._calls_awaiting_read.clear()
        return refused

    def _require_read(self, call: LotCall) -> None:
        """Defers a call until a read that starts after its arrival.

        An earlier holder's last write may have taken effect after the last
        read by this holder.
        """
        self._calls_awaiting_read.add(call.call)
        self._is_read_needed = True

    def _send_progress(self, call: LotCall) -> SendProgress:
        self._drop_call(call)
        return SendProgress(
            call.call, self.remaining, self.open_pulls, self._state.is_closed
        )

    def _refuse(self, call: LotCall, reason: RefusalReason) -> RefuseCall:
        self._drop_call(call)
        return RefuseCall(call.call, reason)

    def _drop_call(self, call: LotCall) -> None:
        del self._calls[call.call]
        self._calls_awaiting_read.discard(call.call)

    def _serve_calls(self, now_s: float) -> list[object]:
        actions = []
        for call in list(self._calls.values()):
            if self._state is not None:
                actions += self._serve(call, now_s)
            if call.call in self._calls and now_s >= call.until_s:
                actions.append(self._expire_call(call))
        return actions

    def _serve(self, call: LotCall, now_s: float) -> list[object]:
        if call.call in self._calls_awaiting_read:
            return []
        match call:
            case OpenRequested():
                return [self._send_progress(call)]
            case PullRequested():
                return self._serve_pull(call, now_s)
            case AckRequested():
                return self._serve_ack(call)
        return []

    def _serve_ack(self, call: AckRequested) -> list[object]:
        record = self._state.pulls.get(call.pull_id)
        if record is None:
            return [self._refuse(call, RefusalReason.UNKNOWN_PULL)]
        return [self._send_progress(call)] if record.is_acked else []

    def _serve_pull(self, call: PullRequested, now_s: float) -> list[object]:
        record = self._state.pulls.get(call.pull_id)
        if record is None:
            return []
        if record.is_acked:
            return [self._refuse(call, RefusalReason.ACKED)]
        self._slots.add_groups(record.groups, is_repeat=True)
        oldest = call.version - self.spec.max_staleness
        # Checks every group, so that all stale samples are replaced at once.
        fresh = [
            self._slots.discard_stale_samples(group, oldest, now_s)
            for group in record.groups
        ]
        if not all(fresh):
            return []
        return [self._deliver(call, record.groups)]

    def _deliver(
        self, call: PullRequested, groups: tuple[int, ...]
    ) -> DeliverGroups:
        self._drop_call(call)
        return DeliverGroups(
            call.call,
            call.pull_id,
            tuple(self._slots.group(group) for group in groups),
            self.remaining,
        )

    def _expire_call(self, call: LotCall) -> object:
        """Responds to a call that has reached its time limit.

        An empty delivery means that no group was ready. It is only sent if
        the state is known and no write is pending, which could commit groups
        to the pull; otherwise the call is refused.
        """
        is_pull = isinstance(call, PullRequested)
        if (
            not is_pull
            or self._state is None
            or self._pending_write is not None
        ):
            return self._refuse(call, RefusalReason.PLATFORM)
        return self._deliver(call, ())
