"""Balancers, which choose the endpoint of the next request."""

import random
from collections.abc import Sequence

from daisyhub.base import Balancer, EndpointView

__all__ = ["LeastLoaded", "RoundRobin"]

_SAMPLE_SIZE = 2


class RoundRobin(Balancer):
    """Chooses candidates in turn; the baseline of the benchmarks.

    Args:
        random_state: Determines at which candidate in the list it starts.
    """

    def __init__(self, random_state: int = 0):
        self.random_state = random_state
        self._index = random_state

    def choose(self, candidates: Sequence[EndpointView]) -> str | None:
        """Returns the id of the next candidate, or None without candidates."""
        if not candidates:
            return None
        self._index += 1
        return candidates[self._index % len(candidates)].endpoint_id


class LeastLoaded(Balancer):
    """Chooses the less loaded of two random candidates.

    Compares load divided by capacity. Sampling keeps the daemons from all
    sending to the one endpoint that last reported the least load.

    Args:
        random_state: Seed of the random choice.
    """

    def __init__(self, random_state: int = 0):
        self.random_state = random_state
        self._random = random.Random(random_state)

    def choose(self, candidates: Sequence[EndpointView]) -> str | None:
        """Returns the chosen endpoint's id, or None without candidates."""
        if not candidates:
            return None
        sampled = candidates
        if len(candidates) > _SAMPLE_SIZE:
            sampled = self._random.sample(candidates, _SAMPLE_SIZE)
        best = min(sampled, key=lambda s: (s.load / s.capacity, s.endpoint_id))
        return best.endpoint_id
