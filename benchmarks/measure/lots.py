"""Simulates trainers' lots with the lot core and failing engines."""

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
_SWAP_S = 1.0  # Time by which a weight load delays every slot.
_STORE_LATENCY_S = 0.01
_PULL_WAIT_S = 10.0
# Share of samples that take `_LONG_FACTOR` times as long.
_LONG_SHARE = 0.03
_LONG_FACTOR = 4.0
_REFUSAL_DELAY_S = 0.01
_PULL_INTERVAL_S = 0.001
_MAX_DURATION_S = 3000.0
_POOL = "model"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotPolicy:
    """Options of a lot simulation.

    Attributes:
        name: Name in the table.
        is_least_loaded: Whether balancing chooses the less loaded of two
            engines instead of round robin.
        should_keep_samples: Whether the other samples of a group are kept if an
            attempt for one of its samples fails.
        is_site_wide: Whether a lot uses the engines of all domains.
        timeout_s: Time after which an attempt without a response fails.
        max_staleness: Maximum staleness of delivered samples in versions.
        spare_samples: Second attempts start for groups that miss at most
            this many samples.
        has_faults: Whether engines fail.
    """

    name: str
    is_least_loaded: bool = True
    should_keep_samples: bool = True
    is_site_wide: bool = False
    timeout_s: float = 60.0
    max_staleness: int = 2
    spare_samples: int = 0
    has_faults: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotResult:
    """Figures of one run over all trainers.

    Attributes:
        idle_share: Share of the trainers' time spent on waiting for groups.
        staleness: Mean staleness of the delivered samples in versions.
        wasted: Share of the started attempts without a delivered sample.
    """

    idle_share: float
    staleness: float
    wasted: float


class _RestartingSlots(SlotTable):
    """Baseline: a failed attempt discards the samples of its whole group."""

    def fail_attempt(self, attempt: int, now_s: float) -> None:
        slot_key = self.slot_of(attempt)
        super().fail_attempt(attempt, now_s)
        if slot_key is None:
            return
        group = slot_key[0]
        for index, slot in enumerate(self._groups.get(group, ())):
            if slot.sample is None:
                continue
            slot.sample = None
            self._missing_samples[group] += 1
            self.dropped_samples += 1
            self._schedule_retry(group, index, now_s)


class _GroupRestartingCore(LotCore):
    """Lot core that restarts whole groups."""

    def __init__(self, spec: LotSpec, holder: str):
        super().__init__(spec, holder)
        self._slots = _RestartingSlots(spec)


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt on an engine; `slot` is -1 if the engine refused it."""

    number: int
    engine: "_Engine"
    sent_s: float
    first_version: int
    slot: int = -1
    starts_s: float = 0.0
    ends_s: float = 0.0


class _Engine:
    """Simulated engine with `_CAPACITY` slots and one version per trainer."""

    def __init__(self, run: "_Run", name: str, number: int):
        self.run = run
        self.name = name
        self.number = number
        self.versions = dict.fromkeys(range(run.site.trainers), 0)
        self._free_at_s = [0.0] * _CAPACITY

    def had_fault_since(self, kind: str, start_s: float) -> bool:
        """Returns whether a fault of this kind was active since `start_s`."""
        return any(
            f.kind == kind
            and f.target == self.number
            and f.start_s <= self.run.clock.now_s
            and start_s < f.end_s
            for f in self.run.faults
        )

    def reserve(self, attempt: _Attempt) -> None:
        """Assigns a slot to an attempt and sets its start and end."""
        length_s = self.run.draw_sample_duration_s()
        slot = min(range(_CAPACITY), key=self._free_at_s.__getitem__)
        attempt.slot = slot
        attempt.starts_s = max(self.run.clock.now_s, self._free_at_s[slot])
        attempt.ends_s = attempt.starts_s + length_s
        self._free_at_s[slot] = attempt.ends_s

    def release(self, attempt: _Attempt) -> None:
        """Frees the slot of an ended attempt if no later attempt is queued."""
        if self._free_at_s[attempt.slot] == attempt.ends_s:
            free_s = max(self.run.clock.now_s, attempt.starts_s)
            self._free_at_s[attempt.slot] = free_s

    def swap(self, trainer: int, version: int) -> None:
        """Loads a version of a trainer's weights, which delays all slots."""
        self.versions[trainer] = max(version, self.versions[trainer])
        self._free_at_s = [
            max(t, self.run.clock.now_s) + _SWAP_S for t in self._free_at_s
        ]


