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

import dataclasses
import math
import statistics

from daisyhub.base import Core
from daisyhub.cluster import PoolBacklog
from daisyhub.lots._backlog import OpenItems, estimate_backlog
from daisyhub.lots._lot_order import (
    LotClass,
    LotOrder,
    TextPace,
    estimate_work,
    order_items,
    order_lots,
)
from daisyhub.lots._placement import Placement, RunContext
from daisyhub.lots._pool_state import (
    PoolState,
    record_interval,
    record_prompt,
)
from daisyhub.lots._run_types import (
    CancelRun,
    Engine,
    EnginesListed,
    FinishItem,
    Item,
    LotClosed,
    LotOpened,
    LotRouted,
    Progress,
    RewardCallFailed,
    RewardCallSucceeded,
    Run,
    RunCompleted,
    RunFailed,
    RunFault,
    StartRewardCall,
    StartRun,
    StreamEventsReceived,
)
from daisyhub.lots._types import ItemResult, ResultState

__all__ = ["DispatchCore"]

# Seconds without an event after which a run is considered lost. Events are
# some tens of milliseconds apart, on a slow engine some hundred.
_SILENCE_TIMEOUT_S = 0.6
# Timeout for the first event, in seconds. It covers prompt processing and a
# short queue.
_FIRST_EVENT_TIMEOUT_S = 1.2
# Seconds added to both timeouts while the engine loads weights.
_LOADING_EXTRA_TIMEOUT_S = 3.0
# Seconds for which an engine gets no new runs after a failure. The backoff
# doubles with each further failure, up to the usual time of a crash and
# restart.
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 4.0
# Seconds for which an engine gets no new runs after it rejected one without
# running it, as it does when it has no free slot.
_NO_SLOT_BACKOFF_S = 0.1
# Seconds before a failed run or reward call of an item is retried.
_RETRY_DELAY_S = 0.1
# Maximum delay of a further reward call, in seconds. The delay doubles with
# each call that no endpoint answered, as the reason may last, such as a missing
# route.
_MAX_REWARD_RETRY_DELAY_S = 2.0
# An engine is slow if its event interval is at least this many times the
# median. Engines of one kind differ by some percent, those of different kinds
# by a third.
_SLOW_FACTOR = 1.2
# Seconds before an item that runs on a slow engine may get a backup run.
# Shorter texts are nearly complete by then.
_BACKUP_RUN_DELAY_S = 0.5
# Weight of the latest interval between events in the moving average, which
# thus covers about ten events.
_EVENT_INTERVAL_WEIGHT = 0.2
# Weight of the latest run in the usual duration of a model's runs, which thus
# covers about the items of one lot.
_DURATION_WEIGHT = 0.02
# Maximum seconds for which an item waits for an engine of its text's release:
# less than half of the time that an item may be at no engine while others have
# room (5 s, set by the platform).
_MAX_RELEASE_WAIT_S = 2.0
# Seconds for which the order of an adaptive pool's items is used again: an
# event interval. It takes 7 ms for 1,920 items, and with 100 slots more than a
# hundred runs end each second.
_ORDER_MAX_AGE_S = 0.05
# Seconds between two searches for silent runs, which look at all of them: a
# sixth of the shortest timeout.
_SILENCE_CHECK_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True)
class _Lot:
    """An open lot.

    Attributes:
        opened: The event that opened it, with the pool that serves it now.
        items: Items that weren't listed when it was opened, by id, in the
            order in which they are to start.
        unfinished_in_group: Number of items without a result, by group.
        to_run: The items that need a run, in the order in which to start them
            if `is_sorted`.
        to_score: The items with a whole text that need a reward call.
        is_sorted: Whether no item returned to `to_run` since it was sorted.
        is_in_order: Whether no item returned to `to_run` since the items of
            its adaptive pool were last put in order.
    """

    opened: LotOpened
    items: dict[str, Item]
    unfinished_in_group: dict[str, int]
    to_run: dict[str, Item] = dataclasses.field(default_factory=dict)
    to_score: dict[str, Item] = dataclasses.field(default_factory=dict)
    is_sorted: bool = True
    is_in_order: bool = False

    def requeue(self, item: Item) -> None:
        """Adds an item to the queue of what it needs next, if anything."""
        item_id = item.spec.item_id
        if item.is_done or item.runs or item.is_reward_pending:
            return
        if item.progress.is_whole:
            self.to_score[item_id] = item
        elif item_id not in self.to_run:
            self.to_run[item_id] = item
            self.is_sorted = self.is_in_order = False

    def sort(self) -> None:
        """Restores the order of `to_run`."""
        if self.is_sorted:
            return
        self.to_run = dict(
            sorted(self.to_run.items(), key=lambda entry: entry[1].rank)
        )
        self.is_sorted = True


