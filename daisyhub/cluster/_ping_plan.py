"""Decides whom to ping, and after which silence a daemon counts as lost.

Answers the load of many daemons: pings from each to each grow with the square
of their number. Daemons with a duty are heard by all at the full rate, as
takeovers wait for them; the others ping each other in turn.
"""

import math
from collections.abc import Collection, Sequence

__all__ = ["PING_S", "PingPlan", "ping_timeout_s"]

# Seconds between rounds of pings: a third of the time after which silence of
# a daemon with a duty counts.
PING_S = 0.4
# Most daemons without a duty that get a ping in one round; bounds the cost at
# any size.
MOST_PINGED = 24
# Rounds without a ping after which a daemon counts as silent: one lost ping
# and one late round must not do it.
_SILENT_ROUNDS = 3


def ping_timeout_s(known: int, *, has_duty: bool) -> float:
    """Returns the seconds without a ping that count as silence.

    Args:
        known: How many other daemons are known.
        has_duty: Whether the one or the other daemon has a duty.
    """
    turns = 1 if has_duty else max(1, math.ceil(known / MOST_PINGED))
    return _SILENT_ROUNDS * PING_S * turns


class PingPlan:
    """Chooses the daemons of each round; all are met within a few rounds."""

    def __init__(self):
        self._next = 0

    def choose(
        self, names: Sequence[str], holders: Collection[str], *, has_duty: bool
    ) -> list[str]:
        """Returns whom to ping in this round.

        Args:
            names: All other daemons, in an order that lasts.
            holders: Those of them that have a duty.
            has_duty: Whether this daemon has one, so that all must hear it.
        """
        if has_duty or len(names) <= MOST_PINGED:
            return list(names)
        others = [name for name in names if name not in holders]
        start = self._next % max(1, len(others))
        self._next = start + MOST_PINGED
        chosen = (others + others)[start : start + MOST_PINGED]
        return [*(n for n in names if n in holders), *chosen]
