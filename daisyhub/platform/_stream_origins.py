"""Wires the origins of streams: in the daemons' memory and in the store."""

from daisyhub.catalog import ManifestController
from daisyhub.cluster import (
    ClusterClock,
    DurableStreamOrigins,
    PeerTable,
    SharedStreamOrigins,
    StreamOriginBatch,
    StreamOriginQuery,
    StreamOriginRecord,
)
from daisyhub.fleet_settings import FleetSettings
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.objects import ObjectStore
from daisyhub.peers import PeerNetwork

__all__ = ["build_stream_origins"]


def build_stream_origins(
    cfg: FleetSettings,
    network: PeerNetwork,
    peers: PeerTable,
    store: ObjectStore,
    clock: ClusterClock,
    manifests: ManifestController,
    metrics: Metrics,
    log: DecisionLog,
) -> DurableStreamOrigins:
    """Returns the origins of a daemon, which handle the messages of peers."""
    shared = SharedStreamOrigins(
        cfg.daemon_id, cfg.failure_domain, network, peers, metrics, log
    )

    def has_resumable_route() -> bool:
        manifest = manifests.manifest
        return manifest is not None and any(
            route.is_resumable for route in manifest.routes
        )

    durable = DurableStreamOrigins(
        shared,
        cfg.failure_domain,
        network,
        peers,
        store,
        clock,
        has_resumable_route,
        metrics,
        log,
    )
    network.add_request_handler(StreamOriginRecord, shared.handle_record)
    network.add_request_handler(StreamOriginQuery, shared.handle_query)
    network.add_request_handler(StreamOriginBatch, durable.handle_batch)
    return durable
