"""Decides whether an engine should start runs before it loads a version.

Answers the load of a training step: a trainer publishes a version and submits
the next step at about the same time. The step accepts the version before, too,
and all of its items want a slot at once. While an engine loads, it accepts no
new runs, but its open runs go on at their usual pace. An engine whose slots are
taken first thus loads at no cost to the step.
"""

import dataclasses

from daisyhub.weights._engine_client import LoadMode

__all__ = ["LoadSituation", "should_defer_load"]

# Seconds after a version was published within which the step that was submitted
# with it arrives and is placed.
_SETTLE_S = 0.3
# Maximum deferral in seconds. All engines of a model must have loaded a version
# before the step after next, some seconds later, and they load in turns.
_MAX_DEFERRAL_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadSituation:
    """One engine that lacks the newest version of its model.

    Attributes:
        mode: How runs are treated during a load.
        version: Version that the engine has.
        published_s: Seconds since the newest version was published.
        required_version: Highest version that a waiting item requires; 0
            without one.
        usable_items: Number of waiting items that the engine could run now.
        free_slots: Number of its slots without a run.
    """

    mode: LoadMode
    version: int
    published_s: float
    required_version: int
    usable_items: int
    free_slots: int


def should_defer_load(situation: LoadSituation) -> bool:
    """Whether the engine should get runs before it loads."""
    if situation.mode is LoadMode.FINISH:
        # The load would wait for the runs, and new runs for the load.
        return False
    if situation.version < situation.required_version:
        return False
    if situation.published_s >= _MAX_DEFERRAL_S:
        return False
    if situation.published_s < _SETTLE_S:
        return True
    return situation.usable_items > 0 and situation.free_slots > 0
