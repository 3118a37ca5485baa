"""The engines that a holder may give runs to."""

import collections
from collections.abc import Iterable

from daisyhub.lots._holder_types import LotHolderDependencies
from daisyhub.lots._run_states import EngineView

__all__ = ["find_pools_by_model", "list_engine_views"]

# Number of engines of a pool up to which items are placed, moved and ordered as
# in adaptive pools. The cost grows with engines times items: with 1,000 engines
# a lot of 3,000 items takes 5 s to start, with 100 a lot of 600 takes 0.14 s.
_MAX_ADAPTIVE_ENGINES = 100


def list_engine_views(deps: LotHolderDependencies) -> tuple[EngineView, ...]:
    """Returns the engines that may get runs.

    Endpoints that are leaving, in an evacuated failure domain, or have no
    weight versions get no runs.
    """
    sizes = collections.Counter(
        e.entry.pool for e in deps.directory.all() if e.entry.versions
    )
    return tuple(
        EngineView(
            endpoint_id=endpoint.entry.endpoint_id,
            pool=endpoint.entry.pool,
            slots=endpoint.entry.slots,
            versions=endpoint.entry.versions,
            is_loading=deps.is_loading(endpoint.entry.endpoint_id),
            release=endpoint.entry.release,
            is_adaptive=sizes[endpoint.entry.pool] <= _MAX_ADAPTIVE_ENGINES
            and deps.is_adaptive(endpoint.entry.pool),
            is_cold=deps.is_cold(endpoint.entry),
            limit=deps.measured(endpoint.entry)[0],
            slowdown=deps.measured(endpoint.entry)[1],
        )
        for endpoint in deps.directory.all()
        if endpoint.entry.versions and deps.directory.accepts(endpoint.entry)
    )


def find_pools_by_model(
    engines: Iterable[EngineView],
) -> dict[str, set[str]]:
    """Returns the pools of the engines of each model."""
    found: dict[str, set[str]] = {}
    for engine in engines:
        for model in engine.versions:
            found.setdefault(model, set()).add(engine.pool)
    return found
