"""Heartbeats and batched news between the daemons of a failure domain."""

import dataclasses
import time

import anyio

from daisyhub.accounting import (
    AskHeard,
    GrantHeard,
    PeerUsage,
    RateShares,
    SendAsk,
    SendGrant,
    UsageCounters,
)
from daisyhub.balancing import EndpointNews, EndpointTable
from daisyhub.base import Controller
from daisyhub.clocks import boot_time_s
from daisyhub.config import PeerHeard
from daisyhub.controllers._config import ConfigController
from daisyhub.identity import KeyTable
from daisyhub.logs import get_logger
from daisyhub.peers import (
    EndpointNewsBatch,
    Envelope,
    Heartbeat,
    PeerNetwork,
    RateAsk,
    RateGrant,
    UsageCopy,
    UsageHeld,
)
from daisyhub.settings import DaemonSettings

__all__ = ["PeerController"]

_LIVE_TICKS = 4

log = get_logger("peers")


@dataclasses.dataclass(slots=True)
class _Peer:
    incarnation: int = 0
    heard_s: float = float("-inf")
    is_leaving: bool = False
    config_version: int = 0
    withdrawn_keys: int = 0


class PeerController(Controller):
    """Tells peers what changed here, once a tick, and hears theirs.

    Args:
        cfg: Settings of this daemon.
        incarnation: Start of this process, microseconds since the epoch.
        network: The peer socket.
        config: Where newer configurations go.
        keys: Tells how many keys are withdrawn.
        table: Where endpoint news goes.
        counters: Usage to copy.
        shares: Shares of the accounts' limits.
    """

    name = "peers"

    def __init__(
        self,
        cfg: DaemonSettings,
        incarnation: int,
        network: PeerNetwork,
        config: ConfigController,
        keys: KeyTable,
        table: EndpointTable,
        counters: UsageCounters,
        shares: RateShares,
    ):
        self._cfg = cfg
        self._incarnation = incarnation
        self._network = network
        self._config = config
        self._keys = keys
        self._table = table
        self._counters = counters
        self._shares = shares
        self._peers: dict[str, _Peer] = {}
        self._news: dict[str, EndpointNews] = {}
        self._is_leaving = False
        self._wakeup = anyio.Event()

    def status(self) -> dict[str, object]:
        """Tells which peers are live and the version that each has."""
        return {
            "live": self.live_peers(),
            "rate_shares": self._shares.seen_shares(boot_time_s()),
            "versions": {
                daemon_id: peer.config_version
                for daemon_id, peer in sorted(self._peers.items())
            },
        }

    def live_peers(self) -> list[str]:
        """Returns the peers heard of lately that aren't leaving."""
        limit_s = time.monotonic() - _LIVE_TICKS * self._cfg.timing.peer_tick_s
        return sorted(
            daemon_id
            for daemon_id, peer in self._peers.items()
            if peer.heard_s >= limit_s and not peer.is_leaving
        )

    def live_incarnations(self) -> dict[str, int]:
        """Returns the incarnations of the live peers of this domain."""
        domain = {peer.daemon_id for peer in self._cfg.domain_peers}
        return {
            daemon_id: self._peers[daemon_id].incarnation
            for daemon_id in self.live_peers()
            if daemon_id in domain
        }

    def add_news(self, news: EndpointNews) -> None:
        """Notes endpoint news for the next tick; leaving goes at once."""
        self._news[news.endpoint_id] = news
        if news.is_leaving:
            self.wake()

    def wake(self) -> None:
        """Makes the next tick come now."""
        self._wakeup.set()

    def set_leaving(self) -> None:
        """Tells peers at once that this daemon is shutting down."""
        self._is_leaving = True
        self._send_tick()

    def receive(self, envelope: Envelope, message: object) -> None:
        """Takes one message of a peer; older incarnations are ignored."""
        peer = self._peers.setdefault(envelope.sender, _Peer())
        if envelope.incarnation < peer.incarnation:
            return
        peer.incarnation = envelope.incarnation
        peer.heard_s = time.monotonic()
        match message:
            case Heartbeat():
                self._on_heartbeat(envelope.sender, peer, message)
            case EndpointNewsBatch():
                for news in message.news:
                    self._table.adopt_news(news)
            case UsageCopy():
                self._counters.hold(envelope.sender, message.parts)
            case RateAsk() | RateGrant():
                event = _share_event(envelope, message)
                self._shares.hear(event, boot_time_s())
            case UsageHeld():
                self._counters.on_held(
                    envelope.sender,
                    envelope.incarnation,
                    message.epoch,
                    message.number,
                )

    async def run(self) -> None:
        """Sends a tick at each interval, or earlier when woken."""
        while True:
            with anyio.move_on_after(self._cfg.timing.peer_tick_s):
                await self._wakeup.wait()
            self._wakeup = anyio.Event()
            self._send_tick()

    def _on_heartbeat(self, sender, peer: _Peer, beat: Heartbeat) -> None:
        peer.is_leaving = beat.is_leaving
        peer.config_version = beat.config_version
        peer.withdrawn_keys = beat.withdrawn_keys
        self._config.on_peer(
            PeerHeard(
                sender,
                beat.config_version,
                beat.withdrawn_keys,
                beat.withdrawn_digest,
            )
        )

    def _send_tick(self) -> None:
        messages = [
            Heartbeat(
                incarnation=self._incarnation,
                config_version=self._config.version,
                withdrawn_keys=self._config.withdrawn_count,
                is_leaving=self._is_leaving,
                withdrawn_digest=self._config.withdrawn_digest,
            )
        ]
        if self._news:
            batch = EndpointNewsBatch(news=tuple(self._news.values()))
            messages.append(batch)
            self._news.clear()
        live = self.live_incarnations()
        usage = self._counters.tick(live)
        rates = self._shares.tick(tuple(live), boot_time_s())
        for peer in self._cfg.peers:
            if peer.failure_domain == self._cfg.failure_domain:
                told = usage.get(peer.daemon_id, PeerUsage())
                self._network.send(
                    peer.daemon_id,
                    *messages,
                    *_usage_messages(told),
                    *_rate_messages(peer.daemon_id, rates),
                )
            else:
                self._network.send(peer.daemon_id, messages[0])


def _usage_messages(told: PeerUsage) -> list[UsageCopy | UsageHeld]:
    messages = []
    if told.parts:
        messages.append(UsageCopy(parts=told.parts))
    if told.held_number:
        messages.append(
            UsageHeld(epoch=told.held_epoch, number=told.held_number)
        )
    return messages


def _rate_messages(
    daemon_id: str, actions: list[SendAsk | SendGrant]
) -> list[RateAsk | RateGrant]:
    messages = []
    for action in actions:
        if action.peer != daemon_id:
            continue
        fields = {"incarnation": action.incarnation, "stamp_s": action.stamp_s}
        if isinstance(action, SendAsk):
            messages.append(RateAsk(wants=action.wants, **fields))
        else:
            messages.append(RateGrant(grants=action.grants, **fields))
    return messages


def _share_event(
    envelope: Envelope, message: RateAsk | RateGrant
) -> AskHeard | GrantHeard:
    if isinstance(message, RateAsk):
        return AskHeard(
            envelope.sender,
            message.incarnation,
            message.stamp_s,
            message.wants,
        )
    return GrantHeard(
        envelope.sender,
        envelope.incarnation,
        message.incarnation,
        message.stamp_s,
        message.grants,
    )
