"""Chooses the targets of heartbeats and determines which daemons are live.

This is a gossip protocol. A daemon sends heartbeats to only a few others. In
its failure domain these are its live successor on the ring of sorted ids and
one member in rotation. Each heartbeat carries the highest known beat of every
member, so that each beat reaches all members within some ticks. At each tick,
only relays, the live daemons with the lowest ids, also send heartbeats to other
failure domains.

A beat is the incarnation plus the number of ticks since the start, so that one
number orders a daemon's incarnations and the ticks of each.
"""

import dataclasses
import hashlib

from daisyhub.base import Core
from daisyhub.peers._messages import Heartbeat, MemberBeat
from daisyhub.settings import DaemonSettings

__all__ = [
    "HeartbeatReceived",
    "MembershipCore",
    "MembershipTick",
    "LocalStateChanged",
    "SendHeartbeat",
    "hash_member_id",
]

# Live successors on the ring that a heartbeat is sent to.
_SUCCESSOR_COUNT = 1
# Ticks without a rise of its beat after which a member is no longer live.
_TIMEOUT_TICKS = 10
# Relays per failure domain.
_RELAY_COUNT = 2
# Daemons with the lowest ids of another failure domain, of which a relay sends
# to one at a time, in rotation.
_CANDIDATES_PER_DOMAIN = 3
# Other failure domains that a relay sends to in one tick, in rotation.
_DOMAINS_PER_TICK = 4
# Size of the hash that identifies a daemon in heartbeats.
_HASH_BYTES = 4
# A beat rises by 1 per tick, and ticks are much longer than the microseconds in
# which incarnations count. A rise by at least this much means a restart.
_RESTART_STEP = 500_000


