"""Lots on real processes that are killed or frozen."""

import signal
import unittest

import anyio

from daisyhub.config import ConfigStore
from daisyhub.connections import HttpClient
from daisyhub.hosting import PlatformClient
from daisyhub.testing.caller import Caller, run_trainer
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment

GROUPS = 24
GROUP_SIZE = 4
STALENESS = 2
DOMAIN = "busan"
OUTAGE_S = 2.5  # longer than a lease term
# Samples that each engine returns before its responses are held. Both engines
# together return half of the lot's, and the first groups whole.
FREE_SAMPLES = GROUPS * GROUP_SIZE // 4


class LotProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.keys = DemoKeys.make()
        self.deployment = Deployment(
            domains=(DOMAIN,), daemons_per_domain=2, services_per_domain=0
        )
        self.addCleanup(self.deployment.stop)
        await self.deployment.start()
        http = HttpClient(connect_timeout_s=2.0, idle_s=30.0)
        client = PlatformClient(self.deployment.platform.address, http, 2.0)
        head = await ConfigStore(client).apply(
            demo_document(self.keys),
            base_version=0,
            author="test",
            team="platform",
            at_s=0.0,
        )
        await http.aclose()
        await self.deployment.wait_for_version(head.version)
        await self.deployment.wait_for_status(
            lambda status: len(status["endpoints"]) == 2
        )

    async def train(self, inject_fault):
        """Trains one lot and runs `inject_fault(holder)` in the middle.

        The lot can't end until `inject_fault` calls `release_engines`.
        """
        await self.hold_engines()
        key = DemoKeys.text(self.keys.trainer)
        daemons = self.deployment.daemons()
        callers = [Caller(daemon.address, key) for daemon in daemons]
        results = []

        async def pull_all():
            results.append(
                await run_trainer(
                    callers,
                    "lot",
                    "assess",
                    [f"board {number}" for number in range(GROUPS)],
                    lambda: 0,
                    max_staleness=STALENESS,
                    call_timeout_s=2.5,
                    max_groups=2,
                )
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pull_all)
            await inject_fault(await self.wait_for_holder())
        for caller in callers:
            await caller.aclose()
        self.check(results[0])
        return results[0]

    async def hold_engines(self):
        """Lets each engine return some samples and hold the others."""
        fault = {"path": "/generate"}
        for engine in self.deployment.engines():
            caller = Caller(engine.address)
            free = {**fault, "kind": "late", "count": FREE_SAMPLES}
            await caller.json("POST", "/faults", free)
            await caller.json("POST", "/faults", {**fault, "kind": "hold"})
            await caller.aclose()

    async def release_engines(self, skip=None):
        """Lets the engines return the held samples, and all later ones."""
        for engine in self.deployment.engines():
            if engine is skip:
                continue
            caller = Caller(engine.address)
            await caller.json("DELETE", "/faults")
            await caller.aclose()

    async def wait_for_holder(self, skip=None):
        """Returns the lot's holder once groups are committed to pulls."""
        with anyio.fail_after(20):
            while True:
                for daemon in self.deployment.daemons():
                    if daemon is skip:
                        continue
                    caller = Caller(daemon.operators_address)
                    status = await caller.json("GET", "/status")
                    await caller.aclose()
                    lot = status["lots"].get("lot", {})
                    if lot.get("held") and lot["remaining"] < GROUPS:
                        return daemon
                await anyio.sleep(0.005)

    def check(self, result):
        self.assertEqual(sorted(result.groups), list(range(GROUPS)))
        self.assertEqual(result.duplicate_groups, 0)
        self.assertEqual(result.stale_samples, 0)
        for samples in result.groups.values():
            indexes = [sample["index"] for sample in samples]
            self.assertEqual(indexes, list(range(GROUP_SIZE)))

    async def test_no_group_is_lost_when_the_holder_is_killed(self):
        async def inject_fault(holder):
            holder.send_signal(signal.SIGKILL)
            holder.wait()
            await self.release_engines()

        result = await self.train(inject_fault)
        self.assertGreater(result.retries, 0)

    async def test_no_group_is_duplicated_when_a_frozen_holder_resumes(self):
        async def inject_fault(holder):
            holder.send_signal(signal.SIGSTOP)
            await self.wait_for_holder(skip=holder)
            holder.send_signal(signal.SIGCONT)
            await self.release_engines()

        await self.train(inject_fault)

    async def test_no_group_is_lost_when_an_engine_is_killed(self):
        async def inject_fault(_):
            engine = self.deployment.engines()[0]
            engine.send_signal(signal.SIGKILL)
            engine.wait()
            await self.release_engines(skip=engine)

        await self.train(inject_fault)

    async def test_no_group_is_lost_when_the_platform_stops_for_a_lease_term(
        self,
    ):
        async def inject_fault(_):
            self.deployment.platform.send_signal(signal.SIGSTOP)
            await self.release_engines()
            await anyio.sleep(OUTAGE_S)
            self.deployment.platform.send_signal(signal.SIGCONT)

        await self.train(inject_fault)
