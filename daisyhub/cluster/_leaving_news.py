"""Tells peers which endpoints announced that they are leaving."""

import time

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    EndpointProcess,
    LeavingMark,
    digest_marks,
)
from daisyhub.cluster._endpoint_messages import (
    EndpointLeavingNotification,
    LeavingMarkNews,
    LeavingMarksRequest,
    LeavingMarksResponse,
)
from daisyhub.cluster._messages import Ping
from daisyhub.cluster._peers import PeerTable
from daisyhub.fleet_settings import parse_address
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.peers import PeerNetwork

__all__ = ["LeavingNews"]

# Maximum number of marks in a message, about 50 KB; a few of them fit into a
# datagram.
_MAX_MARKS_TOLD = 1000
# Seconds until the marks of a peer are requested again if no response comes;
# less than the interval of pings.
_REQUEST_TIMEOUT_S = 0.3
# Number of digests that are remembered; each announcement makes a new one.
_MAX_DIGESTS = 256


class LeavingNews:
    """Sends and receives announcements of leaving endpoints.

    The daemon that reads an announcement itself tells its live peers, once for
    each process of an endpoint. Receivers don't pass it on. Pings contain a
    digest of the sender's marks, so that a daemon that joins later, or that
    wasn't reachable, notices that it lacks marks, and requests them.

    Args:
        directory: Excludes the endpoints.
        network: Sends to peers.
        peers: The live peers.
        metrics: Counts announcements by where they came from.
        log: Logs announcements, and how far the list lagged behind.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        network: PeerNetwork,
        peers: PeerTable,
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._directory = directory
        self._network = network
        self._peers = peers
        self._metrics = metrics
        self._log = log
        # Digests of marks that are all known here, the latest last.
        self._known_digests: dict[int, None] = {}
        # When the marks of a digest were last requested.
        self._requested_at_s: dict[int, float] = {}

    def digest(self) -> int:
        """Returns the digest of the marks in force, for a ping."""
        digest = digest_marks(self._marks_in_force(time.monotonic()))
        self._add_known_digest(digest)
        return digest

    def announce(self, entry: EndpointEntry, call: str) -> None:
        """Logs the first announcement of an endpoint; tells the live peers.

        Args:
            entry: The endpoint's entry before the announcement.
            call: Kind of the call whose response contained it.
        """
        self._record(entry.process, call, is_listed_leaving=entry.is_leaving)
        news = EndpointLeavingNotification(
            endpoint_id=entry.endpoint_id,
            incarnation=entry.incarnation,
            address=str(entry.address),
        )
        for peer in self._peers.live():
            self._network.send(peer.daemon_id, news)

    def receive(self, envelope, message: object) -> None:
        """Handles a message of a peer if it concerns leaving endpoints."""
        if isinstance(message, Ping):
            self._compare(envelope.sender, message.leaving_digest)
        elif isinstance(message, EndpointLeavingNotification):
            mark = LeavingMarkNews(
                message.endpoint_id,
                message.incarnation,
                message.address,
                age_s=0.0,
            )
            self._mark(envelope.sender, mark)
        elif isinstance(message, LeavingMarksRequest):
            self._tell_marks(envelope.sender)
        elif isinstance(message, LeavingMarksResponse):
            for mark in message.marks:
                self._mark(envelope.sender, mark)
            self._add_known_digest(message.digest)
            self._requested_at_s.pop(message.digest, None)

    def _compare(self, peer: str, digest: int) -> None:
        """Requests a peer's marks if some may be unknown here."""
        if not digest or digest in self._known_digests:
            return
        if digest == self.digest():
            return
        now_s = time.monotonic()
        for requested, at_s in list(self._requested_at_s.items()):
            if now_s - at_s > _REQUEST_TIMEOUT_S:
                del self._requested_at_s[requested]
        if digest not in self._requested_at_s:
            self._requested_at_s[digest] = now_s
            self._network.send_datagrams([peer], LeavingMarksRequest())

    def _tell_marks(self, peer: str) -> None:
        now_s = time.monotonic()
        marks = self._marks_in_force(now_s)
        response = LeavingMarksResponse(
            digest=digest_marks(marks),
            marks=tuple(
                LeavingMarkNews(
                    mark.process.endpoint_id,
                    mark.process.incarnation,
                    str(mark.process.address),
                    now_s - mark.announced_at_s,
                )
                for mark in marks
            ),
        )
        self._network.send_datagrams([peer], response)

    def _marks_in_force(self, now_s: float) -> list[LeavingMark]:
        return self._directory.leaving_marks(now_s, _MAX_MARKS_TOLD)

    def _add_known_digest(self, digest: int) -> None:
        self._known_digests[digest] = None
        if len(self._known_digests) > _MAX_DIGESTS:
            del self._known_digests[next(iter(self._known_digests))]

    def _mark(self, peer: str, news: LeavingMarkNews) -> None:
        """Marks a process that a peer knows to be leaving."""
        try:
            address = parse_address(news.address)
        except ValueError as exc:
            self._log.record("leaving_news_invalid", peer=peer, reason=str(exc))
            return
        process = EndpointProcess(news.endpoint_id, news.incarnation, address)
        known = self._directory.get(news.endpoint_id)
        is_listed_leaving = (
            known is not None
            and known.entry.process == process
            and known.entry.is_leaving
        )
        announced_at_s = time.monotonic() - news.age_s
        if self._directory.mark_leaving(process, announced_at_s):
            self._record(process, "peer", peer, is_listed_leaving)

    def confirm(self, process: EndpointProcess, *, is_removed: bool) -> None:
        """Logs by how much the list lagged behind an announcement, if any.

        Args:
            process: A process that the list shows as leaving or gone.
            is_removed: Whether it is gone.
        """
        lag_s = self._directory.confirm_leaving(process, time.monotonic())
        if lag_s is not None:
            self._log.record(
                "endpoint_leaving_listed",
                endpoint=process.endpoint_id,
                incarnation=process.incarnation,
                is_removed=is_removed,
                list_lag_s=round(lag_s, 3),
            )

    def _record(
        self,
        process: EndpointProcess,
        call: str,
        peer: str = "",
        is_listed_leaving: bool = False,
    ) -> None:
        self._metrics.count("endpoints_leaving", call=call)
        self._log.record(
            "endpoint_leaving",
            endpoint=process.endpoint_id,
            incarnation=process.incarnation,
            address=str(process.address),
            call=call,
            peer=peer,
            is_listed_leaving=is_listed_leaving,
        )
