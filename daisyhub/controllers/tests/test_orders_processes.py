"""Tests of endpoint orders on real processes.

Each test guards against endpoints that are ordered twice: by a holder that is
frozen or replaced, or after a response of the platform was lost.
"""

import signal
import unittest

import anyio

from daisyhub.testing.caller import Caller
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment

BUDGET = 4


def ordering_document():
    """Returns a configuration that needs one more engine than there are."""
    document = demo_document(DemoKeys.make())
    document["endpoint_pools"]["model"] |= {
        "orders": "automatic",
        "least": 3,
        "budget": BUDGET,
        "target_load": 0.5,
        "cheap_share": 0.5,
    }
    return document


async def orders_of(deployment):
    caller = Caller(deployment.platform.address)
    orders = await caller.json("GET", "/admin/orders")
    await caller.aclose()
    return orders


async def holder_of(deployment):
    with anyio.fail_after(15):
        while True:
            for process in deployment.daemons():
                if process.popen.poll() is not None:
                    continue
                caller = Caller(process.operators_address)
                status = await caller.json("GET", "/status")
                await caller.aclose()
                if status["orders"]["fencing"]:
                    return process
            await anyio.sleep(0.1)


async def wait_for_orders(deployment, count):
    with anyio.fail_after(20):
        while len(orders := await orders_of(deployment)) < count:
            await anyio.sleep(0.1)
    return orders


class OrderProcessTest(unittest.TestCase):
    def run_with_deployment(self, scenario):
        # Two daemons, two engines and one service.
        deployment = Deployment(("busan",), 2, 2, 1)
        self.addCleanup(deployment.stop)

        async def run():
            await deployment.start()
            await scenario(deployment)

        anyio.run(run)

    def test_a_frozen_holder_causes_no_excess_order(self):
        async def scenario(deployment):
            await deployment.apply(ordering_document())
            frozen = await holder_of(deployment)
            frozen.send_signal(signal.SIGSTOP)
            orders = await wait_for_orders(deployment, 1)
            frozen.send_signal(signal.SIGCONT)
            await deployment.wait_for_status(
                lambda status: status["orders"]["holder"]
            )
            # Longer than the tick interval of `OrderController`, 2 s.
            await anyio.sleep(3.0)
            after = await orders_of(deployment)
            self.assertEqual(len(after), 1, after)
            self.assertEqual(orders, after)

        self.run_with_deployment(scenario)

    def test_a_killed_holder_is_replaced_and_nothing_is_ordered_twice(self):
        async def scenario(deployment):
            await deployment.apply(ordering_document())
            await wait_for_orders(deployment, 1)
            holder = await holder_of(deployment)
            holder.send_signal(signal.SIGKILL)
            holder.wait()
            await holder_of(deployment)
            # Longer than the tick interval of `OrderController`, 2 s.
            await anyio.sleep(3.0)
            self.assertEqual(len(await orders_of(deployment)), 1)

        self.run_with_deployment(scenario)

    def test_lost_platform_responses_cause_no_second_order(self):
        async def scenario(deployment):
            caller = Caller(deployment.platform.address)
            for path in ("/objects/orders", "/domains/busan/orders"):
                method = "PUT" if path.startswith("/objects") else "POST"
                fault = {"kind": "lose", "path": path, "method": method}
                await caller.send("POST", "/faults", {**fault, "count": 2})
            await deployment.apply(ordering_document())
            await wait_for_orders(deployment, 1)
            # Longer than two tick intervals of `OrderController`, 2 s each.
            await anyio.sleep(5.0)
            self.assertEqual(len(await orders_of(deployment)), 1)
            await caller.aclose()

        self.run_with_deployment(scenario)
