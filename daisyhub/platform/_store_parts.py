"""The first layer of a daemon: settings, logs, and calls to others."""

import abc
import time

from daisyhub.cluster import (
    CLUSTER_PROTOCOL,
    PeerReaderProvider,
    PeerRelayProvider,
    PeerTable,
)
from daisyhub.connections import HttpClient
from daisyhub.fleet_settings import (
    FleetSettings,
    parse_address,
)
from daisyhub.logs import DecisionLog
from daisyhub.memory import MemoryBudget
from daisyhub.metrics import Metrics
from daisyhub.objects import (
    RelayedStore,
    SharedWatch,
)
from daisyhub.peers import PeerNetwork
from daisyhub.platform._lots_json import PlatformLotWire
from daisyhub.platform._store import PlatformStore
from daisyhub.platform._store_pages import UnreadableObjects
from daisyhub.platform._wire import PlatformEndpointWire
from daisyhub.serving import count_links
from daisyhub.settings import Address

__all__ = ["StoreParts"]

_NS_PER_US = 1000


class StoreParts(abc.ABC):
    """What a daemon needs to call the store, endpoints and peers.

    The layers of a daemon build on each other: this one, `ClusterParts`,
    `WatchParts`, `LotParts` and `FleetDaemon`.

    Args:
        cfg: Its settings.

    Attributes:
        incarnation: Start of this process, microseconds since the epoch.
    """

    def __init__(self, cfg: FleetSettings):
        self.cfg = cfg
        self.incarnation = time.time_ns() // _NS_PER_US
        self.log = DecisionLog(cfg.daemon_id)
        self.metrics = Metrics()
        self._endpoint_wire = PlatformEndpointWire()
        self._lot_wire = PlatformLotWire()
        self.memory = MemoryBudget(cfg.memory_mb)
        self._is_draining = False
        self._build_store()

    @property
    def process(self) -> str:
        """Name that is unique to this start of this daemon."""
        return f"{self.cfg.daemon_id}/{self.incarnation}"

    def _build_store(self) -> None:
        cfg = self.cfg
        self.http = HttpClient(
            connect_timeout_s=cfg.connect_timeout_s,
            idle_s=cfg.connection_idle_s,
        )
        self.relay_http = HttpClient(
            connect_timeout_s=cfg.connect_timeout_s,
            idle_s=cfg.connection_idle_s,
            memory=self.memory,
        )
        self.endpoint_http = HttpClient(
            connect_timeout_s=cfg.connect_timeout_s,
            idle_s=cfg.connection_idle_s,
            on_exchange=self._record_exchange,
            memory=self.memory,
        )
        self.network = PeerNetwork(
            cfg,
            self.incarnation,
            CLUSTER_PROTOCOL,
            self.memory,
            count_links(cfg.sockets),
        )
        self.peers = PeerTable(cfg.daemon_id, self.log)
        direct = PlatformStore(
            parse_address(cfg.store),
            self.http,
            cfg.call_timeout_s,
            UnreadableObjects(self.metrics, self.log).record,
        )
        relay_provider = PeerRelayProvider(
            self.network, self.peers, cfg.failure_domain, cfg.call_timeout_s
        )
        self.store = RelayedStore(direct, relay_provider, self.log)
        self._direct_store = direct
        readers = PeerReaderProvider(
            self.network, self.peers, cfg.failure_domain, cfg.call_timeout_s
        )
        self.shared_watch = SharedWatch(self.store, readers, self.log)

    @abc.abstractmethod
    def _record_exchange(self, address: Address, is_answered: bool) -> None:
        """Records whether an endpoint answered a request."""
