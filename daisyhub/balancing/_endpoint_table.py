"""What a daemon knows of its failure domain's endpoints.

News comes from the platform's lagging list, from endpoints' own answers, from
operators and from peers, late, twice or in any order. For one incarnation,
`leaving` is final: only a higher incarnation makes an endpoint usable again.
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
    "EndpointUpdate",
    "EndpointState",
    "EndpointTable",
]

DRAIN_PREFIX = "news/drain/"
_FAILURES_TO_SUSPECT = 3
_SUSPECT_S = 2.0
_ABSENT_S = 5.0
_MOST_LEFT = 20_000


class DrainOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to give an endpoint no new work.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: The order holds up to this incarnation.
        author: Who gave it.
    """

    endpoint_id: str
    incarnation: int
    author: str = ""


class EndpointUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """One party's news of one endpoint.

    Attributes:
        endpoint_id: Unique id.
        incarnation: The incarnation that the news is about.
        is_leaving: Whether it was seen to be leaving.
        load: Requests that it has in hand, or -1 if the news doesn't tell.
        weight_version: Version of its weights, or -1 if not told.
        capacity: Requests that it serves at one time, or 0 if not told.
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
    """One endpoint; `load` is the last news plus own requests since."""

    endpoint_id: str
    pool: str
    address: Address
    incarnation: int
    cheap: bool = False
    capacity: int = 16
    tells_capacity: bool = False
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
        """Requests that it is thought to have in hand."""
        return max(self.reported_load, self.own_requests)

    def health(self, now_s: float) -> str:
        """Returns `live`, `suspect` or `leaving`."""
        if self.is_leaving:
            return _Health.LEAVING.value
        if now_s < self.suspect_until_s:
            return _Health.SUSPECT.value
        return _Health.LIVE.value


class EndpointTable:
    """All endpoints of one failure domain, by id."""

    def __init__(self):
        self._endpoints: dict[str, EndpointState] = {}
        # The highest incarnation that is known to be leaving or gone.
        self._left: dict[str, int] = {}
        # Endpoints that may get work, by pool and id.
        self._usable: dict[str, list[EndpointState]] = {}
        self._suspects: set[str] = set()
        self._listeners: list[Callable[[EndpointUpdate], None]] = []

    def __len__(self) -> int:
        return len(self._endpoints)

    def add_listener(self, listener: Callable[[EndpointUpdate], None]) -> None:
        """Calls `listener` with news that others must hear: one is leaving."""
        self._listeners.append(listener)

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Returns an endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def all(self) -> list[EndpointState]:
        """Returns every endpoint, by id."""
        return [self._endpoints[key] for key in sorted(self._endpoints)]

    def apply_list(self, records, now_s: float = 0.0) -> None:
        """Takes over the platform's list of `EndpointRecord`.

        The list may lag behind an earlier one, and may lack entries for a
        moment: an entry that it lacks gets no new work once it was lacking
        for some seconds, and is forgotten when no request is open. An empty
        list tells nothing.
        """
        records = list(records)
        if not records:
            return
        seen = {record.endpoint_id for record in records}
        for record in records:
            self._adopt_record(record)
        for endpoint_id in self._endpoints.keys() - seen:
            self._note_absent(self._endpoints[endpoint_id], now_s)
        self._build_usable(now_s)

    def _adopt_record(self, record) -> None:
        known = self._endpoints.get(record.endpoint_id)
        if known is not None and record.incarnation < known.incarnation:
            return
        if known is None or record.incarnation > known.incarnation:
            known = _new_state(record, known)
            self._endpoints[record.endpoint_id] = known
            self._suspects.discard(record.endpoint_id)
        known.absent_since_s = None
        if record.state == "leaving":
            self._note_left(record.endpoint_id, record.incarnation)
        left = self._left.get(record.endpoint_id, 0)
        known.is_leaving = known.is_leaving or record.incarnation <= left

    def _note_absent(self, state: EndpointState, now_s: float) -> None:
        if state.absent_since_s is None:
            state.absent_since_s = now_s
        if _is_gone(state, now_s) and not state.own_requests:
            del self._endpoints[state.endpoint_id]
            self._suspects.discard(state.endpoint_id)

    def _note_left(self, endpoint_id: str, incarnation: int) -> None:
        """Remembers it, the endpoint known or not; the newest are kept."""
        known = self._left.pop(endpoint_id, 0)
        self._left[endpoint_id] = max(known, incarnation)
        if len(self._left) > _MOST_LEFT:
            del self._left[next(iter(self._left))]

    def apply_update(self, news: EndpointUpdate) -> bool:
        """Takes one news; returns whether it changed what others must know.

        News of a newer incarnation than the known one tells that the known
        one is gone. News of an unknown endpoint is kept for later.
        """
        known = self._endpoints.get(news.endpoint_id)
        gone = news.incarnation if news.is_leaving else news.incarnation - 1
        is_later = gone > self._left.get(news.endpoint_id, 0)
        if is_later:
            self._note_left(news.endpoint_id, gone)
        if known is None:
            return is_later and news.is_leaving
        is_new = self._note_leaving(known)
        if is_new:
            for listener in self._listeners:
                listener(news)
        if news.incarnation != known.incarnation:
            return is_new
        if news.load >= 0:
            known.reported_load = news.load
        if news.weight_version >= 0:
            known.weight_version = max(
                known.weight_version, news.weight_version
            )
        if news.capacity > 0:
            known.capacity = news.capacity
            known.tells_capacity = True
        return is_new

    def _note_leaving(self, state: EndpointState) -> bool:
        """Takes an endpoint out of its pool if its incarnation has left."""
        left = self._left.get(state.endpoint_id, 0)
        if state.is_leaving or state.incarnation > left:
            return False
        state.is_leaving = True
        # A new list, since callers may hold the old one.
        self._usable[state.pool] = [
            other
            for other in self._usable.get(state.pool, ())
            if other is not state
        ]
        return True

    def _build_usable(self, now_s: float) -> None:
        usable: dict[str, list[EndpointState]] = {}
        for state in self.all():
            if not state.is_leaving and not _is_gone(state, now_s):
                usable.setdefault(state.pool, []).append(state)
        self._usable = usable

    def candidates(
        self, pool: str, now_s: float, excluded: frozenset[str] = frozenset()
    ) -> list[EndpointState]:
        """Returns the endpoints of a pool that may get new work, by id.

        Suspect ones are offered only if no other is left. The caller must
        not change the list.
        """
        usable = self._usable.get(pool, [])
        if excluded:
            usable = [s for s in usable if s.endpoint_id not in excluded]
        if not self._suspects:
            return usable
        self._forget_suspects(now_s)
        sound = [s for s in usable if s.endpoint_id not in self._suspects]
        return sound or usable

    def _forget_suspects(self, now_s: float) -> None:
        self._suspects = {
            endpoint_id
            for endpoint_id in self._suspects
            if now_s < self._endpoints[endpoint_id].suspect_until_s
        }

    def reported_capacity(self, pools: Iterable[str]) -> int | None:
        """Returns what usable endpoints serve at one time, all together.

        None if there are none, or one of them doesn't tell.
        """
        states = [s for pool in pools for s in self._usable.get(pool, ())]
        if not states or not all(s.tells_capacity for s in states):
            return None
        return sum(state.capacity for state in states)

    def record_sent(self, endpoint_id: str) -> None:
        """Counts a request that was sent."""
        state = self._endpoints.get(endpoint_id)
        if state is not None:
            state.own_requests += 1

    def record_done(self, endpoint_id: str, *, failed: bool, now_s: float):
        """Counts a request that ended; failures in a row make it suspect."""
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
        if state.failures >= _FAILURES_TO_SUSPECT:
            state.suspect_until_s = now_s + _SUSPECT_S
            self._suspects.add(endpoint_id)


def _is_gone(state: EndpointState, now_s: float) -> bool:
    absent_since_s = state.absent_since_s
    return absent_since_s is not None and now_s - absent_since_s >= _ABSENT_S


def _new_state(record, earlier: EndpointState | None) -> EndpointState:
    """Builds an entry; open requests to an earlier incarnation still count."""
    return EndpointState(
        endpoint_id=record.endpoint_id,
        pool=record.pool,
        address=Address(ip=record.ip, port=record.port),
        incarnation=record.incarnation,
        cheap=record.cheap,
        own_requests=earlier.own_requests if earlier else 0,
    )
