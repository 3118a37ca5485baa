"""Trainers' lots through the lot core, with engines that fail and swap."""

import dataclasses
import random

from benchmarks.measure.clock import Clock
from benchmarks.measure.faults import engine_faults
from benchmarks.measure.workloads import Site
from daisyhub.balancing import EndpointTable, LeastLoaded, RoundRobin
from daisyhub.platform import EndpointRecord
from daisyhub.rollouts import (
    CommitDone,
    CommitPull,
    Generate,
    HandOver,
    LotCore,
    LotSpec,
    LotState,
    LotTick,
    PullAcked,
    PullAsked,
    Sample,
    SampleFailed,
    SampleReady,
)
from daisyhub.rollouts._lot_types import Span

__all__ = ["LotPolicy", "LotResult", "has_spares", "run_lots"]

_CAPACITY = 16
_SWAP_S = 1.0
_COMMIT_S = 0.01
_PULL_WAIT_S = 10.0
_LONG_SHARE = 0.03
_LONG_FACTOR = 4.0
_DETECT_S = 0.01
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
        timeout_s: When a silent generation is given up.
        max_staleness: Bound in versions.
        spare_samples: Extra samples of each group.
        has_faults: Whether the fault script runs.
    """

    name: str
    is_least_loaded: bool = True
    keeps_samples: bool = True
    is_site_wide: bool = False
    timeout_s: float = 300.0
    max_staleness: int = 2
    spare_samples: int = 0
    has_faults: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotResult:
    """Figures of one run, over all trainers."""

    idle_share: float
    staleness: float
    wasted: float


class _GroupRestartingCore(LotCore):
    """Plain baseline: a lost sample takes its whole group with it."""

    def _on_failed(self, event: SampleFailed, now_s: float) -> None:
        place = self._running.get(event.attempt)
        super()._on_failed(event, now_s)
        if place is None:
            return
        for index in range(self.spec.group_size):
            slot = self._slots.get((place[0], index))
            if slot is not None and slot.sample is not None:
                slot.sample = None
                self.dropped_samples += 1


def has_spares() -> bool:
    """Whether the lot core knows spare samples."""
    return "spare_samples" in LotSpec.__struct_fields__


class _Engine:
    """Makes `_CAPACITY` samples at one time; one version for each pool."""

    def __init__(self, run: "_Run", number: int):
        self.run = run
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

    def reserve(self) -> tuple[float, float]:
        """Returns when a new sample will start and be done."""
        length_s = self.run.sample_s()
        slot = min(range(_CAPACITY), key=self._free_at_s.__getitem__)
        start_s = max(self.run.clock.now_s, self._free_at_s[slot])
        self._free_at_s[slot] = start_s + length_s
        return start_s, start_s + length_s

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
        spares = {"spare_samples": policy.spare_samples} if has_spares() else {}
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
            **spares,
        )
        kind = LotCore if policy.keeps_samples else _GroupRestartingCore
        self.core = kind(spec, LotState(fencing=1))
        self.table = EndpointTable()
        self.table.adopt_list(run.records_of(number))
        balancer = LeastLoaded if policy.is_least_loaded else RoundRobin
        self.balancer = balancer(run.seed + number)
        self.version = 0
        self.idle_s = 0.0
        self.staleness: list[int] = []
        self.ended_s: float | None = None
        self.generated = 0
        self._groups = 0
        self._pulls = 0
        self._wait_since_s = 0.0

    def ask(self) -> None:
        self._pulls += 1
        now_s = self.run.clock.now_s
        missing = self.run.site.groups - self._groups
        self.feed(
            PullAsked(
                pull_id=f"pull-{self._pulls}",
                version=self.version,
                max_groups=missing,
                until_s=now_s + _PULL_WAIT_S,
            )
        )

    def feed(self, event: object) -> None:
        clock = self.run.clock
        for action in self.core.handle(event, clock.now_s):
            match action:
                case Generate():
                    self._generate(action)
                case CommitPull():
                    self._commit(action)
                case HandOver():
                    self._take(action)

    def tick(self) -> None:
        if self.ended_s is None:
            self.feed(LotTick())
            self.run.clock.after(0.25, self.tick)

    def _commit(self, action: CommitPull) -> None:
        pull_id = action.pull_id
        self.run.clock.after(_COMMIT_S, lambda: self.feed(CommitDone(pull_id)))

    def _generate(self, action: Generate) -> None:
        clock = self.run.clock
        self.generated += 1
        endpoint_id = self.balancer.choose(
            self.table.candidates(_POOL, clock.now_s)
        )
        engine = self.run.engines[endpoint_id]
        start_s = clock.now_s
        first = [engine.versions[self.number]]
        self.table.note_sent(endpoint_id)

        def end() -> None:
            if engine.is_in("refuse", start_s):
                self._end(endpoint_id, SampleFailed(action.attempt))
            elif not engine.is_in("hang", start_s):
                last = engine.versions[self.number]
                sample = _sample(action.index, first[0], last)
                self._end(endpoint_id, SampleReady(action.attempt, sample))
            else:
                clock.at(
                    start_s + self.run.policy.timeout_s,
                    lambda: self._end(
                        endpoint_id, SampleFailed(action.attempt)
                    ),
                )

        def begin() -> None:
            first[0] = engine.versions[self.number]

        if engine.is_in("refuse", start_s):
            clock.after(_DETECT_S, end)
            return
        begins_s, ends_s = engine.reserve()
        clock.at(begins_s, begin)
        clock.at(ends_s, end)

    def _end(self, endpoint_id: str, event: object) -> None:
        self.table.note_done(
            endpoint_id,
            failed=isinstance(event, SampleFailed),
            now_s=self.run.clock.now_s,
        )
        self.feed(event)

    def _take(self, action: HandOver) -> None:
        clock = self.run.clock
        for group in action.groups:
            for sample in group.samples:
                self.staleness.append(self.version - sample.oldest_version)
        self._groups += len(action.groups)
        pull_id = action.pull_id
        clock.after(0, lambda: self.feed(PullAcked(pull_id)))
        if self._groups < self.run.site.groups and action.remaining:
            clock.after(0.001, self.ask)
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
            name: _Engine(self, number)
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


def _sample(index: int, first: int, last: int) -> Sample:
    spans = (Span(version=first, start=0, end=1),)
    if last != first:
        spans += (Span(version=last, start=1, end=2),)
    return Sample(index=index, tokens=(0,) * len(spans), spans=spans)


def run_lots(site: Site, policy: LotPolicy, seed: int) -> LotResult:
    """Runs one seed of a site's trainers under a policy."""
    return _Run(site, policy, seed).run()
