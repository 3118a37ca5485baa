"""Endpoints of all failure domains, and which one answers soonest.

The platform's entries tell which endpoints there are. Own requests tell how
long each takes to answer and how many are open there; answers and reports
tell the load from others. What is known ages: an endpoint that was slow is
tried again after a while, and one that is silent with requests open is passed
over at once.

Answers the load of callers that wait for single answers while an endpoint
turns slow, goes dark or fails.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable

from daisyhub.settings import Address

__all__ = ["Endpoint", "EndpointDirectory", "EndpointEntry"]

# Share of a new latency in the running mean: about the last ten answers.
_LATENCY_SHARE = 0.2
# Seconds after which half of what is known of a latency is forgotten, so that
# a slow endpoint is tried again; some times shorter than a usual slow-down.
_LATENCY_HALF_LIFE_S = 3.0
# Seconds until a first answer is known; typical of a record look-up.
_FIRST_LATENCY_S = 0.05
# Seconds for which a load told by an answer or a report is believed.
_LOAD_AGE_S = 1.0
# How often the usual latency an open request must have waited for its
# endpoint to count as silent.
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


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint and what is known of it here.

    Attributes:
        entry: The newest entry.
        open_since: Start of each open request, by a token.
        latency_s: Running mean of the time of an answer.
        latency_at_s: When `latency_s` was last learned.
        told_load: Requests that it last told to have in hand.
        told_at_s: When it told.
        failures: Failures in a row.
        resting_until_s: Until when it gets no new work.
        heard_at_s: When it last sent anything.
        lapsed_at_s: When its entry went while the store was away.
    """

    entry: EndpointEntry
    open_since: dict[int, float] = dataclasses.field(default_factory=dict)
    latency_s: float = 0.0
    latency_at_s: float = -math.inf
    told_load: int = 0
    told_at_s: float = -math.inf
    failures: int = 0
    resting_until_s: float = -math.inf
    heard_at_s: float = -math.inf
    lapsed_at_s: float | None = None

    def load(self, now_s: float) -> int:
        """Returns how many requests it is thought to have in hand."""
        if now_s - self.told_at_s > _LOAD_AGE_S:
            return len(self.open_since)
        return max(len(self.open_since), self.told_load)

    def expected_s(self, usual_s: float, now_s: float) -> float:
        """Returns the time of an answer, ageing towards the pool's usual."""
        if self.latency_at_s == -math.inf:
            return usual_s
        age_s = now_s - self.latency_at_s
        weight = 0.5 ** (age_s / _LATENCY_HALF_LIFE_S)
        return weight * self.latency_s + (1 - weight) * usual_s

    def waited_s(self, now_s: float) -> float:
        """Returns for how long it has been silent with a request open."""
        if not self.open_since:
            return 0.0
        since_s = max(min(self.open_since.values()), self.heard_at_s)
        return now_s - since_s


class EndpointDirectory:
    """All endpoints by id.

    Args:
        random: Returns numbers in [0, 1); breaks ties.
    """

    def __init__(self, random: Callable[[], float]):
        self._random = random
        self._endpoints: dict[str, Endpoint] = {}
        self._tokens = 0

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Returns an endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def all(self) -> list[Endpoint]:
        """Returns every endpoint."""
        return list(self._endpoints.values())

    def adopt(self, entry: EndpointEntry) -> None:
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
        known = self.in_pool(pools)
        found = [e for e in known if e.entry.endpoint_id not in excluded]
        if not found:
            return None
        usual_s = usual_latency_s(known)
        sound = [e for e in found if not _is_doubtful(e, usual_s, now_s)]
        best = min(
            sound or found,
            key=lambda e: (self._finish_s(e, usual_s, now_s), self._random()),
        )
        return best.entry.endpoint_id

    def _finish_s(
        self, endpoint: Endpoint, usual_s: float, now_s: float
    ) -> float:
        """Estimates the time until an answer, in steps of a tenth."""
        load = endpoint.load(now_s) + 1
        slots = max(1, endpoint.entry.slots)
        # Waiting starts with the last slots: others send there as well.
        rounds = 1 + max(0.0, load - slots / 2) / slots
        took_s = endpoint.expected_s(usual_s, now_s) * rounds
        return round(took_s / (usual_s / 10)) * usual_s / 10

    def note_sent(self, endpoint_id: str, now_s: float) -> int:
        """Counts a request that is sent; returns its token."""
        self._tokens += 1
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.open_since[self._tokens] = now_s
        return self._tokens

    def note_answered(
        self, endpoint_id: str, token: int, took_s: float, now_s: float
    ) -> None:
        """Counts a whole answer that took `took_s`."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.open_since.pop(token, None)
        endpoint.heard_at_s = now_s
        endpoint.failures = 0
        endpoint.resting_until_s = -math.inf
        known_s = endpoint.latency_s
        if endpoint.latency_at_s == -math.inf:
            known_s = took_s
        endpoint.latency_s = known_s + _LATENCY_SHARE * (took_s - known_s)
        endpoint.latency_at_s = now_s

    def note_overdue(
        self, endpoint_id: str, token: int, waited_s: float, now_s: float
    ) -> None:
        """Counts a request that was given up after `waited_s` of silence."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.open_since.pop(token, None)
        endpoint.latency_s = max(endpoint.latency_s, waited_s)
        endpoint.latency_at_s = now_s

    def note_failed(self, endpoint_id: str, token: int, now_s: float) -> None:
        """Counts a failure; the endpoint rests for a time."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.open_since.pop(token, None)
        endpoint.failures += 1
        rest_s = _FIRST_REST_S * 2 ** (endpoint.failures - 1)
        endpoint.resting_until_s = now_s + min(rest_s, _LONGEST_REST_S)

    def note_cancelled(self, endpoint_id: str, token: int) -> None:
        """Counts a request that its caller gave up."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.open_since.pop(token, None)

    def note_load(self, endpoint_id: str, load: int, now_s: float) -> None:
        """Takes the load that an endpoint told."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.told_load = load
            endpoint.told_at_s = now_s
            endpoint.heard_at_s = now_s

    def note_versions(self, endpoint_id: str, versions: dict[str, int]) -> None:
        """Takes the weights that an engine reports, newer than its entry."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.entry = dataclasses.replace(
                endpoint.entry, versions=versions
            )

    def usual_s(self, pools: Iterable[str]) -> float:
        """Returns the usual time of an answer of some pools."""
        return usual_latency_s(self.in_pool(pools))


def usual_latency_s(endpoints: list[Endpoint]) -> float:
    """Returns the median of the known latencies."""
    known = sorted(
        e.latency_s for e in endpoints if e.latency_at_s != -math.inf
    )
    if not known:
        return _FIRST_LATENCY_S
    return known[(len(known) - 1) // 2]


def _is_doubtful(endpoint: Endpoint, usual_s: float, now_s: float) -> bool:
    if now_s < endpoint.resting_until_s or endpoint.lapsed_at_s is not None:
        return True
    return endpoint.waited_s(now_s) > _SILENT_FACTOR * usual_s
