"""Decides which item of which lot runs at which engine.

Answers the load of trainers that wait for whole groups: lots in the order in
which they are due, the items of a lot by their expected length, fast engines
first: the longest text of a group decides when the group is whole, and more
runs at an engine hardly slow each one. A run that falls silent goes on at
another engine behind its last event; while fast engines have free slots, items
on slow ones get a second run there.

Times are seconds on a monotonic clock.
"""

import dataclasses
import statistics

from daisyhub.base import Core
from daisyhub.lots._run_types import (
    CancelRun,
    Engine,
    EnginesListed,
    EventArrived,
    FinishItem,
    Item,
    LotClosed,
    LotOpened,
    Progress,
    RewardFailed,
    RewardPaid,
    Run,
    RunEnded,
    RunFailed,
    RunFault,
    StartReward,
    StartRun,
)
from daisyhub.lots._types import ItemResult, ResultState

__all__ = ["DispatchCore"]

# Seconds without an event after which a run is taken to be lost: an event
# takes some tens of milliseconds, on a slow engine some hundred.
_SILENT_S = 0.6
# Seconds until the first event: reading the prompt, and a short queue.
_FIRST_EVENT_S = 1.2
# Seconds more that a run may be silent while its engine loads weights.
_LOADING_S = 3.0
# Seconds for which an engine gets no new work after a failure; doubled with
# each further one, up to the usual time of a crash and restart.
_FIRST_REST_S = 0.25
_LONGEST_REST_S = 4.0
# Seconds for which an engine that had no free place gets no new work.
_FULL_REST_S = 0.1
# Seconds before an item or a reward call is tried again after a failure.
_RETRY_S = 0.1
# How many times the usual time between events makes an engine slow: engines
# of one kind differ by some percent, those of unequal kinds by a third.
_SLOW_FACTOR = 1.2
# Seconds that a run stays at a slow engine before it may go on at another:
# shorter texts are nearly done by then.
_MOVE_AFTER_S = 0.5
# Share of a new time between events in the running mean: about ten events.
_PACE_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class _Lot:
    """An open lot, its items in the order in which they are to start."""

    opened: LotOpened
    items: dict[str, Item]
    left_in_group: dict[str, int]


