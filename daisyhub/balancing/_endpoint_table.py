"""What a daemon knows of its failure domain's endpoints.

News comes from the platform's lagging list, from endpoints' own answers and
from peers. For one incarnation, `leaving` is final: only a higher incarnation
makes an endpoint usable again.
"""

import dataclasses
import enum

import msgspec

from daisyhub.base import EndpointView
from daisyhub.settings import Address

__all__ = ["EndpointNews", "EndpointState", "EndpointTable"]

_FAILURES_TO_SUSPECT = 3
_SUSPECT_S = 2.0


class EndpointNews(msgspec.Struct, frozen=True, kw_only=True):
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
    weight_version: int = 0
    reported_load: float = 0.0
    own_requests: int = 0
    failures: int = 0
    suspect_until_s: float = 0.0
    is_leaving: bool = False

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
        self._gone: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Returns an endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def all(self) -> list[EndpointState]:
        """Returns every endpoint, by id."""
        return [self._endpoints[key] for key in sorted(self._endpoints)]

    def adopt_list(self, records) -> None:
        """Takes over the platform's list of `EndpointRecord`.

        An entry that the list no longer has is dropped; its incarnation is
        remembered while it was leaving, so that an older list can't bring it
        back.
        """
        seen = set()
        for record in records:
            seen.add(record.endpoint_id)
            self._adopt_record(record)
        for endpoint_id in set(self._endpoints) - seen:
            state = self._endpoints.pop(endpoint_id)
            if state.is_leaving:
                self._gone[endpoint_id] = state.incarnation

    def _adopt_record(self, record) -> None:
        known = self._endpoints.get(record.endpoint_id)
        if known is not None and record.incarnation < known.incarnation:
            return
        if known is None or record.incarnation > known.incarnation:
            known = EndpointState(
                endpoint_id=record.endpoint_id,
                pool=record.pool,
                address=Address(ip=record.ip, port=record.port),
                incarnation=record.incarnation,
                cheap=record.cheap,
            )
            self._endpoints[record.endpoint_id] = known
        gone = self._gone.get(record.endpoint_id, 0)
        if record.state == "leaving" or record.incarnation <= gone:
            known.is_leaving = True

    def adopt_news(self, news: EndpointNews) -> bool:
        """Takes one news; returns whether it changed what others must know.

        News of an unknown endpoint that is leaving is kept for later.
        """
        known = self._endpoints.get(news.endpoint_id)
        if known is None:
            if news.is_leaving:
                gone = self._gone.get(news.endpoint_id, 0)
                self._gone[news.endpoint_id] = max(gone, news.incarnation)
            return False
        if news.incarnation != known.incarnation:
            return False
        is_new = news.is_leaving and not known.is_leaving
        known.is_leaving |= news.is_leaving
        if news.load >= 0:
            known.reported_load = news.load
        if news.weight_version >= 0:
            known.weight_version = max(
                known.weight_version, news.weight_version
            )
        if news.capacity > 0:
            known.capacity = news.capacity
        return is_new

    def candidates(
        self, pool: str, now_s: float, excluded: frozenset[str] = frozenset()
    ) -> list[EndpointState]:
        """Returns the endpoints of a pool that may get new work.

        Suspect ones are offered only if no other is left.
        """
        usable = [
            state
            for state in self.all()
            if state.pool == pool
            and not state.is_leaving
            and state.endpoint_id not in excluded
        ]
        sound = [s for s in usable if now_s >= s.suspect_until_s]
        return sound or usable

    def note_sent(self, endpoint_id: str) -> None:
        """Counts a request that was sent."""
        state = self._endpoints.get(endpoint_id)
        if state is not None:
            state.own_requests += 1

    def note_done(self, endpoint_id: str, *, failed: bool, now_s: float):
        """Counts a request that ended; failures in a row make it suspect."""
        state = self._endpoints.get(endpoint_id)
        if state is None:
            return
        state.own_requests = max(0, state.own_requests - 1)
        if not failed:
            state.failures = 0
            state.suspect_until_s = 0.0
            return
        state.failures += 1
        if state.failures >= _FAILURES_TO_SUSPECT:
            state.suspect_until_s = now_s + _SUSPECT_S
