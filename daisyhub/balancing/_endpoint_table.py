"""State of the endpoints of a daemon's own failure domain.

Updates come from the platform's list, which lags, from the endpoints' own
responses, from operators and from peers. They may be late, duplicated or out
of order. Leaving is final for an incarnation: only a higher incarnation makes
an endpoint usable again.

Times are seconds on a monotonic clock.
"""

import dataclasses
import enum
from collections.abc import Callable, Iterable

import msgspec

from daisyhub.base import EndpointView
from daisyhub.settings import Address

__all__ = [
    "DRAIN_PREFIX",
    "DrainOrder",
    "EndpointState",
    "EndpointTable",
    "EndpointUpdate",
]

# Prefix of the keys of drain orders; the endpoint's id follows.
DRAIN_PREFIX = "news/drain/"
# Consecutive failures that make an endpoint suspect, and for how long.
_MIN_FAILURES_TO_SUSPECT = 3
_SUSPECT_DURATION_S = 2.0
# The platform's list may lack a live endpoint for a shorter time.
_ABSENCE_TIMEOUT_S = 5.0
# Bounds the memory used for endpoints that left.
_MAX_LEFT_INCARNATIONS = 20_000


class DrainOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to give an endpoint no new work.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: The order applies up to this incarnation.
        author: Operator who gave the order.
    """

    endpoint_id: str
    incarnation: int
    author: str = ""


class EndpointUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """A partial update of one endpoint's state from one source.

    Attributes:
        endpoint_id: Unique id.
        incarnation: The incarnation that the update is about.
        is_leaving: Whether the endpoint is leaving.
        load: Number of its open requests, or -1 if not reported.
        weight_version: Version of its weights, or -1 if not reported.
        capacity: Number of requests that it serves concurrently, or 0 if not
            reported.
    """

    endpoint_id: str
    incarnation: int
    is_leaving: bool = False
    load: float = -1
    weight_version: int = -1
    capacity: int = 0


class _Health(enum.Enum):
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class EndpointState(EndpointView):
    """State of one endpoint.

    Attributes:
        endpoint_id: Unique id.
        pool: The pool that it belongs to.
        address: Where it listens.
        incarnation: Its incarnation; higher after a restart.
        cheap: Whether the platform may reclaim it (spot capacity).
        capacity: Number of requests that it serves concurrently; a default
            while `has_reported_capacity` is false.
        has_reported_capacity: Whether the endpoint reported its capacity.
        weight_version: Highest reported version of its weights.
        reported_load: Number of its open requests as last reported.
        own_requests: Open requests of this daemon.
        failures: Consecutive failures.
        suspect_until_s: Time until which other endpoints are preferred.
        is_leaving: Whether it accepts no new requests.
        absent_since_s: Since when the platform's list lacks it; None if it is
            listed.
        last_received_at_s: When a request to it last succeeded or a poll was
            answered.
    """

    endpoint_id: str
    pool: str
    address: Address
    incarnation: int
    cheap: bool = False
    capacity: int = 16
    has_reported_capacity: bool = False
    weight_version: int = 0
    reported_load: float = 0.0
    own_requests: int = 0
    failures: int = 0
    suspect_until_s: float = 0.0
    is_leaving: bool = False
    absent_since_s: float | None = None
    last_received_at_s: float = float("-inf")

    @property
    def load(self) -> float:
        """Estimated open requests: reported ones or this daemon's, if more."""
        return max(self.reported_load, self.own_requests)

    def health(self, now_s: float) -> str:
        """Returns `live`, `suspect` (after failures) or `leaving`."""
        if self.is_leaving:
            return _Health.LEAVING.value
        if now_s < self.suspect_until_s:
            return _Health.SUSPECT.value
        return _Health.LIVE.value