class DispatchCore(Core):
    """Decides about all open lots."""

    def __init__(self):
        self._lots: dict[str, _Lot] = {}
        self._engines: dict[str, Engine] = {}
        self._runs: dict[int, Run] = {}
        self._last_run = 0

    @property
    def next_wakeup_s(self) -> float | None:
        """When to look for silent runs; ticks come with each look."""
        starts = [run.last_received_at_s for run in self._runs.values()]
        return min(starts) + _SILENT_S if starts else None

    @property
    def open_lots(self) -> tuple[str, ...]:
        """Ids of the lots that are run."""
        return tuple(self._lots)

    @property
    def waiting_items(self) -> int:
        """Items that are neither running nor done."""
        return sum(
            not item.is_done and not item.runs and not item.progress.is_whole
            for lot in self._lots.values()
            for item in lot.items.values()
        )

    @property
    def running_items(self) -> int:
        """Runs that are open."""
        return len(self._runs)

    def open_run_count(self, endpoint_id: str) -> int:
        """Returns the number of open runs at an engine."""
        engine = self._engines.get(endpoint_id)
        return len(engine.runs) if engine else 0

    def run_of(self, run: int) -> Run | None:
        """Returns an open run, or None."""
        return self._runs.get(run)

    def progress_of(self, lot_id: str) -> dict[str, Progress]:
        """Returns the text at hand of a lot's unfinished items."""
        lot = self._lots.get(lot_id)
        if lot is None:
            return {}
        for run in self._runs.values():
            if run.lot_id == lot_id:
                _keep(lot.items[run.item_id], run)
        return {
            item_id: item.progress
            for item_id, item in lot.items.items()
            if item.progress.texts
        }

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one dispatch event; returns actions."""
        actions: list[object] = []
        match event:
            case EventArrived():
                return self._on_event(event, now_s)
            case EnginesListed():
                self._on_engines(event)
            case LotOpened():
                self._on_opened(event)
            case LotClosed():
                actions += self._on_closed(event)
            case RunEnded():
                actions += self._on_ended(event, now_s)
            case RunFailed():
                actions += self._on_failed(event, now_s)
            case RewardPaid() | RewardFailed():
                actions += self._on_reward(event, now_s)
            case _:
                raise TypeError(f"not a dispatch event: {event!r}")
        return actions + self._go_on(now_s)

    def _go_on(self, now_s: float) -> list[object]:
        """Ends silent runs, then fills free slots.

        The cost of a look follows what it starts, not what waits: once no
        engine has a free slot for a kind of item, the others of that kind
        are passed over.
        """
        actions = self._end_silent(now_s)
        usual_s = self._usual_pace_s()
        full: set[tuple[str, str, int]] = set()
        for lot in sorted(
            self._lots.values(), key=lambda lot: lot.opened.due_at_s
        ):
            for item in lot.items.values():
                if _needs_nothing(item, now_s):
                    continue
                actions += self._start(lot, item, now_s, usual_s, full)
        return actions + self._start_seconds(usual_s, now_s)

    def _on_opened(self, opened: LotOpened) -> None:
        items = {}
        left: dict[str, int] = {}
        # The longest first: a long text that starts last keeps all waiting.
        longest_first = sorted(
            opened.spec.items, key=lambda spec: -spec.length_hint
        )
        for spec in longest_first:
            if spec.item_id in opened.listed:
                continue
            known = opened.known.get(spec.item_id, Progress())
            usable = _usable(known, opened.spec.head)
            items[spec.item_id] = Item(spec, progress=usable)
            left[spec.group] = left.get(spec.group, 0) + 1
        self._lots[opened.spec.head.lot_id] = _Lot(opened, items, left)

    def _on_closed(self, event: LotClosed) -> list[object]:
        lot = self._lots.pop(event.lot_id, None)
        if lot is None:
            return []
        runs = [r for item in lot.items.values() for r in item.runs]
        for run in runs:
            self._drop_run(run)
        return [CancelRun(run, "the lot was ended") for run in runs]

    def _on_engines(self, event: EnginesListed) -> None:
        """Takes the engines over; runs at those left out go on."""
        seen = {engine.endpoint_id: engine for engine in event.engines}
        for endpoint_id in [e for e in self._engines if e not in seen]:
            del self._engines[endpoint_id]
        for endpoint_id, view in seen.items():
            known = self._engines.get(endpoint_id)
            if known is None:
                known = self._engines[endpoint_id] = Engine(view)
                known.runs = {
                    number
                    for number, run in self._runs.items()
                    if run.endpoint_id == endpoint_id
                }
            known.seen = view

    def _on_event(self, event: EventArrived, now_s: float) -> list[object]:
        run = self._runs.get(event.run)
        if run is None:
            return []
        lot = self._lots[run.lot_id]
        if event.version < lot.opened.spec.head.oldest_version:
            return self._abandon(event.run, "its weights are too old")
        if _mixes(lot.opened.spec.head, run.versions, event.version):
            return self._abandon(event.run, "its weights changed")
        engine = self._engines.get(run.endpoint_id)
        if engine is not None:
            engine.failures = 0
            engine.backoff_until_s = min(engine.backoff_until_s, now_s)
            if run.events:
                self._learn_pace(engine, now_s - run.last_received_at_s)
        run.texts.append(event.data)
        run.versions.append(event.version)
        run.events += 1
        run.last_received_at_s = now_s
        return []

    def _learn_pace(self, engine: Engine, took_s: float) -> None:
        known_s = engine.pace_s or took_s
        engine.pace_s = known_s + _PACE_SHARE * (took_s - known_s)

    def _abandon(self, number: int, reason: str) -> list[object]:
        """Ends a run whose text can't be used further."""
        run = self._drop_run(number)
        lot = self._lots[run.lot_id]
        item = lot.items[run.item_id]
        _keep(item, run)
        item.progress = _usable(item.progress, lot.opened.spec.head)
        return [CancelRun(number, reason)]

    def _drop_run(self, number: int) -> Run:
        run = self._runs.pop(number)
        engine = self._engines.get(run.endpoint_id)
        if engine is not None:
            engine.runs.discard(number)
        lot = self._lots.get(run.lot_id)
        if lot is not None:
            lot.items[run.item_id].runs.discard(number)
        return run

    def _on_ended(self, event: RunEnded, now_s: float) -> list[object]:
        """Takes a whole text; other runs of the item are cancelled."""
        if event.run not in self._runs:
            return []
        run = self._drop_run(event.run)
        lot = self._lots[run.lot_id]
        item = lot.items[run.item_id]
        if not run.texts or item.progress.is_whole:
            return []
        item.progress = Progress(
            tuple(run.texts), tuple(run.versions), is_whole=True
        )
        others = list(item.runs)
        for number in others:
            self._drop_run(number)
        return [CancelRun(n, "another run ended first") for n in others]

    def _on_failed(self, event: RunFailed, now_s: float) -> list[object]:
        if event.run not in self._runs:
            return []
        run = self._drop_run(event.run)
        lot = self._lots[run.lot_id]
        item = lot.items[run.item_id]
        _keep(item, run)
        engine = self._engines.get(run.endpoint_id)
        match event.fault:
            case RunFault.FAILED:
                item.failures += 1
                if item.failures >= lot.opened.spec.head.max_attempts:
                    return self._give_up(lot, item)
                item.retry_at_s = now_s + _RETRY_S
            case RunFault.IMPOSSIBLE:
                return self._give_up(lot, item)
            case RunFault.NOT_RUN:
                _rest(engine, now_s, _FULL_REST_S)
            case RunFault.BROKEN if run.events:
                # One stream that broke off says little about the engine.
                pass
            case _:
                self._note_failure(engine, now_s)
        return []

    def _note_failure(self, engine: Engine | None, now_s: float) -> None:
        if engine is None:
            return
        engine.failures += 1
        rest_s = _FIRST_REST_S * 2 ** (engine.failures - 1)
        _rest(engine, now_s, min(rest_s, _LONGEST_REST_S))

    def _give_up(self, lot: _Lot, item: Item) -> list[object]:
        result = ItemResult(
            item_id=item.spec.item_id, state=ResultState.GIVEN_UP
        )
        return [self._finish(lot, item, result)]

    def _finish(self, lot: _Lot, item: Item, result: ItemResult) -> FinishItem:
        item.is_done = True
        lot.left_in_group[item.spec.group] -= 1
        return FinishItem(
            lot.opened.spec.head.lot_id,
            result,
            lot.left_in_group[item.spec.group] == 0,
        )

    def _on_reward(
        self, event: RewardPaid | RewardFailed, now_s: float
    ) -> list[object]:
        lot = self._lots.get(event.lot_id)
        item = lot.items.get(event.item_id) if lot else None
        if item is None or item.is_done:
            return []
        item.is_rewarded = False
        if isinstance(event, RewardPaid):
            return [self._complete(lot, item, event.score)]
        item.reward_failures += event.is_counted
        if event.is_counted and item.reward_failures >= event.max_attempts:
            return self._give_up(lot, item)
        item.retry_at_s = now_s + _RETRY_S
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

    def _start(
        self,
        lot: _Lot,
        item: Item,
        now_s: float,
        usual_s: float,
        full: set[tuple[str, str, int]],
    ) -> list[object]:
        """Starts what an item needs next, if anything can be started.

        Args:
            lot: Its lot.
            item: One that needs something.
            now_s: The time.
            usual_s: Usual time between events.
            full: Pools, models and versions found to have no free slot in
                this look; extended here.
        """
        if item.progress.is_whole:
            if item.spec.reward is None:
                return [self._complete(lot, item, "")]
            item.is_rewarded = True
            return [StartReward(lot.opened.spec.head.lot_id, item.spec)]
        if now_s >= lot.opened.give_up_at_s:
            return self._give_up(lot, item)
        head = lot.opened.spec.head
        wanted = (lot.opened.pool, head.model, head.oldest_version)
        if wanted in full:
            return []
        engine = self._choose(lot, now_s, usual_s)
        if engine is None:
            full.add(wanted)
            return []
        return [self._run(lot, item, engine, now_s)]

    def _run(
        self, lot: _Lot, item: Item, engine: Engine, now_s: float
    ) -> StartRun:
        self._last_run += 1
        number = self._last_run
        lot_id = lot.opened.spec.head.lot_id
        self._runs[number] = Run(
            lot_id=lot_id,
            item_id=item.spec.item_id,
            endpoint_id=engine.seen.endpoint_id,
            texts=list(item.progress.texts),
            versions=list(item.progress.versions),
            started_at_s=now_s,
            last_received_at_s=now_s,
        )
        item.runs.add(number)
        engine.runs.add(number)
        return StartRun(
            number,
            lot_id,
            item.spec,
            engine.seen.endpoint_id,
            len(item.progress.texts),
        )

    def _choose(self, lot: _Lot, now_s: float, usual_s: float) -> Engine | None:
        """Returns a fast engine with the most free slots, else a slow one."""
        head = lot.opened.spec.head
        found = [
            engine
            for engine in self._engines.values()
            if engine.seen.pool == lot.opened.pool
            and not engine.seen.is_loading
            and now_s >= engine.backoff_until_s
            and len(engine.runs) < engine.seen.slots
            and engine.seen.versions.get(head.model, 0) >= head.oldest_version
        ]
        return min(found, key=lambda e: _crowding(e, usual_s), default=None)

    def _usual_pace_s(self) -> float:
        paces = [e.pace_s for e in self._engines.values() if e.pace_s]
        return statistics.median_low(paces) if paces else 0.0

    def _end_silent(self, now_s: float) -> list[object]:
        """Ends runs whose engine has said nothing for too long."""
        actions: list[object] = []
        for number, run in list(self._runs.items()):
            limit_s = _SILENT_S if run.events else _FIRST_EVENT_S
            engine = self._engines.get(run.endpoint_id)
            if engine is not None and engine.seen.is_loading:
                limit_s += _LOADING_S
            if now_s - run.last_received_at_s < limit_s:
                continue
            actions += self._abandon(number, "its engine fell silent")
            self._note_failure(engine, now_s)
        return actions

    def _start_seconds(self, usual_s: float, now_s: float) -> list[object]:
        """Gives items on slow engines a second run while slots are free."""
        actions: list[object] = []
        for engine in list(self._engines.values()):
            if not usual_s or engine.pace_s < _SLOW_FACTOR * usual_s:
                continue
            for number in list(engine.runs):
                actions += self._start_second(number, usual_s, now_s)
        return actions

    def _start_second(
        self, number: int, usual_s: float, now_s: float
    ) -> list[object]:
        run = self._runs[number]
        lot = self._lots[run.lot_id]
        item = lot.items[run.item_id]
        if len(item.runs) > 1 or now_s - run.started_at_s < _MOVE_AFTER_S:
            return []
        _keep(item, run)
        engine = self._choose(lot, now_s, usual_s)
        if engine is None or engine.pace_s >= _SLOW_FACTOR * usual_s:
            return []
        return [self._run(lot, item, engine, now_s)]


