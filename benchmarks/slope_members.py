"""Heartbeats that a failure domain's membership cores decide to send.

All cores of one domain run on a fake clock, each message is delivered at
once, and 16 other domains of the same size only receive.
"""

import dataclasses
import time
from collections.abc import Iterator

from benchmarks.slope_tools import Point, Slope, points, processor_us
from daisyhub.controllers import EndpointController
from daisyhub.peers import (
    Envelope,
    HeartbeatReceived,
    LocalStateChanged,
    MembershipCore,
    MembershipTick,
    SendHeartbeat,
    encode_envelope,
)
from daisyhub.settings import Address, DaemonSettings, PeerSettings

__all__ = ["member_slopes"]

_MEMBERS = (4, 9, 18, 28)
_QUIET = (10, 100, 325, 650)
_DOMAINS = 17
_SETTLE_TICKS = 60
_TICKS = 60
_OWN = "domain-00"
_INCARNATION = 1 << 50
_ADDRESS = Address(ip="127.0.0.1", port=10_000)
_US_PER_S = 1e6


@dataclasses.dataclass(slots=True)
class _Sent:
    messages: int = 0
    size_bytes: int = 0
    largest_bytes: int = 0
    heard: int = 0


def _name(domain: str, number: int) -> str:
    return f"daemon-{domain}-{number:02d}"


def _settings(name: str, everyone: list[PeerSettings]) -> DaemonSettings:
    return DaemonSettings(
        daemon_id=name,
        failure_domain=_OWN,
        callers_address=_ADDRESS,
        operators_address=_ADDRESS,
        peer_address=_ADDRESS,
        platform_address=_ADDRESS,
        key_hash_secret="5f" * 32,
        peers=tuple(peer for peer in everyone if peer.daemon_id != name),
    )


class _Domain:
    """The cores of one domain, and what each of them sends."""

    def __init__(self, count: int):
        everyone = [
            PeerSettings(
                daemon_id=_name(domain, number),
                failure_domain=domain,
                address=_ADDRESS,
            )
            for domain in (f"domain-{n:02d}" for n in range(_DOMAINS))
            for number in range(count)
        ]
        names = [_name(_OWN, number) for number in range(count)]
        self.cores = {
            name: MembershipCore(_settings(name, everyone), _INCARNATION)
            for name in names
        }
        self.sent = {name: _Sent() for name in names}
        self.used_s = 0.0

    def run(self, first_tick: int, ticks: int) -> None:
        """Ticks every core once a second and delivers what it sends."""
        for now_s in range(first_tick, first_tick + ticks):
            for name in self.cores:
                self._feed(name, LocalStateChanged(7600, 300, "0" * 16), now_s)
                self._feed(name, MembershipTick(), now_s)

    def _feed(self, name: str, event: object, now_s: float) -> None:
        started_s = time.process_time()
        actions = self.cores[name].handle(event, now_s)
        self.used_s += time.process_time() - started_s
        for action in actions:
            self._deliver(name, action, now_s)

    def _deliver(self, name: str, action: SendHeartbeat, now_s: float):
        envelope = Envelope(
            sender=name, incarnation=_INCARNATION, messages=(action.heartbeat,)
        )
        size_bytes = len(encode_envelope(envelope))
        sent = self.sent[name]
        for target in action.targets:
            sent.messages += 1
            sent.size_bytes += size_bytes
            sent.largest_bytes = max(sent.largest_bytes, size_bytes)
            if target in self.cores:
                self.sent[target].heard += 1
                heard = HeartbeatReceived(name, action.heartbeat)
                self._feed(target, heard, now_s)


def _measure(count: int) -> _Domain:
    domain = _Domain(count)
    domain.run(0, _SETTLE_TICKS)
    domain.sent = {name: _Sent() for name in domain.cores}
    domain.used_s = 0.0
    domain.run(_SETTLE_TICKS, _TICKS)
    return domain


def _of(domains: list[_Domain], name: str, unit: str, values) -> Slope:
    found = tuple(
        Point.of(len(domain.cores), values(domain)) for domain in domains
    )
    return Slope(name=name, per="member", unit=unit, points=found)


def _each(domain: _Domain, field: str) -> list[float]:
    return [getattr(sent, field) / _TICKS for sent in domain.sent.values()]


class _Peers:
    """Tells the live daemons as the peer controller does."""

    def __init__(self, core: MembershipCore):
        self._core = core

    def live_peers(self) -> list[str]:
        return self._core.live_members(_SETTLE_TICKS)


def _watched_us(endpoints: int) -> float:
    """Cost of one look at quiet endpoints, without any probe."""
    domain = _Domain(_MEMBERS[-1])
    domain.run(0, _SETTLE_TICKS)
    core = domain.cores[_name(_OWN, 0)]
    controller = EndpointController(
        core.cfg, None, None, None, _Peers(core), None
    )
    names = [f"engine-busan-{number:05d}" for number in range(endpoints)]

    def look() -> list[bool]:
        controller._update_live_daemons()
        return [controller._is_assigned_here(name) for name in names]

    look()  # Ranks the watchers, which is kept until the live set changes.
    return processor_us(look)


def member_slopes() -> Iterator[Slope]:
    """Yields messages, bytes and processor time of the membership cores.

    The lowest and highest values are over the daemons: the highest sent is a
    relay's, the lowest that of a daemon that only talks to its domain.
    """
    domains = [_measure(count) for count in _MEMBERS]
    yield _of(
        domains,
        "largest heartbeat, framing not included",
        "bytes",
        lambda d: [float(s.largest_bytes) for s in d.sent.values()],
    )
    yield _of(
        domains,
        "heartbeats sent by a daemon",
        "1/s",
        lambda d: _each(d, "messages"),
    )
    yield _of(
        domains,
        "heartbeats heard from the own domain",
        "1/s",
        lambda d: _each(d, "heard"),
    )
    yield _of(
        domains,
        "heartbeats sent by a daemon, framing not included",
        "bytes/s",
        lambda d: _each(d, "size_bytes"),
    )
    yield _of(
        domains,
        "membership core, mean of the daemons",
        "us/s",
        lambda d: [d.used_s / _TICKS / len(d.cores) * _US_PER_S],
    )
    yield Slope(
        name="quiet endpoints asked for their watcher, 28 daemons",
        per="endpoint",
        unit="us",
        points=points(_QUIET, _watched_us),
    )
