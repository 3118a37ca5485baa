"""The state of the other daemons, from their pings."""

import dataclasses
import time

from daisyhub.cluster._messages import Ping
from daisyhub.cluster._ping_plan import ping_timeout_s
from daisyhub.logs import DecisionLog

__all__ = ["PeerState", "PeerTable"]

# Seconds without a ping after which a lost daemon is removed from the table: it
# may have been taken out of the cluster.
_EXPIRY_S = 60.0


@dataclasses.dataclass(slots=True)
class PeerState:
    """One other daemon.

    Attributes:
        daemon_id: Its id.
        incarnation: Start of its process, microseconds since 1970.
        ping: Its last ping.
        last_received_at_s: When that ping was received, on the monotonic clock.
    """

    daemon_id: str
    incarnation: int
    ping: Ping
    last_received_at_s: float


class PeerTable:
    """The other daemons that have pinged this one.

    Args:
        own_id: Id of this daemon.
        log: Logs daemons that are lost or regained.
    """

    def __init__(self, own_id: str, log: DecisionLog):
        self.own_id = own_id
        self._log = log
        self._peers: dict[str, PeerState] = {}
        self._lost: set[str] = set()
        self._has_duty = False

    def set_has_duty(self, has_duty: bool) -> None:
        """Sets whether this daemon has a duty.

        All others then ping it in each round, so the ping timeout is shorter.
        """
        self._has_duty = has_duty

    def record_ping(self, daemon_id: str, incarnation: int, ping: Ping) -> bool:
        """Records a ping and returns whether its sender is new or regained.

        Pings of older incarnations are ignored.
        """
        now_s = time.monotonic()
        known = self._peers.get(daemon_id)
        if known is not None and incarnation < known.incarnation:
            return False
        is_new = known is None or daemon_id in self._lost
        self._peers[daemon_id] = PeerState(daemon_id, incarnation, ping, now_s)
        if daemon_id in self._lost:
            self._lost.discard(daemon_id)
            self._log.record("peer_regained", peer=daemon_id)
        return is_new

    def get(self, daemon_id: str) -> PeerState | None:
        """Returns the state of a daemon, or None if it is unknown."""
        return self._peers.get(daemon_id)

    def all(self) -> list[PeerState]:
        """Returns all known daemons, live or lost."""
        return list(self._peers.values())

    def live(self) -> list[PeerState]:
        """Returns the daemons within their ping timeout, sorted by id."""
        now_s = time.monotonic()
        return [
            self._peers[key]
            for key in sorted(self._peers)
            if self._is_within_timeout(self._peers[key], now_s)
        ]

    def _is_within_timeout(self, peer: PeerState, now_s: float) -> bool:
        has_duty = self._has_duty or bool(peer.ping.duties)
        timeout_s = ping_timeout_s(len(self._peers), has_duty=has_duty)
        return now_s - peer.last_received_at_s <= timeout_s

    def is_live(self, daemon_id: str) -> bool:
        """Whether a daemon is this one or within its ping timeout."""
        if daemon_id == self.own_id:
            return True
        peer = self._peers.get(daemon_id)
        return peer is not None and self._is_within_timeout(
            peer, time.monotonic()
        )

    def unreachable_domains(self) -> frozenset[str]:
        """Returns the known failure domains without a live daemon."""
        known = {peer.ping.domain for peer in self._peers.values()}
        return frozenset(known - {peer.ping.domain for peer in self.live()})

    def has_lost_peers(self) -> bool:
        """Whether a known daemon isn't live."""
        return len(self.live()) < len(self._peers)

    def holder_of(self, duty: str) -> PeerState | None:
        """Returns the live daemon with the highest fencing number of a duty.

        None if no live daemon holds the duty.
        """
        holders = [p for p in self.live() if duty in p.ping.duties]
        return max(holders, key=lambda p: p.ping.duties[duty], default=None)

    def has_live_holder_with_store(self) -> bool:
        """Whether a live daemon with a duty reaches the store."""
        return any(
            peer.ping.duties and peer.ping.reaches_store for peer in self.live()
        )

    def expire_peers(self) -> list[str]:
        """Logs lost daemons; removes expired ones and returns their ids."""
        now_s = time.monotonic()
        removed = []
        for daemon_id, peer in list(self._peers.items()):
            quiet_s = now_s - peer.last_received_at_s
            is_live_now = self._is_within_timeout(peer, now_s)
            if not is_live_now and daemon_id not in self._lost:
                self._lost.add(daemon_id)
                self._log.record(
                    "peer_lost",
                    peer=daemon_id,
                    quiet_s=round(quiet_s, 2),
                    was_leaving=peer.ping.is_leaving,
                )
            if quiet_s > _EXPIRY_S:
                del self._peers[daemon_id]
                self._lost.discard(daemon_id)
                removed.append(daemon_id)
        return removed
