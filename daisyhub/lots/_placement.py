"""Decides which engine runs an item, and when a run moves to another one.

Addresses steps that are late because their longest texts run on slow engines.
An item is placed on the engine where it is expected to end first. A run moves
if it is expected to end clearly sooner elsewhere, or if it is silent: a second
run resumes its text on the other engine, and the slower of both is cancelled
at the second run's first event.

Text lengths have a heavy tail: a text that has outgrown its expected length
is expected to go on for the longer the longer it is.

Used for adaptive pools only. All functions are deterministic; times are seconds
on the clock of the dispatch core.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from daisyhub.lots._length_estimator import LengthEstimator
from daisyhub.lots._pool_state import PoolState, capacity
from daisyhub.lots._run_states import Engine, Item, Run
from daisyhub.lots._types import LotHead

__all__ = ["Move", "Placement", "RunContext"]

# Seconds between two searches for runs to move, which look at all runs: about
# one event interval.
_MOVE_CHECK_INTERVAL_S = 0.05
# A move must save this many seconds and this share of the remaining time. It
# costs some milliseconds of prompt processing and a connection, and estimates
# of lengths are often wrong by a factor of 1.6.
_MIN_GAIN_S = 0.3
_MIN_GAIN_SHARE = 0.2
# Seconds until the first event of a run: a connection and the prompt.
_START_GAP_S = 0.08
# Maximum number of moves of an item. Each costs a connection.
_MAX_MOVES = 3
# Maximum number of second runs of an item, with those that fail, for example
# since the engine is full.
_MAX_SECOND_RUNS = 6
# A run must have received this many events before it moves to a faster engine
# so that the engine's event interval includes it.
_MIN_EVENTS_BEFORE_MOVE = 2
# A run moves if it has at least this share of the longest remaining time of its
# lot's runs. Others end before the lot even if their lengths are
# underestimated.
_LATE_SHARE = 0.4
# Seconds of silence after which the dispatch core gives a run up, which it does
# with silent runs that don't move.
_SILENCE_S = 0.6
# Seconds for which an engine that runs left because it was silent gets no new
# runs; an event of another run ends it.
_STALL_BACKOFF_S = 1.0
# Engines whose expected ends differ by less than this share are equal: the
# moving averages vary by about as much.
_EQUAL_SHARE = 0.1
# Load up to which engines of equal speed are equally good. Below it, another
# run hardly slows the others.
_LIGHT_LOAD = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RunContext:
    """A run with the records that it belongs to.

    Attributes:
        run_id: Its id.
        run: The run.
        item: Its item.
        head: Its lot.
    """

    run_id: int
    run: Run
    item: Item
    head: LotHead


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A run to move.

    Attributes:
        source: The run.
        endpoint_id: The engine that it moves to.
        reason: Why, for the log.
    """

    source: RunContext
    endpoint_id: str
    reason: str


