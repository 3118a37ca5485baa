"""Tests that configuration and drain orders spread despite failures.

The daemons are real processes, which are paused, killed and restarted.
"""

import signal
import unittest

import msgspec

from daisyhub.balancing import DRAIN_PREFIX, DrainOrder
from daisyhub.config import ConfigStore
from daisyhub.hosting import PlatformClient
from daisyhub.testing.caller import Caller
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment


class MembershipProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.keys = DemoKeys.make()
        self.deployment = Deployment(engines_per_domain=1)
        self.addCleanup(self.deployment.stop)
        await self.deployment.start()
        self.caller = Caller(self.deployment.platform.address)
        self.client = PlatformClient(self.caller.address, self.caller.http, 5.0)
        self.store = ConfigStore(self.client)
        self.document = demo_document(self.keys)
        self.version = 0
        await self.apply()

    async def asyncTearDown(self):
        await self.caller.aclose()

    async def apply(self):
        head = await self.store.apply(
            self.document,
            base_version=self.version,
            author="a",
            team="t",
            at_s=0.0,
        )
        self.version = head.version

    async def wait(self, **options):
        await self.deployment.wait_for_version(self.version, **options)

    async def test_configuration_reaches_all_daemons_despite_failures(self):
        await self.wait()
        stopped, killed = self.deployment.daemons("busan")
        # A paused daemon and a killed one receive the new version later.
        stopped.send_signal(signal.SIGSTOP)
        killed.send_signal(signal.SIGKILL)
        killed.wait()
        self.document["routes"]["open"]["path_prefix"] = "/public"
        await self.apply()
        await self.wait(skip=(stopped.name, killed.name))
        stopped.send_signal(signal.SIGCONT)
        await self.wait(skip=(killed.name,))
        # Without the platform, a daemon gets the configuration from peers.
        await self.store.withdraw_key(self.keys.yard.key_id)
        await self.deployment.wait_for_status(
            lambda status: status["config"]["withdrawn_keys"] == 1,
            skip=(killed.name,),
        )
        await self.caller.send("POST", "/faults", {"kind": "hang"})
        self.deployment.start_daemon(killed.name)
        started = self.deployment.processes[killed.name]
        await self.deployment.wait_until_listening(started)
        await self.wait()
        await self.deployment.wait_for_status(
            lambda status: status["config"]["withdrawn_keys"] == 1
        )
        # Lost or damaged responses don't prevent the next change.
        await self.caller.send("DELETE", "/faults")
        for kind in ("lose", "truncate", "silent"):
            fault = {"kind": kind, "path": "/objects", "count": 3}
            await self.caller.send("POST", "/faults", fault, fresh=True)
            self.document["client_accounts"]["yard"]["burst"] = self.version
            await self.apply()
            await self.wait()
        audit = await self.store.read_audit()
        versions = [entry.version for entry in audit]
        self.assertEqual(versions, list(range(1, self.version + 1)))

    async def test_a_drained_endpoint_gets_no_new_requests(self):
        await self.wait()
        endpoint_id = self.deployment.services("busan")[0].name
        order = DrainOrder(endpoint_id=endpoint_id, incarnation=1)
        await self.client.put(
            DRAIN_PREFIX + endpoint_id,
            msgspec.to_builtins(order),
            expected_version=0,
            write_id="drain",
        )

        def is_drained(status):
            if status["failure_domain"] != "busan":
                return True
            state = status["endpoints"].get(endpoint_id)
            return bool(state) and state["health"] == "leaving"

        await self.deployment.wait_for_status(is_drained)
        daemon = self.deployment.daemons("busan")[0]
        caller = Caller(daemon.address, DemoKeys.text(self.keys.yard))
        # The drained endpoint is the only service of the failure domain.
        response = await caller.send("GET", "/records/1")
        self.assertEqual(response.status, 503)
        await caller.aclose()
