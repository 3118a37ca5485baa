"""Trainers' lots through the lot core, with engines that fail and swap."""

import dataclasses
import functools
import random

from benchmarks.measure.clock import Clock
from benchmarks.measure.faults import engine_faults
from benchmarks.measure.workloads import Site
from daisyhub.balancing import EndpointTable, LeastLoaded, RoundRobin
from daisyhub.hosting import EndpointRecord
from daisyhub.rollouts import (
    CancelSample,
    DeliverGroups,
    EngineResponse,
    Generate,
    LotCore,
    LotSpec,
    LotState,
    LotTick,
    PullRequested,
    ReadState,
    RefuseCall,
    SampleFailed,
    SampleReceived,
    Span,
    StateRead,
    StateWritten,
    WriteState,
)
from daisyhub.rollouts._slot_table import SlotTable

__all__ = ["LotPolicy", "LotResult", "run_lots"]

_CAPACITY = 16
_SWAP_S = 1.0
_STORE_S = 0.01
_PULL_WAIT_S = 10.0
_LONG_SHARE = 0.03
_LONG_FACTOR = 4.0
_DETECT_S = 0.01
_PAUSE_S = 0.001
_LIMIT_S = 3000.0
_POOL = "model"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotPolicy:
    """What decides.

    Attributes:
        name: For the table.
        is_least_loaded: Less loaded of two, or round robin.
        keeps_samples: A lost sample leaves the others of its group, or not.
        is_site_wide: Whether a lot uses the engines of all domains.
        timeout_s: When a generation without an answer is given up.
        max_staleness: Bound in versions.
        spare_samples: Second attempts start for groups that miss at most
            this many samples.
        has_faults: Whether the fault script runs.
    """

    name: str
    is_least_loaded: bool = True
    keeps_samples: bool = True
    is_site_wide: bool = False
    timeout_s: float = 60.0
    max_staleness: int = 2
    spare_samples: int = 0
    has_faults: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotResult:
    """Figures of one run, over all trainers."""

    idle_share: float
    staleness: float
    wasted: float


class _RestartingSlots(SlotTable):
    """Plain baseline: a lost sample takes its whole group with it."""

    def fail_attempt(self, attempt: int, now_s: float) -> None:
        place = self.slot_of(attempt)
        super().fail_attempt(attempt, now_s)
        if place is None:
            return
        group = place[0]
        for index, slot in enumerate(self._groups.get(group, ())):
            if slot.sample is None:
                continue
            slot.sample = None
            self._missing_samples[group] += 1
            self.dropped_samples += 1
            self._schedule_retry(group, index, now_s)


