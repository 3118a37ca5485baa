"""Measures idle cost and configuration propagation of real daemons.

All deployments run concurrently with the default timings. Their daemons serve
no requests and do only periodic work.
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

_DAEMON_COUNTS = (1, 2, 4, 8, 16, 24)
_PROPAGATION_REPEATS = 7
_SETTLE_S = 5.0
_IDLE_S = 20.0
_PROBED_ENDPOINTS = (0, 25, 50, 100)
_PROBE_SETTLE_S = 6.0
# All endpoints are probed at once, every 5 to 6 s; a run covers several bursts.
_PROBE_RUN_S = 30.0
_PERCENT = 100
_MS_PER_S = 1000
_KB_PER_MB = 1024


def _processor_s(process: Process) -> float:
    """Returns the processor time of a process, seconds."""
    text = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(process: Process) -> float:
    text = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / _KB_PER_MB
    raise SystemExit("/proc/<pid>/status has no VmRSS line")


class _Fleet:
    """A deployment with `count` daemons in one failure domain."""

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
        await self.apply_change()

    async def apply_change(self) -> float:
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


async def _measure_idle(fleets: list[_Fleet]) -> tuple[Slope, Slope]:
    before = {p.popen.pid: _processor_s(p) for f in fleets for p in f.daemons}
    await anyio.sleep(_IDLE_S)
    processor_points, memory_points = [], []
    for fleet in fleets:
        percent = [
            (_processor_s(p) - before[p.popen.pid]) / _IDLE_S * _PERCENT
            for p in fleet.daemons
        ]
        processor_points.append(Point.from_values(fleet.count, percent))
        memory_mb = [_memory_mb(p) for p in fleet.daemons]
        memory_points.append(Point.from_values(fleet.count, memory_mb))
    name = "daemon at rest, {}, spread over daemons".format
    return (
        _daemon_slope(name("processor"), "% of a core", processor_points),
        _daemon_slope(name("resident memory"), "MB", memory_points),
    )


def _daemon_slope(name: str, unit: str, points: list[Point]) -> Slope:
    return Slope(name=name, per="daemon", unit=unit, points=tuple(points))


async def _measure_propagation(fleets: list[_Fleet]) -> Slope:
    """Measures all fleets but the first, whose single daemon has no peers."""
    points = []
    for fleet in fleets[1:]:
        times_ms = [
            await fleet.apply_change() * _MS_PER_S
            for _ in range(_PROPAGATION_REPEATS)
        ]
        points.append(Point.from_values(fleet.count, times_ms))
    return _daemon_slope("configuration in force everywhere", "ms wall", points)


async def _measure_probing(fleet: _Fleet) -> Slope:
    """Measures one daemon probing endpoints that are all one fake engine."""
    engine = fleet.deployment.engines()[0].address
    daemon = fleet.daemons[0]
    caller = Caller(fleet.deployment.platform.address)
    points = []
    for count in _PROBED_ENDPOINTS:
        records = [
            msgspec.structs.replace(record, ip=engine.ip, port=engine.port)
            for record in endpoint_records(count)
        ]
        value = msgspec.to_builtins(records)
        await caller.send("PUT", "/admin/endpoints/busan", value)
        await anyio.sleep(_PROBE_SETTLE_S)
        percents = []
        for _ in range(2):
            before_s = _processor_s(daemon)
            await anyio.sleep(_PROBE_RUN_S / 2)
            processor_s = _processor_s(daemon) - before_s
            percents.append(processor_s / (_PROBE_RUN_S / 2) * _PERCENT)
        points.append(Point.from_values(count, percents))
    await caller.aclose()
    return Slope(
        name="one daemon that watches endpoints",
        per="endpoint",
        unit="% of a core",
        points=tuple(points),
    )


async def _measure() -> list[Slope]:
    fleets = [_Fleet(count) for count in _DAEMON_COUNTS]
    try:
        for fleet in fleets:
            await fleet.start()
        await anyio.sleep(_SETTLE_S)
        idle = await _measure_idle(fleets)
        propagation = await _measure_propagation(fleets)
        probing = await _measure_probing(fleets[0])
        return [*idle, propagation, probing]
    finally:
        for fleet in fleets:
            fleet.deployment.stop()


def daemon_slopes() -> Iterator[Slope]:
    """Yields every slope of this module."""
    yield from anyio.run(_measure)
