"""Expected speed and health of the engines of an adaptive pool.

Used by the placement of items. Times are seconds on the clock of the dispatch
core.
"""

import math
import statistics
from collections.abc import Iterable, Mapping

from daisyhub.lots._run_states import Engine, Run
from daisyhub.lots._types import ItemSpec, LotHead

__all__ = [
    "PoolState",
    "capacity",
    "expected_interval_s",
    "record_interval",
    "record_prompt",
]

# A run is silent after this many expected event intervals without an event.
_SILENT_INTERVALS = 2.0
# Seconds added to that for reports of workers, which are sent every 0.12 s, and
# for the way to the holder. Reports may be some tens of milliseconds late, and
# each run of the worker would move then.
_REPORT_DELAY_S = 0.2
# Seconds added for the first event: order, connection, prompt, a short queue.
_FIRST_EVENT_EXTRA_S = 0.3
# Share of the busy engines that may be silent at a time. If more are, the
# daemon or its network is slow rather than an engine.
_MAX_SILENT_SHARE = 0.5
# Time constant in seconds with which an unused measurement of an engine's
# speed reverts to its usual speed. Slow phases last about eight seconds.
_MEASUREMENT_AGE_S = 4.0
# Weight of the latest interval of a run in the recent event interval. The pace
# of an instance changes many times a second by some percent, and an average
# over ten events of all runs together caused moves between equal engines.
_RECENT_INTERVAL_WEIGHT = 0.1
# The same for an interval that differs from the average by more than the factor
# below, as it does when an engine becomes slow or recovers.
_CHANGED_INTERVAL_WEIGHT = 0.4
_CHANGE_FACTOR = 1.6
# Least weight of an interval in an engine's usual event interval, which thus
# covers several hundred events, more than a slow phase has.
_USUAL_INTERVAL_WEIGHT = 0.002
# Number of groups whose prompt an engine is assumed to have in its cache.
_MAX_PROMPTS = 64
# Seconds between events if no engine of a pool has been measured.
_DEFAULT_INTERVAL_S = 0.05


class PoolState:
    """The engines of an adaptive pool at one time.

    Args:
        name: The pool.
        engines: Engines of all pools.
        runs: Runs by id; those of other pools are ignored.
        now_s: The time.
    """

    def __init__(
        self,
        name: str,
        engines: Iterable[Engine],
        runs: Mapping[int, Run],
        now_s: float,
    ):
        self._engines = [e for e in engines if e.view.pool == name]
        self._runs = runs
        self._now_s = now_s
        known = [
            e.recent_interval_s for e in self._engines if e.recent_interval_s
        ]
        self._median_s = (
            statistics.median_low(known) if known else _DEFAULT_INTERVAL_S
        )
        self._intervals_s = {
            e.view.endpoint_id: expected_interval_s(e, self._median_s, now_s)
            for e in self._engines
        }

    def interval_s(self, engine: Engine) -> float:
        """Returns the expected time between events of a run at an engine."""
        return self._intervals_s[engine.view.endpoint_id]

    def run_interval_s(self, run: Run) -> float:
        """Returns the expected time between a run's events.

        The median counts for an engine that is no longer listed.
        """
        return self._intervals_s.get(run.endpoint_id, self._median_s)

    def is_run_silent(self, run: Run) -> bool:
        """Whether a run has had no event for too long."""
        interval_s = self.run_interval_s(run)
        timeout_s = _SILENT_INTERVALS * interval_s + _REPORT_DELAY_S
        if not run.event_count:
            timeout_s += _FIRST_EVENT_EXTRA_S
        return self._now_s - run.last_event_at_s > timeout_s

    def is_stalled(self, engine: Engine) -> bool:
        """Whether all runs at an engine that had events are silent."""
        runs = [self._runs[r] for r in engine.runs if r in self._runs]
        begun = [run for run in runs if run.event_count]
        return bool(begun) and all(self.is_run_silent(run) for run in begun)

    @property
    def is_mostly_silent(self) -> bool:
        """Whether so many engines are silent that the cause is elsewhere."""
        busy = [e for e in self._engines if e.runs]
        silent = sum(self.is_stalled(e) for e in busy)
        return silent > 1 and silent > _MAX_SILENT_SHARE * len(busy)

    def targets(self) -> list[Engine]:
        """Returns the engines that may get second runs, the fastest first."""
        found = [
            e
            for e in self._engines
            if not e.view.is_loading
            and not e.view.is_cold
            and self._now_s >= e.backoff_until_s
            and len(e.runs) < capacity(e)
            and not self.is_stalled(e)
        ]
        return sorted(
            found,
            key=lambda e: (self.interval_s(e), len(e.runs), e.view.endpoint_id),
        )


def expected_interval_s(engine: Engine, median_s: float, now_s: float) -> float:
    """Returns the expected time between events of a run at an engine.

    The holder's own measurement counts if there is one. While no events arrive
    it reverts to the engine's usual speed, as an engine that every run left for
    being slow would otherwise stay unused.

    Args:
        engine: The engine.
        median_s: Median of the measured intervals of its pool, in seconds.
        now_s: The time.
    """
    prior_s = engine.view.slowdown * median_s
    if not engine.recent_interval_s:
        return prior_s
    if engine.usual_interval_s and engine.view.slowdown == 1.0:
        prior_s = engine.usual_interval_s
    age_s = max(0.0, now_s - engine.measured_at_s)
    weight = math.exp(-age_s / _MEASUREMENT_AGE_S)
    return prior_s + weight * (engine.recent_interval_s - prior_s)


def record_interval(
    engine: Engine, interval_s: float, count: int, now_s: float
) -> None:
    """Adds `count` intervals of this mean to the averages of an engine.

    Runs at an engine measure the same speed at the same time, so that the
    weight of each is divided by their number.
    """
    recent_s = engine.recent_interval_s or interval_s
    factor = max(interval_s / recent_s, recent_s / interval_s)
    weight = (
        _CHANGED_INTERVAL_WEIGHT
        if factor > _CHANGE_FACTOR
        else _RECENT_INTERVAL_WEIGHT
    )
    weight = 1 - (1 - weight) ** (count / max(1, len(engine.runs)))
    engine.recent_interval_s = recent_s + weight * (interval_s - recent_s)
    engine.interval_count += count
    usual_s = engine.usual_interval_s or interval_s
    weight = 1 - (1 - _USUAL_INTERVAL_WEIGHT) ** count
    weight = max(weight, count / engine.interval_count)
    engine.usual_interval_s = usual_s + weight * (interval_s - usual_s)
    engine.measured_at_s = now_s


def record_prompt(engine: Engine, head: LotHead, spec: ItemSpec) -> None:
    """Records that an engine reads the prompt of an item's group."""
    prompt = (head.account, spec.group)
    engine.prompts.pop(prompt, None)
    engine.prompts[prompt] = None
    if len(engine.prompts) > _MAX_PROMPTS:
        del engine.prompts[next(iter(engine.prompts))]


def capacity(engine: Engine) -> int:
    """Returns the number of runs that an engine sustains, at least 1."""
    if engine.view.limit is None:
        return engine.view.slots
    return max(1, min(engine.view.slots, math.floor(engine.view.limit)))
