"""Tells peers which endpoints announced that they are leaving."""

import time

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    EndpointProcess,
)
from daisyhub.cluster._messages import EndpointLeavingNotification
from daisyhub.cluster._peers import PeerTable
from daisyhub.fleet_settings import parse_address
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.peers import PeerNetwork

__all__ = ["LeavingNews"]


class LeavingNews:
    """Sends and receives announcements of leaving endpoints.

    The daemon that reads an announcement itself tells its live peers, once for
    each process of an endpoint. Receivers don't pass it on. A daemon that joins
    later, or that wasn't reachable, learns it from the list or from a response.

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
        """Handles a peer's notification."""
        if not isinstance(message, EndpointLeavingNotification):
            return
        try:
            address = parse_address(message.address)
        except ValueError as exc:
            self._log.record(
                "leaving_news_invalid", peer=envelope.sender, reason=str(exc)
            )
            return
        process = EndpointProcess(
            message.endpoint_id, message.incarnation, address
        )
        known = self._directory.get(message.endpoint_id)
        is_listed_leaving = (
            known is not None
            and known.entry.process == process
            and known.entry.is_leaving
        )
        if self._directory.mark_leaving(process, time.monotonic()):
            self._record(process, "peer", envelope.sender, is_listed_leaving)

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
