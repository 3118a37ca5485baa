"""What runs deliver: their events, ends and failures, and their silence."""

import math

from daisyhub.lots._dispatch_state import DispatchState, back_off
from daisyhub.lots._item_results import RETRY_DELAY_S, ItemResults
from daisyhub.lots._open_lot import (
    update_progress,
    violates_single_version,
)
from daisyhub.lots._pool_state import record_interval
from daisyhub.lots._run_states import Engine, Progress, Run, RunFault
from daisyhub.lots._run_types import (
    CancelRun,
    RunCompleted,
    RunFailed,
    StreamEventsReceived,
)

__all__ = ["SILENCE_TIMEOUT_S", "RunOutcomes"]

# Seconds without an event after which a run is considered lost. Events are
# some tens of milliseconds apart, on a slow engine some hundred.
SILENCE_TIMEOUT_S = 0.6
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
# Weight of the latest interval between events in the moving average, which
# thus covers about ten events.
_EVENT_INTERVAL_WEIGHT = 0.2
# Weight of the latest run in the usual duration of a model's runs, which thus
# covers about the items of one lot.
_DURATION_WEIGHT = 0.02
# Seconds between two searches for silent runs, which look at all of them: a
# sixth of the shortest timeout.
_SILENCE_CHECK_INTERVAL_S = 0.1


class RunOutcomes:
    """Handles what happens to open runs.

    Args:
        state: Lots, engines and runs.
        results: Finishes items.
    """

    def __init__(self, state: DispatchState, results: ItemResults):
        self._state = state
        self._results = results
        self._silence_check_at_s = -math.inf

    def on_stream_events(
        self, event: StreamEventsReceived, now_s: float
    ) -> list[object]:
        """Adds events to the text of a run that may go on."""
        run = self._state.runs.get(event.run)
        if run is None:
            return []
        known = len(run.texts) - (event.first - 1)
        if known < 0:
            return self._state.abandon_run(event.run, "events of it were lost")
        texts, versions = event.texts[known:], event.versions[known:]
        if not texts:
            return []
        head = self._state.lots[run.lot_id].opened.spec.head
        if min(versions) < head.oldest_version:
            return self._state.abandon_run(event.run, "its weights are too old")
        if violates_single_version(head, run.versions, versions):
            return self._state.abandon_run(event.run, "its weights changed")
        engine = self._state.engines.get(run.endpoint_id)
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
        run = self._state.runs[run_id]
        lot = self._state.lots[run.lot_id]
        run_ids = sorted(lot.items[run.item_id].runs)
        engine = self._state.engines.get(run.endpoint_id)
        is_adaptive = engine is not None and engine.view.is_adaptive
        if not is_adaptive or len(run_ids) == 1:
            return []
        older, newer = (self._state.context(r) for r in run_ids[:2])
        cancelled = self._state.placement.choose_cancelled(
            self._state.pool_state(lot, now_s), older, newer
        )
        if cancelled is None:
            return []
        slower, reason, backoff_s = cancelled
        slower.item.left_engines.add(slower.run.endpoint_id)
        if backoff_s:
            engine = self._state.engines.get(slower.run.endpoint_id)
            back_off(engine, now_s, backoff_s)
        return self._state.abandon_run(slower.run_id, reason)

    def _update_event_interval(
        self, engine: Engine, interval_s: float, count: int, now_s: float
    ) -> None:
        """Adds `count` intervals of this mean to the moving average."""
        mean_s = engine.event_interval_s or interval_s
        weight = 1 - (1 - _EVENT_INTERVAL_WEIGHT) ** count
        engine.event_interval_s = mean_s + weight * (interval_s - mean_s)
        record_interval(engine, interval_s, count, now_s)

    def on_completed(self, event: RunCompleted, now_s: float) -> list[object]:
        """Stores a complete text; cancels the item's other runs.

        A run that completed without any text, or of which events were lost,
        is discarded, and the item is run again.
        """
        if event.run not in self._state.runs:
            return []
        run = self._state.remove_run(event.run)
        lot = self._state.lots[run.lot_id]
        item = lot.items[run.item_id]
        if not run.texts or len(run.texts) != event.events:
            update_progress(item, run)
            lot.requeue(item)
            return []
        self._record_duration(lot.opened.spec.head.model, run, now_s)
        self._state.failures.remove_runs(self._state.identity(lot, item))
        self._state.placement.lengths.observe(
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
            self._state.remove_run(run_id)
        lot.requeue(item)
        return [CancelRun(r, "another run completed first") for r in others]

    def _record_duration(self, model: str, run: Run, now_s: float) -> None:
        """Adds a whole run to the model's usual duration."""
        if run.event_count < len(run.texts):
            # It resumed another run.
            return
        took_s = now_s - run.started_at_s
        mean_s = self._state.mean_run_s.get(model, took_s)
        self._state.mean_run_s[model] = mean_s + _DURATION_WEIGHT * (
            took_s - mean_s
        )

    def on_failed(self, event: RunFailed, now_s: float) -> list[object]:
        """Decides when the item of a failed run may run again."""
        if event.run not in self._state.runs:
            return []
        run = self._state.remove_run(event.run)
        lot = self._state.lots[run.lot_id]
        item = lot.items[run.item_id]
        update_progress(item, run)
        engine = self._state.engines.get(run.endpoint_id)
        match event.fault:
            case RunFault.FAILED:
                item.failures += 1
                max_attempts = lot.opened.spec.head.max_attempts
                identity = self._state.identity(lot, item)
                if self._state.failures.add_run(identity, max_attempts):
                    return self._results.give_up_everywhere(identity)
                if item.failures >= max_attempts:
                    return self._results.give_up(lot, item)
                item.retry_at_s = now_s + RETRY_DELAY_S
            case RunFault.IMPOSSIBLE:
                identity = self._state.identity(lot, item)
                self._state.failures.add_impossible(identity)
                return self._results.give_up_everywhere(identity)
            case RunFault.NOT_RUN:
                backoff_s = max(_NO_SLOT_BACKOFF_S, event.retry_after_s)
                back_off(engine, now_s, backoff_s)
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
        back_off(engine, now_s, min(backoff_s, _MAX_BACKOFF_S))

    def cancel_silent_runs(self, now_s: float) -> list[object]:
        """Cancels runs that received no event within their timeout.

        Looks at them once per `_SILENCE_CHECK_INTERVAL_S` at most.
        """
        actions: list[object] = []
        if now_s < self._silence_check_at_s:
            return actions
        self._silence_check_at_s = now_s + _SILENCE_CHECK_INTERVAL_S
        for run_id, run in list(self._state.runs.items()):
            timeout_s = (
                SILENCE_TIMEOUT_S if run.event_count else _FIRST_EVENT_TIMEOUT_S
            )
            engine = self._state.engines.get(run.endpoint_id)
            if engine is not None and engine.view.is_loading:
                timeout_s += _LOADING_EXTRA_TIMEOUT_S
            if now_s - run.last_event_at_s < timeout_s:
                continue
            actions += self._state.abandon_run(
                run_id, "its engine sent no event in time"
            )
            self._record_failure(engine, now_s)
        return actions
