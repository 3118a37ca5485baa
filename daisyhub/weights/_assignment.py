"""Shares a pool's engines among the models of several trainers.

Answers the load of trainers that name a version every few seconds: an engine
that serves one model loads only that one's versions. Engines keep their model
as long as the shares allow, as a change costs a load.
"""

from collections.abc import Iterable, Mapping

__all__ = ["assign_engines"]

# Share of an engine by which a model must be short before it gets another.
_SLACK = 0.75
# Engines by which a move must lower what its two models are off together.
# Above zero, so that moving an engine back is never worth it.
_LEAST_GAIN = 0.25


def assign_engines(
    engine_ids: Iterable[str],
    demand: Mapping[str, float],
    earlier: Mapping[str, str],
) -> dict[str, str]:
    """Returns the model that each engine serves.

    Args:
        engine_ids: Engines that may get work.
        demand: Work by model, in any unit; each model gets one engine at
            least, as long as there are enough.
        earlier: What this function returned before.
    """
    ids = sorted(engine_ids)
    models = sorted(demand)
    if not models:
        return {}
    if len(models) >= len(ids):
        # Too few to share: every engine serves whatever it is asked for.
        return {}
    wanted = _wanted(len(ids), models, demand)
    shared = {e: earlier[e] for e in ids if earlier.get(e) in demand}
    counts = {m: sum(v == m for v in shared.values()) for m in models}
    for engine_id in ids:
        if engine_id not in shared:
            model = max(models, key=lambda m: (wanted[m] - counts[m], m))
            shared[engine_id] = model
            counts[model] += 1
    _move_surplus(ids, models, wanted, shared, counts)
    return shared


def _wanted(
    engines: int, models: list[str], demand: Mapping[str, float]
) -> dict[str, float]:
    """Returns fractional shares, at least one engine each."""
    total = sum(demand.values()) or 1.0
    spare = engines - len(models)
    return {model: 1 + spare * demand[model] / total for model in models}


def _move_surplus(ids, models, wanted, shared, counts) -> None:
    """Moves engines to models that are short by most of an engine."""
    for _ in ids:
        poor = max(models, key=lambda m: (wanted[m] - counts[m], m))
        rich = min(models, key=lambda m: (wanted[m] - counts[m], m))
        short = wanted[poor] - counts[poor]
        gain = short + counts[rich] - wanted[rich] - 1
        if short < _SLACK or gain < _LEAST_GAIN:
            return
        moved = next(e for e in reversed(ids) if shared[e] == rich)
        shared[moved] = poor
        counts[rich] -= 1
        counts[poor] += 1
