"""Decides whether a lot can be served before its trainer gives up.

Addresses bursts of lots in adaptive pools: the last of them would wait until
its trainer gives up, and take slots from those that can still be in time. The
decision rests on the holder's figures of the pool; without them, or with a
model of which no text has finished yet, the lot is accepted.

Times are seconds on a monotonic clock.
"""

import dataclasses
import math

from daisyhub.balancing import ReturnSchedule, honoured_wait_s
from daisyhub.cluster import PoolBacklog
from daisyhub.lots._backlog import least_work
from daisyhub.lots._length_estimator import LengthEstimator
from daisyhub.lots._types import LotHead, LotSpec

__all__ = ["LotAdmissionCore", "LotRefused"]

# Greatest share of the estimated work that is taken as certain, for errors that
# all texts have in common, such as that of the speed of engines.
_MAX_CERTAIN_SHARE = 0.85
# Error of the estimated work of one text: 2.3 standard deviations, as hints are
# off by a factor of 1.6 and lengths are heavy-tailed. That of the sum over n
# texts is smaller by the root of n. With 1.5, one of 140 refused lots of random
# loads would have been in time, with 1.8 none of 127.
_TEXT_ERROR = 1.8
# Maximum number of refused callers whose kind of deadline is remembered.
_MAX_CALLERS = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class LotRefused:
    """A lot that can't be served in time, with the figures for the log.

    Attributes:
        expected_s: Seconds until its wanted groups are complete, at least.
        give_up_s: Seconds until its trainer gives up.
        slots: Number of runs that the pool sustains.
        ahead_s: Expected work that comes before, in seconds of a slot.
        own_s: Expected work of its wanted groups, in seconds of a slot.
        room_in_s: Expected seconds until it fits; None if it never does.
        retry_after_s: When its caller is to come back, in seconds; None
            without a promise of room.
        was_refused: Whether it was refused here before.
    """

    expected_s: float
    give_up_s: float
    slots: int
    ahead_s: float
    own_s: float
    room_in_s: float | None
    retry_after_s: float | None
    was_refused: bool


class LotAdmissionCore:
    """Decides about lots on arrival, and when refused ones come back."""

    def __init__(self):
        self._returns = ReturnSchedule()
        # Whether a refused lot's first call stated when its trainer gives up,
        # by caller. Deadlines of later calls are to be read in the same way.
        self._states_give_up: dict[tuple[str, str], bool] = {}

    def decide(
        self,
        spec: LotSpec,
        backlog: PoolBacklog | None,
        remaining_s: float | None,
        now_s: float,
    ) -> LotRefused | None:
        """Returns the refusal of a lot, or None if it is to be accepted.

        Args:
            spec: The lot.
            backlog: Figures of its pool; None without current ones.
            remaining_s: Seconds until the deadline that its caller stated; None
                if it stated none.
            now_s: The time.
        """
        head = spec.head
        caller = (head.account, head.lot_id)
        was_refused = self._returns.was_refused(caller)
        states_give_up = (
            remaining_s is not None and remaining_s >= head.due_s > 0
        )
        if was_refused:
            states_give_up |= self._states_give_up.get(caller, False)
        give_up_s = _give_up_s(head, remaining_s, states_give_up)
        if backlog is None or math.isinf(give_up_s):
            return None
        if backlog.slots <= 0 or head.model not in backlog.lengths:
            return None
        works_s = _works_s(spec, backlog)
        own_s = sum(works_s)
        share = _certain_share(backlog.items + len(works_s))
        item_s = share * own_s / max(1, len(works_s))
        before_s = backlog.least_work_s(give_up_s, item_s)
        least_s = share * (own_s + before_s)
        if least_s <= backlog.slots * give_up_s:
            return None
        ahead_s = backlog.running_s + backlog.waiting_s
        room_in_s = retry_after_s = None
        if share * own_s <= backlog.slots * give_up_s:
            spare_s = max(0.0, backlog.slots * give_up_s - own_s)
            room_in_s = max(0.0, ahead_s - spare_s) / backlog.slots
            wait_s = self._returns.refuse(
                caller, room_in_s, own_s / backlog.slots, now_s
            )
            self._record_deadline(caller, states_give_up)
            retry_after_s = honoured_wait_s(
                wait_s,
                room_in_s,
                math.inf if remaining_s is None else remaining_s,
            )
        return LotRefused(
            expected_s=least_s / backlog.slots,
            give_up_s=give_up_s,
            slots=backlog.slots,
            ahead_s=ahead_s,
            own_s=own_s,
            room_in_s=room_in_s,
            retry_after_s=retry_after_s,
            was_refused=was_refused,
        )

    def record_accepted(self, spec: LotSpec) -> None:
        """Frees the place of a lot among those that come back."""
        caller = (spec.head.account, spec.head.lot_id)
        self._returns.forget(caller)
        self._states_give_up.pop(caller, None)

    def _record_deadline(
        self, caller: tuple[str, str], states_give_up: bool
    ) -> None:
        self._states_give_up.pop(caller, None)
        self._states_give_up[caller] = states_give_up
        if len(self._states_give_up) > _MAX_CALLERS:
            del self._states_give_up[next(iter(self._states_give_up))]


def _certain_share(items: int) -> float:
    """Returns the share of the estimated work of items that is certain."""
    error = _TEXT_ERROR / math.sqrt(max(1, items))
    return max(0.0, min(_MAX_CERTAIN_SHARE, 1 - error))


def _give_up_s(
    head: LotHead, remaining_s: float | None, states_give_up: bool
) -> float:
    """Returns the seconds until a trainer gives up; infinite if unknown.

    A stated deadline before the lot's due time can only be that of the call,
    unless the caller was refused before, stated a later one then, and has less
    time left now.
    """
    give_up_s = head.max_wait_s if head.max_wait_s > 0 else math.inf
    if remaining_s is None or not states_give_up:
        return give_up_s
    return min(give_up_s, max(0.0, remaining_s))


def _works_s(spec: LotSpec, backlog: PoolBacklog) -> list[float]:
    """Returns the work of each item of the groups with the least work.

    Groups of earlier steps are first in a lot, at most half of the wanted ones.
    Their texts may be kept, so that no work is certain for them.
    """
    lengths = LengthEstimator.from_digest(backlog.lengths)
    model = spec.head.model
    groups = list(dict.fromkeys(item.group for item in spec.items))
    repeated_count = spec.head.wanted_groups // 2 if spec.head.step else 0
    may_be_kept = set(groups[:repeated_count])
    works = [
        (
            item.group,
            0.0
            if item.group in may_be_kept
            else backlog.event_s
            * lengths.remaining(model, item.length_hint, 0),
        )
        for item in spec.items
    ]
    return least_work(works, spec.head.wanted_groups or len(works))