class _Trainer:
    """Pulls the groups of a step, trains and publishes the next version."""

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
        core_class = (
            LotCore if policy.should_keep_samples else _GroupRestartingCore
        )
        self.core = core_class(spec, "holder")
        self.table = EndpointTable()
        self.table.apply_list(run.records_of(number))
        balancer_class = LeastLoaded if policy.is_least_loaded else RoundRobin
        self.balancer = balancer_class(run.seed + number)
        self.version = 0
        self.idle_s = 0.0
        self.staleness: list[int] = []
        self.ended_s: float | None = None
        self.generated = 0
        self._open_attempts: dict[int, _Attempt] = {}
        self._stored_version = 0
        self._groups = 0  # Received in the current step.
        self._calls = 0
        self._pulls = 1
        self._waiting_since_s = 0.0

    def pull(self) -> None:
        """Sends a pull, with the same id until it returns groups."""
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
                    self._cancel_attempt(action)
                case ReadState():
                    read = StateRead(LotState(), 0)
                    clock.call_later(
                        _STORE_LATENCY_S, functools.partial(self.feed, read)
                    )
                case WriteState():
                    self._stored_version += 1
                    done = StateWritten(action.write_id, self._stored_version)
                    clock.call_later(
                        _STORE_LATENCY_S, functools.partial(self.feed, done)
                    )
                case DeliverGroups():
                    self._receive_groups(action)
                case RefuseCall():
                    clock.call_later(_PULL_INTERVAL_S, self.pull)

    def tick(self) -> None:
        if self.ended_s is None:
            self.feed(LotTick())
            self.run.clock.call_later(0.25, self.tick)

    def _choose(self, action: Generate) -> str:
        """Chooses an engine, preferably one without attempts for the sample."""
        now_s = self.run.clock.now_s
        used = frozenset(
            self._open_attempts[other].engine.name
            for other in action.others
            if other in self._open_attempts
        )
        candidates = self.table.candidates(_POOL, now_s, used)
        candidates = candidates or self.table.candidates(_POOL, now_s)
        return self.balancer.choose(candidates)

    def _generate(self, action: Generate) -> None:
        clock = self.run.clock
        self.generated += 1
        engine = self.run.engines[self._choose(action)]
        version = engine.versions[self.number]
        attempt = _Attempt(action.attempt, engine, clock.now_s, version)
        self._open_attempts[attempt.number] = attempt
        self.table.record_sent(engine.name)
        failed = functools.partial(self._fail_attempt, attempt)
        if engine.had_fault_since("refuse", clock.now_s):
            clock.call_later(_REFUSAL_DELAY_S, failed)
            return
        engine.reserve(attempt)
        clock.call_at(
            attempt.starts_s, functools.partial(self._start_attempt, attempt)
        )
        clock.call_at(
            attempt.ends_s, functools.partial(self._complete_attempt, attempt)
        )
        clock.call_later(self.run.policy.timeout_s, failed)

    def _start_attempt(self, attempt: _Attempt) -> None:
        attempt.first_version = attempt.engine.versions[self.number]

    def _complete_attempt(self, attempt: _Attempt) -> None:
        """Completes an attempt unless its engine failed meanwhile.

        After a hang no response arrives, and the attempt fails at its timeout.
        """
        if attempt.number not in self._open_attempts:
            return
        if attempt.engine.had_fault_since("refuse", attempt.sent_s):
            self._fail_attempt(attempt)
        elif not attempt.engine.had_fault_since("hang", attempt.sent_s):
            self._end_attempt(attempt.number, failed=False)
            last = attempt.engine.versions[self.number]
            response = _make_response(attempt.first_version, last)
            self.feed(SampleReceived(attempt.number, response))

    def _fail_attempt(self, attempt: _Attempt) -> None:
        if attempt.number in self._open_attempts:
            self._end_attempt(attempt.number, failed=True)
            self.feed(SampleFailed(attempt.number))

    def _cancel_attempt(self, action: CancelSample) -> None:
        if action.attempt in self._open_attempts:
            self._end_attempt(action.attempt, failed=False)

    def _end_attempt(self, number: int, *, failed: bool) -> None:
        now_s = self.run.clock.now_s
        attempt = self._open_attempts.pop(number)
        self.table.record_done(attempt.engine.name, failed=failed, now_s=now_s)
        if attempt.slot >= 0 and now_s < attempt.ends_s:
            attempt.engine.release(attempt)

    def _receive_groups(self, action: DeliverGroups) -> None:
        clock = self.run.clock
        for group in action.groups:
            for sample in group.samples:
                self.staleness.append(self.version - sample.oldest_version)
        self._groups += len(action.groups)
        self._pulls += bool(action.groups)
        if self._groups < self.run.site.groups and action.remaining:
            clock.call_later(_PULL_INTERVAL_S, self.pull)
            return
        self.idle_s += clock.now_s - self._waiting_since_s
        self._groups = 0
        if not action.remaining:
            self.ended_s = clock.now_s
            return
        clock.call_later(self.run.site.train_s, self._next_step)

    def _next_step(self) -> None:
        self.version += 1
        self._waiting_since_s = self.run.clock.now_s
        self.run.publish(self.number, self.version)
        self.pull()


