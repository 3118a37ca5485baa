"""Order in which the items of open lots get free slots of an adaptive pool.

Addresses trainers that compete for capacity that is at times insufficient. By
due time alone, the short texts of one lot start before the long texts of a lot
that was submitted a second later, although these decide when its step is
complete; the trainers that this hits fall behind although each of their steps
is nearly in time.

Items are ordered by their latest start: the due time of their lot, less half of
the lag of its trainer, less the time for which their text is expected to grow.
All figures are derived from open lots and from heads in the store, so that each
holder decides alike.

Times are seconds on the clock of the dispatch core unless stated otherwise.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Mapping

from daisyhub.lots._length_estimator import LengthEstimator
from daisyhub.lots._run_states import Item, Run
from daisyhub.lots._run_types import LotOpened
from daisyhub.lots._types import LotHead

__all__ = [
    "ItemWork",
    "LotClass",
    "LotOrder",
    "LotWork",
    "TextPace",
    "estimate_work",
    "order_items",
    "order_lots",
    "trainer_lag_s",
    "trainer_of",
]

# Number of latest steps over which a trainer's lag is computed: those of about
# 40 s. A lag from before that time no longer counts.
_LAG_STEPS = 10
# Time between the steps that a trainer wants, relative to the due time of a
# step: 4 s of 7.5 s. As it is the same for all trainers, it matters only
# between those with different numbers of known steps.
_PERIOD_PER_DUE_TIME = 4.0 / 7.5
# Time after which a trainer gives up a step, relative to its due time: 12 s of
# 7.5 s.
_GIVE_UP_PER_DUE_TIME = 12.0 / 7.5
# Time between two steps, relative to the due time, above which their trainer
# must have paused, as it waits at most for 1.6 times the due time and trains
# for a second. A pause is not a lag.
_PAUSE_PER_DUE_TIME = 2.0
# Share of its trainer's lag by which a lot is moved forward. With all of it,
# steps that could be in time become late for one that is late in any case; with
# none, trainers with long texts stay behind (docs/design/trainer-order.md).
_LAG_WEIGHT = 0.5
# Seconds by which items of surplus groups are moved back. Which groups are
# surplus is known only by hints, so that holding them until all slots are free
# delays steps whose other groups turn out to be longer.
_SURPLUS_DELAY_S = 1.0
# Expected time between events in seconds until an engine's is known.
_DEFAULT_INTERVAL_S = 0.05


class LotClass(enum.IntEnum):
    """What a trainer gains if its lot is served next.

    Attributes:
        IN_TIME: Its wanted groups can be complete by the due time.
        LATE: They can be complete before the trainer gives up.
        QUEUED: The trainer waits for an earlier lot first.
        GIVEN_UP: The trainer gives up before they can be complete.
        SURPLUS: Its wanted groups are complete.
    """

    IN_TIME = 0
    LATE = 1
    QUEUED = 2
    GIVEN_UP = 3
    SURPLUS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ItemWork:
    """An item of an open lot that has no result yet.

    Attributes:
        item_id: The item.
        group: Its group.
        remaining_s: Seconds for which its text is expected to grow further.
        can_start: Whether it waits for a run that may start now.
    """

    item_id: str
    group: str
    remaining_s: float
    can_start: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class LotWork:
    """The unfinished part of an open lot.

    Attributes:
        head: The lot.
        due_at_s: When its results are due.
        lag_s: Its trainer's lag; see `trainer_lag_s`.
        groups: Its groups, in the order of the lot.
        items: Its unfinished items, in the order of the lot.
    """

    head: LotHead
    due_at_s: float
    lag_s: float
    groups: tuple[str, ...]
    items: tuple[ItemWork, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LotOrder:
    """A lot's place in the order, and why.

    Attributes:
        work: The lot.
        lot_class: Its class.
        required: Unfinished groups that its trainer is expected to wait for.
        required_s: Expected work on these, in seconds of a slot.
    """

    work: LotWork
    lot_class: LotClass
    required: frozenset[str]
    required_s: float

    def describe(self) -> dict[str, object]:
        """Returns the reasons for its place, for logs and the status."""
        return {
            "class": self.lot_class.name.lower(),
            "lag_s": round(self.work.lag_s, 3),
            "required_groups": len(self.required),
            "required_slot_s": round(self.required_s, 3),
            "waiting": sum(item.can_start for item in self.work.items),
        }


@dataclasses.dataclass(frozen=True, slots=True)
class TextPace:
    """Expected speed at which texts are generated.

    Attributes:
        interval_s: Usual time between events; 0 if unknown.
        lengths: Estimates the number of further events.
    """

    interval_s: float
    lengths: LengthEstimator

    def remaining_s(self, item: Item, generated: int, model: str) -> float:
        """Returns how long an item's text is expected to grow further."""
        events = self.lengths.remaining(model, item.spec.length_hint, generated)
        return events * (self.interval_s or _DEFAULT_INTERVAL_S)


def trainer_of(head: LotHead) -> tuple[str, str, str, str]:
    """Returns what identifies the trainer that submitted a lot."""
    return (head.account, head.host, head.path, head.model)


