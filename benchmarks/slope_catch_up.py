"""A daemon that is behind: fetches and messages by peers that are ahead.

The real peer controller around a network and a configuration that only count.
Heartbeats with a higher version come one millisecond apart; a fetch takes
50 ms.
"""

from collections.abc import Iterator

import anyio

from benchmarks.slope_peers import daemon_settings
from benchmarks.slope_tools import Slope, points
from daisyhub.accounting import UsageCounters
from daisyhub.balancing import EndpointTable
from daisyhub.controllers import PeerController
from daisyhub.identity import KeyTable
from daisyhub.peers import Envelope, Heartbeat

__all__ = ["catch_up_slopes"]

_PEERS = (1, 3, 9, 27)
_APART_S = 0.001
_FETCH_S = 0.05
_REST_S = 0.2
_FIRST_PORT = 10_000


class _Network:
    """Counts messages and sends none."""

    def __init__(self):
        self.sent = 0

    def send(self, daemon_id: str, *messages) -> bool:
        del daemon_id, messages
        self.sent += 1
        return True


class _Config:
    """Has version 1, and version 2 after the first fetch."""

    def __init__(self):
        self.version = 1
        self.open = 0
        self.most_open = 0

    async def fetch_from_peer(self, daemon_id: str) -> None:
        del daemon_id
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        await anyio.sleep(_FETCH_S)
        self.open -= 1
        self.version = 2


async def _run(count: int) -> tuple[_Config, _Network]:
    names = {f"peer-{n}": _FIRST_PORT + n for n in range(count)}
    cfg = daemon_settings("behind", _FIRST_PORT - 1, names)
    config, network = _Config(), _Network()
    peers = PeerController(
        cfg,
        1,
        network,
        config,
        KeyTable(cfg.key_hash_secret),
        EndpointTable(),
        UsageCounters("behind", 1, 60.0),
    )
    beat = Heartbeat(incarnation=1, config_version=2, withdrawn_keys=0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(peers.run)
        for name in names:
            envelope = Envelope(sender=name, incarnation=1, messages=(beat,))
            peers.receive(envelope, beat)
            await anyio.sleep(_APART_S)
        await anyio.sleep(_REST_S)
        tasks.cancel_scope.cancel()
    return config, network


def catch_up_slopes() -> Iterator[Slope]:
    """Yields fetches in flight at once, and messages sent meanwhile."""
    yield Slope(
        name="configuration fetches at once",
        per="peer ahead",
        unit="fetches",
        points=points(_PEERS, lambda n: anyio.run(_run, n)[0].most_open),
    )
    yield Slope(
        name="messages sent while behind",
        per="peer ahead",
        unit="messages",
        points=points(_PEERS, lambda n: anyio.run(_run, n)[1].sent),
    )
