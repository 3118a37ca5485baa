"""Measures the processor time of the dispatch core at the size of a large site.

Twenty engines of six slots run the items of three trainers, some engines
slowly. Time is simulated; what is measured is the processor time of the core.
"""

import heapq
import random
import time

from absl import app, flags

from daisyhub.lots import DispatchCore, ItemSpec, LotHead, LotSpec
from daisyhub.lots._run_states import EngineView
from daisyhub.lots._run_types import (
    EnginesListed,
    FinishItem,
    LotClosed,
    LotOpened,
    RunCompleted,
    StartRun,
    StreamEventsReceived,
)

_SECONDS = flags.DEFINE_integer("seconds", 20, "Simulated seconds.")
_SLOW = flags.DEFINE_integer("slow", 4, "Engines that are 3.5 times slower.")
_ENGINES = 20
_SLOTS = 6
_ITEMS = 128
_STEP_S = 4.0
_TICK_S = 0.1
_EVENT_S = 0.05
_BATCH_S = 0.12


class _Load:
    """Plays engines and trainers against one core."""

    def __init__(self, slow: int):
        self._rng = random.Random(1)
        self._core = DispatchCore()
        self._slow = {f"e{n}" for n in range(slow)}
        self._views = EnginesListed(
            tuple(
                EngineView(f"e{n}", "pool", _SLOTS, {"m": 1})
                for n in range(_ENGINES)
            )
        )
        self._lengths: dict[str, int] = {}
        self._queue: list[tuple[float, int, str, tuple]] = []
        self._count = 0
        self.finished = 0
        self.events = 0
        self.core_s = 0.0

    def _push(self, at_s: float, kind: str, *args: object) -> None:
        self._count += 1
        heapq.heappush(self._queue, (at_s, self._count, kind, args))

    def _feed(self, event: object, now_s: float) -> None:
        started_s = time.process_time()
        actions = self._core.handle(event, now_s)
        self.core_s += time.process_time() - started_s
        for action in actions:
            if isinstance(action, StartRun):
                at_s = now_s + _BATCH_S
                self._push(at_s, "batch", action, action.resume_after)
            elif isinstance(action, FinishItem):
                self.finished += 1

    def _open_lot(self, lot_id: str, now_s: float) -> None:
        items = []
        for n in range(_ITEMS):
            item_id = f"{lot_id}.{n}"
            length = max(3, round(self._rng.lognormvariate(2.8, 0.6)))
            self._lengths[item_id] = length
            items.append(
                ItemSpec(
                    item_id=item_id,
                    path="/p",
                    headers={},
                    body=b"",
                    group=f"g{n // 16}",
                    length_hint=length,
                )
            )
        head = LotHead(
            lot_id=lot_id,
            account="a",
            host="h",
            path="/p",
            step=0,
            model="m",
            oldest_version=1,
            wanted_groups=1,
            total=_ITEMS,
        )
        spec = LotSpec(head=head, items=tuple(items))
        self._feed(LotOpened(spec, "pool", now_s + 7.5, now_s + 12), now_s)
        self._push(now_s + 12, "close", lot_id)

    def _batch(self, action: StartRun, sent: int, now_s: float) -> None:
        if self._core.find_run(action.run) is None:
            return
        is_slow = action.endpoint_id in self._slow
        event_s = _EVENT_S * (3.5 if is_slow else 1.0)
        length = self._lengths[action.item.item_id]
        span_s = max(_BATCH_S, event_s)
        count = min(length - sent, max(1, round(span_s / event_s)))
        self.events += count
        texts = ("some text",) * count
        self._feed(
            StreamEventsReceived(
                action.run, sent + 1, texts, (1,) * count, event_s
            ),
            now_s,
        )
        sent += count
        if sent == length:
            self._feed(RunCompleted(action.run, sent), now_s)
        else:
            self._push(now_s + span_s, "batch", action, sent)

    def play(self, seconds: float) -> None:
        """Plays the load for simulated seconds."""
        for trainer in range(3):
            for step in range(int(seconds / _STEP_S)):
                self._push(step * _STEP_S, "open", f"{trainer}.{step}")
        for tick in range(int(seconds / _TICK_S)):
            self._push(tick * _TICK_S, "tick")
        while self._queue:
            now_s, _, kind, args = heapq.heappop(self._queue)
            if now_s > seconds:
                return
            match kind:
                case "open":
                    self._open_lot(*args, now_s)
                case "close":
                    self._feed(LotClosed(*args), now_s)
                case "tick":
                    self._feed(self._views, now_s)
                case "batch":
                    self._batch(*args, now_s)


def _run(_: list[str]) -> None:
    for slow in (0, _SLOW.value):
        load = _Load(slow)
        load.play(_SECONDS.value)
        seconds = _SECONDS.value
        print(
            f"{slow} slow engines: {load.finished / seconds:.0f} items/s,"
            f" {load.events / seconds:.0f} events/s,"
            f" {1000 * load.core_s / max(1, load.finished):.3f} ms an item,"
            f" {100 * load.core_s / seconds:.2f}% of a core"
        )


if __name__ == "__main__":
    app.run(_run)
