"""Tests of a failure domain whose platform or endpoint connections hang.

Requests that don't need the platform are still served; others are refused as
not run. The platform is suspended with SIGSTOP.
"""

import signal
import unittest

import anyio
import msgspec

from daisyhub.connections import RequestFailedError
from daisyhub.testing.caller import Caller
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment


class OutageTest(unittest.TestCase):
    def run_with_deployment(self, scenario, domains=("busan",)):
        deployment = Deployment(domains, 2, 1, 1)
        self.addCleanup(deployment.stop)
        keys = DemoKeys.make()

        async def run():
            await deployment.start()
            await deployment.apply(demo_document(keys))
            await deployment.wait_for_status(
                lambda status: len(status["endpoints"]) == 2
            )
            await scenario(deployment, keys)

        anyio.run(run)

    def test_platform_outage_refuses_only_requests_with_a_claim(self):
        async def scenario(deployment, keys):
            deployment.platform.send_signal(signal.SIGSTOP)
            for daemon in deployment.daemons():
                yard = Caller(daemon.address, DemoKeys.text(keys.yard))
                response = await yard.send("GET", "/records/1")
                self.assertEqual(response.status, 200)
                archive = Caller(daemon.address, DemoKeys.text(keys.archive))
                header = ((b"idempotency-key", b"one"),)
                response = await archive.send(
                    "POST", "/filings", "a", headers=header
                )
                problem = msgspec.json.decode(response.body)
                self.assertEqual(problem["ran"], "not_run", problem)
                self.assertIn(b"retry-after", dict(response.headers))
            deployment.platform.send_signal(signal.SIGCONT)
            with anyio.fail_after(20):
                while response.status != 201:
                    await anyio.sleep(0.2)
                    response = await archive.send(
                        "POST", "/filings", "a", headers=header
                    )
            service = Caller(deployment.services()[0].address)
            filings = await service.json("GET", "/admin/filings")
            self.assertEqual(len(filings), 1)

        self.run_with_deployment(scenario)

    def test_daemon_restarted_during_an_outage_gets_state_from_peers(self):
        async def scenario(deployment, keys):
            restarted = deployment.daemons()[0]
            deployment.platform.send_signal(signal.SIGSTOP)
            restarted.send_signal(signal.SIGKILL)
            restarted.wait()
            deployment.start_daemon(restarted.name)
            restarted = deployment.processes[restarted.name]
            await deployment.wait_until_listening(restarted)
            caller = Caller(restarted.address, DemoKeys.text(keys.yard))
            with anyio.fail_after(20):
                while True:
                    response = await caller.send("GET", "/records/1")
                    if response.status == 200:
                        break
                    await anyio.sleep(0.2)

        self.run_with_deployment(scenario)

    def test_unresponsive_endpoint_connection_is_replaced(self):
        async def scenario(deployment, keys):
            daemon = deployment.daemons()[0]
            caller = Caller(daemon.address, DemoKeys.text(keys.yard))
            response = await caller.send("GET", "/records/1")
            self.assertEqual(response.status, 200)
            service = Caller(deployment.services()[0].address)
            # The open connections don't respond any more; new ones do.
            await service.send("POST", "/faults", {"kind": "silent"})
            timeout = ((b"daisyhub-timeout-ms", b"500"),)
            with anyio.fail_after(20):
                while True:
                    try:
                        response = await caller.send(
                            "GET", "/records/1", headers=timeout
                        )
                    except RequestFailedError as exc:
                        self.fail(f"no final response: {exc}")
                    if response.status == 200:
                        break

        self.run_with_deployment(scenario)
