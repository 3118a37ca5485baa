"""Look-ups through the admission and forward cores, server by server."""

import functools
import random
import statistics

from benchmarks.measure.clock import Clock
from benchmarks.measure.faults import lookup_faults
from benchmarks.measure.lookup_policies import (
    MOST_PLACES,
    FirstComeFirstServed,
    LookupPolicy,
    LookupResult,
    prefer_regular,
)
from benchmarks.measure.workloads import Site
from daisyhub.balancing import (
    EndpointTable,
    EndpointUpdate,
    LeastLoaded,
    RoundRobin,
)
from daisyhub.exceptions import ExecutionStatus
from daisyhub.filters import (
    AdmissionCore,
    AdmitRequest,
    ConcurrencyLimitChanged,
    RequestArrived,
    RequestDeparted,
    compute_concurrency_limit,
)
from daisyhub.filters._forward_core import (
    AttemptCompleted,
    AttemptFailed,
    DeliverResponse,
    ForwardCore,
    ForwardPlan,
    ForwardStarted,
    ForwardTick,
    RetryBudget,
    StartAttempt,
)
from daisyhub.hosting import EndpointRecord

__all__ = ["run_lookups"]

_DAEMONS_EACH = 2
_BURST_FACTOR = 6.0
_SLOW_FACTOR = 6.0
_LIST_LAG_S = 5.0
_LIST_POLL_S = 2.0
_PLACES_INTERVAL_S = 1.0
_CHEAP_PRICE = 0.3
_POOL = "records"


class _Server:
    """Works on `slots` requests at one time, the rest waits in order."""

    def __init__(self, run: "_Run", record: EndpointRecord, number: int):
        self.run = run
        self.record = record
        self.number = number
        self.busy_s = 0.0
        self._free_at_s = [0.0] * run.site.service_slots
        self._finishes: list[float] = []

    def load(self) -> int:
        now_s = self.run.clock.now_s
        self._finishes = [t for t in self._finishes if t > now_s]
        return len(self._finishes)

    def is_in(self, kind: str) -> bool:
        now_s = self.run.clock.now_s
        return any(
            f.kind == kind
            and f.start_s <= now_s < f.end_s
            and f.target == self.number
            for f in self.run.faults
        )

    def is_gone(self) -> bool:
        now_s = self.run.clock.now_s
        domain = self.record.endpoint_id.split("-")[0]
        return self.record.cheap and any(
            f.kind == "reclaim"
            and now_s >= f.start_s
            and self.run.site.domains[f.target] == domain
            for f in self.run.faults
        )

    def submit(self) -> float:
        """Returns when the answer will be there."""
        factor = _SLOW_FACTOR if self.is_in("slow") else 1.0
        took_s = self.run.service_time_s() * factor
        slot = min(range(len(self._free_at_s)), key=self._free_at_s.__getitem__)
        start_s = max(self.run.clock.now_s, self._free_at_s[slot])
        self._free_at_s[slot] = start_s + took_s
        self._finishes.append(start_s + took_s)
        self.busy_s += took_s
        return start_s + took_s


class _Daemon:
    """The cores of one daemon around its own endpoint table."""

    def __init__(self, run: "_Run", domain: str, seed: int):
        policy = run.policy
        self.run = run
        self.domain = domain
        self.table = EndpointTable()
        self.table.apply_list(run.records_of(domain))
        kind = LeastLoaded if policy.is_least_loaded else RoundRobin
        self.balancer = kind(seed)
        core = AdmissionCore if policy.is_fair else FirstComeFirstServed
        self.admission = core(MOST_PLACES)
        self.budget = RetryBudget()
        self.waiting: dict[str, _Request] = {}

    def choose(
        self, excluded: frozenset[str], *, idempotent: bool
    ) -> str | None:
        now_s = self.run.clock.now_s
        states = self.table.candidates(_POOL, now_s, excluded)
        if not idempotent and self.run.policy.is_regular_first:
            states = prefer_regular(states)
        return self.balancer.choose(states)

    def follow_capacity(self) -> None:
        """Lets the places follow the capacity that endpoints tell."""
        sharing = _DAEMONS_EACH
        if self.run.policy.is_site_wide:
            sharing = len(self.run.daemons)
        capacity = self.table.reported_capacity([_POOL])
        self.feed(
            ConcurrencyLimitChanged(
                compute_concurrency_limit(capacity, sharing, MOST_PLACES)
            )
        )
        self.run.clock.after(_PLACES_INTERVAL_S, self.follow_capacity)

    def feed(self, event: object) -> None:
        for action in self.admission.handle(event, self.run.clock.now_s):
            req = self.waiting.pop(action.request_id)
            if isinstance(action, AdmitRequest):
                req.begin()
            else:
                req.finish("refused")


