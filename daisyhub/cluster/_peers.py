"""The state of the other daemons, from their pings."""

import math
import time

from daisyhub.cluster._messages import HolderNews, Ping
from daisyhub.cluster._peer_types import HolderView, PeerState
from daisyhub.cluster._ping_plan import is_small_cluster, ping_timeout_s
from daisyhub.logs import DecisionLog

__all__ = ["PeerTable"]

# Minimum number of seconds without a ping after which a lost daemon is removed
# from the table: it may have been taken out of the cluster.
_MIN_EXPIRY_S = 60.0
# Seconds without news of a holder after which a daemon that is no standby of
# it considers it lost: news travels over a few rounds of pings.
_NEWS_TIMEOUT_S = 3.0
# Seconds between two looks at the table after which this daemon itself is
# considered to have been stalled: it is looked at several times in each round.
# Pings that arrived meanwhile are still unread, so the timeouts start anew.
_MAX_OWN_PAUSE_S = 0.7
# Seconds without a ping of any daemon of a failure domain after which the
# domain counts as unreachable in a large cluster. Each daemon gets several
# pings a second from each domain.
_DOMAIN_TIMEOUT_S = 2.4


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
        self._domain_heard_at_s: dict[str, float] = {}
        self._holders: dict[str, HolderView] = {}
        self._own_standbys: frozenset[str] = frozenset()
        self._has_duty = False
        # The live peers, valid until `_live_until_s`.
        self._live: list[PeerState] = []
        self._live_ids: set[str] = set()
        self._live_until_s = -math.inf
        self._looked_at_s = math.inf
        self._resumed_at_s = -math.inf

    def _now_s(self) -> float:
        """Returns the time; notes if this daemon was stalled before."""
        now_s = time.monotonic()
        if now_s - self._looked_at_s > _MAX_OWN_PAUSE_S:
            self._resumed_at_s = now_s
            self._live_until_s = -math.inf
        self._looked_at_s = now_s
        return now_s

    def _heard_at_s(self, received_at_s: float) -> float:
        """Returns the time from which the silence of a daemon counts."""
        return max(received_at_s, self._resumed_at_s)

    def set_own_duty(self, has_duty: bool, standbys: frozenset[str]) -> None:
        """Sets whether this daemon has a duty, and its standbys."""
        if (has_duty, standbys) == (self._has_duty, self._own_standbys):
            return
        self._has_duty = has_duty
        self._own_standbys = standbys
        self._live_until_s = -math.inf

    @property
    def has_duty(self) -> bool:
        """Whether this daemon has a duty."""
        return self._has_duty

    def record_ping(self, daemon_id: str, incarnation: int, ping: Ping) -> bool:
        """Records a ping and returns whether its sender is new or regained.

        Pings of older incarnations are ignored.
        """
        now_s = self._now_s()
        known = self._peers.get(daemon_id)
        if known is not None and incarnation < known.incarnation:
            return False
        is_new = daemon_id not in self._live_ids
        if known is None:
            self._peers[daemon_id] = PeerState(
                daemon_id, incarnation, ping, now_s, now_s
            )
        else:
            known.incarnation = incarnation
            known.ping = ping
            known.last_received_at_s = known.last_ping_at_s = now_s
        if is_new:
            self._live_ids.add(daemon_id)
            self._live_until_s = -math.inf
        self._domain_heard_at_s[ping.domain] = now_s
        if daemon_id in self._lost:
            self._lost.discard(daemon_id)
            self._log.record("peer_regained", peer=daemon_id)
        self._record_duties(daemon_id, incarnation, ping, now_s)
        for news in ping.holders:
            self._record_holder_news(news, now_s)
        return is_new

    def record_contact(self, daemon_id: str, incarnation: int) -> None:
        """Records that a known daemon sent another message than a ping."""
        known = self._peers.get(daemon_id)
        if known is not None and incarnation == known.incarnation:
            known.last_received_at_s = self._now_s()

    def get(self, daemon_id: str) -> PeerState | None:
        """Returns the state of a daemon, or None if it is unknown."""
        return self._peers.get(daemon_id)

    def all(self) -> list[PeerState]:
        """Returns all known daemons, live or lost."""
        return list(self._peers.values())

    def live(self) -> list[PeerState]:
        """Returns the daemons within their ping timeout, sorted by id.

        The list must not be modified. It is made anew only when a daemon is
        new or may have become silent, since each request uses it.
        """
        now_s = self._now_s()
        if now_s <= self._live_until_s:
            return self._live
        self._live = []
        self._live_until_s = math.inf
        for daemon_id in sorted(self._peers):
            peer = self._peers[daemon_id]
            heard_at_s = self._heard_at_s(peer.last_received_at_s)
            until_s = heard_at_s + self._timeout_s(peer)
            if now_s <= until_s:
                self._live.append(peer)
                self._live_until_s = min(self._live_until_s, until_s)
        self._live_ids = {peer.daemon_id for peer in self._live}
        return self._live

    def is_live(self, daemon_id: str) -> bool:
        """Whether a daemon is this one or within its ping timeout."""
        if daemon_id == self.own_id:
            return True
        peer = self._peers.get(daemon_id)
        return peer is not None and self._is_within_timeout(peer, self._now_s())

    def unreachable_domains(self) -> frozenset[str]:
        """Returns the known failure domains without a live daemon."""
        if is_small_cluster(len(self._peers)):
            known = {peer.ping.domain for peer in self._peers.values()}
            return frozenset(known - {p.ping.domain for p in self.live()})
        oldest_s = self._now_s() - _DOMAIN_TIMEOUT_S
        return frozenset(
            domain
            for domain, heard_at_s in self._domain_heard_at_s.items()
            if self._heard_at_s(heard_at_s) < oldest_s
        )

    def has_lost_peers(self) -> bool:
        """Whether a known daemon isn't live."""
        return len(self.live()) < len(self._peers)

    def holder_of(self, duty: str) -> HolderView | None:
        """Returns the holder of a duty, or None if no live one is known."""
        view = self._holders.get(duty)
        if view is None or not self._is_recent(view, self._now_s()):
            return None
        return view

    def last_holder_of(self, duty: str) -> HolderView | None:
        """Returns the last known holder of a duty, also if it is lost."""
        return self._holders.get(duty)

    def is_holder_live(
        self, duty: str, daemon_id: str, incarnation: str
    ) -> bool:
        """Whether a process that the store names as a holder is live."""
        peer = self._peers.get(daemon_id)
        if peer is not None and peer.ping.is_leaving:
            return False
        view = self._holders.get(duty)
        if (
            view is not None
            and view.daemon_id == daemon_id
            and str(view.incarnation) == incarnation
        ):
            return self._is_recent(view, self._now_s())
        return (
            peer is not None
            and str(peer.incarnation) == incarnation
            and self.is_live(daemon_id)
        )

    def is_challenged(self, duty: str) -> bool:
        """Whether a live daemon challenges the holder of a duty."""
        return any(duty in peer.ping.challenges for peer in self.live())

    def has_live_holder_with_store(self) -> bool:
        """Whether a live daemon with a duty reaches the store."""
        now_s = self._now_s()
        return any(
            view.reaches_store and self._is_recent(view, now_s)
            for view in self._holders.values()
        )

    def live_holder_ids(self) -> set[str]:
        """Returns the ids of the other daemons that have a duty."""
        now_s = self._now_s()
        return {
            view.daemon_id
            for view in self._holders.values()
            if self._is_recent(view, now_s) and view.daemon_id != self.own_id
        }

    def close_ids(self) -> set[str]:
        """Returns the daemons to exchange pings with in each round.

        These are this holder's standbys, or the holder for which this daemon is
        a standby, and its other standbys.
        """
        close = set(self._own_standbys)
        for view in self._holders.values():
            if self.own_id in view.standbys:
                close |= view.standbys
                close.add(view.daemon_id)
        close.discard(self.own_id)
        return close

    def make_holder_news(self) -> tuple[HolderNews, ...]:
        """Returns news of the live holders for a ping."""
        now_s = self._now_s()
        return tuple(
            HolderNews(
                duty=duty,
                daemon_id=view.daemon_id,
                incarnation=view.incarnation,
                fencing=view.fencing,
                address=view.address,
                reaches_store=view.reaches_store,
                age_s=max(0.0, now_s - view.heard_at_s),
            )
            for duty, view in self._holders.items()
            if self._is_recent(view, now_s) and view.daemon_id != self.own_id
        )

    def expire_peers(self) -> list[str]:
        """Logs lost daemons; removes expired ones and returns their ids."""
        now_s = self._now_s()
        removed = []
        for daemon_id, peer in list(self._peers.items()):
            quiet_s = now_s - self._heard_at_s(peer.last_received_at_s)
            timeout_s = self._timeout_s(peer)
            if quiet_s > timeout_s and daemon_id not in self._lost:
                self._lost.add(daemon_id)
                self._log.record(
                    "peer_lost",
                    peer=daemon_id,
                    quiet_s=round(quiet_s, 2),
                    was_leaving=peer.ping.is_leaving,
                )
            if quiet_s > max(_MIN_EXPIRY_S, 2 * timeout_s):
                del self._peers[daemon_id]
                self._lost.discard(daemon_id)
                removed.append(daemon_id)
        if removed:
            known = {peer.ping.domain for peer in self._peers.values()}
            for domain in set(self._domain_heard_at_s) - known:
                del self._domain_heard_at_s[domain]
        return removed

    def _record_duties(
        self, daemon_id: str, incarnation: int, ping: Ping, now_s: float
    ) -> None:
        """Updates the holders from a ping of a holder or a former one."""
        for duty, fencing in ping.duties.items():
            view = self._holders.get(duty)
            if view is not None and view.fencing > fencing:
                continue
            standbys = frozenset(ping.standbys)
            if view is None or view.standbys != standbys:
                self._live_until_s = -math.inf
            self._holders[duty] = HolderView(
                daemon_id,
                incarnation,
                fencing,
                ping.address,
                ping.reaches_store,
                now_s,
                standbys,
            )
        for duty, view in self._holders.items():
            if view.daemon_id == daemon_id and duty not in ping.duties:
                view.is_released = True
                # Only news of a later ping shows that it has the duty again.
                view.heard_at_s = now_s

    def _record_holder_news(self, news: HolderNews, now_s: float) -> None:
        if news.daemon_id == self.own_id:
            return
        view = self._holders.get(news.duty)
        heard_at_s = now_s - news.age_s
        peer = self._peers.get(news.daemon_id)
        if (
            peer is not None
            and peer.last_received_at_s >= heard_at_s
            and news.duty not in peer.ping.duties
        ):
            # Its own later ping says that it no longer holds the duty.
            return
        if view is None or news.fencing > view.fencing:
            self._holders[news.duty] = HolderView(
                news.daemon_id,
                news.incarnation,
                news.fencing,
                news.address,
                news.reaches_store,
                heard_at_s,
            )
        elif news.fencing == view.fencing and heard_at_s > view.heard_at_s:
            view.heard_at_s = heard_at_s
            view.reaches_store = news.reaches_store
            view.is_released = False

    def _is_recent(self, view: HolderView, now_s: float) -> bool:
        """Whether a holder was heard within the timeout for its news."""
        if view.is_released:
            return False
        known = len(self._peers)
        is_close = self.own_id in view.standbys or is_small_cluster(known)
        timeout_s = (
            ping_timeout_s(known, is_close=True)
            if is_close
            else _NEWS_TIMEOUT_S
        )
        return now_s - self._heard_at_s(view.heard_at_s) <= timeout_s

    def _timeout_s(self, peer: PeerState) -> float:
        known = len(self._peers)
        if is_small_cluster(known):
            return ping_timeout_s(known, is_close=True)
        is_close = peer.daemon_id in self._own_standbys or any(
            self.own_id in view.standbys
            and (
                peer.daemon_id == view.daemon_id
                or peer.daemon_id in view.standbys
            )
            for view in self._holders.values()
        )
        return ping_timeout_s(known, is_close=is_close, has_duty=self._has_duty)

    def _is_within_timeout(self, peer: PeerState, now_s: float) -> bool:
        heard_at_s = self._heard_at_s(peer.last_received_at_s)
        return now_s - heard_at_s <= self._timeout_s(peer)
