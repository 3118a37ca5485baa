"""Cost of the hop: processor time a request, daemon against direct calls.

Starts one daemon and one fake service on loopback, sends a bounded number of
requests over 1, 16 and 64 connections, and reads the processor time that each
process used from /proc. Also reports a daemon at rest.
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

_REQUESTS = 3000
_CONNECTIONS = (1, 16, 64)
_REST_S = 10.0
_MS = 1000


def _cpu_s(pid: int) -> float:
    fields = (
        pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()
    )
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _load(caller: Caller, connections: int, target: str) -> float:
    """Sends the requests; returns the seconds that it took."""
    left = _REQUESTS

    async def work() -> None:
        nonlocal left
        while left > 0:
            left -= 1
            answer = await caller.send("GET", target)
            if answer.status != 200:
                raise SystemExit(f"status {answer.status}")

    started_s = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(work)
    return time.monotonic() - started_s


async def _measure(name, caller, pid, target) -> None:
    await _load(caller, 4, target)
    for connections in _CONNECTIONS:
        before_s = _cpu_s(pid)
        took_s = await _load(caller, connections, target)
        cost_ms = (_cpu_s(pid) - before_s) / _REQUESTS * _MS
        rate = _REQUESTS / took_s
        print(
            f"{name:<16} {connections:>3} connections  {cost_ms:6.3f} ms"
            f" a request  {rate:7.0f} requests/s",
            flush=True,
        )


def _timing() -> dict[str, float]:
    """Returns the defaults of a deployment, not the fast ones of tests."""
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
        before_s = _cpu_s(pid)
        await anyio.sleep(_REST_S)
        share = (_cpu_s(pid) - before_s) / _REST_S * 100
        print(f"at rest: {share:.2f}% of a core, {_memory_mb(pid):.1f} MB")
    finally:
        deployment.stop()


if __name__ == "__main__":
    anyio.run(_main)
