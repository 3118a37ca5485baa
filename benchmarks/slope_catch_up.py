"""Counts configuration fetches of a daemon whose peers have a newer version.

Runs the real peer and configuration controllers with a fake network that counts
fetches and sent messages. Heartbeats with a higher version arrive 1 ms apart; a
fetch takes 50 ms.
"""

from collections.abc import Iterator

import anyio

from benchmarks.slope_peers import daemon_settings
from benchmarks.slope_tools import Slope, points
from daisyhub.accounting import RateShares, ShareCore, UsageCounters
from daisyhub.balancing import EndpointTable
from daisyhub.config import ConfigHead, split_sections
from daisyhub.controllers import ConfigController, PeerController
from daisyhub.identity import KeyTable
from daisyhub.peers import ConfigResponse, Envelope, Heartbeat

__all__ = ["catch_up_slopes"]

_PEER_COUNTS = (1, 3, 9, 27)
_HEARTBEAT_INTERVAL_S = 0.001
_FETCH_DURATION_S = 0.05
_SETTLE_S = 0.2
_FIRST_PORT = 10_000
_ROUTES = {"records": {"path_prefix": "/records", "pool": "records"}}
_POOLS = {"records": {"kind": "service"}}


class _CountingNetwork:
    """Counts messages, sends none and responds to fetches with version 2."""

    def __init__(self):
        self.sent = 0
        self.fetches = 0
        self.max_concurrent_fetches = 0
        self._open_fetches = 0

    def send(self, daemon_id: str, *messages) -> bool:
        del daemon_id, messages
        self.sent += 1
        return True

    async def call(self, daemon_id: str, content, timeout_s: float):
        del daemon_id, content, timeout_s
        self.fetches += 1
        self._open_fetches += 1
        self.max_concurrent_fetches = max(
            self.max_concurrent_fetches, self._open_fetches
        )
        await anyio.sleep(_FETCH_DURATION_S)
        self._open_fetches -= 1
        refs, contents = split_sections(
            {"routes": _ROUTES, "endpoint_pools": _POOLS}
        )
        head = ConfigHead(version=2, sections=refs)
        return ConfigResponse(head=head, contents=contents, withdrawn=())


async def _run(count: int) -> _CountingNetwork:
    """Returns the network after `count` peers have sent one heartbeat each."""
    peer_ports = {f"peer-{n}": _FIRST_PORT + n for n in range(count)}
    cfg = daemon_settings("behind", _FIRST_PORT - 1, peer_ports)
    network = _CountingNetwork()
    keys = KeyTable(cfg.key_hash_secret)
    config = ConfigController(None, network, keys)
    share_core = ShareCore(1, 1 + count, 6.0, 1.0, 0.0)
    peers = PeerController(
        cfg,
        1,
        network,
        config,
        EndpointTable(),
        UsageCounters("behind", 1, 60.0),
        RateShares(share_core, 0.0),
    )
    heartbeat = Heartbeat(incarnation=1, config_version=2, withdrawn_keys=0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(config.run)
        tasks.start_soon(peers.run)
        for name in peer_ports:
            envelope = Envelope(
                sender=name, incarnation=1, messages=(heartbeat,)
            )
            peers.receive(envelope, heartbeat)
            await anyio.sleep(_HEARTBEAT_INTERVAL_S)
        await anyio.sleep(_SETTLE_S)
        tasks.cancel_scope.cancel()
    if config.version != heartbeat.config_version:
        raise SystemExit(
            f"version {config.version} is active,"
            f" expected {heartbeat.config_version}"
        )
    return network


def catch_up_slopes() -> Iterator[Slope]:
    """Yields the fetches, their maximum concurrency and the sent messages."""
    for name, unit, field in (
        ("configuration fetches", "fetches", "fetches"),
        ("configuration fetches at once", "fetches", "max_concurrent_fetches"),
        ("messages sent while behind", "messages", "sent"),
    ):
        yield Slope(
            name=name,
            per="peer ahead",
            unit=unit,
            points=points(
                _PEER_COUNTS,
                lambda n, field=field: getattr(anyio.run(_run, n), field),
            ),
        )
