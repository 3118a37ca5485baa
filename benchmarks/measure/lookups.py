"""Simulates look-ups with the admission and forward cores."""

import functools
import random
import statistics

from benchmarks.measure.clock import Clock
from benchmarks.measure.faults import lookup_faults
from benchmarks.measure.lookup_policies import (
    MAX_CONCURRENCY_LIMIT,
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

_DAEMONS_PER_DOMAIN = 2
_BURST_FACTOR = 6.0
_SLOW_FACTOR = 6.0
_LIST_LAG_S = 5.0  # Delay until the platform's list omits reclaimed servers.
_LIST_POLL_S = 2.0
_LIMIT_UPDATE_INTERVAL_S = 1.0
_CHEAP_PRICE = 0.3  # Price of a busy second; 1 on a regular server.
_POOL = "records"


class _Server:
    """Simulated server with a bounded number of slots and a FIFO queue."""

    def __init__(self, run: "_Run", record: EndpointRecord, number: int):
        self.run = run
        self.record = record
        self.number = number
        self.busy_s = 0.0
        self._free_at_s = [0.0] * run.site.service_slots
        self._finishes: list[float] = []

    def load(self) -> int:
        """Returns the number of unfinished requests, queued ones included."""
        now_s = self.run.clock.now_s
        self._finishes = [t for t in self._finishes if t > now_s]
        return len(self._finishes)

    def has_fault(self, kind: str) -> bool:
        now_s = self.run.clock.now_s
        return any(
            f.kind == kind
            and f.start_s <= now_s < f.end_s
            and f.target == self.number
            for f in self.run.faults
        )

    def is_reclaimed(self) -> bool:
        now_s = self.run.clock.now_s
        domain = self.record.endpoint_id.split("-")[0]
        return self.record.cheap and any(
            f.kind == "reclaim"
            and now_s >= f.start_s
            and self.run.site.domains[f.target] == domain
            for f in self.run.faults
        )

    def submit(self) -> float:
        """Queues a request and returns its completion time."""
        slowdown = _SLOW_FACTOR if self.has_fault("slow") else 1.0
        service_s = self.run.draw_service_s() * slowdown
        slot = min(range(len(self._free_at_s)), key=self._free_at_s.__getitem__)
        start_s = max(self.run.clock.now_s, self._free_at_s[slot])
        self._free_at_s[slot] = start_s + service_s
        self._finishes.append(start_s + service_s)
        self.busy_s += service_s
        return start_s + service_s


class _Daemon:
    """Cores and endpoint table of one daemon."""

    def __init__(self, run: "_Run", domain: str, seed: int):
        policy = run.policy
        self.run = run
        self.domain = domain
        self.table = EndpointTable()
        self.table.apply_list(run.records_of(domain))
        balancer_class = LeastLoaded if policy.is_least_loaded else RoundRobin
        self.balancer = balancer_class(seed)
        core_class = AdmissionCore if policy.is_fair else FirstComeFirstServed
        self.admission = core_class(MAX_CONCURRENCY_LIMIT)
        self.budget = RetryBudget()
        self.waiting_requests: dict[str, _Request] = {}

    def choose(
        self, excluded: frozenset[str], *, idempotent: bool
    ) -> str | None:
        now_s = self.run.clock.now_s
        states = self.table.candidates(_POOL, now_s, excluded)
        if not idempotent and self.run.policy.is_regular_first:
            states = prefer_regular(states)
        return self.balancer.choose(states)

    def update_concurrency_limit(self) -> None:
        """Sets the limit from the reported capacity, once per interval."""
        daemon_count = _DAEMONS_PER_DOMAIN
        if self.run.policy.is_site_wide:
            daemon_count = len(self.run.daemons)
        capacity = self.table.reported_capacity([_POOL])
        self.feed(
            ConcurrencyLimitChanged(
                compute_concurrency_limit(
                    capacity, daemon_count, MAX_CONCURRENCY_LIMIT
                )
            )
        )
        self.run.clock.call_later(
            _LIMIT_UPDATE_INTERVAL_S, self.update_concurrency_limit
        )

    def feed(self, event: object) -> None:
        for action in self.admission.handle(event, self.run.clock.now_s):
            req = self.waiting_requests.pop(action.request_id)
            if isinstance(action, AdmitRequest):
                req.start_forwarding()
            else:
                req.finish("refused")


class _Request:
    """A request that passes through the cores of a daemon."""

    def __init__(self, run: "_Run", number: int, account: int):
        self.run = run
        self.request_id = str(number)
        self.account = account
        self.started_s = run.clock.now_s
        self.deadline_s = self.started_s + run.site.deadline_s
        self.idempotent = run.rng.random() >= run.site.filing_share
        self.daemon = run.rng.choice(run.daemons)
        self.admitted_s: float | None = None
        self._open_attempts: dict[int, _Server] = {}
        self._is_finished = False

    def arrive(self) -> None:
        self.daemon.waiting_requests[self.request_id] = self
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

    def start_forwarding(self) -> None:
        self.admitted_s = self.run.clock.now_s
        hedge_s = (
            self.run.site.hedge_after_s if self.run.policy.is_hedged else 0
        )
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
        if not self._is_finished and self.core.next_wakeup_s is not None:
            tick_s = self.core.next_wakeup_s
            self.run.clock.call_at(tick_s, lambda: self.feed(ForwardTick()))

    def feed(self, event: object) -> None:
        if self._is_finished:
            return
        for action in self.core.handle(event, self.run.clock.now_s):
            if isinstance(action, StartAttempt):
                self._send(action)
            elif isinstance(action, DeliverResponse):
                self.finish("answered", self._open_attempts.pop(action.attempt))
            else:
                outcome = (
                    "failed"
                    if action.ran is ExecutionStatus.NOT_RUN
                    else "unknown"
                )
                self.finish(outcome)

    def _send(self, action: StartAttempt) -> None:
        run = self.run
        server = run.servers[action.endpoint_id]
        self._open_attempts[action.attempt] = server
        self.daemon.table.record_sent(action.endpoint_id)
        hop_s = run.hop_s(self.daemon.domain, server)
        if server.has_fault("refuse") or server.is_reclaimed():
            run.clock.call_later(
                2 * hop_s,
                lambda: self._fail_attempt(
                    action.attempt, ExecutionStatus.NOT_RUN
                ),
            )
            return
        run.clock.call_at(
            self.deadline_s,
            lambda: self._fail_attempt(action.attempt, ExecutionStatus.UNKNOWN),
        )
        if server.has_fault("hang"):
            return
        done_s = server.submit() + 2 * hop_s
        run.clock.call_at(
            done_s, lambda: self._complete_attempt(action.attempt)
        )

    def _complete_attempt(self, attempt: int) -> None:
        server = self._open_attempts.get(attempt)
        if self._is_finished or server is None:
            return
        if server.is_reclaimed() or server.has_fault("hang"):
            return  # The response is lost; the attempt times out.
        self._record_done(attempt, failed=False)
        update = EndpointUpdate(
            endpoint_id=server.record.endpoint_id,
            incarnation=1,
            load=server.load(),
            capacity=self.run.site.service_slots,
        )
        self.daemon.table.apply_update(update)
        self.feed(AttemptCompleted(attempt))

    def _fail_attempt(self, attempt: int, ran: ExecutionStatus) -> None:
        if self._is_finished or attempt not in self._open_attempts:
            return
        self._record_done(attempt, failed=True)
        del self._open_attempts[attempt]
        timed_out = ran is ExecutionStatus.UNKNOWN
        self.feed(AttemptFailed(attempt=attempt, ran=ran, timed_out=timed_out))

    def _record_done(self, attempt: int, *, failed: bool) -> None:
        self.daemon.table.record_done(
            self._open_attempts[attempt].record.endpoint_id,
            failed=failed,
            now_s=self.run.clock.now_s,
        )

    def finish(self, outcome: str, server: _Server | None = None) -> None:
        self._is_finished = True
        now_s = self.run.clock.now_s
        latency_s = now_s - self.started_s + 2 * self.run.site.caller_s
        self.run.outcomes.append((self.account, outcome, latency_s, server))
        for other in self._open_attempts.values():
            self.daemon.table.record_done(
                other.record.endpoint_id, failed=False, now_s=now_s
            )
        if self.admitted_s is not None:
            service_s = now_s - self.admitted_s
            self.daemon.feed(RequestDeparted(self.request_id, service_s))


class _Run:
    """Simulation of one seed under one policy."""

    def __init__(self, site: Site, policy: LookupPolicy, seed: int):
        self.site = site
        self.policy = policy
        self.rng = random.Random(seed)
        self.clock = Clock()
        # Account, outcome, latency in seconds, and the server if answered.
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
            for number in range(_DAEMONS_PER_DOMAIN)
        ]

    def _records(self):
        counts = {"service": self.site.services}
        if self.policy.extra != "none":
            counts[self.policy.extra] = (1,) * len(self.site.domains)
        for kind, domain_counts in counts.items():
            for domain, count in zip(
                self.site.domains, domain_counts, strict=True
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
        """Returns the one-way latency between a daemon and a server."""
        is_same_domain = server.record.endpoint_id.startswith(domain)
        return 0.0001 if is_same_domain else self.site.hop_s

    def draw_service_s(self) -> float:
        service_s = self.rng.lognormvariate(0, 0.3) * self.site.service_s
        if self.rng.random() < self.site.long_share:
            service_s *= self.site.long_factor
        return service_s

    def run(self) -> LookupResult:
        self._schedule_arrivals()
        self.clock.call_at(0.0, self._read_list)
        if self.policy.is_limit_adaptive:
            for daemon in self.daemons:
                self.clock.call_at(0.0, daemon.update_concurrency_limit)
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
        self.clock.call_at(
            time_s, lambda: _Request(self, number, account).arrive()
        )

    def _read_list(self) -> None:
        """Removes reclaimed servers from the tables after the list's lag."""
        reclaim = next(f for f in self.faults if f.kind == "reclaim")
        if self.clock.now_s >= reclaim.start_s + _LIST_LAG_S:
            for daemon in self.daemons:
                daemon.table.apply_list(
                    [
                        record
                        for record in self.records_of(daemon.domain)
                        if not self.servers[record.endpoint_id].is_reclaimed()
                    ],
                    self.clock.now_s,
                )
        self.clock.call_later(_LIST_POLL_S, self._read_list)

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
            worst_refused=max(self._unanswered_share(a) for a in accounts),
            any_refused=max(self._unanswered_share(a) for a in (0, *accounts)),
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

    def _unanswered_share(self, account: int) -> float:
        own = [o for o in self.outcomes if o[0] == account]
        return sum(1 for o in own if o[1] != "answered") / len(own)


def run_lookups(site: Site, policy: LookupPolicy, seed: int) -> LookupResult:
    """Simulates one seed of a site's look-ups under a policy."""
    return _Run(site, policy, seed).run()