class DispatchCore(Core):
    """Schedules the items of all open lots."""

    def __init__(self):
        self._lots: dict[str, _Lot] = {}
        self._engines: dict[str, Engine] = {}
        self._runs: dict[int, Run] = {}
        self._last_run_id = 0
        self._silence_check_at_s = -math.inf
        # Moving average of the duration of whole runs by model.
        self._mean_run_s: dict[str, float] = {}
        self._placement = Placement()
        # By adaptive pool, the order of items that could start, and when it was
        # computed.
        self._orders: dict[str, tuple[float, list[tuple[str, list[str]]]]] = {}

    @property
    def next_wakeup_s(self) -> float | None:
        """Earliest time at which a run may time out; None without runs.

        There is no tick event: every event but `StreamEventsReceived` checks
        for timeouts, at most once per `_SILENCE_CHECK_INTERVAL_S`.
        """
        starts = [run.last_event_at_s for run in self._runs.values()]
        return min(starts) + _SILENCE_TIMEOUT_S if starts else None

    @property
    def open_lots(self) -> tuple[str, ...]:
        """Ids of the open lots."""
        return tuple(self._lots)

    def pool_of(self, lot_id: str) -> str:
        """Returns the pool that serves an open lot; empty for none."""
        lot = self._lots.get(lot_id)
        return lot.opened.pool if lot else ""

    @property
    def waiting_items(self) -> int:
        """Number of items that wait for a run."""
        return sum(len(lot.to_run) for lot in self._lots.values())

    @property
    def total_open_runs(self) -> int:
        """Number of open runs."""
        return len(self._runs)

    @property
    def adaptive_pools(self) -> frozenset[str]:
        """The pools whose lots are served in the order of `order_lots`."""
        views = [engine.view for engine in self._engines.values()]
        return frozenset(view.pool for view in views if view.is_adaptive)

    def open_run_count(self, endpoint_id: str) -> int:
        """Returns the number of open runs at an engine."""
        engine = self._engines.get(endpoint_id)
        return len(engine.runs) if engine else 0

    def mean_run_s(self, model: str) -> float:
        """Returns the usual duration of a model's runs; 0 if unknown."""
        return self._mean_run_s.get(model, 0.0)

    def find_run(self, run_id: int) -> Run | None:
        """Returns the open run with this id, or None."""
        return self._runs.get(run_id)

    def backlogs(self, now_s: float) -> tuple[PoolBacklog, ...]:
        """Returns the figures of adaptive pools; see `estimate_backlog`."""
        found = (
            estimate_backlog(
                pool,
                self._open_items(pool, now_s),
                self._engines,
                self._runs,
                self._placement.lengths,
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
            for lot_id, lot in self._lots.items()
            if lot.opened.pool == pool
        ]

    def progress_of(self, lot_id: str) -> dict[str, Progress]:
        """Returns the text generated so far for a lot's unfinished items.

        Items without text are left out.
        """
        lot = self._lots.get(lot_id)
        if lot is None:
            return {}
        for run in self._runs.values():
            if run.lot_id == lot_id:
                _update_progress(lot.items[run.item_id], run)
        return {
            item_id: item.progress
            for item_id, item in lot.items.items()
            if item.progress.texts
        }

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one dispatch event; returns actions.

        Stream events start no runs: a slot that one of them frees is filled
        at the next event of another type.
        """
        actions: list[object] = []
        match event:
            case StreamEventsReceived():
                return self._on_stream_events(event, now_s)
            case EnginesListed():
                self._on_engines(event)
            case LotOpened():
                self._on_opened(event)
            case LotRouted():
                self._on_routed(event)
            case LotClosed():
                actions += self._on_closed(event)
            case RunCompleted():
                actions += self._on_completed(event, now_s)
            case RunFailed():
                actions += self._on_failed(event, now_s)
            case RewardCallSucceeded() | RewardCallFailed():
                actions += self._on_reward(event, now_s)
            case _:
                raise TypeError(f"not a dispatch event: {event!r}")
        return actions + self._schedule(now_s)

    def _schedule(self, now_s: float) -> list[object]:
        """Cancels silent runs, then fills free slots.

        All items of a lot need an engine of the same pool, model and version.
        When no such engine has a free slot, the other lots with the same
        requirement are skipped.
        """
        actions = self._cancel_silent_runs(now_s)
        median_interval_s = self._median_event_interval_s()
        exhausted: set[tuple[str, str, int]] = set()
        adaptive_pools = self.adaptive_pools
        waiting_pools: set[str] = set()
        for lot in sorted(
            self._lots.values(), key=lambda lot: lot.opened.due_at_s
        ):
            actions += self._score_items(lot, now_s)
            if now_s >= lot.opened.give_up_at_s:
                actions += self._give_up_unstarted(lot, now_s)
            elif lot.to_run and lot.opened.pool in adaptive_pools:
                waiting_pools.add(lot.opened.pool)
            elif lot.to_run:
                lot.sort()
                actions += self._start_items(
                    lot,
                    list(lot.to_run.values()),
                    now_s,
                    median_interval_s,
                    exhausted,
                )
        for pool in sorted(waiting_pools):
            for lot, items in self._order_items(pool, now_s):
                actions += self._start_items(
                    lot, items, now_s, median_interval_s, exhausted
                )
        return actions + self._start_backup_runs(median_interval_s, now_s)

    def _order_items(
        self, pool: str, now_s: float
    ) -> list[tuple[_Lot, list[Item]]]:
        """Returns the items that can start at an adaptive pool, in order."""
        heads = [
            lot.opened.spec.head
            for lot in self._lots.values()
            if lot.opened.pool == pool and lot.to_run
        ]
        # Lots may wait for a version for seconds while slots are free.
        if not any(
            engine.view.versions.get(head.model, 0) >= head.oldest_version
            for engine in self._engines.values()
            if engine.view.pool == pool and len(engine.runs) < engine.view.slots
            for head in heads
        ):
            return []
        return [
            (lot, [lot.items[i] for i in item_ids if i in lot.to_run])
            for lot_id, item_ids in self._current_order(pool, now_s)
            if (lot := self._lots.get(lot_id)) is not None
            and now_s < lot.opened.give_up_at_s
        ]

    def _current_order(
        self, pool: str, now_s: float
    ) -> list[tuple[str, list[str]]]:
        """Returns the order of items that could start a moment ago.

        It is computed anew once items were added.
        """
        lots = [lot for lot in self._lots.values() if lot.opened.pool == pool]
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
            self._median_event_interval_s(), self._placement.lengths
        )
        works = [
            estimate_work(lot.opened, lot.items, self._runs, pace, now_s)
            for lot in self._lots.values()
            if lot.opened.pool == pool
        ]
        slots = sum(
            engine.view.slots
            for engine in self._engines.values()
            if engine.view.pool == pool
        )
        return order_lots(works, slots, now_s)

    def _score_items(self, lot: _Lot, now_s: float) -> list[object]:
        """Starts the reward calls of whole texts, or finishes the items."""
        actions: list[object] = []
        for item_id, item in list(lot.to_score.items()):
            if now_s < item.retry_at_s:
                continue
            del lot.to_score[item_id]
            if item.spec.reward is None:
                actions.append(self._complete(lot, item, ""))
                continue
            item.is_reward_pending = True
            actions.append(
                StartRewardCall(lot.opened.spec.head.lot_id, item.spec)
            )
        return actions

    def _give_up_unstarted(self, lot: _Lot, now_s: float) -> list[object]:
        due = [i for i in lot.to_run.values() if now_s >= i.retry_at_s]
        return [action for item in due for action in self._give_up(lot, item)]

    def _start_items(
        self,
        lot: _Lot,
        items: list[Item],
        now_s: float,
        median_interval_s: float,
        exhausted: set[tuple[str, str, int]],
    ) -> list[object]:
        """Starts runs of a lot's items while an engine has a free slot.

        Args:
            lot: The lot.
            items: Those of its items that may start, in order.
            now_s: The time.
            median_interval_s: Median interval between events; 0 if unknown.
            exhausted: Combinations of pool, model and oldest version for
                which no engine has a free slot; extended here.
        """
        head = lot.opened.spec.head
        requirement = (lot.opened.pool, head.model, head.oldest_version)
        if requirement in exhausted:
            return []
        actions: list[object] = []
        for item in items:
            if now_s < item.retry_at_s:
                continue
            engine = self._choose_engine(lot, item, now_s, median_interval_s)
            if engine is None and item.waits_since_s is not None:
                continue
            if engine is None:
                exhausted.add(requirement)
                break
            actions.append(self._start_run(lot, item, engine, now_s))
        return actions

    def _on_opened(self, opened: LotOpened) -> None:
        items = {}
        unfinished: dict[str, int] = {}
        # The longest first: a long text that starts last delays its whole
        # group.
        longest_first = sorted(
            opened.spec.items, key=lambda spec: -spec.length_hint
        )
        for spec in longest_first:
            if spec.item_id in opened.listed:
                continue
            earlier = opened.progress.get(spec.item_id, Progress())
            reusable = _reusable_progress(earlier, opened.spec.head)
            item = Item(spec, rank=len(items), progress=reusable)
            items[spec.item_id] = item
            unfinished[spec.group] = unfinished.get(spec.group, 0) + 1
        lot = _Lot(opened, items, unfinished)
        for item in items.values():
            lot.requeue(item)
        lot.is_sorted = True
        self._lots[opened.spec.head.lot_id] = lot

    def _on_routed(self, event: LotRouted) -> None:
        lot = self._lots.get(event.lot_id)
        if lot is None:
            return
        lot.opened = dataclasses.replace(lot.opened, pool=event.pool)
        lot.is_in_order = False
        for item in lot.items.values():
            item.waits_since_s = None

    def _on_closed(self, event: LotClosed) -> list[object]:
        lot = self._lots.pop(event.lot_id, None)
        if lot is None:
            return []
        run_ids = [r for item in lot.items.values() for r in item.runs]
        for run_id in run_ids:
            self._remove_run(run_id)
        return [CancelRun(run_id, "the lot was closed") for run_id in run_ids]

    def _on_engines(self, event: EnginesListed) -> None:
        """Replaces the set of engines; runs on removed engines continue."""
        views = {engine.endpoint_id: engine for engine in event.engines}
        for endpoint_id in [e for e in self._engines if e not in views]:
            del self._engines[endpoint_id]
        for endpoint_id, view in views.items():
            engine = self._engines.get(endpoint_id)
            if engine is None:
                engine = self._engines[endpoint_id] = Engine(view)
                engine.runs = {
                    run_id
                    for run_id, run in self._runs.items()
                    if run.endpoint_id == endpoint_id
                }
            engine.view = view

    def _on_stream_events(
        self, event: StreamEventsReceived, now_s: float
    ) -> list[object]:
        run = self._runs.get(event.run)
        if run is None:
            return []
        known = len(run.texts) - (event.first - 1)
        if known < 0:
            return self._abandon_run(event.run, "events of it were lost")
        texts, versions = event.texts[known:], event.versions[known:]
        if not texts:
            return []
        head = self._lots[run.lot_id].opened.spec.head
        if min(versions) < head.oldest_version:
            return self._abandon_run(event.run, "its weights are too old")
        if _violates_single_version(head, run.versions, versions):
            return self._abandon_run(event.run, "its weights changed")
        engine = self._engines.get(run.endpoint_id)
        if engine is not None:
            engine.consecutive_failures = 0
            engine.backoff_until_s = min(engine.backoff_until_s, now_s)
            if event.interval_s:
                self._update_event_interval(
                    engine, event.interval_s, len(texts), now_s
                )
        run.texts += texts
        run.versions += versions
        run.event_count += len(texts)
        run.last_event_at_s = now_s - event.age_s
        return self._finish_move(event.run, now_s)

    def _finish_move(self, run_id: int, now_s: float) -> list[object]:
        """Cancels the slower one of an item's two runs in an adaptive pool."""
        run = self._runs[run_id]
        lot = self._lots[run.lot_id]
        run_ids = sorted(lot.items[run.item_id].runs)
        engine = self._engines.get(run.endpoint_id)
        is_adaptive = engine is not None and engine.view.is_adaptive
        if not is_adaptive or len(run_ids) == 1:
            return []
        older, newer = (self._context(r) for r in run_ids[:2])
        cancelled = self._placement.choose_cancelled(
            self._pool_state(lot, now_s), older, newer
        )
        if cancelled is None:
            return []
        slower, reason, backoff_s = cancelled
        slower.item.left_engines.add(slower.run.endpoint_id)
        if backoff_s:
            engine = self._engines.get(slower.run.endpoint_id)
            _back_off(engine, now_s, backoff_s)
        return self._abandon_run(slower.run_id, reason)

    def _pool_state(self, lot: _Lot, now_s: float) -> PoolState:
        return PoolState(
            lot.opened.pool, self._engines.values(), self._runs, now_s
        )

    def _context(self, run_id: int) -> RunContext:
        run = self._runs[run_id]
        lot = self._lots[run.lot_id]
        return RunContext(
            run_id, run, lot.items[run.item_id], lot.opened.spec.head
        )

    def _update_event_interval(
        self, engine: Engine, interval_s: float, count: int, now_s: float
    ) -> None:
        """Adds `count` intervals of this mean to the moving average."""
        mean_s = engine.event_interval_s or interval_s
        weight = 1 - (1 - _EVENT_INTERVAL_WEIGHT) ** count
        engine.event_interval_s = mean_s + weight * (interval_s - mean_s)
        record_interval(engine, interval_s, count, now_s)

    def _abandon_run(self, run_id: int, reason: str) -> list[object]:
        """Cancels a run, but keeps its text if it can be reused."""
        run = self._remove_run(run_id)
        lot = self._lots[run.lot_id]
        item = lot.items[run.item_id]
        _update_progress(item, run)
        item.progress = _reusable_progress(item.progress, lot.opened.spec.head)
        lot.requeue(item)
        return [CancelRun(run_id, reason)]

    def _remove_run(self, run_id: int) -> Run:
        run = self._runs.pop(run_id)
        engine = self._engines.get(run.endpoint_id)
        if engine is not None:
            engine.runs.discard(run_id)
        lot = self._lots.get(run.lot_id)
        if lot is not None:
            lot.items[run.item_id].runs.discard(run_id)
        return run

    def _on_completed(self, event: RunCompleted, now_s: float) -> list[object]:
        """Stores a complete text; cancels the item's other runs.

        A run that completed without any text, or of which events were lost,
        is discarded, and the item is run again.
        """
        if event.run not in self._runs:
            return []
        run = self._remove_run(event.run)
        lot = self._lots[run.lot_id]
        item = lot.items[run.item_id]
        if not run.texts or len(run.texts) != event.events:
            _update_progress(item, run)
            lot.requeue(item)
            return []
        self._record_duration(lot.opened.spec.head.model, run, now_s)
        self._placement.lengths.observe(
            lot.opened.spec.head.model, item.spec.length_hint, event.events
        )
        item.progress = Progress(
            tuple(run.texts),
            tuple(run.versions),
            is_whole=True,
            release=run.release,
        )
        others = list(item.runs)
        for run_id in others:
            self._remove_run(run_id)
        lot.requeue(item)
        return [CancelRun(r, "another run completed first") for r in others]

    def _record_duration(self, model: str, run: Run, now_s: float) -> None:
        """Adds a whole run to the model's usual duration."""
        if run.event_count < len(run.texts):
            # It resumed another run.
            return
        took_s = now_s - run.started_at_s
        mean_s = self._mean_run_s.get(model, took_s)
        self._mean_run_s[model] = mean_s + _DURATION_WEIGHT * (took_s - mean_s)

    def _on_failed(self, event: RunFailed, now_s: float) -> list[object]:
        if event.run not in self._runs:
            return []
        run = self._remove_run(event.run)
        lot = self._lots[run.lot_id]
        item = lot.items[run.item_id]
        _update_progress(item, run)
        engine = self._engines.get(run.endpoint_id)
        match event.fault:
            case RunFault.FAILED:
                item.failures += 1
                if item.failures >= lot.opened.spec.head.max_attempts:
                    return self._give_up(lot, item)
                item.retry_at_s = now_s + _RETRY_DELAY_S
            case RunFault.IMPOSSIBLE:
                return self._give_up(lot, item)
            case RunFault.NOT_RUN:
                backoff_s = max(_NO_SLOT_BACKOFF_S, event.retry_after_s)
                _back_off(engine, now_s, backoff_s)
            case RunFault.WORKER_LOST:
                pass
            case RunFault.BROKEN if run.event_count:
                # A stream that broke after some events says little about
                # the engine.
                pass
            case _:
                self._record_failure(engine, now_s)
        lot.requeue(item)
        return []

    def _record_failure(self, engine: Engine | None, now_s: float) -> None:
        if engine is None:
            return
        engine.consecutive_failures += 1
        backoff_s = _MIN_BACKOFF_S * 2 ** (engine.consecutive_failures - 1)
        _back_off(engine, now_s, min(backoff_s, _MAX_BACKOFF_S))

    def _give_up(self, lot: _Lot, item: Item) -> list[object]:
        result = ItemResult(
            item_id=item.spec.item_id, state=ResultState.GIVEN_UP
        )
        return [self._finish(lot, item, result)]

    def _finish(self, lot: _Lot, item: Item, result: ItemResult) -> FinishItem:
        item.is_done = True
        lot.to_run.pop(item.spec.item_id, None)
        lot.to_score.pop(item.spec.item_id, None)
        lot.unfinished_in_group[item.spec.group] -= 1
        return FinishItem(
            lot.opened.spec.head.lot_id,
            result,
            lot.unfinished_in_group[item.spec.group] == 0,
        )

    def _on_reward(
        self, event: RewardCallSucceeded | RewardCallFailed, now_s: float
    ) -> list[object]:
        lot = self._lots.get(event.lot_id)
        item = lot.items.get(event.item_id) if lot else None
        if item is None or item.is_done:
            return []
        item.is_reward_pending = False
        if isinstance(event, RewardCallSucceeded):
            return [self._complete(lot, item, event.score)]
        item.reward_failures += event.is_endpoint_failure
        item.reward_obstacles += not event.is_endpoint_failure
        if (
            event.is_endpoint_failure
            and item.reward_failures >= event.max_attempts
        ):
            return self._give_up(lot, item)
        delay_s = _RETRY_DELAY_S * 2 ** max(0, item.reward_obstacles - 1)
        item.retry_at_s = now_s + min(delay_s, _MAX_REWARD_RETRY_DELAY_S)
        lot.requeue(item)
        return []

    def _complete(self, lot: _Lot, item: Item, score: str) -> FinishItem:
        progress = item.progress
        result = ItemResult(
            item_id=item.spec.item_id,
            state=ResultState.COMPLETED,
            text="\n".join(progress.texts),
            versions=tuple(sorted(set(progress.versions))),
            score=score,
        )
        return self._finish(lot, item, result)

    def _start_run(
        self, lot: _Lot, item: Item, engine: Engine, now_s: float
    ) -> StartRun:
        """Starts a run, which resumes the item's text if the engine may."""
        release = engine.view.release
        kept = item.progress
        if release is None or release != kept.release:
            kept = Progress()
        item.waits_since_s = None
        self._last_run_id += 1
        run_id = self._last_run_id
        lot_id = lot.opened.spec.head.lot_id
        self._runs[run_id] = Run(
            lot_id=lot_id,
            item_id=item.spec.item_id,
            endpoint_id=engine.view.endpoint_id,
            texts=list(kept.texts),
            versions=list(kept.versions),
            started_at_s=now_s,
            last_event_at_s=now_s,
            release=release,
        )
        item.runs.add(run_id)
        engine.runs.add(run_id)
        record_prompt(engine, lot.opened.spec.head, item.spec)
        lot.to_run.pop(item.spec.item_id, None)
        return StartRun(
            run_id,
            lot_id,
            item.spec,
            engine.view.endpoint_id,
            len(kept.texts),
            release,
        )

    def _choose_engine(
        self,
        lot: _Lot,
        item: Item,
        now_s: float,
        median_interval_s: float,
    ) -> Engine | None:
        """Returns the best eligible engine with a free slot, or None.

        Engines that may resume the item's text come first. Fast engines are
        preferred, the least loaded of them; slow engines follow by speed.
        """
        head = lot.opened.spec.head
        found = [
            engine
            for engine in self._engines.values()
            if engine.view.pool == lot.opened.pool
            and not engine.view.is_loading
            and now_s >= engine.backoff_until_s
            and len(engine.runs) < engine.view.slots
            and engine.view.versions.get(head.model, 0) >= head.oldest_version
        ]
        release = item.progress.release
        if release is not None:
            same = [e for e in found if e.view.release == release]
            if not same and self._should_wait(
                lot, item, now_s, median_interval_s
            ):
                return None
            found = same or found
        if found and found[0].view.is_adaptive:
            pool = self._pool_state(lot, now_s)
            return self._placement.choose(found, pool, item, head)
        return min(
            found,
            key=lambda e: _engine_rank(e, median_interval_s),
            default=None,
        )

    def _should_wait(
        self, lot: _Lot, item: Item, now_s: float, median_interval_s: float
    ) -> bool:
        """Whether an item waits for an engine of its text's release.

        It waits no longer than it takes to generate the text again, so that
        it loses at most twice that time, and only for a while.
        """
        release = item.progress.release
        if release.pool != lot.opened.pool:
            return False
        if all(e.view.release != release for e in self._engines.values()):
            return False
        if item.waits_since_s is None:
            item.waits_since_s = now_s
        repeated_s = len(item.progress.texts) * median_interval_s
        max_wait_s = min(repeated_s, _MAX_RELEASE_WAIT_S)
        return now_s - item.waits_since_s < max_wait_s

    def _median_event_interval_s(self) -> float:
        """Returns the median of the known event intervals; 0 without any."""
        intervals_s = [
            e.event_interval_s
            for e in self._engines.values()
            if e.event_interval_s
        ]
        return statistics.median_low(intervals_s) if intervals_s else 0.0

    def _cancel_silent_runs(self, now_s: float) -> list[object]:
        """Cancels runs that received no event within their timeout."""
        actions: list[object] = []
        if now_s < self._silence_check_at_s:
            return actions
        self._silence_check_at_s = now_s + _SILENCE_CHECK_INTERVAL_S
        for run_id, run in list(self._runs.items()):
            timeout_s = (
                _SILENCE_TIMEOUT_S
                if run.event_count
                else _FIRST_EVENT_TIMEOUT_S
            )
            engine = self._engines.get(run.endpoint_id)
            if engine is not None and engine.view.is_loading:
                timeout_s += _LOADING_EXTRA_TIMEOUT_S
            if now_s - run.last_event_at_s < timeout_s:
                continue
            actions += self._abandon_run(
                run_id, "its engine sent no event in time"
            )
            self._record_failure(engine, now_s)
        return actions

    def _start_backup_runs(
        self, median_interval_s: float, now_s: float
    ) -> list[object]:
        """Starts backup runs for items on slow engines.

        A backup run is started only if a fast engine has a free slot.
        """
        actions: list[object] = self._move_runs(now_s)
        for engine in list(self._engines.values()):
            if (
                engine.view.is_adaptive
                or not median_interval_s
                or engine.event_interval_s < _SLOW_FACTOR * median_interval_s
            ):
                continue
            for run_id in list(engine.runs):
                actions += self._start_backup_run(
                    run_id, median_interval_s, now_s
                )
        return actions

    def _start_backup_run(
        self, run_id: int, median_interval_s: float, now_s: float
    ) -> list[object]:
        run = self._runs[run_id]
        lot = self._lots[run.lot_id]
        item = lot.items[run.item_id]
        if len(item.runs) > 1 or now_s - run.started_at_s < _BACKUP_RUN_DELAY_S:
            return []
        _update_progress(item, run)
        engine = self._choose_engine(lot, item, now_s, median_interval_s)
        if (
            engine is None
            or engine.view.is_cold
            or engine.event_interval_s >= _SLOW_FACTOR * median_interval_s
        ):
            return []
        return [self._start_run(lot, item, engine, now_s)]

    def _is_routed(self, run_id: int) -> bool:
        """Whether a run is at an engine of the pool that serves its lot now."""
        run = self._runs[run_id]
        engine = self._engines.get(run.endpoint_id)
        pool = self._lots[run.lot_id].opened.pool
        return engine is not None and engine.view.pool == pool

    def _move_runs(self, now_s: float) -> list[object]:
        """Starts the second runs of items that move to another engine."""
        moves = self._placement.plan_moves(
            self._engines,
            [self._context(r) for r in self._runs if self._is_routed(r)],
            now_s,
        )
        actions: list[object] = []
        for move in moves:
            run, item = move.source.run, move.source.item
            _update_progress(item, run)
            item.second_runs += 1
            engine = self._engines[move.endpoint_id]
            start = self._start_run(self._lots[run.lot_id], item, engine, now_s)
            actions.append(
                dataclasses.replace(
                    start, moved_run=move.source.run_id, reason=move.reason
                )
            )
        return actions


def _update_progress(item: Item, run: Run) -> None:
    """Replaces an item's text by a run's if that is longer."""
    if item.progress.is_whole or len(run.texts) <= len(item.progress.texts):
        return
    item.progress = Progress(
        tuple(run.texts), tuple(run.versions), release=run.release
    )


def _reusable_progress(progress: Progress, head) -> Progress:
    """Returns the text if the lot accepts its versions, else no text.

    A partial text that must come from a single version is discarded: all
    engines may serve the next version by the time it would be resumed.
    """
    if not progress.versions or min(progress.versions) < head.oldest_version:
        return Progress()
    is_mixed = len(set(progress.versions)) > 1
    if head.is_single_version and (is_mixed or not progress.is_whole):
        return Progress()
    return progress


def _violates_single_version(
    head, known: list[int], versions: tuple[int, ...]
) -> bool:
    """Whether events mix versions in a lot that requires just one."""
    return head.is_single_version and len({*known[-1:], *versions}) > 1


def _engine_rank(
    engine: Engine, median_interval_s: float
) -> tuple[bool, float, float, str]:
    """Returns a sort key: fast engines by load, then slow ones by speed.

    Engines of unknown speed count as fast. Cold ones come last.
    """
    load = (len(engine.runs) + 1) / engine.view.slots
    slowness = (
        engine.event_interval_s / median_interval_s
        if median_interval_s and engine.event_interval_s
        else 1.0
    )
    penalty = 0.0 if slowness < _SLOW_FACTOR else slowness
    view = engine.view
    return (view.is_cold, penalty, load, view.endpoint_id)


def _back_off(engine: Engine | None, now_s: float, backoff_s: float) -> None:
    if engine is not None:
        engine.backoff_until_s = max(engine.backoff_until_s, now_s + backoff_s)
