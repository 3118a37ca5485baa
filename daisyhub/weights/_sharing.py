"""Assigns a pool's engines to the models of several trainers.

Trainers publish a version every few seconds. An engine that serves a single
model loads only that model's versions. Engines keep their model while the
assignment stays close to the demand, since a change costs a load.
"""

from collections.abc import Iterable, Mapping

__all__ = ["assign_engines"]

# Minimum shortage of a model, in engines, for an engine to be moved to it.
_MIN_SHORTAGE = 0.8
# Minimum reduction of the combined deviation of the two models, in engines, for
# an engine to be moved. It is above zero, so that moving the engine back never
# qualifies.
_MIN_GAIN = 0.25


def assign_engines(
    engine_ids: Iterable[str],
    demand: Mapping[str, float],
    previous: Mapping[str, str],
) -> dict[str, str]:
    """Returns the model that each engine serves.

    Args:
        engine_ids: Ids of the pool's engines.
        demand: Requested work by model, in any unit. Each model gets at least
            one engine.
        previous: The previous result.

    Returns:
        The model by engine id; empty if there are no models or no more
        engines than models, in which case every engine serves all models.
    """
    ids = sorted(engine_ids)
    models = sorted(demand)
    if not models:
        return {}
    if len(models) >= len(ids):
        # Too few engines for an assignment: every engine serves all models.
        return {}
    targets = _compute_targets(len(ids), models, demand)
    assigned = {e: previous[e] for e in ids if previous.get(e) in demand}
    counts = {m: sum(v == m for v in assigned.values()) for m in models}
    for engine_id in ids:
        if engine_id not in assigned:
            model = max(models, key=lambda m: (targets[m] - counts[m], m))
            assigned[engine_id] = model
            counts[model] += 1
    _rebalance(ids, models, targets, assigned, counts)
    return assigned


def _compute_targets(
    engine_count: int, models: list[str], demand: Mapping[str, float]
) -> dict[str, float]:
    """Returns the fractional number of engines by model, at least 1.

    The other engines are divided in proportion to the demand.
    """
    targets: dict[str, float] = {}
    left = set(models)
    while left:
        total = sum(demand[model] for model in left) or 1.0
        count = engine_count - len(models) + len(left)
        shares = {model: count * demand[model] / total for model in left}
        small = {model for model in left if shares[model] < 1}
        if not small:
            return targets | shares
        targets |= dict.fromkeys(small, 1.0)
        left -= small
    return targets


def _rebalance(ids, models, targets, assigned, counts) -> None:
    """Moves engines from the largest surplus to the largest shortage."""
    for _ in ids:
        receiver = max(models, key=lambda m: (targets[m] - counts[m], m))
        donor = min(models, key=lambda m: (targets[m] - counts[m], m))
        shortage = targets[receiver] - counts[receiver]
        gain = shortage + counts[donor] - targets[donor] - 1
        if shortage < _MIN_SHORTAGE or gain < _MIN_GAIN:
            return
        moved = next(e for e in reversed(ids) if assigned[e] == donor)
        assigned[moved] = receiver
        counts[donor] -= 1
        counts[receiver] += 1
