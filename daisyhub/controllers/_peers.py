"""Heartbeats and batched news between daemons."""

import time

import anyio

from daisyhub.accounting import (
    LoanGranted,
    LoanRequested,
    PeerUsage,
    RateShares,
    SendLoanGrant,
    SendLoanRequest,
    UsageCounters,
)
from daisyhub.balancing import EndpointTable, EndpointUpdate
from daisyhub.base import Controller
from daisyhub.clocks import boot_time_s
from daisyhub.config import PeerSummaryReceived
from daisyhub.controllers._config import ConfigController
from daisyhub.logs import get_logger
from daisyhub.peers import (
    EndpointUpdateBatch,
    Envelope,
    Heartbeat,
    HeartbeatReceived,
    LocalStateChanged,
    MembershipCore,
    MembershipTick,
    PeerNetwork,
    RateLoanGrant,
    RateLoanRequest,
    SendHeartbeat,
    UsageCopy,
    UsageCopyAck,
)
from daisyhub.settings import DaemonSettings

__all__ = ["PeerController"]

_NEWS_REPEATS = 3
_PEERS_PER_NEWS_TICK = 3

log = get_logger("peers")


class PeerController(Controller):
    """Carries out what `MembershipCore` decides, and passes news on.

    News of leaving endpoints goes to the few daemons that heartbeats go to,
    and from them to theirs. Loads and copies of usage go to every live daemon
    of the failure domain, the less often the more of them there are.

    Args:
        cfg: Settings of this daemon.
        incarnation: Start of this process, microseconds since the epoch.
        network: The peer socket.
        config: Where newer configurations go.
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
        table: EndpointTable,
        counters: UsageCounters,
        shares: RateShares,
    ):
        self._cfg = cfg
        self._network = network
        self._config = config
        self._table = table
        self._counters = counters
        self._shares = shares
        self._core = MembershipCore(cfg, incarnation)
        self._incarnations: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._news: dict[str, EndpointUpdate] = {}
        self._leaving: dict[str, tuple[EndpointUpdate, int]] = {}
        self._ticks_to_news = 0
        self._is_leaving = False
        self._wakeup = anyio.Event()

    def status(self) -> dict[str, object]:
        """Tells which peers are live and the versions last heard."""
        return {
            "live": self.live_peers(),
            "rate_shares": self._shares.active_shares(boot_time_s()),
            "versions": dict(sorted(self._versions.items())),
        }

    def live_peers(self) -> list[str]:
        """Returns the live daemons of the own domain that aren't leaving."""
        return self._core.live_members(time.monotonic())

    def live_incarnations(self) -> dict[str, int]:
        """Returns the incarnations of live members that were heard."""
        return {
            daemon_id: self._incarnations[daemon_id]
            for daemon_id in self.live_peers()
            if daemon_id in self._incarnations
        }

    def add_update(self, news: EndpointUpdate) -> None:
        """Notes endpoint news for a later tick; leaving goes at once."""
        if news.is_leaving:
            self._leaving[news.endpoint_id] = (news, _NEWS_REPEATS)
            self.wake()
        else:
            self._news[news.endpoint_id] = news

    def wake(self) -> None:
        """Tells peers now what changed here."""
        self._wakeup.set()

    def set_leaving(self) -> None:
        """Tells peers at once that this daemon is shutting down."""
        self._is_leaving = True
        self._feed(self._posture())

    def receive(self, envelope: Envelope, message: object) -> None:
        """Takes one message of a peer; older incarnations are ignored."""
        sender = envelope.sender
        if envelope.incarnation < self._incarnations.get(sender, 0):
            return
        self._incarnations[sender] = envelope.incarnation
        match message:
            case Heartbeat():
                self._on_heartbeat(sender, message)
            case EndpointUpdateBatch():
                self._on_news(message)
            case UsageCopy():
                self._counters.keep_copies(envelope.sender, message.parts)
            case RateLoanRequest() | RateLoanGrant():
                event = _share_event(envelope, message)
                self._shares.handle(event, boot_time_s())
            case UsageCopyAck():
                self._counters.on_copies_acknowledged(
                    envelope.sender,
                    envelope.incarnation,
                    message.epoch,
                    message.number,
                )

    async def run(self) -> None:
        """Sends a tick at each interval, and changes when woken."""
        while True:
            due_s = self._core.next_wakeup_s - time.monotonic()
            with anyio.move_on_after(max(0.0, due_s)):
                await self._wakeup.wait()
            is_woken = self._wakeup.is_set()
            self._wakeup = anyio.Event()
            self._feed(self._posture())
            if not is_woken:
                self._feed(MembershipTick())
                self._send_bulk()
            self._send_leaving()

    def _posture(self) -> LocalStateChanged:
        return LocalStateChanged(
            self._config.version,
            self._config.withdrawn_count,
            self._config.withdrawn_digest,
            self._is_leaving,
        )

    def _feed(self, event: object) -> None:
        for action in self._core.handle(event, time.monotonic()):
            if not isinstance(action, SendHeartbeat):
                raise TypeError(f"not a membership action: {action!r}")
            for daemon_id in action.targets:
                self._network.send(daemon_id, action.heartbeat)

    def _on_heartbeat(self, sender: str, beat: Heartbeat) -> None:
        self._versions[sender] = beat.config_version
        self._feed(HeartbeatReceived(sender, beat))
        self._config.on_peer_summary(
            PeerSummaryReceived(
                sender,
                beat.config_version,
                beat.withdrawn_keys,
                beat.withdrawn_digest,
            )
        )

    def _on_news(self, batch: EndpointUpdateBatch) -> None:
        for news in batch.news:
            self._table.apply_update(news)

    def _send_leaving(self) -> None:
        """Sends news of leaving endpoints, some times in case it is lost."""
        if not self._leaving:
            return
        news = tuple(item for item, _ in self._leaving.values())
        self._leaving = {
            item.endpoint_id: (item, left - 1)
            for item, left in self._leaving.values()
            if left > 1
        }
        for daemon_id in self._core.next_targets(time.monotonic()):
            self._network.send(daemon_id, EndpointUpdateBatch(news=news))

    def _send_bulk(self) -> None:
        """Sends usage and rates to those concerned, loads to all, rarely."""
        live = self.live_incarnations()
        usage = self._counters.tick(live)
        rates = self._shares.tick(tuple(live), boot_time_s())
        news = self._due_news(len(live))
        for daemon_id in sorted({*live, *usage}):
            messages = [
                *news,
                *_usage_messages(usage.get(daemon_id, PeerUsage())),
                *_rate_messages(daemon_id, rates),
            ]
            if messages:
                self._network.send(daemon_id, *messages)

    def _due_news(self, peers: int) -> list[EndpointUpdateBatch]:
        """Returns the batch of loads, the less often the more peers."""
        self._ticks_to_news -= 1
        if self._ticks_to_news > 0 or not self._news:
            return []
        self._ticks_to_news = peers // _PEERS_PER_NEWS_TICK
        batch = EndpointUpdateBatch(news=tuple(self._news.values()))
        self._news.clear()
        return [batch]