class _Run:
    """Simulation of one seed under one policy."""

    def __init__(self, site: Site, policy: LotPolicy, seed: int):
        self.site = site
        self.policy = policy
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = Clock()
        self._engine_names = [
            f"{domain}-{number}"
            for domain, count in zip(site.domains, site.engines, strict=True)
            for number in range(count)
        ]
        self.faults = ()
        if policy.has_faults:
            self.faults = engine_faults(seed, len(self._engine_names))
        self.engines = {
            name: _Engine(self, name, number)
            for number, name in enumerate(self._engine_names)
        }
        self.trainers = [_Trainer(self, n) for n in range(site.trainers)]

    def records_of(self, trainer: int) -> list[EndpointRecord]:
        """Returns the engines of the lot holder's domain or of all domains."""
        domain = self.site.domains[trainer % len(self.site.domains)]
        return [
            EndpointRecord(endpoint_id=name, pool=_POOL, ip="10.0.0.1", port=80)
            for name in self._engine_names
            if self.policy.is_site_wide or name.startswith(domain)
        ]

    def draw_sample_duration_s(self) -> float:
        length_s = self.rng.lognormvariate(0, 0.5) * self.site.sample_s
        if self.rng.random() < _LONG_SHARE:
            length_s *= _LONG_FACTOR
        return length_s

    def publish(self, trainer: int, version: int) -> None:
        """Schedules the load of a version on every engine."""
        for engine in self.engines.values():
            delay_s = self.rng.uniform(0.5, 1.5)
            self._schedule_swap(delay_s, engine, trainer, version)

    def _schedule_swap(self, delay_s, engine, trainer, version) -> None:
        self.clock.call_later(delay_s, lambda: engine.swap(trainer, version))

    def run(self) -> LotResult:
        for trainer in self.trainers:
            self.clock.call_at(0.0, trainer.pull)
            self.clock.call_at(0.0, trainer.tick)
        self.clock.run(_MAX_DURATION_S)
        total_s = sum(t.ended_s or _MAX_DURATION_S for t in self.trainers)
        staleness = [s for t in self.trainers for s in t.staleness]
        generated = sum(t.generated for t in self.trainers)
        return LotResult(
            idle_share=sum(t.idle_s for t in self.trainers) / total_s,
            staleness=sum(staleness) / len(staleness),
            wasted=1 - len(staleness) / generated,
        )


def _make_response(first: int, last: int) -> EngineResponse:
    """Returns a response with one token per version, `first` and `last`."""
    spans = (Span(version=first, start=0, end=1),)
    if last != first:
        spans += (Span(version=last, start=1, end=2),)
    return EngineResponse(tokens=(0,) * len(spans), spans=spans)


def run_lots(site: Site, policy: LotPolicy, seed: int) -> LotResult:
    """Simulates one seed of a site's trainers under a policy."""
    return _Run(site, policy, seed).run()
