"""Cost of calls to the platform and of orders to engines, as they are paced.

The calls go one at a time with a pause between them, from this process to a
fake in another one. The processor time is that of the caller alone.
"""

import subprocess
import sys
import time
import uuid
from collections.abc import Awaitable, Callable, Iterator

import anyio
import msgspec

from benchmarks.slope_ports import free_ports
from benchmarks.slope_tables import endpoint_records
from benchmarks.slope_tools import Point, Slope
from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.hosting import PlatformClient
from daisyhub.settings import Address

__all__ = ["call_slopes"]

_CALLS = (10, 25, 50, 100)
_ENDPOINTS = (10, 100, 325, 650)
_PAUSE_S = 0.005
_REPEATS = 3
_MS = 1000
_TIMEOUT_S = 5.0
_LOOPBACK = "127.0.0.1"
_ORDER = b'{"kind":"load_weights","version":%d,"fencing":1}'
_JSON = ((b"content-type", b"application/json"),)

Call = Callable[[], Awaitable[object]]


def _start_fake(module: str, *args: str) -> tuple[subprocess.Popen, Address]:
    port = free_ports(1)[0]
    command = ["-m", f"daisyhub.testing.{module}", f"--port={port}", *args]
    process = subprocess.Popen(
        [sys.executable, *command],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    return process, Address(ip=_LOOPBACK, port=port)


async def _wait_until_up(http: HttpClient, address: Address) -> None:
    with anyio.fail_after(20):
        while True:
            try:
                await http.request("GET", address, "/load", timeout_s=1.0)
            except RequestFailedError:
                await anyio.sleep(0.05)
                continue
            return


async def _cost_ms(call: Call, count: int) -> float:
    """Returns the processor time of `count` paced calls."""
    await call()
    started_s = time.process_time()
    for _ in range(count):
        await call()
        await anyio.sleep(_PAUSE_S)
    return (time.process_time() - started_s) * _MS


async def _slope(name: str, call: Call) -> Slope:
    found = []
    for count in _CALLS:
        costs = [await _cost_ms(call, count) for _ in range(_REPEATS)]
        found.append(Point.of(count, costs))
    return Slope(name=name, per="call", unit="ms", points=tuple(found))


async def _list_slope(http: HttpClient, address: Address) -> Slope:
    client = PlatformClient(address, http, _TIMEOUT_S)
    found = []
    for count in _ENDPOINTS:
        records = endpoint_records(count)
        await http.request(
            "PUT",
            address,
            "/admin/endpoints/busan",
            body=_encode(records),
            timeout_s=_TIMEOUT_S,
        )

        async def read() -> None:
            await client.list_endpoints("busan")

        costs = [await _cost_ms(read, 30) / 30 for _ in range(_REPEATS)]
        found.append(Point.of(count, costs))
    return Slope(
        name="endpoint list read",
        per="endpoint",
        unit="ms",
        points=tuple(found),
    )


def _encode(value: object) -> bytes:
    return msgspec.json.encode(value)


async def _nothing() -> None:
    """Costs only the pause between calls."""


async def _measure() -> list[Slope]:
    platform, platform_address = _start_fake("fake_platform")
    engine, engine_address = _start_fake("fake_engine", "--swap_s=0")
    http = HttpClient(connect_timeout_s=2.0, idle_s=30.0)
    client = PlatformClient(platform_address, http, _TIMEOUT_S)
    versions = iter(range(1, 1_000_000))

    async def read() -> None:
        await client.get("leases/none")

    async def write() -> None:
        await client.put(
            f"usage/{next(versions)}",
            {"holder": "daemon", "fencing": 1, "term_s": 6.0},
            expected_version=0,
            write_id=uuid.uuid4().hex,
        )

    async def order() -> None:
        await http.request(
            "POST",
            engine_address,
            "/orders",
            headers=_JSON,
            body=_ORDER % next(versions),
            timeout_s=_TIMEOUT_S,
            fresh=True,
        )

    async def probe() -> None:
        await http.request("GET", engine_address, "/load", timeout_s=_TIMEOUT_S)

    try:
        await _wait_until_up(http, platform_address)
        await _wait_until_up(http, engine_address)
        return [
            await _slope("pauses alone", _nothing),
            await _slope("platform reads", read),
            await _slope("platform writes", write),
            await _slope("weight orders, new connection each", order),
            await _slope("probes of one endpoint", probe),
            await _list_slope(http, platform_address),
        ]
    finally:
        await http.aclose()
        for process in (platform, engine):
            process.kill()
            process.wait()


def call_slopes() -> Iterator[Slope]:
    """Yields every slope of this module."""
    yield from anyio.run(_measure)