class _Request:
    """One request through a daemon's cores."""

    def __init__(self, run: "_Run", number: int, account: int):
        self.run = run
        self.request_id = str(number)
        self.account = account
        self.started_s = run.clock.now_s
        self.deadline_s = self.started_s + run.site.deadline_s
        self.idempotent = run.rng.random() >= run.site.filing_share
        self.daemon = run.rng.choice(run.daemons)
        self.admitted_s: float | None = None
        self._open: dict[int, _Server] = {}
        self._is_over = False

    def arrive(self) -> None:
        self.daemon.waiting[self.request_id] = self
        self.daemon.feed(
            RequestArrived(
                request_id=self.request_id,
                account=f"account-{self.account}",
                weight=1,
                rate=0,
                burst=1,
                deadline_s=self.deadline_s,
            )
        )

    def begin(self) -> None:
        self.admitted_s = self.run.clock.now_s
        hedge_s = self.run.site.hedge_after_s if self.run.policy.hedges else 0
        plan = ForwardPlan(
            idempotent=self.idempotent,
            deadline_s=self.deadline_s,
            hedge_after_s=hedge_s if self.idempotent else 0.0,
        )
        choose = functools.partial(
            self.daemon.choose, idempotent=self.idempotent
        )
        self.core = ForwardCore(plan, choose, self.daemon.budget)
        self.feed(ForwardStarted())
        if not self._is_over and self.core.next_wakeup_s is not None:
            tick_s = self.core.next_wakeup_s
            self.run.clock.at(tick_s, lambda: self.feed(ForwardTick()))

    def feed(self, event: object) -> None:
        if self._is_over:
            return
        for action in self.core.handle(event, self.run.clock.now_s):
            if isinstance(action, StartAttempt):
                self._send(action)
            elif isinstance(action, DeliverResponse):
                self.finish("answered", self._open.pop(action.attempt))
            else:
                kind = (
                    "failed"
                    if action.ran is ExecutionStatus.NOT_RUN
                    else "unknown"
                )
                self.finish(kind)

    def _send(self, action: StartAttempt) -> None:
        run = self.run
        server = run.servers[action.endpoint_id]
        self._open[action.attempt] = server
        self.daemon.table.record_sent(action.endpoint_id)
        hop_s = run.hop_s(self.daemon.domain, server)
        if server.is_in("refuse") or server.is_gone():
            run.clock.after(
                2 * hop_s,
                lambda: self._fail(action.attempt, ExecutionStatus.NOT_RUN),
            )
            return
        run.clock.at(
            self.deadline_s,
            lambda: self._fail(action.attempt, ExecutionStatus.UNKNOWN),
        )
        if server.is_in("hang"):
            return
        done_s = server.submit() + 2 * hop_s
        run.clock.at(done_s, lambda: self._answer(action.attempt))

    def _answer(self, attempt: int) -> None:
        server = self._open.get(attempt)
        if self._is_over or server is None:
            return
        if server.is_gone() or server.is_in("hang"):
            return  # Lost with the server; the deadline will tell.
        self._note(attempt, failed=False)
        news = EndpointUpdate(
            endpoint_id=server.record.endpoint_id,
            incarnation=1,
            load=server.load(),
            capacity=self.run.site.service_slots,
        )
        self.daemon.table.apply_update(news)
        self.feed(AttemptCompleted(attempt))

    def _fail(self, attempt: int, ran: ExecutionStatus) -> None:
        if self._is_over or attempt not in self._open:
            return
        self._note(attempt, failed=True)
        del self._open[attempt]
        timed_out = ran is ExecutionStatus.UNKNOWN
        self.feed(AttemptFailed(attempt=attempt, ran=ran, timed_out=timed_out))

    def _note(self, attempt: int, *, failed: bool) -> None:
        self.daemon.table.record_done(
            self._open[attempt].record.endpoint_id,
            failed=failed,
            now_s=self.run.clock.now_s,
        )

    def finish(self, kind: str, server: _Server | None = None) -> None:
        self._is_over = True
        now_s = self.run.clock.now_s
        took_s = now_s - self.started_s + 2 * self.run.site.caller_s
        self.run.outcomes.append((self.account, kind, took_s, server))
        for other in self._open.values():
            self.daemon.table.record_done(
                other.record.endpoint_id, failed=False, now_s=now_s
            )
        if self.admitted_s is not None:
            service_s = now_s - self.admitted_s
            self.daemon.feed(RequestDeparted(self.request_id, service_s))


