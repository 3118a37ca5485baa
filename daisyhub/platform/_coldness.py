"""Coldness of endpoints, as manifests, entries and health checks state it."""

from collections.abc import Callable

from daisyhub.balancing import Coldness, ColdPool, EndpointEntry
from daisyhub.catalog import Manifest, ManifestController
from daisyhub.cluster import ClusterClock
from daisyhub.connections import HttpResponse
from daisyhub.gateway import EndpointWire, HeadRecorder
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics

__all__ = ["build_coldness", "make_health_recorder"]


def build_coldness(
    manifests: ManifestController,
    clock: ClusterClock,
    metrics: Metrics,
    log: DecisionLog,
) -> Coldness:
    """Returns what tells which endpoints are cold, by the active manifest."""
    pools: dict[str, ColdPool] = {}

    def update(manifest: Manifest) -> None:
        pools.clear()
        for name, pool in manifest.pools.items():
            pools[name] = ColdPool(pool.cold_start_s, pool.cold_per_s)

        coldness.refresh()

    coldness = Coldness(pools.get, clock.now_s, metrics, log)
    manifests.add_listener(update)
    return coldness


def make_health_recorder(
    wire: EndpointWire, heads: HeadRecorder
) -> Callable[[EndpointEntry, HttpResponse, float], None]:
    """Returns what records the responses of health checks."""

    def record(
        entry: EndpointEntry, response: HttpResponse, sent_at_s: float
    ) -> None:
        head = wire.read_response_head(response.status, response.headers)
        heads.record_cold(entry, head, "probe", sent_at_s)

    return record