class _GroupRestartingCore(LotCore):
    """A lot core over these slots."""

    def __init__(self, spec: LotSpec, holder: str):
        super().__init__(spec, holder)
        self._slots = _RestartingSlots(spec)


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One attempt at an engine; `slot` is -1 if the engine refused it."""

    number: int
    engine: "_Engine"
    sent_s: float
    first_version: int
    slot: int = -1
    begins_s: float = 0.0
    ends_s: float = 0.0


class _Engine:
    """Makes `_CAPACITY` samples at one time; one version for each pool."""

    def __init__(self, run: "_Run", name: str, number: int):
        self.run = run
        self.name = name
        self.number = number
        self.versions = dict.fromkeys(range(run.site.trainers), 0)
        self._free_at_s = [0.0] * _CAPACITY

    def is_in(self, kind: str, start_s: float) -> bool:
        """Whether a fault of this kind was on between `start_s` and now."""
        return any(
            f.kind == kind
            and f.target == self.number
            and f.start_s <= self.run.clock.now_s
            and start_s < f.end_s
            for f in self.run.faults
        )

    def reserve(self, attempt: _Attempt) -> None:
        """Sets when a new sample will start and be done."""
        length_s = self.run.sample_s()
        slot = min(range(_CAPACITY), key=self._free_at_s.__getitem__)
        attempt.slot = slot
        attempt.begins_s = max(self.run.clock.now_s, self._free_at_s[slot])
        attempt.ends_s = attempt.begins_s + length_s
        self._free_at_s[slot] = attempt.ends_s

    def free(self, attempt: _Attempt) -> None:
        """Ends an attempt early, if nothing waits behind it."""
        if self._free_at_s[attempt.slot] == attempt.ends_s:
            free_s = max(self.run.clock.now_s, attempt.begins_s)
            self._free_at_s[attempt.slot] = free_s

    def swap(self, trainer: int, version: int) -> None:
        self.versions[trainer] = max(version, self.versions[trainer])
        self._free_at_s = [
            max(t, self.run.clock.now_s) + _SWAP_S for t in self._free_at_s
        ]


class _Trainer:
    """Pulls a step's groups, trains, publishes the next version."""

    def __init__(self, run: "_Run", number: int):
        site, policy = run.site, run.policy
        self.run = run
        self.number = number
        spec = LotSpec(
            lot_id=f"lot-{number}",
            lot_class="assess",
            account="trainer",
            pool=_POOL,
            prompts=("prompt",) * (site.steps * site.groups),
            group_size=site.group_size,
            max_staleness=policy.max_staleness,
            max_tokens=256,
            concurrency=64,
            spare_samples=policy.spare_samples,
            sample_timeout_s=policy.timeout_s,
        )
        kind = LotCore if policy.keeps_samples else _GroupRestartingCore
        self.core = kind(spec, "holder")
        self.table = EndpointTable()
        self.table.apply_list(run.records_of(number))
        balancer = LeastLoaded if policy.is_least_loaded else RoundRobin
        self.balancer = balancer(run.seed + number)
        self.version = 0
        self.idle_s = 0.0
        self.staleness: list[int] = []
        self.ended_s: float | None = None
        self.generated = 0
        self._open: dict[int, _Attempt] = {}
        self._stored = 0
        self._groups = 0
        self._calls = 0
        self._pulls = 1
        self._wait_since_s = 0.0

    def ask(self) -> None:
        """Pulls; the id is repeated until it brings groups."""
        self._calls += 1
        acks = (f"pull-{self._pulls - 1}",) if self._pulls > 1 else ()
        self.feed(
            PullRequested(
                call=self._calls,
                pull_id=f"pull-{self._pulls}",
                version=self.version,
                max_groups=self.run.site.groups - self._groups,
                until_s=self.run.clock.now_s + _PULL_WAIT_S,
                acks=acks,
            )
        )

    def feed(self, event: object) -> None:
        clock = self.run.clock
        for action in self.core.handle(event, clock.now_s):
            match action:
                case Generate():
                    self._generate(action)
                case CancelSample():
                    self._cancel(action)
                case ReadState():
                    read = StateRead(LotState(), 0)
                    clock.after(_STORE_S, functools.partial(self.feed, read))
                case WriteState():
                    self._stored += 1
                    done = StateWritten(action.write_id, self._stored)
                    clock.after(_STORE_S, functools.partial(self.feed, done))
                case DeliverGroups():
                    self._take(action)
                case RefuseCall():
                    clock.after(_PAUSE_S, self.ask)

    def tick(self) -> None:
        if self.ended_s is None:
            self.feed(LotTick())
            self.run.clock.after(0.25, self.tick)

    def _choose(self, action: Generate) -> str:
        """Chooses an engine that has no other attempt for the sample."""
        now_s = self.run.clock.now_s
        used = frozenset(
            self._open[other].engine.name
            for other in action.others
            if other in self._open
        )
        found = self.table.candidates(_POOL, now_s, used)
        found = found or self.table.candidates(_POOL, now_s)
        return self.balancer.choose(found)

    def _generate(self, action: Generate) -> None:
        clock = self.run.clock
        self.generated += 1
        engine = self.run.engines[self._choose(action)]
        version = engine.versions[self.number]
        attempt = _Attempt(action.attempt, engine, clock.now_s, version)
        self._open[attempt.number] = attempt
        self.table.record_sent(engine.name)
        failed = functools.partial(self._fail, attempt)
        if engine.is_in("refuse", clock.now_s):
            clock.after(_DETECT_S, failed)
            return
        engine.reserve(attempt)
        clock.at(attempt.begins_s, functools.partial(self._begin, attempt))
        clock.at(attempt.ends_s, functools.partial(self._finish, attempt))
        clock.after(self.run.policy.timeout_s, failed)

    def _begin(self, attempt: _Attempt) -> None:
        attempt.first_version = attempt.engine.versions[self.number]

    def _finish(self, attempt: _Attempt) -> None:
        """Ends an attempt; one that met a silent engine waits in vain."""
        if attempt.number not in self._open:
            return
        if attempt.engine.is_in("refuse", attempt.sent_s):
            self._fail(attempt)
        elif not attempt.engine.is_in("hang", attempt.sent_s):
            self._close(attempt.number, failed=False)
            last = attempt.engine.versions[self.number]
            answer = _answer(attempt.first_version, last)
            self.feed(SampleReceived(attempt.number, answer))

    def _fail(self, attempt: _Attempt) -> None:
        if attempt.number in self._open:
            self._close(attempt.number, failed=True)
            self.feed(SampleFailed(attempt.number))

    def _cancel(self, action: CancelSample) -> None:
        if action.attempt in self._open:
            self._close(action.attempt, failed=False)

    def _close(self, number: int, *, failed: bool) -> None:
        now_s = self.run.clock.now_s
        attempt = self._open.pop(number)
        self.table.record_done(attempt.engine.name, failed=failed, now_s=now_s)
        if attempt.slot >= 0 and now_s < attempt.ends_s:
            attempt.engine.free(attempt)

    def _take(self, action: DeliverGroups) -> None:
        clock = self.run.clock
        for group in action.groups:
            for sample in group.samples:
                self.staleness.append(self.version - sample.oldest_version)
        self._groups += len(action.groups)
        self._pulls += bool(action.groups)
        if self._groups < self.run.site.groups and action.remaining:
            clock.after(_PAUSE_S, self.ask)
            return
        self.idle_s += clock.now_s - self._wait_since_s
        self._groups = 0
        if not action.remaining:
            self.ended_s = clock.now_s
            return
        clock.after(self.run.site.train_s, self._next_step)

    def _next_step(self) -> None:
        self.version += 1
        self._wait_since_s = self.run.clock.now_s
        self.run.publish(self.number, self.version)
        self.ask()


