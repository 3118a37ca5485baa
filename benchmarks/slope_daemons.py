"""Real daemons: processor time and memory at rest, spread of configuration.

All deployments run side by side with the default times; their daemons are
idle but for what the daemons do by themselves.
"""

import dataclasses
import os
import pathlib
import time
from collections.abc import Iterator

import anyio
import msgspec

from benchmarks.slope_tables import endpoint_records
from benchmarks.slope_tools import Point, Slope
from daisyhub.config import ConfigStore
from daisyhub.hosting import PlatformClient
from daisyhub.settings import TimingSettings
from daisyhub.testing.caller import Caller
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment, Process

__all__ = ["daemon_slopes"]

_DAEMONS = (1, 2, 4, 8, 16, 24)
_SPREAD_REPEATS = 7
_SETTLE_S = 5.0
_REST_S = 20.0
_PROBED = (0, 25, 50, 100)
_PROBE_SETTLE_S = 6.0
# Endpoints are probed together, in bursts 5 to 6 s apart.
_PROBE_REST_S = 30.0
_PERCENT = 100
_MS = 1000
_KB_PER_MB = 1024


def _processor_s(process: Process) -> float:
    text = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(process: Process) -> float:
    text = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / _KB_PER_MB
    raise SystemExit("the process told no memory")


class _Fleet:
    """One deployment with `count` daemons in one failure domain."""

    def __init__(self, count: int):
        self.count = count
        timing = dataclasses.asdict(TimingSettings())
        self.deployment = Deployment(("busan",), count, 1, 1, timing)
        self._document = demo_document(DemoKeys.make())
        self._version = 0

    @property
    def daemons(self) -> list[Process]:
        return self.deployment.daemons()

    async def start(self) -> None:
        await self.deployment.start()
        await self.change()

    async def change(self) -> float:
        """Applies a change; returns the seconds until all daemons have it."""
        address = self.deployment.platform.address
        http = Caller(address).http
        store = ConfigStore(PlatformClient(address, http, 5.0))
        account = self._document["client_accounts"]["yard"]
        account["weight"] = account["weight"] % 1000 + 1
        started_s = time.monotonic()
        head = await store.apply(
            self._document,
            base_version=self._version,
            author="b",
            team="b",
            at_s=0.0,
        )
        self._version = head.version
        await self.deployment.wait_for_version(head.version)
        await http.aclose()
        return time.monotonic() - started_s


async def _at_rest(fleets: list[_Fleet]) -> tuple[Slope, Slope]:
    before = {p.popen.pid: _processor_s(p) for f in fleets for p in f.daemons}
    await anyio.sleep(_REST_S)
    shares, sizes = [], []
    for fleet in fleets:
        percent = [
            (_processor_s(p) - before[p.popen.pid]) / _REST_S * _PERCENT
            for p in fleet.daemons
        ]
        shares.append(Point.of(fleet.count, percent))
        memory = [_memory_mb(p) for p in fleet.daemons]
        sizes.append(Point.of(fleet.count, memory))
    name = "daemon at rest, {}, spread over daemons".format
    return (
        _of_daemons(name("processor"), "% of a core", shares),
        _of_daemons(name("resident memory"), "MB", sizes),
    )


def _of_daemons(name: str, unit: str, found: list[Point]) -> Slope:
    return Slope(name=name, per="daemon", unit=unit, points=tuple(found))


async def _spread(fleets: list[_Fleet]) -> Slope:
    found = []
    for fleet in fleets[1:]:
        times_ms = [await fleet.change() * _MS for _ in range(_SPREAD_REPEATS)]
        found.append(Point.of(fleet.count, times_ms))
    return _of_daemons("configuration in force everywhere", "ms wall", found)


async def _probing(fleet: _Fleet) -> Slope:
    """One daemon probes listed endpoints that are all one fake engine."""
    engine = fleet.deployment.engines()[0].address
    daemon = fleet.daemons[0]
    caller = Caller(fleet.deployment.platform.address)
    found = []
    for count in _PROBED:
        records = [
            msgspec.structs.replace(record, ip=engine.ip, port=engine.port)
            for record in endpoint_records(count)
        ]
        value = msgspec.to_builtins(records)
        await caller.send("PUT", "/admin/endpoints/busan", value)
        await anyio.sleep(_PROBE_SETTLE_S)
        shares = []
        for _ in range(2):
            before_s = _processor_s(daemon)
            await anyio.sleep(_PROBE_REST_S / 2)
            used_s = _processor_s(daemon) - before_s
            shares.append(used_s / (_PROBE_REST_S / 2) * _PERCENT)
        found.append(Point.of(count, shares))
    await caller.aclose()
    return Slope(
        name="one daemon that watches endpoints",
        per="endpoint",
        unit="% of a core",
        points=tuple(found),
    )


async def _measure() -> list[Slope]:
    fleets = [_Fleet(count) for count in _DAEMONS]
    try:
        for fleet in fleets:
            await fleet.start()
        await anyio.sleep(_SETTLE_S)
        rest = await _at_rest(fleets)
        spread = await _spread(fleets)
        probing = await _probing(fleets[0])
        return [*rest, spread, probing]
    finally:
        for fleet in fleets:
            fleet.deployment.stop()


def daemon_slopes() -> Iterator[Slope]:
    """Yields every slope of this module."""
    yield from anyio.run(_measure)
