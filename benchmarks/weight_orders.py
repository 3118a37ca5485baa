"""Processor time of weight orders, for the core alone and with HTTP.

Run with `python -m benchmarks.weight_orders`.
"""

import statistics
import time

import anyio
import msgspec

from daisyhub.connections import HttpClient
from daisyhub.controllers._weights import WeightOrder
from daisyhub.rollouts import (
    EnginesListed,
    EngineView,
    OrderCompleted,
    RolloutPolicy,
    VersionPublished,
    WeightCore,
    WeightTick,
)
from daisyhub.testing.processes import Deployment

ENGINES = 650
AT_ONCE = (8, 64, 650)
HTTP_ORDERS = 100
RUNS = 3
_US = 1_000_000


def measure_core_us(max_concurrent_loads: int) -> float:
    """Returns the core's microseconds for each order of one roll-out."""
    core = WeightCore(2.0)
    engines = tuple(
        EngineView(f"engine-{number:04}", "model", 1, 0)
        for number in range(ENGINES)
    )
    start_s = time.process_time()
    core.handle(VersionPublished("model", 1), 0.0)
    rules = {"model": RolloutPolicy(max_concurrent_loads, True)}
    core.handle(EnginesListed(engines, rules), 0.0)
    orders = core.handle(WeightTick(True), 0.0)
    sent = 0
    while orders:
        order = orders.pop()
        sent += 1
        orders += core.handle(OrderCompleted(order.attempt), 0.0)
    assert sent == ENGINES
    return (time.process_time() - start_s) * _US / sent


async def measure_http_us(*, fresh: bool) -> float:
    """Returns this process's microseconds for each order sent."""
    deployment = Deployment(("x",), 0, 1, 0)
    http = HttpClient(connect_timeout_s=1.0, idle_s=15.0)
    try:
        await deployment.start()
        address = deployment.engines()[0].address
        start_s = time.process_time()
        for number in range(HTTP_ORDERS):
            order = WeightOrder(kind="load_weights", version=0, fencing=number)
            await http.request(
                "POST",
                address,
                "/orders",
                body=msgspec.json.encode(order),
                timeout_s=10.0,
                fresh=fresh,
            )
        took_s = time.process_time() - start_s
    finally:
        deployment.stop()
    await http.aclose()
    return took_s * _US / HTTP_ORDERS


def main() -> None:
    """Prints medians, lowest and highest of several runs."""
    for at_once in AT_ONCE:
        runs = [measure_core_us(at_once) for _ in range(RUNS)]
        _print(f"core, {at_once} at once", runs)
    for fresh in (True, False):
        runs = [_http_run(fresh) for _ in range(RUNS)]
        _print(f"http, {'new' if fresh else 'kept'} connection", runs)


def _http_run(fresh: bool) -> float:
    async def measure() -> float:
        return await measure_http_us(fresh=fresh)

    return anyio.run(measure)


def _print(name: str, runs: list[float]) -> None:
    print(
        f"{name}: {statistics.median(runs):.0f} us an order"
        f" ({min(runs):.0f} to {max(runs):.0f})",
        flush=True,
    )


if __name__ == "__main__":
    main()
