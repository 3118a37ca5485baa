"""Decides which daemons to tell, and which ones are live.

A daemon tells only a few others. Inside its failure domain these are the next
live ones on the ring of sorted ids and one that changes with each tick; each
heartbeat carries the highest beat known of every member, so that all hear of
all within some ticks. To other failure domains only relays talk, the lowest
live ids. A beat is the incarnation plus the ticks since, so that one number
orders both.
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

_SUCCESSORS = 1
_LIVE_TICKS = 10
_RELAYS = 2
_RELAY_TARGETS = 3
_DOMAINS_PER_TICK = 4
_HASH_BYTES = 4
# Incarnations are microseconds, ticks take longer: a step of at least this
# size tells a restart.
_RESTART_STEP = 500_000


def hash_member_id(daemon_id: str) -> int:
    """Returns the short name of a daemon in heartbeats."""
    digest = hashlib.blake2b(daemon_id.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipTick:
    """Event: the interval between heartbeats has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """Event: a heartbeat came in."""

    sender: str
    heartbeat: Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class LocalStateChanged:
    """Event: what this daemon tells of itself has changed."""

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
    advanced_s: float = float("-inf")
    is_leaving: bool = False


class MembershipCore(Core):
    """What one daemon knows of the others; times are on any steady clock.

    Args:
        cfg: Settings of this daemon.
        incarnation: Start of this process, microseconds since the epoch.
    """

    def __init__(self, cfg: DaemonSettings, incarnation: int):
        self.cfg = cfg
        self.incarnation = incarnation
        self._beat = incarnation
        self._posture = LocalStateChanged(0, 0, "")
        self._next_s: float | None = 0.0
        self._members = {p.daemon_id: _Member() for p in cfg.domain_peers}
        self._ids = {hash_member_id(name): name for name in self._members}
        self._others: dict[str, list[str]] = {}
        for peer in sorted(cfg.peers, key=lambda p: p.daemon_id):
            if peer.failure_domain != cfg.failure_domain:
                ids = self._others.setdefault(peer.failure_domain, [])
                ids.append(peer.daemon_id)
        self._domain_names = sorted(self._others)

    @property
    def next_wakeup_s(self) -> float | None:
        """When the next tick is due."""
        return self._next_s

    def live_members(self, now_s: float) -> list[str]:
        """Returns the live daemons of the own domain but this, sorted."""
        limit_s = now_s - _LIVE_TICKS * self.cfg.timing.peer_tick_s
        return sorted(
            name
            for name, member in self._members.items()
            if member.advanced_s >= limit_s and not member.is_leaving
        )

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event; returns heartbeats to send."""
        match event:
            case MembershipTick():
                return self._on_tick(now_s)
            case HeartbeatReceived():
                return self._on_heartbeat(event, now_s)
            case LocalStateChanged():
                return self._on_posture(event, now_s)
        raise TypeError(f"not a membership event: {event!r}")

    def _on_tick(self, now_s: float) -> list[object]:
        self._beat += 1
        self._next_s = now_s + self.cfg.timing.peer_tick_s
        ticks = self._beat - self.incarnation
        actions = [self._to_domain(self.next_targets(now_s))]
        if self._is_relay(now_s) and self._domain_names:
            count = min(_DOMAINS_PER_TICK, len(self._domain_names))
            first = ticks * count
            names = [
                self._domain_names[(first + n) % len(self._domain_names)]
                for n in range(count)
            ]
            actions.append(self._to_others(names, ticks))
        return actions

    def _on_posture(self, event: LocalStateChanged, now_s) -> list[object]:
        if event == self._posture:
            return []
        self._posture = event
        targets = self.next_targets(now_s)
        if event.is_leaving:
            targets = tuple(sorted(self._members))
        actions = [self._to_domain(targets)]
        if self._is_relay(now_s):
            ticks = self._beat - self.incarnation
            actions.append(self._to_others(self._domain_names, ticks))
        return actions

    def next_targets(self, now_s: float) -> tuple[str, ...]:
        """Returns the daemons of the own domain to tell now.

        The ring goes through live members only; one in turn of all members,
        live or not, lets the parts of a domain find each other again.
        """
        live = self.live_members(now_s)
        own = self.cfg.daemon_id
        ring = [n for n in live if n > own] + [n for n in live if n < own]
        targets = ring[:_SUCCESSORS]
        names = sorted(self._members)
        if names:
            turn = (self._beat + hash_member_id(own)) % len(names)
            targets.append(names[turn])
        return tuple(dict.fromkeys(targets))

    def _is_relay(self, now_s: float) -> bool:
        live = self.live_members(now_s)
        return sum(n < self.cfg.daemon_id for n in live) < _RELAYS

    def _to_domain(self, targets: tuple[str, ...]) -> SendHeartbeat:
        beats = [
            MemberBeat(hash_member_id(name), member.beat, member.is_leaving)
            for name, member in sorted(self._members.items())
            if member.beat
        ]
        return SendHeartbeat(targets, self._heartbeat(tuple(beats)))

    def _to_others(self, domains: list[str], turn: int) -> SendHeartbeat:
        targets = []
        for domain in domains:
            lowest = self._others[domain][:_RELAY_TARGETS]
            targets.append(lowest[turn % len(lowest)])
        return SendHeartbeat(tuple(targets), self._heartbeat(()))

    def _heartbeat(self, members: tuple[MemberBeat, ...]) -> Heartbeat:
        posture = self._posture
        return Heartbeat(
            incarnation=self.incarnation,
            config_version=posture.config_version,
            withdrawn_keys=posture.withdrawn_keys,
            withdrawn_digest=posture.withdrawn_digest,
            is_leaving=posture.is_leaving,
            beat=self._beat,
            members=members,
        )

    def _on_heartbeat(self, event: HeartbeatReceived, now_s) -> list[object]:
        beat = event.heartbeat
        if event.sender in self._members:
            self._note(event.sender, beat.beat, beat.is_leaving, now_s)
            for member in beat.members:
                name = self._ids.get(member.name_hash)
                if name is not None:
                    self._note(name, member.beat, member.is_leaving, now_s)
        own = self._posture
        told = (beat.config_version, beat.withdrawn_keys)
        if told >= (own.config_version, own.withdrawn_keys):
            return []
        # The sender is behind: it hears at once who is ahead.
        return [SendHeartbeat((event.sender,), self._heartbeat(()))]

    def _note(self, name, beat: int, is_leaving: bool, now_s: float) -> None:
        """Takes a member's beat; leaving is final for an incarnation."""
        member = self._members[name]
        if beat < member.beat:
            return
        if beat > member.beat:
            if beat - member.beat >= _RESTART_STEP:
                member.is_leaving = False
            member.beat = beat
            member.advanced_s = now_s
        member.is_leaving = member.is_leaving or is_leaving