def _needs_nothing(item: Item, now_s: float) -> bool:
    """Whether an item is done, at work, or must not be tried again yet."""
    is_at_work = bool(item.runs) or item.is_rewarded
    return item.is_done or is_at_work or now_s < item.retry_at_s


def _keep(item: Item, run: Run) -> None:
    """Keeps a run's text if it is longer than the one at hand."""
    if item.progress.is_whole or len(run.texts) <= len(item.progress.texts):
        return
    item.progress = Progress(tuple(run.texts), tuple(run.versions))


def _usable(progress: Progress, head) -> Progress:
    """Returns the text if its versions fit the lot, else none.

    A part of a text that must come from one version is not kept: the engines
    may all have gone on to the next by the time it is taken up.
    """
    if not progress.versions or min(progress.versions) < head.oldest_version:
        return Progress()
    is_mixed = len(set(progress.versions)) > 1
    if head.is_single_version and (is_mixed or not progress.is_whole):
        return Progress()
    return progress


def _mixes(head, versions: list[int], version: int) -> bool:
    """Whether an event breaks a lot's demand for a single version."""
    return head.is_single_version and bool(versions) and versions[-1] != version


def _crowding(engine: Engine, usual_s: float) -> tuple[float, float, str]:
    """Ranks engines: those of the usual pace first, then by free slots."""
    load = (len(engine.runs) + 1) / engine.seen.slots
    slowness = engine.pace_s / usual_s if usual_s and engine.pace_s else 1.0
    step = 0.0 if slowness < _SLOW_FACTOR else slowness
    return (step, load, engine.seen.endpoint_id)


def _rest(engine: Engine | None, now_s: float, rest_s: float) -> None:
    if engine is not None:
        engine.backoff_until_s = max(engine.backoff_until_s, now_s + rest_s)