class _Run:
    """One seed under one policy."""

    def __init__(self, site: Site, policy: LotPolicy, seed: int):
        self.site = site
        self.policy = policy
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = Clock()
        self._places = [
            f"{domain}-{number}"
            for domain, count in zip(site.domains, site.engines, strict=True)
            for number in range(count)
        ]
        self.faults = ()
        if policy.has_faults:
            self.faults = engine_faults(seed, len(self._places))
        self.engines = {
            name: _Engine(self, name, number)
            for number, name in enumerate(self._places)
        }
        self.trainers = [_Trainer(self, n) for n in range(site.trainers)]

    def records_of(self, trainer: int) -> list[EndpointRecord]:
        """Engines of the domain whose daemon holds the lot, or all."""
        domain = self.site.domains[trainer % len(self.site.domains)]
        return [
            EndpointRecord(endpoint_id=name, pool=_POOL, ip="10.0.0.1", port=80)
            for name in self._places
            if self.policy.is_site_wide or name.startswith(domain)
        ]

    def sample_s(self) -> float:
        length_s = self.rng.lognormvariate(0, 0.5) * self.site.sample_s
        if self.rng.random() < _LONG_SHARE:
            length_s *= _LONG_FACTOR
        return length_s

    def publish(self, trainer: int, version: int) -> None:
        for engine in self.engines.values():
            delay_s = self.rng.uniform(0.5, 1.5)
            self._swap_later(delay_s, engine, trainer, version)

    def _swap_later(self, delay_s, engine, trainer, version) -> None:
        self.clock.after(delay_s, lambda: engine.swap(trainer, version))

    def run(self) -> LotResult:
        for trainer in self.trainers:
            self.clock.at(0.0, trainer.ask)
            self.clock.at(0.0, trainer.tick)
        self.clock.run(_LIMIT_S)
        whole_s = sum(t.ended_s or _LIMIT_S for t in self.trainers)
        staleness = [s for t in self.trainers for s in t.staleness]
        generated = sum(t.generated for t in self.trainers)
        return LotResult(
            idle_share=sum(t.idle_s for t in self.trainers) / whole_s,
            staleness=sum(staleness) / len(staleness),
            wasted=1 - len(staleness) / generated,
        )


def _answer(first: int, last: int) -> EngineResponse:
    spans = (Span(version=first, start=0, end=1),)
    if last != first:
        spans += (Span(version=last, start=1, end=2),)
    return EngineResponse(tokens=(0,) * len(spans), spans=spans)


def run_lots(site: Site, policy: LotPolicy, seed: int) -> LotResult:
    """Runs one seed of a site's trainers under a policy."""
    return _Run(site, policy, seed).run()
