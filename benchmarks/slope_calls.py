"""Measures calls to the platform and orders and probes sent to engines.

Calls are sent one at a time with a pause after each, from this process to a
fake server in another process. The processor time is that of this process only.
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

_CALL_COUNTS = (10, 25, 50, 100)
_ENDPOINT_COUNTS = (10, 100, 325, 650)
_CALL_INTERVAL_S = 0.005
_REPEATS = 3
_MS_PER_S = 1000
_TIMEOUT_S = 5.0
_LOOPBACK = "127.0.0.1"
_ORDER = b'{"kind":"load_weights","version":%d,"fencing":1}'
_JSON = ((b"content-type", b"application/json"),)

Call = Callable[[], Awaitable[object]]


def _start_fake(module: str, *args: str) -> tuple[subprocess.Popen, Address]:
    """Starts a module of `daisyhub.testing` as a server on a free port."""
    port = free_ports(1)[0]
    command = ["-m", f"daisyhub.testing.{module}", f"--port={port}", *args]
    process = subprocess.Popen(
        [sys.executable, *command],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    return process, Address(ip=_LOOPBACK, port=port)


async def _wait_until_listening(http: HttpClient, address: Address) -> None:
    """Waits for a response; raises TimeoutError after 20 s."""
    with anyio.fail_after(20):
        while True:
            try:
                await http.request("GET", address, "/load", timeout_s=1.0)
            except RequestFailedError:
                await anyio.sleep(0.05)
                continue
            return


async def _cost_ms(call: Call, count: int) -> float:
    """Returns the processor time of `count` calls with pauses, milliseconds.

    An additional first call, which may open a connection, isn't measured.
    """
    await call()
    started_s = time.process_time()
    for _ in range(count):
        await call()
        await anyio.sleep(_CALL_INTERVAL_S)
    return (time.process_time() - started_s) * _MS_PER_S


async def _call_slope(name: str, call: Call) -> Slope:
    points = []
    for count in _CALL_COUNTS:
        costs = [await _cost_ms(call, count) for _ in range(_REPEATS)]
        points.append(Point.from_values(count, costs))
    return Slope(name=name, per="call", unit="ms", points=tuple(points))


async def _endpoint_list_slope(http: HttpClient, address: Address) -> Slope:
    client = PlatformClient(address, http, _TIMEOUT_S)
    points = []
    for count in _ENDPOINT_COUNTS:
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
        points.append(Point.from_values(count, costs))
    return Slope(
        name="endpoint list read",
        per="endpoint",
        unit="ms",
        points=tuple(points),
    )


def _encode(value: object) -> bytes:
    return msgspec.json.encode(value)


async def _do_nothing() -> None:
    """Does nothing, so that the cost of the pauses alone is measured."""


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
        await _wait_until_listening(http, platform_address)
        await _wait_until_listening(http, engine_address)
        return [
            await _call_slope("pauses alone", _do_nothing),
            await _call_slope("platform reads", read),
            await _call_slope("platform writes", write),
            await _call_slope("weight orders, new connection each", order),
            await _call_slope("probes of one endpoint", probe),
            await _endpoint_list_slope(http, platform_address),
        ]
    finally:
        await http.aclose()
        for process in (platform, engine):
            process.kill()
            process.wait()


def call_slopes() -> Iterator[Slope]:
    """Yields every slope of this module."""
    yield from anyio.run(_measure)
