"""Chooses the peers to ping and the timeout after which they count as lost.

Pings between all pairs of daemons would grow with the square of their number.
Therefore only daemons with a duty exchange pings with all others in each round,
as a takeover of the duty waits for their timeout. Daemons without a duty ping
each other in rotation.
"""

import math
from collections.abc import Collection, Sequence

__all__ = ["PING_INTERVAL_S", "PingPlan", "ping_timeout_s"]

# Seconds between rounds of pings: a third of the ping timeout of a daemon with
# a duty.
PING_INTERVAL_S = 0.4
# Maximum number of daemons without a duty that are pinged in one round, which
# bounds the cost of a round at any cluster size.
MAX_PINGED_PEERS = 24
# Turns without a ping after which a daemon counts as lost, so that one lost
# ping and one late round together don't suffice. Without rotation, each round
# is a turn.
_TIMEOUT_TURNS = 3


def ping_timeout_s(known: int, *, has_duty: bool) -> float:
    """Returns the seconds without a ping after which a peer counts as lost.

    Args:
        known: Number of known other daemons.
        has_duty: Whether this daemon or the peer has a duty.
    """
    rounds_per_turn = (
        1 if has_duty else max(1, math.ceil(known / MAX_PINGED_PEERS))
    )
    return _TIMEOUT_TURNS * PING_INTERVAL_S * rounds_per_turn


class PingPlan:
    """Chooses the peers to ping in each round, so that all get their turn."""

    def __init__(self):
        self._next = 0

    def choose(
        self, names: Sequence[str], holders: Collection[str], *, has_duty: bool
    ) -> list[str]:
        """Returns the peers to ping in this round.

        Args:
            names: All other daemons, in an order that stays the same.
            holders: Those of them that have a duty.
            has_duty: Whether this daemon has a duty and must ping all peers.
        """
        if has_duty or len(names) <= MAX_PINGED_PEERS:
            return list(names)
        others = [name for name in names if name not in holders]
        start = self._next % max(1, len(others))
        self._next = start + MAX_PINGED_PEERS
        chosen = (others + others)[start : start + MAX_PINGED_PEERS]
        return [*(n for n in names if n in holders), *chosen]
