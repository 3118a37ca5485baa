"""Measures the processor time of weight orders in the core and over HTTP.

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

ENGINE_COUNT = 650
CONCURRENCY_LIMITS = (8, 64, 650)
HTTP_ORDER_COUNT = 100
RUN_COUNT = 3
_US_PER_S = 1_000_000


def measure_core_us(max_concurrent_loads: int) -> float:
    """Returns the processor time of the core per order, microseconds.

    Args:
        max_concurrent_loads: Bound on the engines that load weights at once.
    """
    core = WeightCore(2.0)
    engines = tuple(
        EngineView(f"engine-{number:04}", "model", 1, 0)
        for number in range(ENGINE_COUNT)
    )
    started_s = time.process_time()
    core.handle(VersionPublished("model", 1), 0.0)
    policies = {"model": RolloutPolicy(max_concurrent_loads, True)}
    core.handle(EnginesListed(engines, policies), 0.0)
    orders = core.handle(WeightTick(True), 0.0)
    order_count = 0
    while orders:
        order = orders.pop()
        order_count += 1
        orders += core.handle(OrderCompleted(order.attempt), 0.0)
    assert order_count == ENGINE_COUNT
    return (time.process_time() - started_s) * _US_PER_S / order_count


async def measure_http_us(*, fresh: bool) -> float:
    """Returns the processor time of this process per order, microseconds.

    Args:
        fresh: Whether each order opens a new connection.
    """
    deployment = Deployment(("x",), 0, 1, 0)
    http = HttpClient(connect_timeout_s=1.0, idle_s=15.0)
    try:
        await deployment.start()
        address = deployment.engines()[0].address
        started_s = time.process_time()
        for number in range(HTTP_ORDER_COUNT):
            order = WeightOrder(kind="load_weights", version=0, fencing=number)
            await http.request(
                "POST",
                address,
                "/orders",
                body=msgspec.json.encode(order),
                timeout_s=10.0,
                fresh=fresh,
            )
        processor_s = time.process_time() - started_s
    finally:
        deployment.stop()
    await http.aclose()
    return processor_s * _US_PER_S / HTTP_ORDER_COUNT


def main() -> None:
    """Prints the median, lowest and highest figures of several runs."""
    for max_concurrent_loads in CONCURRENCY_LIMITS:
        runs = [measure_core_us(max_concurrent_loads) for _ in range(RUN_COUNT)]
        _print(f"core, {max_concurrent_loads} at once", runs)
    for fresh in (True, False):
        runs = [_http_run(fresh) for _ in range(RUN_COUNT)]
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
