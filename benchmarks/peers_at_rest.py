"""Measures a daemon at rest beside 30, 100 and 195 peers.

The daemon is a real process with a stand-in for the platform. The peers are
sockets of this process: each pings the daemon as often as `PingPlan` has it
pinged in a cluster of that size, and counts the bytes that the daemon sends.
One of them holds both duties, so the daemon has none, and one is the reader of
its failure domain.
"""

import asyncio
import os
import pathlib
import statistics
import sys
import time

import anyio
from absl import app, flags

from daisyhub.cluster import (
    CLUSTER_PROTOCOL,
    PING_INTERVAL_S,
    Ping,
    PingPlan,
)
from daisyhub.testing.fleet import Fleet

_SECONDS = flags.DEFINE_integer("seconds", 10, "Seconds of each measurement.")
_REPEATS = flags.DEFINE_integer("repeats", 3, "Measurements of each size.")
_SIZES = (30, 100, 195)
# Seconds until the daemon knows all peers.
_SETTLE_S = 12.0
_DOMAINS = ("z1", "z2", "z3", "z4", "z5")


class _Peer(asyncio.DatagramProtocol):
    """A peer that only receives; counts bytes."""

    received = 0

    def datagram_received(self, data, addr):
        _Peer.received += len(data)


class _Peers:
    """The peers of one daemon.

    Args:
        count: Their number.
        target: Address of the daemon.
    """

    def __init__(self, count: int, target: tuple[str, int]):
        self._names = [f"peer-{n:03}" for n in range(count)]
        self._target = target
        self._transports: dict[str, asyncio.DatagramTransport] = {}
        self._plans = {name: PingPlan() for name in self._names}
        self.sent = 0

    async def open(self) -> None:
        """Opens the peers' sockets."""
        loop = asyncio.get_running_loop()
        for name in self._names:
            self._transports[name], _ = await loop.create_datagram_endpoint(
                _Peer, local_addr=("127.0.0.1", 0)
            )

    def _address(self, name: str) -> str:
        ip, port = self._transports[name].get_extra_info("sockname")
        return f"{ip}:{port}"

    def _ping(self, name: str, number: int) -> bytes:
        is_holder = number == 0
        return CLUSTER_PROTOCOL.encode(
            CLUSTER_PROTOCOL.envelope(
                sender=name,
                incarnation=1,
                messages=(
                    Ping(
                        domain=_DOMAINS[number % len(_DOMAINS)],
                        address=self._address(name),
                        wall_s=time.time(),
                        speed=1.0,
                        reaches_store=True,
                        duties=(
                            {"rollouts": 9, "accounts": 9} if is_holder else {}
                        ),
                    ),
                ),
            )
        )

    def _send(self, name: str, number: int) -> None:
        data = self._ping(name, number)
        self.sent += len(data)
        self._transports[name].sendto(data, self._target)

    async def run(self) -> None:
        """Pings the daemon until cancelled."""
        for number, name in enumerate(self._names):
            self._send(name, number)
        cluster = [*self._names, "tested"]
        while True:
            for number, name in enumerate(self._names):
                others = [n for n in cluster if n != name]
                if "tested" in self._plans[name].choose(others, (), ()):
                    self._send(name, number)
            await anyio.sleep(PING_INTERVAL_S)


def _processor_s(pid: int) -> float:
    """Returns the processor time of a process, seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _measure(count: int) -> tuple[list[float], list[float]]:
    """Returns percents of a core and bytes a second, in repeats."""
    fleet = Fleet(daemons=1, servers=1)
    try:
        await fleet.start()
        name = fleet.daemon_names[0]
        pid = fleet.processes[name].pid
        peers = _Peers(count, ("127.0.0.1", fleet.ports[f"{name}/peer"]))
        await peers.open()
        shares, rates = [], []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peers.run)
            await anyio.sleep(_SETTLE_S)
            for _ in range(_REPEATS.value):
                before_s = _processor_s(pid)
                before_bytes = _Peer.received + peers.sent
                await anyio.sleep(_SECONDS.value)
                used_s = _processor_s(pid) - before_s
                moved = _Peer.received + peers.sent - before_bytes
                shares.append(100 * used_s / _SECONDS.value)
                rates.append(moved / _SECONDS.value)
            tasks.cancel_scope.cancel()
        return shares, rates
    finally:
        await fleet.http.aclose()
        fleet.stop()


async def _main() -> None:
    for count in _SIZES:
        shares, rates = await _measure(count)
        print(
            f"{count} peers: {statistics.median(shares):.2f}"
            f" ({min(shares):.2f} to {max(shares):.2f})% of a core,"
            f" {statistics.median(rates) / 1000:.1f} kB/s both ways"
            " (target 1.1%, 2 kB/s)"
        )


def _run(_: list[str]) -> int:
    anyio.run(_main)
    return 0


if __name__ == "__main__":
    sys.exit(app.run(_run))
