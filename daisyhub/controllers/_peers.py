"""Exchanges heartbeats, endpoint updates, usage and rate loans with peers."""

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

# Times that an update about a leaving endpoint is sent, since it may be lost.
_LEAVING_SEND_COUNT = 3
# Endpoint updates are sent every `live peers // _PEERS_PER_BATCH_TICK` ticks,
# or at each tick if that is less than 1.
_PEERS_PER_BATCH_TICK = 3

log = get_logger("peers")


class PeerController(Controller):
    """Executes the actions of `MembershipCore` and sends updates to peers.

    Updates about leaving endpoints go to the few daemons that heartbeats go
    to, which forward them in the same way. Other endpoint updates go to every
    live daemon of the failure domain, less often the more of them there are.
    Copies of usage parts go to the peers that `UsageCounters` chooses.

    Args:
        cfg: Settings of this daemon.
        incarnation: Start of this process, microseconds since the epoch.
        network: Sends messages to peers.
        config: Receives the configuration summaries of peers.
        table: Receives the endpoint updates of peers.
        counters: Usage parts to be copied to peers.
        shares: Shares of the accounts' rate limits.
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
        self._config_versions: dict[str, int] = {}
        self._pending_updates: dict[str, EndpointUpdate] = {}
        self._leaving_updates: dict[str, tuple[EndpointUpdate, int]] = {}
        self._ticks_to_batch = 0
        self._is_leaving = False
        self._wakeup = anyio.Event()

    def status(self) -> dict[str, object]:
        """Returns live peers, rate shares and the peers' config versions."""
        return {
            "live": self.live_peers(),
            "rate_shares": self._shares.active_shares(boot_time_s()),
            "versions": dict(sorted(self._config_versions.items())),
        }

    def live_peers(self) -> list[str]:
        """Returns the live peers of the failure domain that aren't leaving."""
        return self._core.live_members(time.monotonic())

    def live_incarnations(self) -> dict[str, int]:
        """Returns the incarnations of live peers, by daemon id."""
        return {
            daemon_id: self._incarnations[daemon_id]
            for daemon_id in self.live_peers()
            if daemon_id in self._incarnations
        }

    def add_update(self, update: EndpointUpdate) -> None:
        """Queues an endpoint update; one about leaving is sent at once."""
        if update.is_leaving:
            self._leaving_updates[update.endpoint_id] = (
                update,
                _LEAVING_SEND_COUNT,
            )
            self.wake()
        else:
            self._pending_updates[update.endpoint_id] = update

    def wake(self) -> None:
        """Makes `run` send changes to peers now, ahead of the next tick."""
        self._wakeup.set()

    def set_leaving(self) -> None:
        """Notifies peers at once that this daemon is shutting down."""
        self._is_leaving = True
        self._feed(self._local_state())

    def receive(self, envelope: Envelope, message: object) -> None:
        """Handles a peer's message, unless a newer incarnation is known."""
        sender = envelope.sender
        if envelope.incarnation < self._incarnations.get(sender, 0):
            return
        self._incarnations[sender] = envelope.incarnation
        match message:
            case Heartbeat():
                self._on_heartbeat(sender, message)
            case EndpointUpdateBatch():
                self._on_endpoint_updates(message)
            case UsageCopy():
                self._counters.keep_copies(envelope.sender, message.parts)
            case RateLoanRequest() | RateLoanGrant():
                event = _make_share_event(envelope, message)
                self._shares.handle(event, boot_time_s())
            case UsageCopyAck():
                self._counters.on_copies_acknowledged(
                    envelope.sender,
                    envelope.incarnation,
                    message.epoch,
                    message.number,
                )

    async def run(self) -> None:
        """Ticks the core at each interval and sends changes when woken."""
        while True:
            remaining_s = self._core.next_wakeup_s - time.monotonic()
            with anyio.move_on_after(max(0.0, remaining_s)):
                await self._wakeup.wait()
            is_woken = self._wakeup.is_set()
            self._wakeup = anyio.Event()
            self._feed(self._local_state())
            if not is_woken:
                self._feed(MembershipTick())
                self._send_periodic_messages()
            self._send_leaving()

    def _local_state(self) -> LocalStateChanged:
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

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        self._config_versions[sender] = heartbeat.config_version
        self._feed(HeartbeatReceived(sender, heartbeat))
        self._config.on_peer_summary(
            PeerSummaryReceived(
                sender,
                heartbeat.config_version,
                heartbeat.withdrawn_keys,
                heartbeat.withdrawn_digest,
            )
        )

    def _on_endpoint_updates(self, batch: EndpointUpdateBatch) -> None:
        for update in batch.news:
            self._table.apply_update(update)

    def _send_leaving(self) -> None:
        """Sends updates about leaving endpoints to the heartbeat targets."""
        if not self._leaving_updates:
            return
        updates = tuple(update for update, _ in self._leaving_updates.values())
        self._leaving_updates = {
            update.endpoint_id: (update, sends_left - 1)
            for update, sends_left in self._leaving_updates.values()
            if sends_left > 1
        }
        for daemon_id in self._core.next_targets(time.monotonic()):
            self._network.send(daemon_id, EndpointUpdateBatch(news=updates))

    def _send_periodic_messages(self) -> None:
        """Sends endpoint updates, usage copies and rate loans that are due."""
        live = self.live_incarnations()
        usage = self._counters.tick(live)
        rates = self._shares.tick(tuple(live), boot_time_s())
        batches = self._due_batches(len(live))
        for daemon_id in sorted({*live, *usage}):
            messages = [
                *batches,
                *_usage_messages(usage.get(daemon_id, PeerUsage())),
                *_rate_messages(daemon_id, rates),
            ]
            if messages:
                self._network.send(daemon_id, *messages)

    def _due_batches(self, peer_count: int) -> list[EndpointUpdateBatch]:
        """Returns one batch of the queued updates if it is due, or nothing.

        Batches are due less often the more peers there are.
        """
        self._ticks_to_batch -= 1
        if self._ticks_to_batch > 0 or not self._pending_updates:
            return []
        self._ticks_to_batch = peer_count // _PEERS_PER_BATCH_TICK
        batch = EndpointUpdateBatch(news=tuple(self._pending_updates.values()))
        self._pending_updates.clear()
        return [batch]


def _usage_messages(usage: PeerUsage) -> list[UsageCopy | UsageCopyAck]:
    messages = []
    if usage.parts:
        messages.append(UsageCopy(parts=usage.parts))
    if usage.acked_number:
        messages.append(
            UsageCopyAck(epoch=usage.acked_epoch, number=usage.acked_number)
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


def _make_share_event(
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
