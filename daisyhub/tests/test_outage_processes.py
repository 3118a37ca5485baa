"""A failure domain without the platform goes on serving what it can."""

import signal
import unittest

import anyio

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

    def test_a_daemon_restarted_without_the_platform_learns_from_peers(self):
        async def scenario(deployment, keys):
            restarted = deployment.daemons()[0]
            deployment.platform.send_signal(signal.SIGSTOP)
            restarted.send_signal(signal.SIGKILL)
            restarted.wait()
            deployment.start_daemon(restarted.name)
            restarted = deployment.processes[restarted.name]
            await deployment.wait_until_up(restarted)
            caller = Caller(restarted.address, DemoKeys.text(keys.yard))
            with anyio.fail_after(20):
                while True:
                    answer = await caller.send("GET", "/records/1")
                    if answer.status == 200:
                        break
                    await anyio.sleep(0.2)

        self.run_with_deployment(scenario)

    def test_a_silent_endpoint_connection_is_replaced(self):
        async def scenario(deployment, keys):
            daemon = deployment.daemons()[0]
            caller = Caller(daemon.address, DemoKeys.text(keys.yard))
            answer = await caller.send("GET", "/records/1")
            self.assertEqual(answer.status, 200)
            service = Caller(deployment.services()[0].address)
            await service.send("POST", "/faults", {"kind": "silent"})
            timeout = ((b"daisyhub-timeout-ms", b"500"),)
            with anyio.fail_after(20):
                while True:
                    try:
                        answer = await caller.send(
                            "GET", "/records/1", headers=timeout
                        )
                    except RequestFailedError as exc:
                        self.fail(f"no final answer: {exc}")
                    if answer.status == 200:
                        break

        self.run_with_deployment(scenario)