def trainer_lag_s(head: LotHead, known: Iterable[LotHead]) -> float:
    """Returns how far a lot's trainer is behind its schedule, in seconds.

    The schedule starts at the oldest of its latest steps. Time made up later is
    subtracted, but nobody is ahead of the schedule.

    Args:
        head: The lot.
        known: Any lots; those of other trainers or later steps are ignored.
    """
    trainer = trainer_of(head)
    accepted_s = {
        other.step: other.accepted_s
        for other in known
        if head.step - _LAG_STEPS <= other.step < head.step
        and trainer_of(other) == trainer
    }
    accepted_s[head.step] = head.accepted_s
    steps = sorted(accepted_s)
    lag_s = 0.0
    for step, following in zip(steps, steps[1:], strict=False):
        count = following - step
        took_s = accepted_s[following] - accepted_s[step]
        if took_s <= _PAUSE_PER_DUE_TIME * head.due_s * count:
            late_s = took_s - _PERIOD_PER_DUE_TIME * head.due_s * count
            lag_s = max(0.0, lag_s + late_s)
    return lag_s


def estimate_work(
    opened: LotOpened,
    items: Mapping[str, Item],
    runs: Mapping[int, Run],
    pace: TextPace,
    now_s: float,
) -> LotWork:
    """Estimates the unfinished part of an open lot.

    Args:
        opened: The event that opened it.
        items: Its items that weren't listed then, by id.
        runs: The open runs by id.
        pace: The expected speed of texts.
        now_s: The time.
    """
    head = opened.spec.head
    works = []
    for spec in opened.spec.items:
        item = items.get(spec.item_id)
        if item is None or item.is_done:
            continue
        remaining_s = 0.0
        if not item.progress.is_whole:
            generated = len(item.progress.texts)
            for run_id in item.runs:
                generated = max(generated, len(runs[run_id].texts))
            remaining_s = pace.remaining_s(item, generated, head.model)
        needs_run = not (
            item.runs or item.is_reward_pending or item.progress.is_whole
        )
        works.append(
            ItemWork(
                spec.item_id,
                spec.group,
                remaining_s,
                needs_run and now_s >= item.retry_at_s,
            )
        )
    return LotWork(
        head,
        opened.due_at_s,
        opened.lag_s,
        tuple(dict.fromkeys(spec.group for spec in opened.spec.items)),
        tuple(works),
    )


def order_lots(
    works: Iterable[LotWork], slots: int, now_s: float
) -> list[LotOrder]:
    """Returns open lots of a pool in the order of their classes and due times.

    Args:
        works: The lots.
        slots: Number of slots of the pool.
        now_s: The time.
    """
    orders = []
    waited_for: set[tuple[str, str, str, str]] = set()
    for work in sorted(works, key=lambda w: (w.head.step, w.head.lot_id)):
        order = _classify(work, slots, now_s)
        trainer = trainer_of(work.head)
        if order.lot_class <= LotClass.LATE:
            if trainer in waited_for:
                order = dataclasses.replace(order, lot_class=LotClass.QUEUED)
            waited_for.add(trainer)
        orders.append(order)
    return sorted(
        orders,
        key=lambda o: (o.lot_class, o.work.due_at_s, o.work.head.lot_id),
    )


def order_items(orders: Iterable[LotOrder]) -> list[tuple[str, list[str]]]:
    """Returns the items that can start, in the order in which to start them.

    Items of lots that are in time and of late ones are mixed: a late step still
    has to end, since its trainer is blocked until then.

    Returns:
        Ids of lots and of items; a lot may occur several times.
    """
    entries = []
    for order in orders:
        work = order.work
        # Lots in time and late ones share the first rank.
        rank = max(LotClass.LATE, order.lot_class)
        target_s = work.due_at_s - _LAG_WEIGHT * work.lag_s
        for index, item in enumerate(work.items):
            if not item.can_start:
                continue
            latest_start_s = target_s - item.remaining_s
            if item.group not in order.required:
                latest_start_s += _SURPLUS_DELAY_S
            entry = (rank, latest_start_s, work.head.lot_id, index)
            entries.append((entry, item.item_id))
    entries.sort()
    result: list[tuple[str, list[str]]] = []
    for (_, _, lot_id, _), item_id in entries:
        if not result or result[-1][0] != lot_id:
            result.append((lot_id, []))
        result[-1][1].append(item_id)
    return result


def _classify(work: LotWork, slots: int, now_s: float) -> LotOrder:
    required = _required_groups(work)
    remaining_s = [i.remaining_s for i in work.items if i.group in required]
    required_s = sum(remaining_s)
    # If the lot were served alone from now on.
    ends_at_s = now_s + max(
        required_s / max(1, slots), max(remaining_s, default=0.0)
    )
    patience_s = (_GIVE_UP_PER_DUE_TIME - 1) * work.head.due_s
    if not required:
        lot_class = LotClass.SURPLUS
    elif ends_at_s <= work.due_at_s:
        lot_class = LotClass.IN_TIME
    elif ends_at_s <= work.due_at_s + patience_s:
        lot_class = LotClass.LATE
    else:
        lot_class = LotClass.GIVEN_UP
    return LotOrder(work, lot_class, required, required_s)


def _required_groups(work: LotWork) -> frozenset[str]:
    """Returns the unfinished groups that a trainer is expected to wait for.

    Groups of earlier steps are first in a lot, at most half of the wanted ones,
    and are waited for in any case. Of the others, those with the shortest texts
    are chosen until the number of wanted groups is reached.
    """
    longest_s: dict[str, float] = collections.defaultdict(float)
    for item in work.items:
        longest_s[item.group] = max(longest_s[item.group], item.remaining_s)
    done = len(work.groups) - len(longest_s)
    missing = max(0, work.head.wanted_groups - done)
    repeated = set(work.groups[: work.head.wanted_groups // 2])
    by_need = sorted(
        longest_s, key=lambda group: (group not in repeated, longest_s[group])
    )
    return frozenset(by_need[:missing])
