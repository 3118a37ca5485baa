"""The second layer of a daemon: other daemons, endpoints, decisions."""

import abc

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    EndpointProcess,
    LapseWindow,
    rank_by_daemon,
)
from daisyhub.billing import UsageAggregator, UsageMeter
from daisyhub.catalog import ManifestController
from daisyhub.cluster import (
    ClusterClock,
    ClusterController,
    LeavingNews,
    ManifestRequest,
    OwnerTable,
    PermitRequest,
    Ping,
    ReachMonitor,
    SharedPermits,
    SharedSuspects,
    TrialRequest,
    UsageReport,
)
from daisyhub.fleet_settings import (
    FleetSettings,
    parse_address,
)
from daisyhub.platform._adaptive import AdaptiveParts
from daisyhub.platform._admission import AdmissionParts
from daisyhub.platform._capacity import CapacityController
from daisyhub.platform._coldness import build_coldness, make_health_recorder
from daisyhub.platform._duties import (
    ACCOUNTS_DUTY,
    ROLLOUTS_DUTY,
)
from daisyhub.platform._manifest import (
    PlatformManifestReader,
)
from daisyhub.platform._store_parts import StoreParts
from daisyhub.platform._stream_origins import build_stream_origins
from daisyhub.settings import Address

__all__ = ["ClusterParts"]

# Path for health checks of endpoints whose pool no manifest names.
_DEFAULT_HEALTH_PATH = "/health"


class ClusterParts(StoreParts):
    """What a daemon knows of its peers and of the endpoints."""

    def __init__(self, cfg: FleetSettings):
        super().__init__(cfg)
        self._build_cluster()

    def _build_cluster(self) -> None:
        """Builds what daemons know of each other and of endpoints."""
        cfg = self.cfg
        self.clock = ClusterClock()
        self.meter = UsageMeter(cfg.usage_window_s, self.clock.now_s)
        self.manifests = ManifestController(PlatformManifestReader(), self.log)
        self._lapses = LapseWindow(lambda: self.store.failed_call_at_s)
        self.directory = EndpointDirectory(
            lambda name: rank_by_daemon(cfg.daemon_id, name),
            self.endpoint_http.has_connection,
            self._announce_leaving,
            lapses=self._lapses,
        )
        self.reach = ReachMonitor(
            self.directory,
            self.peers,
            self.network,
            self._health_path,
            self.metrics,
            self.log,
        )
        self.leaving_news = LeavingNews(
            self.directory, self.network, self.peers, self.metrics, self.log
        )
        self.owners = OwnerTable(
            cfg.daemon_id, self.peers, lambda: self._is_draining
        )
        self.permits = SharedPermits(
            self.owners,
            self.network,
            self.peers,
            self.metrics,
            self.log,
            build_coldness(self.manifests, self.clock, self.metrics, self.log),
            lambda: not self.shared_watch.is_follower,
        )
        self.adaptive = AdaptiveParts(
            cfg,
            lambda: self.manifests.manifest,
            self.directory,
            self.permits,
            self.metrics,
            self.log,
        )
        self.capacity = CapacityController(
            cfg.daemon_id,
            self.incarnation,
            self.directory,
            self.adaptive.pools,
            self.peers,
            self.endpoint_http,
            self.metrics,
            self.log,
        )
        self.reach.set_client(
            self.endpoint_http,
            self.permits,
            make_health_recorder(self._endpoint_wire, self.adaptive.heads),
        )
        self.admission = AdmissionParts(
            ROLLOUTS_DUTY,
            self.directory,
            self.adaptive.pools,
            self.metrics,
            self.log,
            self.capacity.limit,
        )
        self.suspects = SharedSuspects(
            self._is_currently_listed,
            self.owners,
            self.network,
            self.peers,
            self.log,
        )
        self.stream_origins = build_stream_origins(
            cfg,
            self.network,
            self.peers,
            self.store,
            self.clock,
            self.manifests,
            self.metrics,
            self.log,
        )
        self.cluster = ClusterController(
            cfg.daemon_id,
            cfg.peer_address,
            tuple(parse_address(seed) for seed in cfg.seeds),
            self.network,
            self.peers,
            self.clock,
            self.manifests,
            self.store,
            self._ping,
            self._make_usage_report,
            ACCOUNTS_DUTY,
            self.log,
        )
        self.usage_aggregator = UsageAggregator()
        # A response goes to the address that a ping told to `cluster`.
        self.network.add_receiver(self.cluster.receive)
        self.network.add_receiver(self.leaving_news.receive)
        self.network.add_receiver(self.permits.receive)
        self.network.add_request_handler(
            PermitRequest, self.permits.handle_request
        )
        self.network.add_receiver(self.suspects.receive)
        self.network.add_request_handler(
            TrialRequest, self.suspects.handle_request
        )
        self.network.add_receiver(self.reach.receive)
        self.network.add_receiver(self._record_usage)
        self.network.add_receiver(self.capacity.receive)
        self.network.add_receiver(self.admission.receive)
        self.network.add_request_handler(
            ManifestRequest, self.cluster.handle_manifest_request
        )

    def _record_exchange(self, address: Address, is_answered: bool) -> None:
        """Tells `reach`, which is built after the client."""
        self.reach.record_exchange(address, is_answered)

    def _health_path(self, pool: str) -> str:
        """Returns the path for health checks of a pool."""
        manifest = self.manifests.manifest
        known = manifest.pools.get(pool) if manifest else None
        return known.health_path if known else _DEFAULT_HEALTH_PATH

    def _announce_leaving(self, entry: EndpointEntry, call: str) -> None:
        """Tells peers; `leaving_news` is built after the directory."""
        self.leaving_news.announce(entry, call)

    def _record_usage(self, envelope, message: object) -> None:
        if isinstance(message, UsageReport):
            self.usage_aggregator.update(
                envelope.sender,
                envelope.incarnation,
                message.usage,
                message.closed_before,
            )

    def _make_usage_report(self) -> UsageReport:
        return UsageReport(
            usage=self.meter.snapshot(),
            closed_before=self.meter.closed_before(),
        )

    @abc.abstractmethod
    def _is_currently_listed(self, process: EndpointProcess) -> bool:
        """Whether the list, which is up to date, contains a process."""

    @abc.abstractmethod
    def _ping(self) -> Ping:
        """Returns what the next ping tells peers."""
