"""Balancers: which of the candidates gets the next request."""

import random
from collections.abc import Sequence

from daisyhub.base import Balancer, EndpointView

__all__ = ["LeastLoaded", "RoundRobin"]

_CHOICES = 2


class RoundRobin(Balancer):
    """Takes candidates in turn; the plain baseline."""

    def __init__(self, random_state: int = 0):
        self.random_state = random_state
        self._turn = random_state

    def choose(self, candidates: Sequence[EndpointView]) -> str | None:
        """Returns the next candidate's id."""
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)].endpoint_id


class LeastLoaded(Balancer):
    """Takes the less loaded of two random candidates.

    Two choices avoid that all daemons run to the one endpoint that last
    reported the least load.
    """

    def __init__(self, random_state: int = 0):
        self.random_state = random_state
        self._random = random.Random(random_state)

    def choose(self, candidates: Sequence[EndpointView]) -> str | None:
        """Returns the id of the less loaded of two candidates."""
        if not candidates:
            return None
        picked = candidates
        if len(candidates) > _CHOICES:
            picked = self._random.sample(candidates, _CHOICES)
        best = min(picked, key=lambda s: (s.load / s.capacity, s.endpoint_id))
        return best.endpoint_id
