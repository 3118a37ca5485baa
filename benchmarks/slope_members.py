"""Measures the heartbeats sent by the membership cores of a failure domain.

All cores of one domain run on a fake clock and every message is delivered
immediately. 16 other domains of the same size only receive heartbeats.
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

_MEMBER_COUNTS = (4, 9, 18, 28)
_QUIET_ENDPOINT_COUNTS = (10, 100, 325, 650)
_DOMAIN_COUNT = 17
_SETTLE_TICKS = 60
_TICKS = 60  # Ticks are one second apart.
_OWN_DOMAIN = "domain-00"
_INCARNATION = 1 << 50
_ADDRESS = Address(ip="127.0.0.1", port=10_000)
_US_PER_S = 1e6


@dataclasses.dataclass(slots=True)
class _Traffic:
    """Heartbeats of one daemon; only `received` counts incoming ones."""

    messages: int = 0
    size_bytes: int = 0
    largest_bytes: int = 0
    received: int = 0


def _daemon_id(domain: str, number: int) -> str:
    return f"daemon-{domain}-{number:02d}"


def _settings(name: str, all_peers: list[PeerSettings]) -> DaemonSettings:
    return DaemonSettings(
        daemon_id=name,
        failure_domain=_OWN_DOMAIN,
        callers_address=_ADDRESS,
        operators_address=_ADDRESS,
        peer_address=_ADDRESS,
        platform_address=_ADDRESS,
        key_hash_secret="5f" * 32,
        peers=tuple(peer for peer in all_peers if peer.daemon_id != name),
    )


class _Domain:
    """The cores of one domain and the traffic of each of them."""

    def __init__(self, count: int):
        all_peers = [
            PeerSettings(
                daemon_id=_daemon_id(domain, number),
                failure_domain=domain,
                address=_ADDRESS,
            )
            for domain in (f"domain-{n:02d}" for n in range(_DOMAIN_COUNT))
            for number in range(count)
        ]
        names = [_daemon_id(_OWN_DOMAIN, number) for number in range(count)]
        self.cores = {
            name: MembershipCore(_settings(name, all_peers), _INCARNATION)
            for name in names
        }
        self.traffic = {name: _Traffic() for name in names}
        self.processor_s = 0.0

    def run(self, first_tick: int, ticks: int) -> None:
        """Ticks every core once a second and delivers its heartbeats."""
        for now_s in range(first_tick, first_tick + ticks):
            for name in self.cores:
                self._feed(name, LocalStateChanged(7600, 300, "0" * 16), now_s)
                self._feed(name, MembershipTick(), now_s)

    def _feed(self, name: str, event: object, now_s: float) -> None:
        started_s = time.process_time()
        actions = self.cores[name].handle(event, now_s)
        self.processor_s += time.process_time() - started_s
        for action in actions:
            self._deliver(name, action, now_s)

    def _deliver(self, name: str, action: SendHeartbeat, now_s: float):
        envelope = Envelope(
            sender=name, incarnation=_INCARNATION, messages=(action.heartbeat,)
        )
        size_bytes = len(encode_envelope(envelope))
        traffic = self.traffic[name]
        for target in action.targets:
            traffic.messages += 1
            traffic.size_bytes += size_bytes
            traffic.largest_bytes = max(traffic.largest_bytes, size_bytes)
            if target in self.cores:
                self.traffic[target].received += 1
                event = HeartbeatReceived(name, action.heartbeat)
                self._feed(target, event, now_s)


def _measure(count: int) -> _Domain:
    domain = _Domain(count)
    domain.run(0, _SETTLE_TICKS)
    domain.traffic = {name: _Traffic() for name in domain.cores}
    domain.processor_s = 0.0
    domain.run(_SETTLE_TICKS, _TICKS)
    return domain


def _make_slope(domains: list[_Domain], name: str, unit: str, values) -> Slope:
    found = tuple(
        Point.from_values(len(domain.cores), values(domain))
        for domain in domains
    )
    return Slope(name=name, per="member", unit=unit, points=found)


def _per_second(domain: _Domain, field: str) -> list[float]:
    return [
        getattr(traffic, field) / _TICKS for traffic in domain.traffic.values()
    ]


class _FakePeerController:
    """Returns the live daemons in place of the peer controller."""

    def __init__(self, core: MembershipCore):
        self._core = core

    def live_peers(self) -> list[str]:
        return self._core.live_members(_SETTLE_TICKS)


def _assignment_us(endpoints: int) -> float:
    """Returns the microseconds to check which endpoints to probe.

    No endpoint is probed. All are quiet: they haven't responded recently.
    """
    domain = _Domain(_MEMBER_COUNTS[-1])
    domain.run(0, _SETTLE_TICKS)
    core = domain.cores[_daemon_id(_OWN_DOMAIN, 0)]
    controller = EndpointController(
        core.cfg, None, None, None, _FakePeerController(core), None
    )
    names = [f"engine-busan-{number:05d}" for number in range(endpoints)]

    def check_assignments() -> list[bool]:
        controller._update_live_daemons()
        return [controller._is_assigned_here(name) for name in names]

    check_assignments()  # Fills the cache, valid until the live set changes.
    return processor_us(check_assignments)


def member_slopes() -> Iterator[Slope]:
    """Yields messages, bytes and processor time of the membership cores.

    The lowest and highest values are those of single daemons. The highest
    numbers of sent messages belong to relays, the lowest to daemons that send
    only within their failure domain.
    """
    domains = [_measure(count) for count in _MEMBER_COUNTS]
    yield _make_slope(
        domains,
        "largest heartbeat, framing not included",
        "bytes",
        lambda d: [float(s.largest_bytes) for s in d.traffic.values()],
    )
    yield _make_slope(
        domains,
        "heartbeats sent by a daemon",
        "1/s",
        lambda d: _per_second(d, "messages"),
    )
    yield _make_slope(
        domains,
        "heartbeats heard from the own domain",
        "1/s",
        lambda d: _per_second(d, "received"),
    )
    yield _make_slope(
        domains,
        "heartbeats sent by a daemon, framing not included",
        "bytes/s",
        lambda d: _per_second(d, "size_bytes"),
    )
    yield _make_slope(
        domains,
        "membership core, mean of the daemons",
        "us/s",
        lambda d: [d.processor_s / _TICKS / len(d.cores) * _US_PER_S],
    )
    yield Slope(
        name="quiet endpoints asked for their watcher, 28 daemons",
        per="endpoint",
        unit="us",
        points=points(_QUIET_ENDPOINT_COUNTS, _assignment_us),
    )
