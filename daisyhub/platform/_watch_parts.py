"""The third layer of a daemon: watched objects and duties."""

from daisyhub.balancing import (
    EndpointProcess,
)
from daisyhub.cluster import (
    StoreRequest,
    StoreRequestHandler,
)
from daisyhub.fleet_settings import (
    FleetSettings,
)
from daisyhub.objects import (
    KindWatcher,
    StoredObject,
    WatchedCopy,
)
from daisyhub.platform._cluster_parts import ClusterParts
from daisyhub.platform._duties import (
    build_duties,
)
from daisyhub.platform._evacuations import build_evacuations
from daisyhub.platform._manifest import (
    CONFIG_KIND,
    CONFIG_NAME,
)
from daisyhub.platform._server_list import ServerList
from daisyhub.platform._servers import SERVERS_KIND

__all__ = ["WatchParts"]

# Seconds for which server changes are batched, per known peer, and the maximum:
# half of the 2 s within which a leaving endpoint must be taken out of use.
_BATCH_DELAY_PER_PEER_S = 0.03
_MAX_BATCH_DELAY_S = 1.0
# Seconds for which a peer may have received newer changes than a watch before
# the watch is restarted: several round trips to the store.
_MAX_WATCH_LAG_S = 0.3


class WatchParts(ClusterParts):
    """What a daemon follows in the store, and its duties."""

    def __init__(self, cfg: FleetSettings):
        super().__init__(cfg)
        self._build_watchers()

    def _build_watchers(self) -> None:
        self.evacuations = build_evacuations(
            self.cfg,
            self.shared_watch,
            self.network,
            self.directory,
            self.metrics,
            self.log,
        )
        servers = ServerList(
            self.directory,
            self.permits,
            self.leaving_news,
            self._lapses,
            self.metrics,
            self.log,
        )
        self.watchers = (
            *(evacuations.watcher for evacuations in self.evacuations),
            KindWatcher(
                self.shared_watch,
                CONFIG_KIND,
                self.log,
                self._on_config,
                can_be_stale=self._can_be_stale,
            ),
            KindWatcher(
                self.shared_watch,
                SERVERS_KIND,
                self.log,
                servers.on_change,
                self._batch_delay_s,
                self._can_be_stale,
                self._max_servers_lag_s,
            ),
        )
        request_handler = StoreRequestHandler(
            self._direct_store, WatchedCopy(self.watchers)
        )
        self.network.add_request_handler(StoreRequest, request_handler.handle)
        self.cluster.set_watchers(self.watchers)
        self.rollouts, self.accounts = build_duties(
            self.cfg,
            self.process,
            self.store,
            self.peers,
            self.log,
            is_cut_off=lambda: self.reach.is_cut_off,
            has_adaptive_pool=self.adaptive.pools.has_any,
        )

    def _is_currently_listed(self, process: EndpointProcess) -> bool:
        """Whether the list, which is up to date, contains a process."""
        known = self.directory.get(process.endpoint_id)
        is_current = all(watcher.is_current for watcher in self.watchers)
        return (
            is_current
            and self.directory.is_listed(process)
            and known.absent_since_s is None
        )

    def _held_duties(self) -> dict[str, int]:
        """Returns the fencing numbers of the duties that are held here."""
        duties = (self.rollouts, self.accounts)
        return {d.duty: d.tenure for d in duties if d.tenure}

    def _batch_delay_s(self) -> float:
        """Returns how many seconds to batch changes before the next watch.

        Every change causes a store call by every reader, so the delay grows
        with the number of daemons. It is limited because a leaving endpoint
        must receive no requests after two seconds. What a reader passes on is
        batched already.
        """
        if self.shared_watch.is_follower:
            return 0.0
        return min(
            _MAX_BATCH_DELAY_S, _BATCH_DELAY_PER_PEER_S * len(self.peers.all())
        )

    def _max_servers_lag_s(self) -> float:
        """Returns the seconds for which a peer may know newer servers.

        A follower gets changes after its reader's batch delay.
        """
        if self.shared_watch.is_follower:
            return _MAX_WATCH_LAG_S + _MAX_BATCH_DELAY_S
        return _MAX_WATCH_LAG_S

    def _can_be_stale(self) -> bool:
        """Whether watches may return stale data.

        Only if a live duty holder reaches the store: its pings report the
        newest revisions, so that changes missed here are detected.
        """
        return (
            not self._held_duties() and self.peers.has_live_holder_with_store()
        )

    def _on_config(self, found: StoredObject) -> None:
        if found.name == CONFIG_NAME:
            self.manifests.adopt(found, "store")
