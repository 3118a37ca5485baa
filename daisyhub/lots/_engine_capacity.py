"""Passes what the streams of items show about engines to the capacity core."""

import time
from collections.abc import Callable

from daisyhub.balancing import (
    CapacityCore,
    CapacitySample,
    EndpointDirectory,
    EndpointEntry,
)
from daisyhub.lots._run_types import StreamEventsReceived

__all__ = ["EngineCapacity"]


class EngineCapacity:
    """Measures the engines of adaptive pools by the events of their streams.

    Args:
        core: Estimates limits and slowdowns.
        directory: Provides the load of engines.
        is_adaptive: Whether a pool is adaptive; see `AdaptivePools`.
    """

    def __init__(
        self,
        core: CapacityCore,
        directory: EndpointDirectory,
        is_adaptive: Callable[[str], bool],
    ):
        self._core = core
        self._directory = directory
        self._is_adaptive = is_adaptive

    def observe(
        self,
        endpoint_id: str,
        model: str,
        event: StreamEventsReceived,
        open_runs: int,
    ) -> None:
        """Adds the time between events of a run.

        Args:
            endpoint_id: The engine.
            model: The model that generates the events.
            event: Events of the run.
            open_runs: Number of runs that the holder has at the engine.
        """
        endpoint = self._directory.get(endpoint_id)
        if endpoint is None or not event.interval_s:
            return
        if endpoint.entry.is_leaving or not self._is_adaptive(
            endpoint.entry.pool
        ):
            return
        now_s = time.monotonic()
        sample = CapacitySample(
            kind=f"events/{model}",
            service_s=event.interval_s,
            concurrency=max(1, open_runs, endpoint.load(now_s)),
            weight=len(event.texts),
        )
        self._core.observe(endpoint_id, sample, now_s)

    def measured(self, entry: EndpointEntry) -> tuple[float | None, float]:
        """Returns an engine's limit and slowdown; see `EngineView`."""
        if not self._is_adaptive(entry.pool):
            return None, 1.0
        now_s = time.monotonic()
        limit = self._core.limit(entry.endpoint_id, now_s)
        slowdown = self._core.slowdown(entry.endpoint_id, now_s)
        return min(limit, entry.slots), slowdown
