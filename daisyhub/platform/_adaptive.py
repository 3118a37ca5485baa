"""Wires the parts of a daemon that adaptive pools need."""

from collections.abc import Callable

from daisyhub.balancing import AdaptivePools, EndpointDirectory, PermitSource
from daisyhub.catalog import Manifest
from daisyhub.fleet_settings import FleetSettings
from daisyhub.gateway import HeadRecorder
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics

__all__ = ["AdaptiveParts"]


class AdaptiveParts:
    """The adaptive pools of a daemon, and what learns them.

    Args:
        cfg: The daemon's settings.
        manifest: Returns the active manifest; None before the first.
        directory: Known endpoints.
        permits: Permits for endpoints that limit their rate.
        metrics: Counts response heads that can't be read.
        log: Log of pools whose endpoints state a pace.

    Attributes:
        pools: The adaptive pools.
        heads: Records response heads of endpoints.
    """

    def __init__(
        self,
        cfg: FleetSettings,
        manifest: Callable[[], Manifest | None],
        directory: EndpointDirectory,
        permits: PermitSource,
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._manifest = manifest
        self.pools = AdaptivePools(
            cfg.adaptive_scheduling,
            cfg.adaptive_models,
            self._model_counts,
            lambda pool: log.record("pool_states_pace", pool=pool),
        )
        self.heads = HeadRecorder(directory, permits, self.pools, metrics, log)

    def status(self) -> list[str]:
        """Returns the adaptive pools of the active manifest."""
        counts = self._model_counts()
        return sorted(pool for pool in counts if self.pools.is_adaptive(pool))

    def _model_counts(self) -> dict[str, int]:
        """Returns the number of models by pool; empty without a manifest."""
        manifest = self._manifest()
        pools = manifest.pools if manifest else {}
        return {name: len(pool.models) for name, pool in pools.items()}
