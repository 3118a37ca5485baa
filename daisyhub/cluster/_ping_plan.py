"""Chooses the peers to ping, and the timeouts after which they count as lost.

Pings between all pairs of daemons would grow with the square of their number,
and pings between a holder of a duty and all others with their number. In a
large cluster, each holder therefore appoints a few standbys, which take over
its duty. A holder and its standbys ping each other in each round, all other
daemons in rotation. Who holds a duty, and how long ago it was heard, travels
on the pings.
"""

import math
import random
from collections.abc import Callable, Collection, Sequence

__all__ = [
    "PING_INTERVAL_S",
    "STANDBY_COUNT",
    "PingPlan",
    "is_small_cluster",
    "ping_timeout_s",
    "rounds_per_report",
]

# Seconds between rounds of pings: a third of the ping timeout of a standby.
PING_INTERVAL_S = 0.4
# Number of other daemons up to which all ping each other in each round.
MAX_PINGED_PEERS = 24
# Daemons that are pinged in rotation in each round of a larger cluster. News
# then reaches all of a few hundred daemons within three to four rounds.
_ROTATION_PEERS = 6
# Standbys of a holder: enough that some are left when a failure domain is
# lost.
STANDBY_COUNT = 8
# Turns without a ping after which a daemon counts as lost, so that one lost
# ping and one late round together don't suffice. Without rotation, each round
# is a turn.
_TIMEOUT_TURNS = 3


def is_small_cluster(known: int) -> bool:
    """Whether all daemons ping each other in each round.

    Args:
        known: Number of known other daemons.
    """
    return known <= MAX_PINGED_PEERS


def rounds_per_report(known: int) -> int:
    """Returns the rounds between two reports of a daemon to a holder.

    Args:
        known: Number of known other daemons.
    """
    return max(1, math.ceil(known / MAX_PINGED_PEERS))


def ping_timeout_s(
    known: int, *, is_close: bool = False, has_duty: bool = False
) -> float:
    """Returns the seconds without a ping after which a peer counts as lost.

    Args:
        known: Number of known other daemons.
        is_close: Whether this daemon and the peer are a holder and its
            standby, or standbys of the same holder.
        has_duty: Whether this daemon has a duty.
    """
    if is_close or is_small_cluster(known):
        rounds_per_turn = 1
    elif has_duty:
        rounds_per_turn = rounds_per_report(known)
    else:
        rounds_per_turn = math.ceil(known / _ROTATION_PEERS)
    return _TIMEOUT_TURNS * PING_INTERVAL_S * rounds_per_turn


class PingPlan:
    """Chooses the peers to ping in each round, so that all get their turn.

    Args:
        rand: Returns a random number in [0, 1). Daemons that start together
            would otherwise all ping the same peer at the same time.
    """

    def __init__(self, rand: Callable[[], float] = random.random):
        self._rand = rand
        self._next: int | None = None
        self._round = 0

    def choose(
        self,
        names: Sequence[str],
        holders: Collection[str],
        close: Collection[str],
    ) -> list[str]:
        """Returns the peers to ping in this round.

        Args:
            names: All other daemons, in an order that stays the same.
            holders: Those of them that have a duty.
            close: Those of them to ping in each round.
        """
        if is_small_cluster(len(names)):
            return list(names)
        if self._next is None:
            self._next = int(self._rand() * len(names))
            self._round = self._next
        self._round += 1
        start = self._next % len(names)
        self._next = start + _ROTATION_PEERS
        chosen = set((*names, *names)[start : start + _ROTATION_PEERS])
        chosen.update(close)
        if self._round % rounds_per_report(len(names)) == 0:
            chosen.update(holders)
        return sorted(chosen.intersection(names))
