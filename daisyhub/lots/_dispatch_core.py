"""Assigns the items of open lots to engines.

Trainers wait for whole groups, and the longest text of a group decides when
the group is complete. Lots are therefore scheduled by due time, the items of a
lot by expected length, the longest first. `_lot_order.py` decides instead for
lots of adaptive pools. Engines of usual speed are preferred to slow ones even
if they have more runs, as adding a run to an engine hardly slows its other
runs.

A run without events for too long is cancelled and resumed on another engine
after its last event. Only an engine of the same release may resume a text; if
none has room for longer than the text took, the item begins anew elsewhere.
While fast engines have free slots, items that run on a
slow engine get a backup run on a fast one. In adaptive pools, `Placement`
chooses engines and moves runs instead.

Times are seconds on a monotonic clock.
"""

import math
from collections.abc import Iterator

from daisyhub.base import Core
from daisyhub.cluster import PoolBacklog
from daisyhub.lots._backlog import OpenItems, estimate_backlog
from daisyhub.lots._body_needs import list_needs
from daisyhub.lots._body_plan import BodyPlan, plan_bodies
from daisyhub.lots._dispatch_state import DispatchState
from daisyhub.lots._item_failures import ItemFailures, ItemIdentity
from daisyhub.lots._item_results import ItemResults
from daisyhub.lots._lot_order import (
    LotClass,
    LotOrder,
    TextPace,
    estimate_work,
    order_items,
    order_lots,
)
from daisyhub.lots._open_lot import OpenLot, update_progress
from daisyhub.lots._run_outcomes import SILENCE_TIMEOUT_S, RunOutcomes
from daisyhub.lots._run_starter import RunStarter
from daisyhub.lots._run_states import Item, Progress, Run
from daisyhub.lots._run_types import (
    BodiesRead,
    EnginesListed,
    LotClosed,
    LotOpened,
    LotRouted,
    RewardCallFailed,
    RewardCallSucceeded,
    RunCompleted,
    RunFailed,
    StreamEventsReceived,
)
from daisyhub.lots._types import LotHead

__all__ = ["DispatchCore"]

# Seconds for which the order of an adaptive pool's items is used again: an
# event interval. It takes 7 ms for 1,920 items, and with 100 slots more than a
# hundred runs end each second.
_ORDER_MAX_AGE_S = 0.05


