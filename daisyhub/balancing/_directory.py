"""Endpoints of all failure domains, and which one answers soonest.

The platform's entries tell which endpoints there are. Own requests tell how
long each takes to answer and how many are open there; answers and reports
tell the load from others. Routes differ in how long their answers take, so an
endpoint's pace is learned against the usual time of each route. What is known
ages: an endpoint that was slow is tried again after a while, and one that is
silent with requests open is passed over at once.

Answers the load of callers that wait for single answers while an endpoint
turns slow, goes dark or fails.
"""

import collections
import dataclasses
import math
import statistics
from collections.abc import Callable, Iterable

from daisyhub.settings import Address

__all__ = ["Endpoint", "EndpointDirectory", "EndpointEntry"]

# Share of a new answer in the running mean of the pace: about ten answers.
_PACE_SHARE = 0.2
# Seconds after which half of what is known of a pace is forgotten, so that a
# slow endpoint is tried again; some times shorter than a usual slow-down.
_PACE_HALF_LIFE_S = 3.0
# Paces beyond this say no more: such an endpoint is used only if all are.
_SLOWEST_PACE = 20.0
# Seconds until a first answer of a route is known; typical of a look-up.
_FIRST_USUAL_S = 0.05
# Answers of a route whose median is its usual time.
_USUAL_ANSWERS = 31
# Answers of a route before its usual time says anything on silence.
_FEWEST_ANSWERS = 3
# Seconds for which a load told by an answer or a report is believed.
_LOAD_AGE_S = 1.0
# How often the usual time an open request must have waited for its endpoint
# to count as silent.
_SILENT_FACTOR = 4.0
# Seconds for which an endpoint gets no new work after a failure; doubled with
# each further one up to the limit. The bounds lie between the usual restart of
# a process and the time until a crashed endpoint's entry lapses.
_FIRST_REST_S = 0.3
_LONGEST_REST_S = 3.0
# Seconds for which an entry that lapsed while the store was away is kept: the
# platform states that servers that live are back within about two seconds.
_LAPSE_GRACE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointEntry:
    """What an endpoint says of itself.

    Attributes:
        endpoint_id: Its id; a restart may keep it.
        pool: The service that it belongs to.
        address: Where it listens.
        domain: Its failure domain.
        incarnation: Start of its process, milliseconds since 1970; 0 if not
            told.
        slots: Requests that it serves at one time.
        is_leaving: Whether it takes no new work.
        is_cheap: Whether the platform may take it away.
        versions: Version of the weights by model.
    """

    endpoint_id: str
    pool: str
    address: Address
    domain: str
    incarnation: int = 0
    slots: int = 1
    is_leaving: bool = False
    is_cheap: bool = False
    versions: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenRequest:
    """A request that is open at an endpoint.

    Attributes:
        route: Its route.
        sent_s: When it was sent.
        patience_s: For how long its endpoint may be silent.
    """

    route: str
    sent_s: float
    patience_s: float


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint and what is known of it here.

    Attributes:
        entry: The newest entry.
        open: Open requests by token.
        pace: Running mean of its answers' time against the usual one.
        paced_at_s: When `pace` was last learned.
        told_load: Requests that it last told to have in hand.
        told_at_s: When it told.
        failures: Failures in a row.
        backoff_until_s: Until when it gets no new work.
        last_received_at_s: When it last sent anything.
        lapsed_at_s: When its entry went while the store was away.
    """

    entry: EndpointEntry
    open: dict[int, _OpenRequest] = dataclasses.field(default_factory=dict)
    pace: float = 1.0
    paced_at_s: float = -math.inf
    told_load: int = 0
    told_at_s: float = -math.inf
    failures: int = 0
    backoff_until_s: float = -math.inf
    last_received_at_s: float = -math.inf
    lapsed_at_s: float | None = None

    def load(self, now_s: float) -> int:
        """Returns how many requests it is thought to have in hand."""
        if now_s - self.told_at_s > _LOAD_AGE_S:
            return len(self.open)
        return max(len(self.open), self.told_load)

    def expected_pace(self, now_s: float) -> float:
        """Returns the pace, ageing towards the usual one."""
        age_s = now_s - self.paced_at_s
        weight = 0.5 ** (age_s / _PACE_HALF_LIFE_S)
        return weight * self.pace + (1 - weight)

    def is_silent(self, now_s: float) -> bool:
        """Whether it has said nothing for too long with a request open."""
        return any(
            now_s - max(req.sent_s, self.last_received_at_s) > req.patience_s
            for req in self.open.values()
        )


class EndpointDirectory:
    """All endpoints by id.

    Args:
        random: Returns numbers in [0, 1); breaks ties.
        has_connection: Whether a kept connection to an address is idle; goes
            before `random`, as new connections cost time there and here.
    """

    def __init__(
        self,
        random: Callable[[], float],
        has_connection: Callable[[Address], bool] = lambda _: False,
    ):
        self._random = random
        self._has_connection = has_connection
        self._endpoints: dict[str, Endpoint] = {}
        self._answers: dict[str, collections.deque[float]] = {}
        self._tokens = 0
        self._cut_domains: frozenset[str] = frozenset()

    def set_unreachable_domains(self, domains: frozenset[str]) -> None:
        """Takes the failure domains that seem to be out of reach.

        Their endpoints get work only if no other is left.
        """
        self._cut_domains = domains

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Returns an endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def all(self) -> list[Endpoint]:
        """Returns every endpoint."""
        return list(self._endpoints.values())

    def upsert(self, entry: EndpointEntry) -> None:
        """Takes over a new or changed entry."""
        known = self._endpoints.get(entry.endpoint_id)
        is_same = (
            known is not None
            and known.entry.incarnation == entry.incarnation
            and known.entry.address == entry.address
        )
        if not is_same:
            self._endpoints[entry.endpoint_id] = Endpoint(entry)
            return
        known.entry = entry
        known.lapsed_at_s = None

    def remove(
        self, endpoint_id: str, now_s: float, *, is_store_stable: bool
    ) -> None:
        """Takes out an endpoint whose entry is gone.

        While the store is away entries lapse though their endpoints live;
        such an endpoint is kept until `expire`.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if is_store_stable:
            del self._endpoints[endpoint_id]
        elif endpoint.lapsed_at_s is None:
            endpoint.lapsed_at_s = now_s

    def expire(self, now_s: float) -> list[str]:
        """Takes out endpoints whose entry did not come back; returns ids."""
        gone = [
            endpoint_id
            for endpoint_id, endpoint in self._endpoints.items()
            if endpoint.lapsed_at_s is not None
            and now_s - endpoint.lapsed_at_s > _LAPSE_GRACE_S
        ]
        for endpoint_id in gone:
            del self._endpoints[endpoint_id]
        return gone

    def in_pool(self, pools: Iterable[str]) -> list[Endpoint]:
        """Returns the endpoints of some pools that may get work."""
        names = set(pools)
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.entry.pool in names and not endpoint.entry.is_leaving
        ]

    def choose(
        self,
        pools: Iterable[str],
        excluded: frozenset[str],
        now_s: float,
    ) -> str | None:
        """Returns the endpoint that is thought to answer soonest.

        Resting and silent ones are chosen only if no other is left.
        """
        found = [
            endpoint
            for endpoint in self.in_pool(pools)
            if endpoint.entry.endpoint_id not in excluded
        ]
        if not found:
            return None
        sound = [
            endpoint
            for endpoint in found
            if endpoint.entry.domain not in self._cut_domains
            and not _is_doubtful(endpoint, now_s)
        ]
        best = min(
            sound or found,
            key=lambda e: (
                _finish(e, now_s),
                not self._has_connection(e.entry.address),
                self._random(),
            ),
        )
        return best.entry.endpoint_id

    def median_latency_s(self, route: str) -> float:
        """Returns the usual time of an answer of a route."""
        answers = self._answers.get(route)
        return statistics.median_low(answers) if answers else _FIRST_USUAL_S

    def record_sent(self, endpoint_id: str, route: str, now_s: float) -> int:
        """Counts a request that is sent; returns its token."""
        self._tokens += 1
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            patience_s = math.inf
            if len(self._answers.get(route, ())) >= _FEWEST_ANSWERS:
                patience_s = _SILENT_FACTOR * self.median_latency_s(route)
            endpoint.open[self._tokens] = _OpenRequest(route, now_s, patience_s)
        return self._tokens

    def record_answered(
        self, endpoint_id: str, token: int, now_s: float
    ) -> None:
        """Counts a whole answer; its time tells the endpoint's pace."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        req = endpoint.open.pop(token, None)
        endpoint.last_received_at_s = now_s
        endpoint.failures = 0
        endpoint.backoff_until_s = -math.inf
        if req is None:
            return
        took_s = now_s - req.sent_s
        self._learn_pace(endpoint, req.route, took_s, now_s)
        answers = self._answers.setdefault(
            req.route, collections.deque(maxlen=_USUAL_ANSWERS)
        )
        answers.append(took_s)

    def _learn_pace(
        self, endpoint: Endpoint, route: str, took_s: float, now_s: float
    ) -> None:
        ratio = min(_SLOWEST_PACE, took_s / self.median_latency_s(route))
        known = endpoint.expected_pace(now_s)
        endpoint.pace = known + _PACE_SHARE * (ratio - known)
        endpoint.paced_at_s = now_s

    def record_abandoned(
        self, endpoint_id: str, token: int, now_s: float
    ) -> None:
        """Counts a request that was given up before its answer came.

        One that waited longer than usual tells that the endpoint is slow.
        """
        endpoint = self._endpoints.get(endpoint_id)
        req = endpoint.open.pop(token, None) if endpoint else None
        if req is None or req.patience_s == math.inf:
            return
        ratio = (now_s - req.sent_s) / self.median_latency_s(req.route)
        if ratio > endpoint.expected_pace(now_s):
            endpoint.pace = min(_SLOWEST_PACE, ratio)
            endpoint.paced_at_s = now_s

    def record_failed(self, endpoint_id: str, token: int, now_s: float) -> None:
        """Counts a failure; the endpoint rests for a time."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.open.pop(token, None)
        endpoint.failures += 1
        rest_s = _FIRST_REST_S * 2 ** (endpoint.failures - 1)
        endpoint.backoff_until_s = now_s + min(rest_s, _LONGEST_REST_S)

    def record_closed(self, endpoint_id: str, token: int) -> None:
        """Counts a request that its caller gave up."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.open.pop(token, None)

    def record_load(self, endpoint_id: str, load: int, now_s: float) -> None:
        """Takes the load that an endpoint told."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.told_load = load
            endpoint.told_at_s = now_s
            endpoint.last_received_at_s = now_s

    def record_versions(
        self, endpoint_id: str, versions: dict[str, int]
    ) -> None:
        """Takes the weights that an engine reports, newer than its entry."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.entry = dataclasses.replace(
                endpoint.entry, versions=versions
            )


def _finish(endpoint: Endpoint, now_s: float) -> float:
    """Estimates the time until an answer, in tenths of the usual one."""
    load = endpoint.load(now_s) + 1
    slots = max(1, endpoint.entry.slots)
    # Waiting starts with the last slots: others send there as well.
    rounds = 1 + max(0.0, load - slots / 2) / slots
    return round(endpoint.expected_pace(now_s) * rounds, 1)


def _is_doubtful(endpoint: Endpoint, now_s: float) -> bool:
    if now_s < endpoint.backoff_until_s or endpoint.lapsed_at_s is not None:
        return True
    return endpoint.is_silent(now_s)