class Placement:
    """Chooses engines for items and plans moves of runs."""

    def __init__(self):
        self.lengths = LengthEstimator()
        self._check_at_s = -math.inf

    def choose(
        self,
        found: Iterable[Engine],
        pool: PoolState,
        item: Item,
        head: LotHead,
    ) -> Engine | None:
        """Returns the engine at which an item is expected to end first.

        Args:
            found: Eligible engines with free slots.
            pool: The engines of the pool.
            item: The item.
            head: Its lot.

        Returns:
            The engine, or None if none is eligible.
        """
        eligible = list(found)
        healthy = [e for e in eligible if not pool.is_stalled(e)] or eligible
        # Runs at cold engines wait for permits.
        warm = [e for e in healthy if not e.view.is_cold] or healthy
        within = [e for e in warm if len(e.runs) < capacity(e)] or warm
        return _fastest(within, pool, (head.account, item.spec.group), {})

    def plan_moves(
        self,
        engines: Mapping[str, Engine],
        runs: Iterable[RunContext],
        now_s: float,
    ) -> list[Move]:
        """Plans moves of runs in adaptive pools, at most every 50 ms.

        The runs that are expected to end last get the fastest free slots.

        Args:
            engines: All engines by endpoint id.
            runs: All runs.
            now_s: The time.
        """
        if now_s < self._check_at_s:
            return []
        self._check_at_s = now_s + _MOVE_CHECK_INTERVAL_S
        if not any(e.view.is_adaptive for e in engines.values()):
            return []
        by_pool: dict[str, list[RunContext]] = {}
        for context in runs:
            engine = engines.get(context.run.endpoint_id)
            if engine is not None and engine.view.is_adaptive:
                by_pool.setdefault(engine.view.pool, []).append(context)
        return [
            move
            for name, contexts in by_pool.items()
            for move in self._plan_pool_moves(
                PoolState(
                    name,
                    engines.values(),
                    {c.run_id: c.run for c in contexts},
                    now_s,
                ),
                contexts,
            )
        ]

    def _plan_pool_moves(
        self, pool: PoolState, contexts: list[RunContext]
    ) -> list[Move]:
        targets = pool.targets()
        planned: dict[str, int] = {}
        moves = []
        for context in self._sort_by_urgency(pool, contexts):
            free = [
                e
                for e in targets
                if len(e.runs) + planned.get(e.view.endpoint_id, 0)
                < capacity(e)
                and _may_continue(context, e)
            ]
            prompt = (context.head.account, context.item.spec.group)
            target = _fastest(free, pool, prompt, planned)
            if target is None:
                continue
            reason = self._reason_to_move(pool, context, target)
            if reason:
                endpoint_id = target.view.endpoint_id
                planned[endpoint_id] = planned.get(endpoint_id, 0) + 1
                moves.append(Move(context, endpoint_id, reason))
        return moves

    def _sort_by_urgency(
        self, pool: PoolState, contexts: list[RunContext]
    ) -> list[RunContext]:
        """Returns the runs that may move, silent ones first.

        They are followed by those that are expected to end last.
        """
        left_s = {
            c.run_id: self._remaining(c) * pool.run_interval_s(c.run)
            for c in contexts
        }
        lot_left_s: dict[str, float] = {}
        for c in contexts:
            known_s = lot_left_s.get(c.run.lot_id, 0.0)
            lot_left_s[c.run.lot_id] = max(known_s, left_s[c.run_id])
        is_mostly_silent = pool.is_mostly_silent
        found = []
        for context in contexts:
            run, item = context.run, context.item
            if len(item.runs) > 1 or not _has_moves_left(item):
                continue
            is_silent = pool.is_run_silent(run)
            if is_silent and is_mostly_silent:
                continue
            if not is_silent and run.event_count < _MIN_EVENTS_BEFORE_MOVE:
                continue
            own_left_s = left_s[context.run_id]
            wait_s = _SILENCE_S if is_silent else 0.0
            if own_left_s + wait_s < _LATE_SHARE * lot_left_s[run.lot_id]:
                continue
            found.append((not is_silent, -own_left_s, context.run_id, context))
        return [entry[-1] for entry in sorted(found, key=lambda e: e[:3])]

    def _reason_to_move(
        self, pool: PoolState, context: RunContext, target: Engine
    ) -> str:
        """Returns why a run moves to an engine; empty if it doesn't."""
        if pool.is_run_silent(context.run):
            return "its engine is silent"
        remaining = self._remaining(context)
        here_s = remaining * pool.run_interval_s(context.run)
        gain_s = here_s - remaining * pool.interval_s(target) - _START_GAP_S
        if gain_s < max(_MIN_GAIN_S, _MIN_GAIN_SHARE * here_s):
            return ""
        return f"expected to end {gain_s:.1f} s sooner"

    def choose_cancelled(
        self, pool: PoolState, older: RunContext, newer: RunContext
    ) -> tuple[RunContext, str, float] | None:
        """Decides which of an item's two runs is cancelled.

        Args:
            pool: The engines of the pool.
            older: The run that was to move.
            newer: The run that was started for it.

        Returns:
            The run, the reason for the log, and the seconds for which its
            engine is to get no new runs. None while both continue, which they
            do until the newer one has received an event.
        """
        if not newer.run.event_count:
            return None
        if pool.is_run_silent(older.run):
            reason = f"its engine is silent; moved to {newer.run.endpoint_id}"
            return older, reason, _STALL_BACKOFF_S
        remaining = self._remaining(older)
        lead = len(older.run.texts) - len(newer.run.texts)
        older_s = remaining * pool.run_interval_s(older.run)
        newer_s = (remaining + lead) * pool.run_interval_s(newer.run)
        if newer_s < older_s:
            return older, f"moved to {newer.run.endpoint_id}", 0.0
        return newer, f"{older.run.endpoint_id} is no slower", 0.0

    def _remaining(self, context: RunContext) -> float:
        return self.lengths.remaining(
            context.head.model,
            context.item.spec.length_hint,
            len(context.run.texts),
        )


def _fastest(
    engines: list[Engine],
    pool: PoolState,
    prompt: tuple[str, str],
    planned: Mapping[str, int],
) -> Engine | None:
    """Returns the engine at which a text ends first; None without engines.

    Among engines of about equal speed, it is the least loaded one; those that
    are lightly loaded count as equal, and one that has read the prompt comes
    first.

    Args:
        engines: Engines with a free slot.
        pool: The engines of the pool.
        prompt: Account and group of the item.
        planned: Number of further runs that are planned, by endpoint id.
    """
    if not engines:
        return None
    bound_s = (1 + _EQUAL_SHARE) * min(map(pool.interval_s, engines))

    def preference(engine: Engine) -> tuple[float, bool, float, str]:
        endpoint_id = engine.view.endpoint_id
        runs = len(engine.runs) + planned.get(endpoint_id, 0) + 1
        load = runs / capacity(engine)
        has_read = prompt in engine.prompts
        return (max(load, _LIGHT_LOAD), not has_read, load, endpoint_id)

    equal = [e for e in engines if pool.interval_s(e) <= bound_s]
    return min(equal, key=preference)


def _has_moves_left(item: Item) -> bool:
    return (
        len(item.left_engines) < _MAX_MOVES
        and item.second_runs < _MAX_SECOND_RUNS
    )


def _may_continue(context: RunContext, target: Engine) -> bool:
    """Whether an engine may resume a run's text.

    A text continues only at the release that began it, and in a lot that
    requires a single version only with the version that began it. An engine
    that the item left isn't used again.
    """
    run, item, head, view = (
        context.run,
        context.item,
        context.head,
        target.view,
    )
    version = view.versions.get(head.model, 0)
    if view.endpoint_id == run.endpoint_id or version < head.oldest_version:
        return False
    if view.endpoint_id in item.left_engines:
        return False
    if not run.texts and not item.progress.texts:
        return True
    if view.release is None or view.release != run.release:
        return False
    if head.is_single_version and run.versions and run.versions[-1] != version:
        return False
    # Otherwise a longer text of another release would be begun anew.
    is_longest = len(run.texts) > len(item.progress.texts)
    return is_longest or item.progress.release == run.release
