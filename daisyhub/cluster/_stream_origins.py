"""Origins of streams, kept by several daemons of different failure domains.

The daemon that passes a stream's first event on tells a few others before,
its *keepers*: one in each of some failure domains, by rendezvous hashing of the
stream's key. A daemon to which the caller comes back ranks the daemons alike
and asks the first few of each domain, so that it finds a keeper although the
first daemon is gone, some of the keepers too, and its view of the cluster
differs a little.
"""

import time

import anyio

from daisyhub.balancing import Release
from daisyhub.cluster._peer_types import PeerState
from daisyhub.cluster._peers import PeerTable
from daisyhub.cluster._stream_messages import (
    StreamOriginQuery,
    StreamOriginRecord,
    StreamOriginResponse,
)
from daisyhub.hosting import rank_candidates
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.peers import PeerNetwork, PeerUnreachableError
from daisyhub.streams import LocalStreamOrigins, StreamOrigin, StreamSearch

__all__ = ["SharedStreamOrigins"]

# Failure domains with a keeper, the own one included, and the least number of
# keepers: if a third of all daemons is killed at once, one stream in a hundred
# loses the first daemon and all three.
_KEEPER_DOMAINS = 3
_MIN_KEEPERS = 3
# Daemons of each domain that are asked: the keeper is the first by rank, after
# the daemon that began the stream and those that the views differ by.
_ASKED_PER_DOMAIN = 3
# Keepers that must have confirmed before the first event is passed on, and the
# time for which it waits for them at most, in seconds: some round trips between
# failure domains, and little beside the latency of a first event.
_MIN_CONFIRMATIONS = 2
_MAX_CONFIRMATION_WAIT_S = 0.05
# Timeout of a search, in seconds: also for a daemon that is busy.
_SEARCH_TIMEOUT_S = 0.3


class SharedStreamOrigins(LocalStreamOrigins):
    """Origins that a daemon shares with others.

    Args:
        own_id: Id of this daemon.
        domain: Its failure domain.
        network: Calls other daemons.
        peers: The other daemons.
        metrics: Counts records and searches.
        log: Log of both.
    """

    def __init__(
        self,
        own_id: str,
        domain: str,
        network: PeerNetwork,
        peers: PeerTable,
        metrics: Metrics,
        log: DecisionLog,
    ):
        super().__init__()
        self._own_id = own_id
        self._domain = domain
        self._network = network
        self._peers = peers
        self._metrics = metrics
        self._log = log

    async def record(self, key: str, release: Release, valid_s: float) -> None:
        """Tells the keepers; see `StreamOrigins.record`."""
        self.remember(key, release, valid_s)
        keepers = self._choose_keepers(key)
        message = StreamOriginRecord(
            key=key,
            pool=release.pool,
            software=release.version,
            valid_s=valid_s,
        )
        confirmed: list[str] = []
        enough = anyio.Event()

        async def tell(daemon_id: str) -> None:
            try:
                await self._network.call(
                    daemon_id, message, _MAX_CONFIRMATION_WAIT_S
                )
            except PeerUnreachableError:
                return
            confirmed.append(daemon_id)
            if len(confirmed) >= min(_MIN_CONFIRMATIONS, len(keepers)):
                enough.set()

        async with anyio.create_task_group() as tasks:
            for daemon_id in keepers:
                tasks.start_soon(tell, daemon_id)
            if keepers:
                with anyio.move_on_after(_MAX_CONFIRMATION_WAIT_S):
                    await enough.wait()
            # What was sent arrives all the same.
            tasks.cancel_scope.cancel()
        self._metrics.count("streams_recorded", confirmed=str(len(confirmed)))
        self._log.record(
            "stream_recorded",
            key=key,
            release=str(release),
            keepers=keepers,
            confirmed=len(confirmed),
        )

    async def find(self, key: str) -> StreamSearch:
        """Asks daemons that may be keepers; see `StreamOrigins.find`."""
        local = await super().find(key)
        if local.origin is not None:
            return local
        asked = self._choose_asked(key)
        found: list[StreamOrigin] = []
        silent: list[str] = []

        async with anyio.create_task_group() as tasks:

            async def ask(daemon_id: str) -> None:
                try:
                    response = await self._network.call(
                        daemon_id,
                        StreamOriginQuery(key=key),
                        _SEARCH_TIMEOUT_S,
                    )
                except PeerUnreachableError:
                    silent.append(daemon_id)
                    return
                if response.is_known:
                    found.append(self._adopt(key, response))
                    tasks.cancel_scope.cancel()

            for daemon_id in asked:
                tasks.start_soon(ask, daemon_id)
        origin = found[0] if found else None
        self._metrics.count(
            "streams_searched", result="found" if origin else "unknown"
        )
        self._log.record(
            "stream_searched",
            key=key,
            asked=asked,
            silent=silent,
            release=str(origin.release) if origin else "",
        )
        # A daemon that hears none of those that it knows is cut off.
        is_cut_off = not asked and bool(self._peers.all())
        return StreamSearch(origin, is_conclusive=not silent and not is_cut_off)

    async def handle_record(
        self, message: StreamOriginRecord
    ) -> StreamOriginResponse:
        """Keeps what a peer tells."""
        release = Release(message.pool, message.software)
        self.remember(message.key, release, message.valid_s)
        return StreamOriginResponse(is_known=True)

    async def handle_query(
        self, message: StreamOriginQuery
    ) -> StreamOriginResponse:
        """Answers a peer that searches the origin of a stream."""
        now_s = time.monotonic()
        origin = self._table.find(message.key, now_s)
        if origin is None:
            return StreamOriginResponse(is_known=False)
        release = origin.release
        return StreamOriginResponse(
            is_known=True,
            pool=release.pool if release else "",
            software=release.version if release else "",
            valid_s=origin.valid_until_s - now_s,
        )

    def _adopt(self, key: str, response: StreamOriginResponse) -> StreamOrigin:
        """Remembers what a peer answered; returns it."""
        valid_until_s = time.monotonic() + response.valid_s
        if not response.software:
            return StreamOrigin(None, valid_until_s)
        release = Release(response.pool, response.software)
        self.remember(key, release, response.valid_s)
        return StreamOrigin(release, valid_until_s)

    def _choose_keepers(self, key: str) -> list[str]:
        staying = [p for p in self._peers.live() if not p.ping.is_leaving]
        chosen = self._first_by_domain(key, staying, 1)[:_KEEPER_DOMAINS]
        rest = [p.daemon_id for p in staying if p.daemon_id not in chosen]
        missing = max(0, _MIN_KEEPERS - len(chosen))
        return chosen + rank_candidates(key, rest)[:missing]

    def _choose_asked(self, key: str) -> list[str]:
        live = self._peers.live()
        chosen = self._first_by_domain(key, live, _ASKED_PER_DOMAIN)
        return chosen[: _ASKED_PER_DOMAIN * (_KEEPER_DOMAINS + 1)]

    def _first_by_domain(
        self, key: str, peers: list[PeerState], count: int
    ) -> list[str]:
        """Returns the first daemons by rank of each domain, own one first."""
        by_domain: dict[str, list[str]] = {}
        for peer in peers:
            by_domain.setdefault(peer.ping.domain, []).append(peer.daemon_id)
        domains = rank_candidates(key, by_domain)
        domains.sort(key=lambda domain: domain != self._domain)
        return [
            daemon_id
            for domain in domains
            for daemon_id in rank_candidates(key, by_domain[domain])[:count]
        ]
