"""Compares the processor time per request with and without the daemon.

Starts one daemon and one fake service on loopback, sends a fixed number of
requests over 1, 16 and 64 connections, once through the daemon and once
directly to the service, and reads the processor time of the receiving process
from /proc. Also reports the processor time and memory of an idle daemon. Run
with `python -m benchmarks.hop`.
"""

import dataclasses
import os
import pathlib
import time

import anyio

from daisyhub.config import ConfigStore
from daisyhub.hosting import PlatformClient
from daisyhub.settings import TimingSettings
from daisyhub.testing.caller import Caller
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment

_REQUEST_COUNT = 3000
_CONNECTION_COUNTS = (1, 16, 64)
_IDLE_S = 10.0
_MS_PER_S = 1000


def _processor_s(pid: int) -> float:
    """Returns the processor time of a process, seconds."""
    fields = (
        pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()
    )
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MiB, or 0 if unknown."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _send_load(caller: Caller, connections: int, target: str) -> float:
    """Sends all requests and returns the elapsed seconds."""
    remaining = _REQUEST_COUNT

    async def send_requests() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            response = await caller.send("GET", target)
            if response.status != 200:
                raise SystemExit(
                    f"GET {target} returned status {response.status}"
                )

    started_s = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(send_requests)
    return time.monotonic() - started_s


async def _measure(name, caller, pid, target) -> None:
    """Prints a line per number of connections for the process `pid`."""
    await _send_load(caller, 4, target)  # Warm-up.
    for connections in _CONNECTION_COUNTS:
        before_s = _processor_s(pid)
        elapsed_s = await _send_load(caller, connections, target)
        cost_ms = (_processor_s(pid) - before_s) / _REQUEST_COUNT * _MS_PER_S
        rate = _REQUEST_COUNT / elapsed_s
        print(
            f"{name:<16} {connections:>3} connections  {cost_ms:6.3f} ms"
            f" a request  {rate:7.0f} requests/s",
            flush=True,
        )


def _timing() -> dict[str, float]:
    """Returns the default timings instead of the short ones used in tests."""
    return dataclasses.asdict(TimingSettings())


async def _main() -> None:
    keys = DemoKeys.make()
    deployment = Deployment(("busan",), 1, 1, 1, _timing())
    try:
        await deployment.start()
        document = demo_document(keys)
        document["routes"]["records"].pop("hedge_after_s")
        http = Caller(deployment.platform.address).http
        store = ConfigStore(
            PlatformClient(deployment.platform.address, http, 5.0)
        )
        head = await store.apply(
            document, base_version=0, author="b", team="b", at_s=0.0
        )
        await deployment.wait_for_version(head.version)
        await anyio.sleep(3.0)
        daemon = deployment.daemons()[0]
        service = deployment.services()[0]
        caller = Caller(daemon.address, DemoKeys.text(keys.yard))
        await _measure("through daemon", caller, daemon.popen.pid, "/records/1")
        direct = Caller(service.address)
        await _measure(
            "direct service", direct, service.popen.pid, "/records/1"
        )
        pid = daemon.popen.pid
        before_s = _processor_s(pid)
        await anyio.sleep(_IDLE_S)
        percent = (_processor_s(pid) - before_s) / _IDLE_S * 100
        print(f"at rest: {percent:.2f}% of a core, {_memory_mb(pid):.1f} MB")
    finally:
        deployment.stop()


if __name__ == "__main__":
    anyio.run(_main)
