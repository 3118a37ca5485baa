"""Estimates the work of open lots that comes before that of a new lot.

Counted are the runs in progress, and the waiting items that lots in time need
for their wanted groups. Of each account only the lot that is due first counts,
as further ones get no slots before another account's first. Late lots come
after those in time, and lots that can't end before their trainer gives up after
all others. So the estimate is rather too low, and a lot that can still
be served in time isn't refused for it.
"""

import dataclasses
import heapq
import math
from collections.abc import Iterable, Mapping

from daisyhub.cluster import PoolBacklog
from daisyhub.lots._length_estimator import LengthEstimator
from daisyhub.lots._pool_state import PoolState, capacity
from daisyhub.lots._run_states import Engine, Item, Run
from daisyhub.lots._run_types import LotOpened

__all__ = ["OpenItems", "estimate_backlog", "least_work", "make_backlog"]

# Maximum number of parts into which runs and items are divided in pings.
_MAX_PARTS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class OpenItems:
    """An open lot.

    Attributes:
        opened: The event that opened it.
        items: Its items that weren't listed when it was opened.
        is_ahead: Whether its waiting items come before those of a new lot, as
            `order_lots` decides.
    """

    opened: LotOpened
    items: Iterable[Item]
    is_ahead: bool = True


def estimate_backlog(
    pool: str,
    lots: Iterable[OpenItems],
    engines: Mapping[str, Engine],
    runs: Mapping[int, Run],
    lengths: LengthEstimator,
    now_s: float,
) -> PoolBacklog | None:
    """Returns the figures of an adaptive pool.

    None without engines, or while the speed of none of them is measured.

    Args:
        pool: The pool.
        lots: All open lots.
        engines: Engines of all pools by id.
        runs: Open runs by id.
        lengths: Estimates the lengths of texts.
        now_s: The time, on the clock of the dispatch core.
    """
    found = [e for e in engines.values() if e.view.pool == pool]
    if not any(e.recent_interval_s for e in found):
        return None
    state = PoolState(pool, found, runs, now_s)
    slots = sum(map(capacity, found))
    events_per_s = sum(capacity(e) / state.interval_s(e) for e in found)
    event_s = slots / events_per_s

    def work_s(item: Item, model: str) -> float:
        hint = item.spec.length_hint
        open_runs = [runs[r] for r in item.runs if r in runs]
        if not open_runs:
            known = len(item.progress.texts)
            return event_s * lengths.remaining(model, hint, known)
        return min(
            state.run_interval_s(r)
            * lengths.remaining(model, hint, len(r.texts))
            for r in open_runs
        )

    running_s: list[float] = []
    waiting_s: list[float] = []
    first_of: set[str] = set()
    for lot in sorted(lots, key=lambda lot: lot.opened.due_at_s):
        if lot.opened.pool != pool:
            continue
        head = lot.opened.spec.head
        pending = [
            i for i in lot.items if not i.is_done and not i.progress.is_whole
        ]
        running_s += [work_s(i, head.model) for i in pending if i.runs]
        is_late = now_s >= lot.opened.due_at_s
        if is_late or not lot.is_ahead or head.account in first_of:
            continue
        first_of.add(head.account)
        waiting = [
            (i.spec.group, work_s(i, head.model)) for i in pending if not i.runs
        ]
        waiting_s += least_work(waiting, _missing_groups(lot))
    return make_backlog(
        pool, slots, running_s, waiting_s, event_s, lengths.digest()
    )


def make_backlog(
    pool: str,
    slots: int,
    running_s: list[float],
    waiting_s: list[float],
    event_s: float,
    lengths: dict[str, tuple[float, float]],
) -> PoolBacklog:
    """Returns the figures of runs in progress and items that wait.

    Args:
        pool: The pool.
        slots: Number of runs that its engines sustain.
        running_s: Remaining seconds of each run.
        waiting_s: Seconds that each item that waits will take.
        event_s: Mean seconds between the events of a run.
        lengths: See `PoolBacklog`.
    """
    return PoolBacklog(
        pool=pool,
        slots=slots,
        running_s=sum(running_s),
        running_parts=_split(sorted(running_s)),
        waiting=len(waiting_s),
        waiting_s=sum(waiting_s),
        tail_parts=_split(heapq.nlargest(slots - 1, waiting_s)),
        event_s=event_s,
        lengths=lengths,
    )


def _split(ordered_s: list[float]) -> tuple[tuple[int, float], ...]:
    """Returns the count and the first value of each part of sorted values."""
    size = max(1, math.ceil(len(ordered_s) / _MAX_PARTS))
    starts = range(0, len(ordered_s), size)
    return tuple((len(ordered_s[n : n + size]), ordered_s[n]) for n in starts)


def least_work(works: list[tuple[str, float]], groups: int) -> list[float]:
    """Returns the work of the items of the groups with the least work.

    Args:
        works: Group and work of each item.
        groups: Number of groups.
    """
    by_group: dict[str, list[float]] = {}
    for group, work in works:
        by_group.setdefault(group, []).append(work)
    return [w for g in sorted(by_group.values(), key=sum)[:groups] for w in g]


def _missing_groups(lot: OpenItems) -> int:
    """Returns the number of groups that need an item that waits, at least.

    Groups whose items all run or ended may all be among the wanted ones.
    """
    spec = lot.opened.spec
    groups = {item.group for item in spec.items}
    waiting = {
        i.spec.group
        for i in lot.items
        if not i.is_done and not i.progress.is_whole and not i.runs
    }
    wanted = spec.head.wanted_groups or len(groups)
    return max(0, wanted - len(groups - waiting))
