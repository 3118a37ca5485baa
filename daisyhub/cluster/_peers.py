"""What this daemon knows of the others."""

import dataclasses
import time

from daisyhub.cluster._messages import Ping
from daisyhub.cluster._ping_plan import ping_timeout_s
from daisyhub.logs import DecisionLog

__all__ = ["PeerState", "PeerTable"]

# Seconds after which a silent daemon is forgotten; it may have been removed.
_FORGET_S = 60.0


@dataclasses.dataclass(slots=True)
class PeerState:
    """One other daemon.

    Attributes:
        daemon_id: Its id.
        incarnation: Start of its process, microseconds since 1970.
        ping: What it last told.
        last_received_at_s: When it told, monotonic.
    """

    daemon_id: str
    incarnation: int
    ping: Ping
    last_received_at_s: float


class PeerTable:
    """All daemons that were heard.

    Args:
        own_id: Id of this daemon.
        log: Where losses and returns of daemons are noted.
    """

    def __init__(self, own_id: str, log: DecisionLog):
        self.own_id = own_id
        self._log = log
        self._peers: dict[str, PeerState] = {}
        self._silent: set[str] = set()
        self._has_duty = False

    def set_has_duty(self, has_duty: bool) -> None:
        """Notes whether this daemon has a duty, so that all ping it often."""
        self._has_duty = has_duty

    def note_ping(self, daemon_id: str, incarnation: int, ping: Ping) -> bool:
        """Takes a ping; returns whether its sender is new or came back."""
        now_s = time.monotonic()
        known = self._peers.get(daemon_id)
        if known is not None and incarnation < known.incarnation:
            return False
        is_new = known is None or daemon_id in self._silent
        self._peers[daemon_id] = PeerState(daemon_id, incarnation, ping, now_s)
        if daemon_id in self._silent:
            self._silent.discard(daemon_id)
            self._log.record("peer_regained", peer=daemon_id)
        return is_new

    def get(self, daemon_id: str) -> PeerState | None:
        """Returns a daemon, or None."""
        return self._peers.get(daemon_id)

    def all(self) -> list[PeerState]:
        """Returns every daemon that isn't forgotten."""
        return list(self._peers.values())

    def live(self) -> list[PeerState]:
        """Returns the daemons that pinged lately, by id."""
        now_s = time.monotonic()
        return [
            self._peers[key]
            for key in sorted(self._peers)
            if self._is_heard(self._peers[key], now_s)
        ]

    def _is_heard(self, peer: PeerState, now_s: float) -> bool:
        has_duty = self._has_duty or bool(peer.ping.duties)
        limit_s = ping_timeout_s(len(self._peers), has_duty=has_duty)
        return now_s - peer.last_received_at_s <= limit_s

    def is_live(self, daemon_id: str) -> bool:
        """Whether a daemon pinged lately; this daemon always did."""
        if daemon_id == self.own_id:
            return True
        peer = self._peers.get(daemon_id)
        return peer is not None and self._is_heard(peer, time.monotonic())

    def silent_domains(self) -> frozenset[str]:
        """Returns the failure domains of which no daemon is heard."""
        known = {peer.ping.domain for peer in self._peers.values()}
        return frozenset(known - {peer.ping.domain for peer in self.live()})

    def has_lost_peers(self) -> bool:
        """Whether a daemon that was heard before is silent now."""
        return len(self.live()) < len(self._peers)

    def holder_of(self, duty: str) -> PeerState | None:
        """Returns the live daemon that tells the highest number of a duty."""
        holders = [p for p in self.live() if duty in p.ping.duties]
        return max(holders, key=lambda p: p.ping.duties[duty], default=None)

    def has_live_holder_with_store(self) -> bool:
        """Whether a live daemon with a duty reaches the store."""
        return any(
            peer.ping.duties and peer.ping.reaches_store for peer in self.live()
        )

    def note_time(self) -> list[str]:
        """Notes who fell silent; returns the ids of daemons forgotten now."""
        now_s = time.monotonic()
        forgotten = []
        for daemon_id, peer in list(self._peers.items()):
            quiet_s = now_s - peer.last_received_at_s
            is_heard = self._is_heard(peer, now_s)
            if not is_heard and daemon_id not in self._silent:
                self._silent.add(daemon_id)
                self._log.record(
                    "peer_lost",
                    peer=daemon_id,
                    quiet_s=round(quiet_s, 2),
                    was_leaving=peer.ping.is_leaving,
                )
            if quiet_s > _FORGET_S:
                del self._peers[daemon_id]
                self._silent.discard(daemon_id)
                forgotten.append(daemon_id)
        return forgotten
