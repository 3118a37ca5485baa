"""Chooses engines for items and starts their runs."""

import dataclasses

from daisyhub.lots._dispatch_state import DispatchState
from daisyhub.lots._open_lot import OpenLot, update_progress
from daisyhub.lots._pool_state import record_prompt
from daisyhub.lots._run_states import Engine, Item, Progress, Run
from daisyhub.lots._run_types import StartRun

__all__ = ["RunStarter"]

# An engine is slow if its event interval is at least this many times the
# median. Engines of one kind differ by some percent, those of different kinds
# by a third.
_SLOW_FACTOR = 1.2
# Seconds before an item that runs on a slow engine may get a backup run.
# Shorter texts are nearly complete by then.
_BACKUP_RUN_DELAY_S = 0.5
# Maximum seconds for which an item waits for an engine of its text's release:
# less than half of the time that an item may be at no engine while others have
# room (5 s, set by the platform).
_MAX_RELEASE_WAIT_S = 2.0


class RunStarter:
    """Starts runs of items, backup runs and runs that replace others.

    Args:
        state: Lots, engines and runs.
    """

    def __init__(self, state: DispatchState):
        self._state = state
        self._last_run_id = 0

    def start_items(
        self,
        lot: OpenLot,
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
            if now_s < item.retry_at_s or not item.place.is_read:
                continue
            engine = self._choose_engine(lot, item, now_s, median_interval_s)
            if engine is None and item.waits_since_s is not None:
                continue
            if engine is None:
                exhausted.add(requirement)
                break
            actions.append(self._start_run(lot, item, engine, now_s))
        return actions

    def _start_run(
        self, lot: OpenLot, item: Item, engine: Engine, now_s: float
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
        self._state.runs[run_id] = Run(
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
        lot: OpenLot,
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
            for engine in self._state.engines.values()
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
            pool = self._state.pool_state(lot, now_s)
            return self._state.placement.choose(found, pool, item, head)
        return min(
            found,
            key=lambda e: _engine_rank(e, median_interval_s),
            default=None,
        )

    def _should_wait(
        self, lot: OpenLot, item: Item, now_s: float, median_interval_s: float
    ) -> bool:
        """Whether an item waits for an engine of its text's release.

        It waits no longer than it takes to generate the text again, so that
        it loses at most twice that time, and only for a while.
        """
        release = item.progress.release
        if release.pool != lot.opened.pool:
            return False
        if all(e.view.release != release for e in self._state.engines.values()):
            return False
        if item.waits_since_s is None:
            item.waits_since_s = now_s
        repeated_s = len(item.progress.texts) * median_interval_s
        max_wait_s = min(repeated_s, _MAX_RELEASE_WAIT_S)
        return now_s - item.waits_since_s < max_wait_s

    def start_backup_runs(
        self, median_interval_s: float, now_s: float
    ) -> list[object]:
        """Starts backup runs for items on slow engines.

        A backup run is started only if a fast engine has a free slot.
        """
        actions: list[object] = self._move_runs(now_s)
        for engine in list(self._state.engines.values()):
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
        run = self._state.runs[run_id]
        lot = self._state.lots[run.lot_id]
        item = lot.items[run.item_id]
        if len(item.runs) > 1 or not item.place.is_read:
            return []
        if now_s - run.started_at_s < _BACKUP_RUN_DELAY_S:
            return []
        update_progress(item, run)
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
        run = self._state.runs[run_id]
        engine = self._state.engines.get(run.endpoint_id)
        pool = self._state.lots[run.lot_id].opened.pool
        return engine is not None and engine.view.pool == pool

    def _move_runs(self, now_s: float) -> list[object]:
        """Starts the second runs of items that move to another engine."""
        moves = self._state.placement.plan_moves(
            self._state.engines,
            [
                self._state.context(r)
                for r in self._state.runs
                if self._is_routed(r)
            ],
            now_s,
        )
        actions: list[object] = []
        for move in moves:
            run, item = move.source.run, move.source.item
            if not item.place.is_read:
                continue
            update_progress(item, run)
            item.second_runs += 1
            engine = self._state.engines[move.endpoint_id]
            start = self._start_run(
                self._state.lots[run.lot_id], item, engine, now_s
            )
            actions.append(
                dataclasses.replace(
                    start, moved_run=move.source.run_id, reason=move.reason
                )
            )
        return actions


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
