"""Simulates daemons and plain endpoints of differing speed on a fake clock.

Endpoints work on as many requests as they have slots, and the rest waits.
Beyond a number of requests they become slower, and one of them slows down for
some seconds, as instances do that are shared with other work. Daemons choose
endpoints with their directories, and tell each other what they measured.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import statistics
from collections.abc import Callable

from daisyhub.balancing import (
    AdaptiveChoice,
    CapacityCore,
    EndpointDirectory,
    EndpointEntry,
)
from daisyhub.settings import Address

__all__ = ["Figures", "UnevenEndpoints", "make_endpoints"]

_POOL = "plain"
_USUAL_S = 0.04
_SIGMA = 0.5
_PING_INTERVAL_S = 0.4
_PINGED_PEERS = 6
_PING_DELAY_S = 0.02
_CONNECTION_IDLE_S = 15.0
_MAX_ATTEMPTS = 2


@dataclasses.dataclass(slots=True)
class _Endpoint:
    """One endpoint.

    Attributes:
        entry: Its entry.
        base: Its unloaded service time, relative to the usual one.
        knee: Requests beyond which its throughput doesn't grow.
        slow: Start, end and factor of its slow-down.
        running: Requests that it works on.
        waiting: Requests that wait there.
        busy_s: Integral of the requests over the time.
        busy_until_s: Up to when `busy_s` was counted.
    """

    entry: EndpointEntry
    base: float = 1.0
    knee: float = math.inf
    slow: tuple[float, float, float] = (0.0, 0.0, 1.0)
    running: int = 0
    waiting: list[Callable[[float], None]] = dataclasses.field(
        default_factory=list
    )
    busy_s: float = 0.0
    busy_until_s: float = 0.0

    def pace(self, now_s: float) -> float:
        start_s, end_s, factor = self.slow
        return factor if start_s <= now_s < end_s else 1.0

    @property
    def open_requests(self) -> int:
        return self.running + len(self.waiting)

    def count_time(self, now_s: float) -> None:
        self.busy_s += self.open_requests * (now_s - self.busy_until_s)
        self.busy_until_s = now_s


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What a simulation measured; latencies are in seconds.

    Attributes:
        p50_s: Median latency.
        p99_s: 99th percentile of the latency.
        refused: Share of requests that no endpoint took.
        busiest: Mean load of the busiest endpoint over the mean of all.
        fullest: The same with loads relative to what endpoints sustain.
        error: Mean absolute logarithm of the assumed over the true slowdown.
        connections: New connections.
    """

    p50_s: float
    p99_s: float
    refused: float
    busiest: float
    fullest: float
    error: float
    connections: int


def make_endpoints() -> list[_Endpoint]:
    """Returns three endpoints of six slots, one of which slows down."""
    return [
        _Endpoint(
            EndpointEntry(
                endpoint_id=f"e{number}",
                pool=_POOL,
                address=Address(ip="127.0.0.1", port=number + 1),
                domain=f"d{number}",
                slots=6,
            ),
            base=(0.8, 1.0, 1.3)[number],
            knee=(6.0, 6.0, 4.0)[number],
            slow=(15.0, 20.0, 6.9) if number == 1 else (0.0, 0.0, 1.0),
        )
        for number in range(3)
    ]


class _Daemon:
    """One daemon: its directory and its connections."""

    def __init__(
        self,
        name: str,
        names: list[str],
        endpoints: list[_Endpoint],
        is_adaptive: bool,
    ):
        self.now_s = 0.0
        self.opened = 0
        self._idle_since_s: dict[Address, list[float]] = {}
        self._in_use: collections.Counter[Address] = collections.Counter()
        rand = random.Random(name)
        ranks = {e.entry.endpoint_id: rand.random() for e in endpoints}
        self.directory = EndpointDirectory(
            ranks.__getitem__, self.has_connection
        )
        for endpoint in endpoints:
            self.directory.upsert(endpoint.entry)
        self.core = CapacityCore(
            lambda endpoint_id: self.directory.get(endpoint_id).entry,
            random_state=rand.randrange(1000),
        )
        if is_adaptive:
            self.directory.set_adaptive_choice(
                AdaptiveChoice(
                    self.core,
                    lambda _: True,
                    name,
                    lambda: names,
                    self.has_connection,
                )
            )

    def has_connection(self, address: Address) -> bool:
        return bool(self._in_use[address]) or self._has_idle(address)

    def _has_idle(self, address: Address) -> bool:
        idle = self._idle_since_s.get(address)
        return bool(idle) and self.now_s - idle[-1] < _CONNECTION_IDLE_S

    def take_connection(self, address: Address) -> None:
        self._in_use[address] += 1
        if self._has_idle(address):
            self._idle_since_s[address].pop()
        else:
            self.opened += 1

    def return_connection(self, address: Address) -> None:
        self._in_use[address] -= 1
        self._idle_since_s.setdefault(address, []).append(self.now_s)


