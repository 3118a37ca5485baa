"""Which daemon decides about something that all daemons share."""

from collections.abc import Callable

from daisyhub.cluster._peer_types import PeerState
from daisyhub.cluster._peers import PeerTable
from daisyhub.hosting import rank_candidates

__all__ = ["OwnerTable"]

# Maximum number of keys whose ranking is kept.
_MAX_RANKINGS = 4096


class OwnerTable:
    """The deciding daemon by key: the first live one by rendezvous hashing.

    A daemon that is shutting down decides only if there is no other.

    Args:
        own_id: Id of this daemon.
        peers: The live daemons.
        is_own_leaving: Whether this daemon is shutting down.
    """

    def __init__(
        self,
        own_id: str,
        peers: PeerTable,
        is_own_leaving: Callable[[], bool],
    ):
        self.own_id = own_id
        self._peers = peers
        self._is_own_leaving = is_own_leaving
        # Rankings by key, of the live daemons in this list.
        self._live: list[PeerState] = []
        self._rankings: dict[str, list[str]] = {}

    def is_own(self, key: str) -> bool:
        """Whether this daemon decides."""
        return self.owner_of(key) == self.own_id

    def owner_of(self, key: str) -> str:
        """Returns the id of the deciding daemon, which may be this one."""
        live = self._peers.live()
        if live is not self._live or len(self._rankings) > _MAX_RANKINGS:
            # `live` returns the same list until a daemon comes or goes.
            self._live = live
            self._rankings.clear()
        ranking = self._rankings.get(key)
        if ranking is None:
            ids = [self.own_id, *(peer.daemon_id for peer in live)]
            ranking = self._rankings[key] = rank_candidates(key, ids)
        for daemon_id in ranking:
            if not self._is_leaving(daemon_id):
                return daemon_id
        return self.own_id

    def live_share(self) -> float:
        """Returns the share of the known daemons that are live, in (0, 1].

        Two groups of daemons that can't hear each other have shares that add up
        to 1 at most, this daemon included. Daemons that announced their
        leaving don't count.
        """
        live = [p for p in self._peers.live() if not p.ping.is_leaving]
        known = [p for p in self._peers.all() if not p.ping.is_leaving]
        return (1 + len(live)) / (1 + max(len(known), len(live)))

    def _is_leaving(self, daemon_id: str) -> bool:
        if daemon_id == self.own_id:
            return self._is_own_leaving()
        peer = self._peers.get(daemon_id)
        return peer is None or peer.ping.is_leaving