def hash_member_id(daemon_id: str) -> int:
    """Returns the hash that identifies a daemon in heartbeats."""
    digest = hashlib.blake2b(daemon_id.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipTick:
    """Event: the interval between heartbeats has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """Event: a heartbeat was received."""

    sender: str
    heartbeat: Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class LocalStateChanged:
    """Event: the state that this daemon announces has changed.

    The attributes are those of `Heartbeat`.
    """

    config_version: int
    withdrawn_keys: int
    withdrawn_digest: str
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Action: send a heartbeat to each target."""

    targets: tuple[str, ...]
    heartbeat: Heartbeat


@dataclasses.dataclass(slots=True)
class _Member:
    beat: int = 0
    last_advanced_s: float = float("-inf")
    is_leaving: bool = False


class MembershipCore(Core):
    """Tracks the members of the failure domain and plans heartbeats.

    Times may be on any monotonic clock.

    Args:
        cfg: Settings of this daemon.
        incarnation: Start of this process, microseconds since the epoch.
    """

    def __init__(self, cfg: DaemonSettings, incarnation: int):
        self.cfg = cfg
        self.incarnation = incarnation
        self._beat = incarnation
        self._local_state = LocalStateChanged(0, 0, "")
        self._next_tick_s: float | None = 0.0
        self._members = {p.daemon_id: _Member() for p in cfg.domain_peers}
        self._ids = {hash_member_id(name): name for name in self._members}
        self._other_domains: dict[str, list[str]] = {}
        for peer in sorted(cfg.peers, key=lambda p: p.daemon_id):
            if peer.failure_domain != cfg.failure_domain:
                ids = self._other_domains.setdefault(peer.failure_domain, [])
                ids.append(peer.daemon_id)
        self._domain_names = sorted(self._other_domains)

    @property
    def next_wakeup_s(self) -> float | None:
        """The time at which the next tick is due."""
        return self._next_tick_s

    def live_members(self, now_s: float) -> list[str]:
        """Returns the other live daemons of the own domain, sorted by id."""
        limit_s = now_s - _TIMEOUT_TICKS * self.cfg.timing.peer_tick_s
        return sorted(
            name
            for name, member in self._members.items()
            if member.last_advanced_s >= limit_s and not member.is_leaving
        )

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event and returns the heartbeats to send."""
        match event:
            case MembershipTick():
                return self._on_tick(now_s)
            case HeartbeatReceived():
                return self._on_heartbeat(event, now_s)
            case LocalStateChanged():
                return self._on_local_state(event, now_s)
        raise TypeError(f"not a membership event: {event!r}")

    def _on_tick(self, now_s: float) -> list[object]:
        self._beat += 1
        self._next_tick_s = now_s + self.cfg.timing.peer_tick_s
        ticks = self._beat - self.incarnation
        actions = [self._domain_heartbeat(self.next_targets(now_s))]
        if self._is_relay(now_s) and self._domain_names:
            count = min(_DOMAINS_PER_TICK, len(self._domain_names))
            first = ticks * count
            names = [
                self._domain_names[(first + n) % len(self._domain_names)]
                for n in range(count)
            ]
            actions.append(self._relay_heartbeat(names, ticks))
        return actions

    def _on_local_state(self, event: LocalStateChanged, now_s) -> list[object]:
        """Returns heartbeats that announce the new state before the next tick.

        A leaving daemon sends to all members of its domain, and a relay to all
        other domains.
        """
        if event == self._local_state:
            return []
        self._local_state = event
        targets = self.next_targets(now_s)
        if event.is_leaving:
            targets = tuple(sorted(self._members))
        actions = [self._domain_heartbeat(targets)]
        if self._is_relay(now_s):
            ticks = self._beat - self.incarnation
            actions.append(self._relay_heartbeat(self._domain_names, ticks))
        return actions

    def next_targets(self, now_s: float) -> tuple[str, ...]:
        """Returns the daemons of the own domain to send to at this tick.

        The ring contains only live members. The additional member is chosen in
        rotation from all members, live or not, so that the parts of a domain
        find each other again after a partition.
        """
        live = self.live_members(now_s)
        own = self.cfg.daemon_id
        ring = [n for n in live if n > own] + [n for n in live if n < own]
        targets = ring[:_SUCCESSOR_COUNT]
        names = sorted(self._members)
        if names:
            turn = (self._beat + hash_member_id(own)) % len(names)
            targets.append(names[turn])
        return tuple(dict.fromkeys(targets))

    def _is_relay(self, now_s: float) -> bool:
        live = self.live_members(now_s)
        return sum(n < self.cfg.daemon_id for n in live) < _RELAY_COUNT

    def _domain_heartbeat(self, targets: tuple[str, ...]) -> SendHeartbeat:
        beats = [
            MemberBeat(hash_member_id(name), member.beat, member.is_leaving)
            for name, member in sorted(self._members.items())
            if member.beat
        ]
        return SendHeartbeat(targets, self._heartbeat(tuple(beats)))

    def _relay_heartbeat(self, domains: list[str], turn: int) -> SendHeartbeat:
        targets = []
        for domain in domains:
            lowest = self._other_domains[domain][:_CANDIDATES_PER_DOMAIN]
            targets.append(lowest[turn % len(lowest)])
        return SendHeartbeat(tuple(targets), self._heartbeat(()))

    def _heartbeat(self, members: tuple[MemberBeat, ...]) -> Heartbeat:
        state = self._local_state
        return Heartbeat(
            incarnation=self.incarnation,
            config_version=state.config_version,
            withdrawn_keys=state.withdrawn_keys,
            withdrawn_digest=state.withdrawn_digest,
            is_leaving=state.is_leaving,
            beat=self._beat,
            members=members,
        )

    def _on_heartbeat(self, event: HeartbeatReceived, now_s) -> list[object]:
        heartbeat = event.heartbeat
        if event.sender in self._members:
            self._record_beat(
                event.sender, heartbeat.beat, heartbeat.is_leaving, now_s
            )
            for member in heartbeat.members:
                name = self._ids.get(member.name_hash)
                if name is not None:
                    self._record_beat(
                        name, member.beat, member.is_leaving, now_s
                    )
        own = self._local_state
        received = (heartbeat.config_version, heartbeat.withdrawn_keys)
        if received >= (own.config_version, own.withdrawn_keys):
            return []
        # The sender has an older state; respond at once so that it can fetch
        # the newer one.
        return [SendHeartbeat((event.sender,), self._heartbeat(()))]

    def _record_beat(
        self, name, beat: int, is_leaving: bool, now_s: float
    ) -> None:
        """Records a member's beat; leaving is final for an incarnation."""
        member = self._members[name]
        if beat < member.beat:
            return
        if beat > member.beat:
            if beat - member.beat >= _RESTART_STEP:
                member.is_leaving = False
            member.beat = beat
            member.last_advanced_s = now_s
        member.is_leaving = member.is_leaving or is_leaving
