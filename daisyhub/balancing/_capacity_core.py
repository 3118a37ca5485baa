"""Estimates how many requests endpoints sustain, and how slow they are.

Addresses endpoints that slow down before their slots are full, since their
instances are shared with other work or since they are slower by kind. Neither
their slots nor their load show that; their service times do.

For each endpoint, two quantities are estimated from samples of its service
time and of the concurrency at which it was measured:

- its level: the logarithm of its unloaded service time relative to the usual
  time of the same kind of request. It is the sum of the smoothed pace that the
  endpoint states, which is known at each response, and of a remainder that is
  measured;
- its shape: how the service time grows with concurrency; see `fit_shape`. The
  limit is the concurrency beyond which total throughput doesn't grow. It rises
  by one at a time and falls by a fraction.

A long request is no sign of a slow endpoint: times are relative to the median
of their kind, and single samples count little.

The interface is a few methods instead of `Core.handle`, since estimates are
read at each look-up. No clock is read. Times are seconds on a monotonic clock.
"""

import collections
import dataclasses
import math
import random
import statistics
from collections.abc import Callable

from daisyhub.balancing._capacity_digest import (
    CapacityDigest,
    UsualTime,
)
from daisyhub.balancing._capacity_state import CapacityState
from daisyhub.balancing._endpoint import EndpointEntry
from daisyhub.balancing._peer_capacity import PeerCapacity

__all__ = ["CapacityCore", "CapacitySample", "EndpointCapacity"]

# Maximum difference of a sample's logarithm from the estimate that counts, so
# that a request that took ten times as long counts like one of three times.
_MAX_SURPRISE = 1.2
# Bounds of the slowdown.
_MAX_LOG_SLOWDOWN = math.log(20.0)
# Least change of the logarithm of the slowdown that is published: 10%.
_MIN_CHANGE = 0.1
# Seconds between updates of an endpoint's estimate.
_UPDATE_INTERVAL_S = 0.2
# Maximum time for which the long-term level follows one estimate: nothing is
# known of the time between two updates.
_MAX_AGING_STEP_S = 1.0
# Samples of a kind over which its median is taken, the time between them, so
# that frequent ones cover some seconds as well, and how many are needed.
_KIND_SAMPLES = 31
_KIND_INTERVAL_S = 0.2
_MIN_KIND_SAMPLES = 3
_MAX_KINDS = 256
# Added to all times of responses before they are compared: differences of a
# few milliseconds between short requests tell nothing about an endpoint.
_TIME_FLOOR_S = 0.005
# Endpoints and kinds in a digest: at most about 350 bytes, so that a ping fits
# into a datagram.
_DIGEST_ENDPOINTS = 5
_DIGEST_KINDS = 2
# Seconds without any sample after which an endpoint is forgotten.
_FORGET_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CapacitySample:
    """A measurement at an endpoint.

    Attributes:
        kind: Kind of the request; times are compared within a kind. Empty for
            a sample that has a pace only.
        service_s: Service time in seconds.
        concurrency: Requests that the endpoint served at that time, this one
            included.
        weight: Number of times of which `service_s` is the mean.
        is_lower_bound: Whether the request was abandoned after `service_s`;
            such a sample counts only if it is longer than expected.
        pace: How long work takes on the endpoint's machine relative to the
            usual time, as it stated; None if it didn't.
    """

    kind: str = ""
    service_s: float = 0.0
    concurrency: float = 1.0
    weight: float = 1.0
    is_lower_bound: bool = False
    pace: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointCapacity:
    """The estimate of one endpoint, for operators.

    Attributes:
        limit: See `CapacityCore.limit`.
        slowdown: See `CapacityCore.slowdown`.
        pace: Its smoothed pace.
        samples: Weight of the samples that count, those of peers included.
    """

    limit: float
    slowdown: float
    pace: float
    samples: float