class _Run:
    """One seed under one policy."""

    def __init__(self, site: Site, policy: LookupPolicy, seed: int):
        self.site = site
        self.policy = policy
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.outcomes: list[tuple[int, str, float, _Server | None]] = []
        records = list(self._records())
        self.servers = {
            record.endpoint_id: _Server(self, record, number)
            for number, record in enumerate(records)
        }
        self.faults = lookup_faults(seed, sum(site.services))
        self.daemons = [
            _Daemon(self, domain, seed + number)
            for domain in site.domains
            for number in range(_DAEMONS_EACH)
        ]

    def _records(self):
        counts = {"service": self.site.services}
        if self.policy.extra != "none":
            counts[self.policy.extra] = (1,) * len(self.site.domains)
        for kind, of_domains in counts.items():
            for domain, count in zip(
                self.site.domains, of_domains, strict=True
            ):
                for number in range(count):
                    yield EndpointRecord(
                        endpoint_id=f"{domain}-{kind}-{number}",
                        pool=_POOL,
                        ip="10.0.0.1",
                        port=80,
                        cheap=kind == "cheap",
                    )

    def records_of(self, domain: str) -> list[EndpointRecord]:
        return [
            server.record
            for server in self.servers.values()
            if self.policy.is_site_wide
            or server.record.endpoint_id.startswith(domain)
        ]

    def hop_s(self, domain: str, server: _Server) -> float:
        is_near = server.record.endpoint_id.startswith(domain)
        return 0.0001 if is_near else self.site.hop_s

    def service_time_s(self) -> float:
        took_s = self.rng.lognormvariate(0, 0.3) * self.site.service_s
        if self.rng.random() < self.site.long_share:
            took_s *= self.site.long_factor
        return took_s

    def run(self) -> LookupResult:
        self._schedule_arrivals()
        self.clock.at(0.0, self._read_list)
        if self.policy.follows_capacity:
            for daemon in self.daemons:
                self.clock.at(0.0, daemon.follow_capacity)
        self.clock.run(self.site.duration_s + 2 * self.site.deadline_s)
        return self._result()

    def _schedule_arrivals(self) -> None:
        burst = next(f for f in self.faults if f.kind == "burst")
        number = 0
        for account, base_rate in enumerate(self.site.rates):
            time_s = 0.0
            while time_s < self.site.duration_s:
                is_burst = burst.start_s <= time_s < burst.end_s
                factor = _BURST_FACTOR if is_burst and account == 0 else 1.0
                time_s += self.rng.expovariate(base_rate * factor)
                number += 1
                self._schedule_request(time_s, number, account)

    def _schedule_request(self, time_s: float, number: int, account: int):
        self.clock.at(time_s, lambda: _Request(self, number, account).arrive())

    def _read_list(self) -> None:
        """The platform's list drops reclaimed servers after a lag."""
        reclaim = next(f for f in self.faults if f.kind == "reclaim")
        if self.clock.now_s >= reclaim.start_s + _LIST_LAG_S:
            for daemon in self.daemons:
                daemon.table.apply_list(
                    [
                        record
                        for record in self.records_of(daemon.domain)
                        if not self.servers[record.endpoint_id].is_gone()
                    ],
                    self.clock.now_s,
                )
        self.clock.after(_LIST_POLL_S, self._read_list)

    def _result(self) -> LookupResult:
        total = len(self.outcomes)
        answered = [o for o in self.outcomes if o[1] == "answered"]
        accounts = range(1, len(self.site.rates))
        price = sum(
            server.busy_s * (_CHEAP_PRICE if server.record.cheap else 1.0)
            for server in self.servers.values()
        )
        cheap = sum(1 for o in answered if o[3].record.cheap)
        return LookupResult(
            worst_p99_s=max(self._p99_s(a) for a in accounts),
            worst_refused=max(self._lost_share(a) for a in accounts),
            any_refused=max(self._lost_share(a) for a in (0, *accounts)),
            failed=1 - len(answered) / total,
            price=price / len(answered),
            cheap_share=cheap / total,
            unknown=sum(1 for o in self.outcomes if o[1] == "unknown") / total,
        )

    def _p99_s(self, account: int) -> float:
        times_s = [
            o[2]
            for o in self.outcomes
            if o[0] == account and o[1] == "answered"
        ]
        return statistics.quantiles(times_s, n=100)[98]

    def _lost_share(self, account: int) -> float:
        own = [o for o in self.outcomes if o[0] == account]
        return sum(1 for o in own if o[1] != "answered") / len(own)


def run_lookups(site: Site, policy: LookupPolicy, seed: int) -> LookupResult:
    """Runs one seed of a site's look-ups under a policy."""
    return _Run(site, policy, seed).run()