class UnevenEndpoints:
    """Sends requests of many daemons to endpoints of differing speed.

    Args:
        endpoints: The endpoints.
        daemons: Number of daemons.
        requests_per_s: Requests that arrive at all daemons.
        is_adaptive: Whether the capacity of endpoints is measured.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        endpoints: list[_Endpoint],
        *,
        daemons: int = 54,
        requests_per_s: float = 130.0,
        is_adaptive: bool,
        seed: int = 1,
    ):
        self._rand = random.Random(seed)
        self._endpoints = {e.entry.endpoint_id: e for e in endpoints}
        names = [f"{seed}/{n}" for n in range(daemons)]
        self._daemons = [
            _Daemon(name, names, endpoints, is_adaptive) for name in names
        ]
        self._requests_per_s = requests_per_s
        self._timers: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = itertools.count()
        self._latencies_s: list[float] = []
        self._refused = 0
        self._errors: list[float] = []

    def run(self, duration_s: float) -> Figures:
        """Simulates a time; returns what was measured."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._ping)
        while self._timers and self._timers[0][0] <= duration_s:
            now_s, _, action = heapq.heappop(self._timers)
            action(now_s)
        for endpoint in self._endpoints.values():
            endpoint.count_time(duration_s)
        endpoints = self._endpoints.values()
        busy_s = [e.busy_s for e in endpoints]
        full_s = [e.busy_s / min(e.knee, e.entry.slots) for e in endpoints]
        quantiles = statistics.quantiles(self._latencies_s, n=100)
        total = len(self._latencies_s) + self._refused
        return Figures(
            p50_s=quantiles[49],
            p99_s=quantiles[98],
            refused=self._refused / total,
            busiest=max(busy_s) / statistics.mean(busy_s),
            fullest=max(full_s) / statistics.mean(full_s),
            error=statistics.mean(self._errors),
            connections=sum(d.opened for d in self._daemons),
        )

    def _at(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._timers, (at_s, next(self._number), action))

    def _arrive(self, now_s: float) -> None:
        wait_s = self._rand.expovariate(self._requests_per_s)
        self._at(now_s + wait_s, self._arrive)
        daemon = self._rand.choice(self._daemons)
        self._send(daemon, now_s, now_s, frozenset())

    def _send(
        self,
        daemon: _Daemon,
        arrived_s: float,
        now_s: float,
        tried: frozenset[str],
    ) -> None:
        daemon.now_s = now_s
        endpoint_id = daemon.directory.choose((_POOL,), tried, now_s)
        endpoint = self._endpoints[endpoint_id]
        slots = endpoint.entry.slots
        if endpoint.open_requests >= 2 * slots:
            tried |= {endpoint_id}
            if len(tried) < _MAX_ATTEMPTS:
                self._send(daemon, arrived_s, now_s, tried)
            else:
                self._refused += 1
            return
        daemon.take_connection(endpoint.entry.address)
        token = daemon.directory.record_sent(endpoint_id, "r", now_s)

        def end(end_s: float) -> None:
            endpoint.count_time(end_s)
            daemon.now_s = end_s
            self._record_load(daemon, endpoint, end_s)
            daemon.directory.record_answered(endpoint_id, token, end_s)
            daemon.return_connection(endpoint.entry.address)
            self._latencies_s.append(end_s - arrived_s)
            endpoint.running -= 1
            if endpoint.waiting:
                endpoint.waiting.pop(0)(end_s)

        def start(start_s: float) -> None:
            endpoint.running += 1
            service_s = _USUAL_S * endpoint.base * endpoint.pace(start_s)
            service_s *= max(1.0, endpoint.running / endpoint.knee)
            service_s *= self._rand.lognormvariate(0, _SIGMA)
            self._at(start_s + service_s, end)

        endpoint.count_time(now_s)
        if endpoint.running < slots:
            start(now_s)
        else:
            endpoint.waiting.append(start)

    def _record_load(
        self, daemon: _Daemon, endpoint: _Endpoint, now_s: float
    ) -> None:
        directory, name = daemon.directory, endpoint.entry.endpoint_id
        directory.record_load(name, endpoint.open_requests, now_s)
        pace = endpoint.pace(now_s) * self._rand.uniform(0.6, 1.4)
        directory.record_pace(name, pace, now_s)

    def _ping(self, now_s: float) -> None:
        """Has all daemons tell some others what they measured."""
        self._at(now_s + _PING_INTERVAL_S, self._ping)
        for number, daemon in enumerate(self._daemons):
            digest = daemon.core.digest(now_s)
            for peer in self._rand.sample(self._daemons, _PINGED_PEERS):
                if peer is not daemon:
                    peer.core.merge(str(number), digest, now_s + _PING_DELAY_S)
        self._record_error(now_s)

    def _record_error(self, now_s: float) -> None:
        endpoints = self._endpoints.values()
        true = [e.base * e.pace(now_s) for e in endpoints]
        usual = statistics.median(true)
        core = self._rand.choice(self._daemons).core
        for endpoint, speed in zip(endpoints, true, strict=True):
            known = core.slowdown(endpoint.entry.endpoint_id, now_s)
            self._errors.append(abs(math.log(known * usual / speed)))
