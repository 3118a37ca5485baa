"""Which daemons should take a duty."""

import functools
from collections.abc import Mapping

from daisyhub.hosting import rank_candidates

__all__ = ["choose_candidate", "rank_daemons"]

# Minimum processor speed of a candidate, relative to the fastest live one,
# since the holder does the work of all lots.
_MIN_SPEED_RATIO = 0.75


def choose_candidate(duty: str, speeds: Mapping[str, float]) -> str:
    """Returns the id of the daemon that should take a duty.

    Args:
        duty: Name of the duty.
        speeds: Processor speed of each candidate by daemon id, in cores; not
            empty.
    """
    return rank_daemons(duty, speeds)[0]


def rank_daemons(duty: str, speeds: Mapping[str, float]) -> list[str]:
    """Returns the daemons that may have a duty, the preferred one first.

    The holder carries the load of all lots, and a slow machine would serve
    them late. Duties are therefore spread over the fast machines only.

    Args:
        duty: Name of the duty.
        speeds: Processor speed of each candidate by daemon id, in cores; not
            empty.
    """
    min_speed = _MIN_SPEED_RATIO * max(speeds.values())
    eligible = frozenset(
        name for name, speed in speeds.items() if speed >= min_speed
    )
    return list(_rank(duty, eligible))


@functools.lru_cache(maxsize=16)
def _rank(duty: str, eligible: frozenset[str]) -> tuple[str, ...]:
    """Returns the ranking; cached, as the live daemons rarely change."""
    return tuple(rank_candidates(duty, sorted(eligible)))