def _usage_messages(told: PeerUsage) -> list[UsageCopy | UsageCopyAck]:
    messages = []
    if told.parts:
        messages.append(UsageCopy(parts=told.parts))
    if told.acked_number:
        messages.append(
            UsageCopyAck(epoch=told.acked_epoch, number=told.acked_number)
        )
    return messages


def _rate_messages(
    daemon_id: str, actions: list[SendLoanRequest | SendLoanGrant]
) -> list[RateLoanRequest | RateLoanGrant]:
    messages = []
    for action in actions:
        if action.peer != daemon_id:
            continue
        fields = {"incarnation": action.incarnation, "stamp_s": action.stamp_s}
        if isinstance(action, SendLoanRequest):
            messages.append(RateLoanRequest(wants=action.wants, **fields))
        else:
            messages.append(RateLoanGrant(grants=action.grants, **fields))
    return messages


def _share_event(
    envelope: Envelope, message: RateLoanRequest | RateLoanGrant
) -> LoanRequested | LoanGranted:
    if isinstance(message, RateLoanRequest):
        return LoanRequested(
            envelope.sender,
            message.incarnation,
            message.stamp_s,
            message.wants,
        )
    return LoanGranted(
        envelope.sender,
        envelope.incarnation,
        message.incarnation,
        message.stamp_s,
        message.grants,
    )
