"""The digests of peers about the capacity of endpoints.

Times are seconds on a monotonic clock of this daemon.
"""

import dataclasses
import math
import statistics

from daisyhub.balancing._capacity_digest import CapacityDigest, CapacityEntry

__all__ = ["PeerCapacity", "PeerEntry"]

# Seconds after which a digest has no effect: estimates follow a change within
# two to three seconds.
_MAX_AGE_S = 3.0
# Seconds without a digest that counts after which the delay of a peer's
# digests is measured anew, as its clock stops while its machine is suspended.
_RESYNC_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerEntry:
    """A peer's samples of an endpoint.

    Attributes:
        entry: The samples.
        at_s: When they were sent.
    """

    entry: CapacityEntry
    at_s: float


@dataclasses.dataclass(slots=True)
class _Peer:
    """What one process of a peer told.

    Attributes:
        process: Start of the process.
        offset_s: Least difference between this daemon's clock at the arrival
            of a digest and the peer's when it was made: the difference of the
            clocks and the shortest delay.
        made_at_s: When its newest digest was made, on its own clock.
        accepted_at_s: When the last digest that counts arrived.
        entries: The newest samples by endpoint.
        usual_times: The newest median by kind of request, and when it was
            sent.
    """

    process: int
    offset_s: float = math.inf
    made_at_s: float = -math.inf
    accepted_at_s: float = -math.inf
    entries: dict[str, PeerEntry] = dataclasses.field(default_factory=dict)
    usual_times: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


class PeerCapacity:
    """The samples of all peers that still count.

    A digest is ignored if it is from an earlier process of the peer, if a
    newer one has arrived, or if it was on its way for too long. The delay is
    measured relative to the fastest digest of that peer.
    """

    def __init__(self):
        self._peers: dict[str, _Peer] = {}
        self._expire_at_s = -math.inf

    def merge(
        self, peer_id: str, digest: CapacityDigest, now_s: float
    ) -> tuple[str, ...]:
        """Takes a digest in; returns the ids of its endpoints.

        Nothing is returned for a digest that has no effect.
        """
        self._expire(now_s)
        peer = self._peers.get(peer_id)
        if peer is None or digest.process > peer.process:
            peer = self._peers[peer_id] = _Peer(digest.process)
        is_old = digest.made_at_s <= peer.made_at_s
        if digest.process < peer.process or is_old:
            return ()
        offset_s = now_s - digest.made_at_s
        if now_s - peer.accepted_at_s > _RESYNC_S:
            peer.offset_s = offset_s
        peer.offset_s = min(peer.offset_s, offset_s)
        peer.made_at_s = digest.made_at_s
        sent_at_s = digest.made_at_s + peer.offset_s
        if now_s - sent_at_s > _MAX_AGE_S:
            return ()
        peer.accepted_at_s = now_s
        for entry in digest.entries:
            peer.entries[entry.endpoint_id] = PeerEntry(entry, sent_at_s)
        for usual in digest.usual_times:
            peer.usual_times[usual.kind] = (usual.median_s, sent_at_s)
        return tuple(entry.endpoint_id for entry in digest.entries)

    def entries(
        self, endpoint_id: str, incarnation: int, now_s: float
    ) -> list[PeerEntry]:
        """Returns the samples of a process of an endpoint that still count."""
        found = []
        for peer in self._peers.values():
            known = peer.entries.get(endpoint_id)
            if known is None or known.entry.incarnation != incarnation:
                continue
            if now_s - known.at_s <= _MAX_AGE_S:
                found.append(known)
        return found

    def median_s(self, kind: str, own_s: float, now_s: float) -> float:
        """Returns the usual time of a kind of requests over all daemons.

        A daemon that uses one endpoint only can't tell a slow endpoint from
        long requests, so the median over the daemons counts, which use all
        endpoints alike.

        Args:
            kind: The kind of requests.
            own_s: This daemon's median; 0 if unknown.
            now_s: Current time.

        Returns:
            The median of the daemons' medians; 0 without any.
        """
        medians_s = [own_s] if own_s else []
        for peer in self._peers.values():
            median_s, at_s = peer.usual_times.get(kind, (0.0, -math.inf))
            if now_s - at_s <= _MAX_AGE_S:
                medians_s.append(median_s)
        return statistics.median_low(medians_s) if medians_s else 0.0

    def _expire(self, now_s: float) -> None:
        """Forgets peers that sent nothing that counts for long."""
        if now_s < self._expire_at_s:
            return
        self._expire_at_s = now_s + _RESYNC_S
        for peer_id in [
            peer_id
            for peer_id, peer in self._peers.items()
            if now_s - peer.accepted_at_s > 2 * _RESYNC_S
        ]:
            del self._peers[peer_id]
