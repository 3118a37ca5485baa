"""A failure domain without the platform goes on serving what it can."""

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

    def test_look_ups_go_on_and_filings_are_refused_as_not_run(self):
        async def scenario(deployment, keys):
            deployment.platform.send_signal(signal.SIGSTOP)
            for daemon in deployment.daemons():
                yard = Caller(daemon.address, DemoKeys.text(keys.yard))
                answer = await yard.send("GET", "/records/1")
                self.assertEqual(answer.status, 200)
                archive = Caller(daemon.address, DemoKeys.text(keys.archive))
                header = ((b"idempotency-key", b"one"),)
                answer = await archive.send(
                    "POST", "/filings", "a", headers=header
                )
                problem = msgspec.json.decode(answer.body)
                self.assertEqual(problem["ran"], "not_run", problem)
                self.assertIn(b"retry-after", dict(answer.headers))
            deployment.platform.send_signal(signal.SIGCONT)
            with anyio.fail_after(20):
                while answer.status != 201:
                    await anyio.sleep(0.2)
                    answer = await archive.send(
                        "POST", "/filings", "a", headers=header
                    )
            service = Caller(deployment.services()[0].address)
            filed = await service.json("GET", "/admin/filings")
            self.assertEqual(len(filed), 1)

        self.run_with_deployment(scenario)

    def test_a_daemon_restarted_without_the_platform_learns_from_peers(self):
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
