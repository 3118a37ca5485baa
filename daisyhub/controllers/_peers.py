"""Heartbeats and batched news between daemons."""

import time

import anyio

from daisyhub.accounting import UsageCounters
from daisyhub.balancing import EndpointNews, EndpointTable
from daisyhub.base import Controller
from daisyhub.config import PeerHeard
from daisyhub.controllers._config import ConfigController
from daisyhub.logs import get_logger
from daisyhub.peers import (
    EndpointNewsBatch,
    Envelope,
    Heartbeat,
    HeartbeatHeard,
    MembershipCore,
    MembershipTick,
    PeerNetwork,
    PostureChanged,
    SendHeartbeat,
    UsageCopy,
)
from daisyhub.settings import DaemonSettings

__all__ = ["PeerController"]

_NEWS_REPEATS = 3
_PEERS_PER_BULK_TICK = 3

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
    ):
        self._cfg = cfg
        self._network = network
        self._config = config
        self._table = table
        self._counters = counters
        self._core = MembershipCore(cfg, incarnation)
        self._incarnations: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._news: dict[str, EndpointNews] = {}
        self._leaving: dict[str, tuple[EndpointNews, int]] = {}
        self._copies: dict[tuple[str, int, int], UsageCopy] = {}
        self._ticks_to_bulk = 0
        self._is_leaving = False
        self._wakeup = anyio.Event()

    def status(self) -> dict[str, object]:
        """Tells which peers are live and the versions last heard."""
        return {
            "live": self.live_peers(),
            "versions": dict(sorted(self._versions.items())),
        }

    def live_peers(self) -> list[str]:
        """Returns the live daemons of the own domain that aren't leaving."""
        return self._core.live_members(time.monotonic())

    def domain_share(self) -> float:
        """Returns this daemon's share of its domain's rates, 0 to 1."""
        return 1 / (1 + len(self.live_peers()))

    def usage_copies(self) -> list[UsageCopy]:
        """Returns the last copies of peers' usage counts."""
        return list(self._copies.values())

    def drop_copies_before(self, window: int) -> None:
        """Forgets copies of windows before `window`."""
        for place in [p for p in self._copies if p[2] < window]:
            del self._copies[place]

    def add_news(self, news: EndpointNews) -> None:
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
            case EndpointNewsBatch():
                self._on_news(message)
            case UsageCopy():
                place = (message.daemon_id, message.epoch, message.window)
                self._copies[place] = message

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

    def _posture(self) -> PostureChanged:
        return PostureChanged(
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
        self._feed(HeartbeatHeard(sender, beat))
        self._config.on_peer(
            PeerHeard(
                sender,
                beat.config_version,
                beat.withdrawn_keys,
                beat.withdrawn_digest,
            )
        )

    def _on_news(self, batch: EndpointNewsBatch) -> None:
        for news in batch.news:
            if self._table.adopt_news(news):
                self.add_news(news)

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
        for daemon_id in self._core.view(time.monotonic()):
            self._network.send(daemon_id, EndpointNewsBatch(news=news))

    def _send_bulk(self) -> None:
        self._ticks_to_bulk -= 1
        if self._ticks_to_bulk > 0:
            return
        live = self.live_peers()
        self._ticks_to_bulk = len(live) // _PEERS_PER_BULK_TICK
        messages: list[object] = list(self._usage_messages())
        if self._news:
            messages.append(EndpointNewsBatch(news=tuple(self._news.values())))
            self._news.clear()
        for daemon_id in live:
            self._network.send(daemon_id, *messages)

    def _usage_messages(self) -> list[UsageCopy]:
        copies = []
        for window in self._counters.windows():
            part = self._counters.part(window)
            copies.append(
                UsageCopy(
                    daemon_id=part.daemon_id,
                    epoch=part.epoch,
                    window=part.window,
                    counts=part.counts,
                )
            )
        return copies