class CapacityCore:
    """Estimates the limits and slowdowns of endpoints.

    Args:
        find_entry: Returns the entry of an endpoint id; None if it is unknown.
            A sample belongs to the process of that entry.
        process: Start of this daemon's process, microseconds since 1970.
        random_state: Seed of the order in which digests name endpoints.
    """

    def __init__(
        self,
        find_entry: Callable[[str], EndpointEntry | None],
        process: int = 0,
        random_state: int = 0,
    ):
        self._find_entry = find_entry
        self._process = process
        self._random = random.Random(random_state)
        self._states: dict[str, CapacityState] = {}
        self._peers = PeerCapacity()
        # The last service times of each kind, and when the next one counts.
        self._times_s: dict[str, collections.deque[float]] = {}
        self._next_time_at_s: dict[str, float] = {}
        # The usual time of each kind, and until when it is used.
        self._usual_times: dict[str, tuple[float, float]] = {}
        self._to_tell: list[str] = []

    def observe(
        self, endpoint_id: str, sample: CapacitySample, now_s: float
    ) -> None:
        """Takes a sample in; of unknown endpoints, none counts."""
        state = self._state(endpoint_id)
        if state is None:
            return
        state.seen_at_s = now_s
        if sample.pace is not None:
            state.add_pace(math.log(sample.pace), now_s)
            self._update(state, now_s)
        if not sample.kind:
            return
        if not sample.is_lower_bound:
            expected = state.log_slowdown + state.shape.log_factor(
                sample.concurrency
            )
            self._add_time(
                sample.kind, sample.service_s * math.exp(-expected), now_s
            )
        usual_s = self._usual_s(sample.kind, now_s)
        if not usual_s:
            return
        ratio = (sample.service_s + _TIME_FLOOR_S) / (usual_s + _TIME_FLOOR_S)
        self._add_ratio(state, math.log(ratio), sample, now_s)

    def _add_ratio(
        self,
        state: CapacityState,
        log_ratio: float,
        sample: CapacitySample,
        now_s: float,
    ) -> None:
        surprise = state.surprise(log_ratio, sample.concurrency)
        if sample.is_lower_bound and surprise <= 0:
            return
        surprise = max(-_MAX_SURPRISE, min(_MAX_SURPRISE, surprise))
        state.add(surprise, sample.concurrency, sample.weight, now_s)
        self._update(state, now_s)

    def limit(self, endpoint_id: str, now_s: float) -> float:
        """Returns the number of requests that an endpoint sustains.

        From 1 to its slots, which are returned without samples; infinite if
        the endpoint is unknown.
        """
        state = self._state(endpoint_id)
        if state is None:
            return math.inf
        self._update(state, now_s)
        return state.limit

    def slowdown(self, endpoint_id: str, now_s: float) -> float:
        """Returns the unloaded service time relative to the pool's median.

        1 if it is unknown.
        """
        state = self._state(endpoint_id)
        if state is None:
            return 1.0
        self._update(state, now_s)
        return state.slowdown

    def all(self, now_s: float) -> dict[str, EndpointCapacity]:
        """Returns the estimates of all endpoints with samples, by id.

        Forgets endpoints that are no longer listed or have no new samples.
        """
        found = {}
        for endpoint_id in sorted(self._states):
            state = self._states[endpoint_id]
            is_old = now_s - state.seen_at_s > _FORGET_S
            if is_old or self._find_entry(endpoint_id) is None:
                del self._states[endpoint_id]
                continue
            self._update(state, now_s)
            found[endpoint_id] = EndpointCapacity(
                state.limit,
                state.slowdown,
                math.exp(state.known_pace),
                state.weight,
            )
        return found

    def digest(self, now_s: float) -> CapacityDigest:
        """Returns some of this daemon's samples, other ones each time."""
        entries = []
        if not self._to_tell:
            # A fixed order could keep step with the order of the pings, so
            # that a peer would be told of the same endpoints each time.
            self._to_tell = sorted(self._states)
            self._random.shuffle(self._to_tell)
        while self._to_tell and len(entries) < _DIGEST_ENDPOINTS:
            state = self._states.get(self._to_tell.pop())
            entry = state.describe(now_s) if state else None
            if entry is not None:
                entries.append(entry)
        kinds = sorted(k for k in self._times_s if self._own_median_s(k))
        chosen = self._random.sample(kinds, min(len(kinds), _DIGEST_KINDS))
        return CapacityDigest(
            process=self._process,
            made_at_s=now_s,
            entries=tuple(entries),
            usual_times=tuple(
                UsualTime(kind, self._own_median_s(kind)) for kind in chosen
            ),
        )

    def merge(self, peer_id: str, digest: CapacityDigest, now_s: float) -> None:
        """Takes the samples of a peer in; see `PeerCapacity.merge`."""
        for endpoint_id in self._peers.merge(peer_id, digest, now_s):
            state = self._state(endpoint_id)
            if state is not None:
                state.seen_at_s = now_s
                self._update(state, now_s)

    def _state(self, endpoint_id: str) -> CapacityState | None:
        """Returns the state of a listed endpoint; a restart resets it."""
        entry = self._find_entry(endpoint_id)
        if entry is None:
            return None
        state = self._states.get(endpoint_id)
        if state is None or state.entry.process != entry.process:
            state = self._states[endpoint_id] = CapacityState(
                entry, entry.slots
            )
        if state.entry is not entry:
            state.entry = entry
            state.limit = min(state.limit, entry.slots)
        return state

    def _add_time(self, kind: str, usual_s: float, now_s: float) -> None:
        """Adds a service time as it would be at an unloaded, usual endpoint.

        With plain times, a daemon that mostly uses a slow endpoint would take
        its times to be usual.
        """
        if kind not in self._times_s and len(self._times_s) >= _MAX_KINDS:
            ages = self._next_time_at_s
            oldest = min(ages, key=ages.__getitem__)
            del self._times_s[oldest], self._next_time_at_s[oldest]
            self._usual_times.pop(oldest, None)
        times_s = self._times_s.setdefault(
            kind, collections.deque(maxlen=_KIND_SAMPLES)
        )
        due_at_s = self._next_time_at_s.get(kind, -math.inf)
        if len(times_s) < _MIN_KIND_SAMPLES or now_s >= due_at_s:
            times_s.append(usual_s)
            # At a fixed interval, it could be the same endpoint each time.
            interval_s = _KIND_INTERVAL_S * (0.5 + self._random.random())
            self._next_time_at_s[kind] = now_s + interval_s

    def _usual_s(self, kind: str, now_s: float) -> float:
        """Returns the usual time of a kind; 0 if it is unknown."""
        usual_s, until_s = self._usual_times.get(kind, (0.0, -math.inf))
        if not usual_s or now_s >= until_s:
            own_s = self._own_median_s(kind)
            usual_s = self._peers.median_s(kind, own_s, now_s)
            self._usual_times[kind] = (usual_s, now_s + _UPDATE_INTERVAL_S)
        return usual_s

    def _own_median_s(self, kind: str) -> float:
        times_s = self._times_s.get(kind, ())
        if len(times_s) < _MIN_KIND_SAMPLES:
            return 0.0
        return statistics.median_low(times_s)

    def _update(self, state: CapacityState, now_s: float) -> None:
        """Updates an endpoint's estimate, at most once an interval."""
        passed_s = now_s - state.updated_at_s
        if passed_s < _UPDATE_INTERVAL_S:
            return
        state.updated_at_s = now_s
        peers = self._peers.entries(
            state.entry.endpoint_id, state.entry.incarnation, now_s
        )
        state.estimate(peers, now_s)
        state.fit(peers, now_s)
        pool = [
            other
            for other in self._states.values()
            if other.entry.pool == state.entry.pool
            and not other.entry.is_leaving
        ]
        levels = [other.measured for other in pool if other.is_measured]
        reference = statistics.median(levels) if levels else state.measured
        state.compare(reference, min(passed_s, _MAX_AGING_STEP_S))
        state.step_limit(now_s)
        paces = [o.known_pace for o in pool if o.seen_at_s > -math.inf]
        usual_pace = statistics.median(paces) if paces else 0.0
        log_slowdown = state.relative + state.known_pace - usual_pace
        state.log_slowdown = max(
            -_MAX_LOG_SLOWDOWN, min(_MAX_LOG_SLOWDOWN, log_slowdown)
        )
        change = state.log_slowdown - math.log(state.slowdown)
        if abs(change) >= _MIN_CHANGE:
            state.slowdown = math.exp(state.log_slowdown)
