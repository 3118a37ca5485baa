"""Engines on a fake clock for tests of the dispatch core.

They send events at given speeds and answer as workers do: with reports of all
events of 0.12 s.
"""

import dataclasses
import math
from collections.abc import Callable

from daisyhub.balancing import Release
from daisyhub.lots import DispatchCore
from daisyhub.lots._run_states import EngineView
from daisyhub.lots._run_types import (
    CancelRun,
    EnginesListed,
    FinishItem,
    RunCompleted,
    StartRun,
    StreamEventsReceived,
)

_STEP_S = 0.005
_TICK_S = 0.1
_REPORT_S = 0.12
_START_GAP_S = 0.06

IntervalSource = Callable[[str, float], float]


def adaptive(listed, **fields):
    """Returns the engines as those of an adaptive pool.

    Args:
        listed: The engines.
        **fields: Fields that differ, by endpoint id.
    """
    return EnginesListed(
        tuple(
            dataclasses.replace(
                view, is_adaptive=True, **fields.get(view.endpoint_id, {})
            )
            for view in listed.engines
        )
    )


@dataclasses.dataclass
class _Stream:
    start: StartRun
    next_event_s: float
    sent: int
    unreported: list[str] = dataclasses.field(default_factory=list)
    last_event_s: float | None = None
    reported_event_s: float | None = None


class FakeEngines:
    """Drives a dispatch core.

    Args:
        ids: The engines.
        interval_s: Returns the time between events of an engine at a time;
            infinite while it is stalled.
        is_adaptive: Whether the pool is adaptive.
        slots: Slots of each engine.
    """

    def __init__(self, ids, interval_s: IntervalSource, is_adaptive, slots=6):
        self.core = DispatchCore()
        self.now_s = 0.0
        self.starts: list[StartRun] = []
        self.cancels: list[CancelRun] = []
        self.results = {}
        self.lengths: dict[str, int] = {}
        self._interval_s = interval_s
        self._streams: dict[int, _Stream] = {}
        self._tick_at_s = 0.0
        self._report_at_s = 0.0
        self.listed = EnginesListed(
            tuple(
                EngineView(
                    endpoint_id=i,
                    pool="pool",
                    slots=slots,
                    versions={"m": 1},
                    release=Release("pool", "v1"),
                    is_adaptive=is_adaptive,
                )
                for i in ids
            )
        )
        self._feed(self.listed)

    @property
    def moves(self) -> list[StartRun]:
        """Runs that were started to replace another one."""
        return [start for start in self.starts if start.moved_run]

    def run(self, opened, lengths: dict[str, int], until_s=math.inf) -> float:
        """Opens a lot; returns the seconds until all its items have results."""
        self.lengths |= lengths
        started_s = self.now_s
        self._feed(opened)
        while not lengths.keys() <= self.results.keys():
            self.step()
            if self.now_s - started_s > until_s:
                break
        return self.now_s - started_s

    def step(self):
        """Advances the clock by 5 ms."""
        self.now_s += _STEP_S
        for stream in self._streams.values():
            self._generate(stream)
        if self.now_s >= self._report_at_s:
            self._report_at_s = self.now_s + _REPORT_S
            for run, stream in list(self._streams.items()):
                self._report(run, stream)
        if self.now_s >= self._tick_at_s:
            self._tick_at_s = self.now_s + _TICK_S
            self._feed(self.listed)

    def _generate(self, stream):
        length = self.lengths[stream.start.item.item_id]
        interval_s = self._interval_s(stream.start.endpoint_id, self.now_s)
        if math.isinf(interval_s):
            stream.next_event_s += _STEP_S
            return
        if stream.sent < length and self.now_s >= stream.next_event_s:
            stream.sent += 1
            stream.unreported.append(f"{stream.sent}@{stream.start.run}")
            stream.last_event_s = self.now_s
            stream.next_event_s += interval_s

    def _report(self, run, stream):
        texts, stream.unreported = tuple(stream.unreported), []
        if texts:
            before_s = stream.reported_event_s
            interval_s = (
                (stream.last_event_s - before_s) / len(texts)
                if before_s is not None
                else 0.0
            )
            stream.reported_event_s = stream.last_event_s
            self._feed(
                StreamEventsReceived(
                    run,
                    stream.sent - len(texts) + 1,
                    texts,
                    (1,) * len(texts),
                    interval_s,
                    self.now_s - stream.last_event_s,
                )
            )
        if (
            run in self._streams
            and stream.sent == self.lengths[stream.start.item.item_id]
        ):
            del self._streams[run]
            self._feed(RunCompleted(run, stream.sent))

    def _feed(self, event):
        for action in self.core.handle(event, self.now_s):
            match action:
                case StartRun():
                    self.starts.append(action)
                    self._streams[action.run] = _Stream(
                        action,
                        self.now_s + _START_GAP_S,
                        action.resume_after,
                    )
                case CancelRun():
                    self.cancels.append(action)
                    self._streams.pop(action.run, None)
                case FinishItem():
                    item_id = action.result.item_id
                    assert item_id not in self.results
                    self.results[item_id] = action.result
