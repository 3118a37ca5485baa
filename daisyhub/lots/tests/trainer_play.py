"""Plays trainers and engines of fixed speed against a dispatch core."""

import dataclasses
import math
import random

from daisyhub.balancing import Release
from daisyhub.lots import DispatchCore, ItemSpec, LotHead, LotSpec
from daisyhub.lots._lot_order import trainer_lag_s
from daisyhub.lots._run_states import EngineView
from daisyhub.lots._run_types import (
    CancelRun,
    EnginesListed,
    FinishItem,
    LotClosed,
    LotOpened,
    RunCompleted,
    StartRun,
    StreamEventsReceived,
)

DUE_S, GIVE_UP_S, PERIOD_S, TICK_S = 7.5, 12.0, 4.0, 0.1


def draw_items(rng, lot_id, groups, mean_events, per_group=4):
    """Returns items, and their true lengths; one in twelve is long."""
    items, lengths = [], {}
    for number in range(groups * per_group):
        length = rng.lognormvariate(math.log(mean_events), 0.35)
        if rng.random() < 1 / 12:
            length *= 5
        item_id = f"{lot_id}-{number}"
        lengths[item_id] = max(2, min(150, round(length)))
        hint = max(1, round(lengths[item_id] * rng.lognormvariate(0, 0.5)))
        items.append(
            ItemSpec(
                item_id=item_id,
                path="/p",
                headers={},
                body=b"",
                group=f"{lot_id}-g{number // per_group}",
                length_hint=hint,
            )
        )
    return tuple(items), lengths


@dataclasses.dataclass
class Trainer:
    """A trainer that submits a step, waits for it, and trains.

    Attributes:
        groups: Groups of a step.
        mean_events: Usual length of its texts.
        starts_s: When it wants its first step.
        in_time: Steps that were complete when they were due.
        late: Steps that were complete before it gave up.
    """

    name: str
    groups: int
    mean_events: float
    starts_s: float = 0.0
    step: int = 0
    lot_id: str = ""
    submitted_s: float = 0.0
    next_s: float = 0.0
    open_in_group: dict = dataclasses.field(default_factory=dict)
    in_time: int = 0
    late: int = 0

    @property
    def wanted(self):
        return math.ceil(0.9 * self.groups)


class Play:
    """Trainers, engines and the core under test, in steps of a tick."""

    def __init__(self, trainers, *, seed, engines=18, adaptive=True):
        self.core = DispatchCore()
        self.rngs = {t.name: random.Random(f"{seed}{t.name}") for t in trainers}
        self.trainers = trainers
        self.now_s = 0.0
        self.lengths, self.heads, self.runs = {}, {}, {}
        # What the store holds: open lots, listed items, and saved texts.
        self.specs, self.listed, self.saved = {}, {}, {}
        self.down_until_s = 0.0
        speeds = {f"e{n}": (1.0, 1.3)[n % 4 == 3] for n in range(engines)}
        self.interval_s = {e: 0.045 * s for e, s in speeds.items()}
        self.views = EnginesListed(
            tuple(
                EngineView(
                    e,
                    "pool",
                    6,
                    {"m": 1},
                    release=Release("pool", "v1"),
                    is_adaptive=adaptive,
                )
                for e in speeds
            )
        )

    def run(self, until_s):
        while self.now_s < until_s:
            self.now_s += TICK_S
            for trainer in self.trainers:
                self._drive(trainer)
            if self.now_s < self.down_until_s:
                continue
            if self.core is None:
                self._restart()
            for run, state in list(self.runs.items()):
                self._generate(run, state)
            self.feed(self.views)
            if round(self.now_s / TICK_S) % 10 == 0:
                self.saved = {
                    lot_id: self.core.progress_of(lot_id)
                    for lot_id in self.core.open_lots
                }

    def lose_power(self, outage_s):
        """Ends all daemons; trainers go on, but reach none."""
        self.down_until_s = self.now_s + outage_s
        self.core = None
        self.runs.clear()

    def _restart(self):
        self.core = DispatchCore()
        self.feed(self.views)
        for lot_id, spec in self.specs.items():
            self.feed(
                dataclasses.replace(
                    self.opened(spec),
                    listed=frozenset(self.listed[lot_id]),
                    progress=self.saved.get(lot_id, {}),
                )
            )

    def feed(self, event):
        for action in self.core.handle(event, self.now_s):
            match action:
                case StartRun():
                    interval_s = self.interval_s[action.endpoint_id]
                    self.runs[action.run] = [
                        action.item.item_id,
                        action.resume_after,
                        self.now_s,
                        interval_s,
                        action.resume_after,
                    ]
                case CancelRun():
                    self.runs.pop(action.run, None)
                case FinishItem():
                    self._finish(action)

    def _generate(self, run, state):
        if run not in self.runs:
            return
        item_id, done, started_s, interval_s, first = state
        total = self.lengths[item_id]
        count = min(total, first + int((self.now_s - started_s) / interval_s))
        if count == done:
            return
        state[1] = count
        texts = ("x",) * (count - done)
        self.feed(
            StreamEventsReceived(
                run, done + 1, texts, (1,) * len(texts), interval_s
            )
        )
        if count == total:
            del self.runs[run]
            self.feed(RunCompleted(run, total))

    def _finish(self, action):
        self.listed[action.lot_id].add(action.result.item_id)
        for trainer in self.trainers:
            if trainer.lot_id == action.lot_id and action.is_group_done:
                trainer.open_in_group["done"] += 1

    def _drive(self, trainer):
        if trainer.lot_id:
            age_s = self.now_s - trainer.submitted_s
            is_complete = trainer.open_in_group["done"] >= trainer.wanted
            if not is_complete and age_s < GIVE_UP_S:
                return
            trainer.in_time += is_complete and age_s <= DUE_S
            trainer.late += is_complete and age_s > DUE_S
            # An end that no daemon receives leaves the lot open.
            if self.core is not None:
                del self.specs[trainer.lot_id]
                self.feed(LotClosed(trainer.lot_id))
            trainer.lot_id = ""
            trainer.next_s = max(
                self.now_s + self.rngs[trainer.name].uniform(0.5, 1.0),
                trainer.starts_s + PERIOD_S * trainer.step,
            )
        is_wanted = self.now_s >= max(trainer.next_s, trainer.starts_s)
        if is_wanted and self.core is not None:
            self.submit(trainer)

    def submit(self, trainer):
        trainer.step += 1
        trainer.lot_id = f"{trainer.name}{trainer.step}"
        trainer.submitted_s = self.now_s
        trainer.open_in_group = {"done": 0}
        items, lengths = draw_items(
            self.rngs[trainer.name],
            trainer.lot_id,
            trainer.groups,
            trainer.mean_events,
        )
        self.lengths |= lengths
        head = LotHead(
            lot_id=trainer.lot_id,
            account=trainer.name,
            host="h",
            path="/p",
            step=trainer.step,
            model="m",
            oldest_version=1,
            wanted_groups=trainer.wanted,
            total=len(items),
            accepted_s=self.now_s,
            due_s=DUE_S,
            max_wait_s=40.0,
        )
        self.heads[head.lot_id] = head
        self.specs[head.lot_id] = LotSpec(head=head, items=items)
        self.listed[head.lot_id] = set()
        self.feed(self.opened(self.specs[head.lot_id]))

    def opened(self, spec):
        head = spec.head
        return LotOpened(
            spec,
            "pool",
            head.accepted_s + head.due_s,
            head.accepted_s + head.max_wait_s,
            lag_s=trainer_lag_s(head, list(self.heads.values())),
        )