class EndpointTable:
    """All endpoints of one failure domain, by id."""

    def __init__(self):
        self._endpoints: dict[str, EndpointState] = {}
        # The highest incarnation by id that is known to be leaving or to have
        # ended.
        self._left_incarnations: dict[str, int] = {}
        # Endpoints that may get requests, by pool, ordered by id.
        self._usable_by_pool: dict[str, list[EndpointState]] = {}
        self._suspects: set[str] = set()
        self._listeners: list[Callable[[EndpointUpdate], None]] = []

    def __len__(self) -> int:
        return len(self._endpoints)

    def add_listener(self, listener: Callable[[EndpointUpdate], None]) -> None:
        """Registers a callback for updates that make an endpoint leaving."""
        self._listeners.append(listener)

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Returns an endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def may_send_to(self, state: EndpointState) -> bool:
        """Whether a chosen endpoint may still get a request.

        False once it is leaving, was restarted or isn't known any more.
        """
        known = self._endpoints.get(state.endpoint_id)
        return known is state and not state.is_leaving

    def all(self) -> list[EndpointState]:
        """Returns every endpoint, ordered by id."""
        return [self._endpoints[key] for key in sorted(self._endpoints)]

    def apply_list(self, records, now_s: float = 0.0) -> None:
        """Applies the platform's list of `EndpointRecord`.

        The list may be older than a previous one and may lack entries for a
        short time. An endpoint that is absent for at least
        `_ABSENCE_TIMEOUT_S` gets no new requests, and is removed once none of
        this daemon's requests is open there. An empty list is ignored.
        """
        records = list(records)
        if not records:
            return
        listed_ids = {record.endpoint_id for record in records}
        for record in records:
            self._apply_record(record)
        for endpoint_id in self._endpoints.keys() - listed_ids:
            self._mark_absent(self._endpoints[endpoint_id], now_s)
        self._rebuild_usable(now_s)

    def _apply_record(self, record) -> None:
        known = self._endpoints.get(record.endpoint_id)
        if known is not None and record.incarnation < known.incarnation:
            return
        if known is None or record.incarnation > known.incarnation:
            known = _new_state(record, known)
            self._endpoints[record.endpoint_id] = known
            self._suspects.discard(record.endpoint_id)
        known.absent_since_s = None
        if record.state == "leaving":
            self._record_left(record.endpoint_id, record.incarnation)
        left = self._left_incarnations.get(record.endpoint_id, 0)
        known.is_leaving = known.is_leaving or record.incarnation <= left

    def _mark_absent(self, state: EndpointState, now_s: float) -> None:
        if state.absent_since_s is None:
            state.absent_since_s = now_s
        if _is_absence_timed_out(state, now_s) and not state.own_requests:
            del self._endpoints[state.endpoint_id]
            self._suspects.discard(state.endpoint_id)

    def _record_left(self, endpoint_id: str, incarnation: int) -> None:
        """Stores the highest incarnation that left, also of unknown endpoints.

        Beyond the maximum, the entry that was updated longest ago is dropped.
        """
        known = self._left_incarnations.pop(endpoint_id, 0)
        self._left_incarnations[endpoint_id] = max(known, incarnation)
        if len(self._left_incarnations) > _MAX_LEFT_INCARNATIONS:
            del self._left_incarnations[next(iter(self._left_incarnations))]

    def apply_update(self, update: EndpointUpdate) -> bool:
        """Applies an update; returns whether an endpoint is newly leaving.

        Peers must be informed of such a change. An update about a higher
        incarnation than the known one means that the known one has ended.
        Of an unknown endpoint only the incarnation that left is stored, and
        no listener is called.
        """
        known = self._endpoints.get(update.endpoint_id)
        left_incarnation = (
            update.incarnation if update.is_leaving else update.incarnation - 1
        )
        is_newer = left_incarnation > self._left_incarnations.get(
            update.endpoint_id, 0
        )
        if is_newer:
            self._record_left(update.endpoint_id, left_incarnation)
        if known is None:
            return is_newer and update.is_leaving
        is_newly_leaving = self._mark_leaving(known)
        if is_newly_leaving:
            for listener in self._listeners:
                listener(update)
        if update.incarnation != known.incarnation:
            return is_newly_leaving
        if update.load >= 0:
            known.reported_load = update.load
        if update.weight_version >= 0:
            known.weight_version = max(
                known.weight_version, update.weight_version
            )
        if update.capacity > 0:
            known.capacity = update.capacity
            known.has_reported_capacity = True
        return is_newly_leaving

    def _mark_leaving(self, state: EndpointState) -> bool:
        """Removes an endpoint from its pool if its incarnation has left."""
        left = self._left_incarnations.get(state.endpoint_id, 0)
        if state.is_leaving or state.incarnation > left:
            return False
        state.is_leaving = True
        # A new list, since callers may still use the old one.
        self._usable_by_pool[state.pool] = [
            other
            for other in self._usable_by_pool.get(state.pool, ())
            if other is not state
        ]
        return True

    def _rebuild_usable(self, now_s: float) -> None:
        usable: dict[str, list[EndpointState]] = {}
        for state in self.all():
            if not state.is_leaving and not _is_absence_timed_out(state, now_s):
                usable.setdefault(state.pool, []).append(state)
        self._usable_by_pool = usable

    def candidates(
        self, pool: str, now_s: float, excluded: frozenset[str] = frozenset()
    ) -> list[EndpointState]:
        """Returns a pool's endpoints that may get requests, ordered by id.

        Suspect endpoints are returned only if there is no other. The caller
        must not change the list.
        """
        usable = self._usable_by_pool.get(pool, [])
        if excluded:
            usable = [s for s in usable if s.endpoint_id not in excluded]
        if not self._suspects:
            return usable
        self._expire_suspects(now_s)
        healthy = [s for s in usable if s.endpoint_id not in self._suspects]
        return healthy or usable

    def _expire_suspects(self, now_s: float) -> None:
        self._suspects = {
            endpoint_id
            for endpoint_id in self._suspects
            if now_s < self._endpoints[endpoint_id].suspect_until_s
        }

    def reported_capacity(self, pools: Iterable[str]) -> int | None:
        """Returns the total capacity of the usable endpoints of some pools.

        None if there is no usable endpoint or one hasn't reported its
        capacity.
        """
        states = [
            s for pool in pools for s in self._usable_by_pool.get(pool, ())
        ]
        if not states or not all(s.has_reported_capacity for s in states):
            return None
        return sum(state.capacity for state in states)

    def record_sent(self, endpoint_id: str) -> None:
        """Records that a request was sent."""
        state = self._endpoints.get(endpoint_id)
        if state is not None:
            state.own_requests += 1

    def record_done(self, endpoint_id: str, *, failed: bool, now_s: float):
        """Records the end of a request.

        Several consecutive failures make the endpoint suspect for a time; a
        success ends it.
        """
        state = self._endpoints.get(endpoint_id)
        if state is None:
            return
        state.own_requests = max(0, state.own_requests - 1)
        if not failed:
            state.last_received_at_s = now_s
            state.failures = 0
            state.suspect_until_s = 0.0
            self._suspects.discard(endpoint_id)
            return
        state.failures += 1
        if state.failures >= _MIN_FAILURES_TO_SUSPECT:
            state.suspect_until_s = now_s + _SUSPECT_DURATION_S
            self._suspects.add(endpoint_id)


def _is_absence_timed_out(state: EndpointState, now_s: float) -> bool:
    absent_since_s = state.absent_since_s
    return (
        absent_since_s is not None
        and now_s - absent_since_s >= _ABSENCE_TIMEOUT_S
    )


def _new_state(record, previous: EndpointState | None) -> EndpointState:
    """Builds the state of a new incarnation.

    Open requests to the previous incarnation continue to count, since their
    ends are recorded for the same endpoint id.
    """
    return EndpointState(
        endpoint_id=record.endpoint_id,
        pool=record.pool,
        address=Address(ip=record.ip, port=record.port),
        incarnation=record.incarnation,
        cheap=record.cheap,
        own_requests=previous.own_requests if previous else 0,
    )
