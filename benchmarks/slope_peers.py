"""Measures messages between daemons over real sockets, by number of peers.

Each size has two processes: one runs the peer network under test, the other
the networks of all its peers. Each side sends a heartbeat to the other at
every tick. The peers' heartbeats are spread evenly over the tick, as with
daemons that started at different times. The process under test reports its own
processor time, which includes the I/O thread.
"""

import json
import subprocess
import sys
import time
from collections.abc import Iterator

import anyio

from benchmarks.slope_ports import free_ports
from benchmarks.slope_tools import Point, Slope
from daisyhub.peers import Heartbeat, MemberBeat, PeerNetwork
from daisyhub.settings import Address, DaemonSettings, PeerSettings

__all__ = ["daemon_settings", "peer_slopes"]

_PEER_COUNTS = (1, 3, 9, 27)
_REPEATS = 3
_TICK_S = 0.5
_SETTLE_S = 1.5
_MEASUREMENT_S = 5.0
_MS_PER_S = 1000
_TESTED = "tested"
_LOOPBACK = "127.0.0.1"
_INCARNATION = 1 << 50
_MEMBERS = tuple(MemberBeat((1 << 31) + n, _INCARNATION) for n in range(27))


def _address(port: int) -> Address:
    return Address(ip=_LOOPBACK, port=port)


def daemon_settings(
    name: str, port: int, peers: dict[str, int]
) -> DaemonSettings:
    """Returns settings of a loopback daemon; `peers` maps ids to ports."""
    return DaemonSettings(
        daemon_id=name,
        failure_domain="busan",
        callers_address=_address(port),
        operators_address=_address(port),
        peer_address=_address(port),
        platform_address=_address(port),
        key_hash_secret="5f" * 32,
        peers=tuple(
            PeerSettings(
                daemon_id=peer,
                failure_domain="busan",
                address=_address(peer_port),
            )
            for peer, peer_port in peers.items()
        ),
    )


async def _send_heartbeats(
    network: PeerNetwork, peers: list[str], offset_s: float
):
    await anyio.sleep(offset_s)
    beat = Heartbeat(
        incarnation=_INCARNATION,
        config_version=7600,
        withdrawn_keys=300,
        withdrawn_digest="0" * 16,
        beat=_INCARNATION,
        members=_MEMBERS,
    )
    while True:
        for peer in peers:
            network.send(peer, beat)
        await anyio.sleep(_TICK_S)


async def _run_daemon_under_test(ports: list[int]) -> None:
    """Prints a JSON list of the milliseconds per tick and the received share.

    The time is the processor time of this process. The share is that of the
    expected heartbeats.
    """
    peers = {f"peer-{n}": port for n, port in enumerate(ports[1:])}
    network = PeerNetwork(daemon_settings(_TESTED, ports[0], peers), 1)
    received_count = 0

    def receive(envelope, message) -> None:
        nonlocal received_count
        received_count += 1

    network.add_receiver(receive)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(network.run)
        tasks.start_soon(_send_heartbeats, network, list(peers), 0.0)
        await anyio.sleep(_SETTLE_S)
        received_count = 0
        started_s = time.process_time()
        await anyio.sleep(_MEASUREMENT_S)
        processor_s = time.process_time() - started_s
        expected = len(peers) * _MEASUREMENT_S / _TICK_S
        print(
            json.dumps(
                [
                    processor_s / _MEASUREMENT_S * _TICK_S * _MS_PER_S,
                    received_count / expected,
                ]
            )
        )
        tasks.cancel_scope.cancel()
    network.close()


async def _run_peers(ports: list[int]) -> None:
    count = len(ports) - 1
    async with anyio.create_task_group() as tasks:
        for number, port in enumerate(ports[1:]):
            cfg = daemon_settings(f"peer-{number}", port, {_TESTED: ports[0]})
            network = PeerNetwork(cfg, 1)
            tasks.start_soon(network.run)
            offset_s = _TICK_S * number / count
            tasks.start_soon(_send_heartbeats, network, [_TESTED], offset_s)
        await anyio.sleep_forever()


def _start(role: str, ports: list[int]) -> subprocess.Popen:
    command = [sys.executable, "-m", "benchmarks.slope_peers", role]
    return subprocess.Popen(
        [*command, json.dumps(ports)], stdout=subprocess.PIPE
    )


def _measure_once() -> list[float]:
    """Returns the milliseconds per tick at every size, measured concurrently.

    Raises:
        SystemExit: Less than 0.9 of the heartbeats were received.
    """
    tested_processes, peer_processes = [], []
    try:
        for count in _PEER_COUNTS:
            ports = free_ports(count + 1)
            peer_processes.append(_start("peers", ports))
            tested_processes.append(_start(_TESTED, ports))
        outputs = [process.communicate()[0] for process in tested_processes]
    finally:
        for process in peer_processes:
            process.kill()
            process.communicate()
    costs = []
    for output in outputs:
        cost_ms, received_share = json.loads(output)
        if received_share < 0.9:
            raise SystemExit(
                f"only {received_share:.2f} of the heartbeats were received,"
                " expected at least 0.90"
            )
        costs.append(cost_ms)
    return costs


def peer_slopes() -> Iterator[Slope]:
    """Yields the cost of one tick as a function of the number of peers."""
    runs = [_measure_once() for _ in range(_REPEATS)]
    yield Slope(
        name="peer tick, a message to and from each peer",
        per="peer",
        unit="ms",
        points=tuple(
            Point.from_values(count, [run[index] for run in runs])
            for index, count in enumerate(_PEER_COUNTS)
        ),
    )


def main() -> None:
    """Runs a process in the role given on the command line."""
    run = _run_daemon_under_test if sys.argv[1] == _TESTED else _run_peers
    anyio.run(run, json.loads(sys.argv[2]))


if __name__ == "__main__":
    main()