class DispatchCore(Core):
    """Schedules the items of all open lots.

    Args:
        failures: The failures of items in earlier lots; by default none.
    """

    def __init__(self, failures: ItemFailures | None = None):
        self._state = DispatchState(failures)
        self._results = ItemResults(self._state)
        self._outcomes = RunOutcomes(self._state, self._results)
        self._starter = RunStarter(self._state)
        # By adaptive pool, the order of items that could start, and when it was
        # computed.
        self._orders: dict[str, tuple[float, list[tuple[str, list[str]]]]] = {}

    @property
    def next_wakeup_s(self) -> float | None:
        """Earliest time at which a run may time out; None without runs.

        There is no tick event: every event but `StreamEventsReceived` checks
        for timeouts; see `RunOutcomes.cancel_silent_runs`.
        """
        starts = [run.last_event_at_s for run in self._state.runs.values()]
        return min(starts) + SILENCE_TIMEOUT_S if starts else None

    @property
    def open_lots(self) -> tuple[str, ...]:
        """Ids of the open lots."""
        return tuple(self._state.lots)

    def pool_of(self, lot_id: str) -> str:
        """Returns the pool that serves an open lot; empty for none."""
        lot = self._state.lots.get(lot_id)
        return lot.opened.pool if lot else ""

    @property
    def waiting_items(self) -> int:
        """Number of items that wait for a run."""
        return sum(len(lot.to_run) for lot in self._state.lots.values())

    @property
    def total_open_runs(self) -> int:
        """Number of open runs."""
        return len(self._state.runs)

    @property
    def adaptive_pools(self) -> frozenset[str]:
        """The pools whose lots are served in the order of `order_lots`."""
        views = [engine.view for engine in self._state.engines.values()]
        return frozenset(view.pool for view in views if view.is_adaptive)

    def open_run_count(self, endpoint_id: str) -> int:
        """Returns the number of open runs at an engine."""
        engine = self._state.engines.get(endpoint_id)
        return len(engine.runs) if engine else 0

    def mean_run_s(self, model: str) -> float:
        """Returns the usual duration of a model's runs; 0 if unknown."""
        return self._state.mean_run_s.get(model, 0.0)

    def find_run(self, run_id: int) -> Run | None:
        """Returns the open run with this id, or None."""
        return self._state.runs.get(run_id)

    def backlogs(self, now_s: float) -> tuple[PoolBacklog, ...]:
        """Returns the figures of adaptive pools; see `estimate_backlog`."""
        found = (
            estimate_backlog(
                pool,
                self._open_items(pool, now_s),
                self._state.engines,
                self._state.runs,
                self._state.placement.lengths,
                now_s,
            )
            for pool in sorted(self.adaptive_pools)
        )
        return tuple(figures for figures in found if figures is not None)

    def _open_items(self, pool: str, now_s: float) -> list[OpenItems]:
        """Returns the open lots of an adaptive pool for `estimate_backlog`."""
        ahead = {
            order.work.head.lot_id
            for order in self.order_lots(pool, now_s)
            if order.lot_class <= LotClass.LATE
        }
        return [
            OpenItems(lot.opened, lot.items.values(), lot_id in ahead)
            for lot_id, lot in self._state.lots.items()
            if lot.opened.pool == pool
        ]

    def progress_of(self, lot_id: str) -> dict[str, Progress]:
        """Returns the text generated so far for a lot's unfinished items.

        Items without text are left out.
        """
        lot = self._state.lots.get(lot_id)
        if lot is None:
            return {}
        for run in self._state.runs.values():
            if run.lot_id == lot_id:
                update_progress(lot.items[run.item_id], run)
        return {
            item_id: item.progress
            for item_id, item in lot.items.items()
            if item.progress.texts
        }

    def texts_of(self, lot_id: str) -> dict[ItemIdentity, Progress]:
        """Returns `progress_of` a lot by what identifies its items."""
        lot = self._state.lots.get(lot_id)
        return {
            self._state.identity(lot, lot.items[item_id]): progress
            for item_id, progress in self.progress_of(lot_id).items()
        }

    @property
    def read_bytes(self) -> int:
        """Size of the bodies of open lots that are in memory."""
        return sum(lot.read_bytes for lot in self._state.lots.values())

    @property
    def unread_items(self) -> int:
        """Number of unfinished items whose bodies are in the store only."""
        return sum(
            not item.place.is_read and not item.is_done
            for lot in self._state.lots.values()
            for item in lot.items.values()
        )

    def find_item(self, lot_id: str, item_id: str) -> Item | None:
        """Returns an item that wasn't listed when its lot was opened."""
        lot = self._state.lots.get(lot_id)
        return lot.items.get(item_id) if lot else None

    def head_of(self, lot_id: str) -> LotHead | None:
        """Returns the head of an open lot, or None."""
        lot = self._state.lots.get(lot_id)
        return lot.opened.spec.head if lot else None

    def plan_bodies(self, limit_bytes: int, now_s: float) -> BodyPlan:
        """Drops bodies that must make room; returns which to read.

        Args:
            limit_bytes: Maximum size of the bodies in memory.
            now_s: The time.
        """
        is_all_read = all(lot.is_read for lot in self._state.lots.values())
        if is_all_read and self.read_bytes <= limit_bytes:
            return BodyPlan()
        needs = list_needs(self._state, self._waiting_in_order(now_s), now_s)
        plan = plan_bodies(needs, limit_bytes)
        for need in plan.drops:
            self._state.lots[need.lot_id].drop_bodies(need.item_id)
        return plan

    def _waiting_in_order(
        self, now_s: float
    ) -> Iterator[tuple[OpenLot, list[Item]]]:
        """Yields the items that need a run, in the order in which they start.

        Items of lots that are given up are left out.
        """
        adaptive_pools = self.adaptive_pools
        for lot in self._lots_by_due_time():
            is_open = now_s < lot.opened.give_up_at_s
            if is_open and lot.opened.pool not in adaptive_pools:
                lot.sort()
                yield lot, list(lot.to_run.values())
        for pool in sorted(adaptive_pools):
            for lot_id, item_ids in self._current_order(pool, now_s):
                lot = self._state.lots.get(lot_id)
                if lot is not None and now_s < lot.opened.give_up_at_s:
                    yield (
                        lot,
                        [lot.to_run[i] for i in item_ids if i in lot.to_run],
                    )

    def _lots_by_due_time(self) -> list[OpenLot]:
        lots = self._state.lots.values()
        return sorted(lots, key=lambda lot: lot.opened.due_at_s)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one dispatch event; returns actions.

        Stream events start no runs: a slot that one of them frees is filled
        at the next event of another type.
        """
        actions: list[object] = []
        match event:
            case StreamEventsReceived():
                return self._outcomes.on_stream_events(event, now_s)
            case EnginesListed():
                self._state.list_engines(event)
            case LotOpened():
                self._state.open(event)
                actions += self._results.give_up_exhausted(event)
            case LotRouted():
                self._state.route(event)
            case BodiesRead():
                self._state.add_bodies(event)
            case LotClosed():
                actions += self._state.close(event)
            case RunCompleted():
                actions += self._outcomes.on_completed(event, now_s)
            case RunFailed():
                actions += self._outcomes.on_failed(event, now_s)
            case RewardCallSucceeded() | RewardCallFailed():
                actions += self._results.on_reward(event, now_s)
            case _:
                raise TypeError(f"not a dispatch event: {event!r}")
        return actions + self._schedule(now_s)

    def _schedule(self, now_s: float) -> list[object]:
        """Cancels silent runs, then fills free slots.

        All items of a lot need an engine of the same pool, model and version.
        When no such engine has a free slot, the other lots with the same
        requirement are skipped.
        """
        actions = self._outcomes.cancel_silent_runs(now_s)
        median_interval_s = self._state.median_event_interval_s()
        exhausted: set[tuple[str, str, int]] = set()
        adaptive_pools = self.adaptive_pools
        waiting_pools: set[str] = set()
        for lot in self._lots_by_due_time():
            actions += self._results.score_items(lot, now_s)
            if now_s >= lot.opened.give_up_at_s:
                actions += self._results.give_up_unstarted(lot, now_s)
            elif lot.to_run and lot.opened.pool in adaptive_pools:
                waiting_pools.add(lot.opened.pool)
            elif lot.to_run:
                lot.sort()
                actions += self._starter.start_items(
                    lot,
                    list(lot.to_run.values()),
                    now_s,
                    median_interval_s,
                    exhausted,
                )
        for pool in sorted(waiting_pools):
            for lot, items in self._order_items(pool, now_s):
                actions += self._starter.start_items(
                    lot, items, now_s, median_interval_s, exhausted
                )
        return actions + self._starter.start_backup_runs(
            median_interval_s, now_s
        )

    def _order_items(
        self, pool: str, now_s: float
    ) -> list[tuple[OpenLot, list[Item]]]:
        """Returns the items that can start at an adaptive pool, in order."""
        heads = [
            lot.opened.spec.head
            for lot in self._state.lots.values()
            if lot.opened.pool == pool and lot.to_run
        ]
        # Lots may wait for a version for seconds while slots are free.
        if not any(
            engine.view.versions.get(head.model, 0) >= head.oldest_version
            for engine in self._state.engines.values()
            if engine.view.pool == pool and len(engine.runs) < engine.view.slots
            for head in heads
        ):
            return []
        return [
            (lot, [lot.items[i] for i in item_ids if i in lot.to_run])
            for lot_id, item_ids in self._current_order(pool, now_s)
            if (lot := self._state.lots.get(lot_id)) is not None
            and now_s < lot.opened.give_up_at_s
        ]

    def _current_order(
        self, pool: str, now_s: float
    ) -> list[tuple[str, list[str]]]:
        """Returns the order of items that could start a moment ago.

        It is computed anew once items were added.
        """
        lots = [
            lot for lot in self._state.lots.values() if lot.opened.pool == pool
        ]
        known_at_s, order = self._orders.get(pool, (-math.inf, []))
        is_complete = all(lot.is_in_order for lot in lots)
        if is_complete and now_s < known_at_s + _ORDER_MAX_AGE_S:
            return order
        order = order_items(self.order_lots(pool, now_s))
        self._orders[pool] = (now_s, order)
        for lot in lots:
            lot.is_in_order = True
        return order

    def order_lots(self, pool: str, now_s: float) -> list[LotOrder]:
        """Returns the order of the open lots of an adaptive pool."""
        pace = TextPace(
            self._state.median_event_interval_s(), self._state.placement.lengths
        )
        works = [
            estimate_work(lot.opened, lot.items, self._state.runs, pace, now_s)
            for lot in self._state.lots.values()
            if lot.opened.pool == pool
        ]
        slots = sum(
            engine.view.slots
            for engine in self._state.engines.values()
            if engine.view.pool == pool
        )
        return order_lots(works, slots, now_s)
