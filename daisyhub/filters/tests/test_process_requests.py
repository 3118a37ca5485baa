"""Failures of real processes during a request."""

import contextlib
import signal
import unittest

import anyio
import msgspec

from daisyhub.config import ConfigStore
from daisyhub.connections import RequestFailedError
from daisyhub.hosting import PlatformClient
from daisyhub.testing.caller import Caller
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment

DOMAIN = "busan"
# Longer than any step of a test that must not run into it.
_LONG_TIMEOUT_S = 30.0


class RequestFailures(unittest.IsolatedAsyncioTestCase):
    """Two daemons in front of one service."""

    async def start(self, route_timeout_s=3.0, platform_timeout_s=1.0):
        self.deployment = Deployment(
            (DOMAIN,), 2, 0, 1, {"platform_timeout_s": platform_timeout_s}
        )
        self.addCleanup(self.deployment.stop)
        await self.deployment.start()
        self.keys = DemoKeys.make()
        document = demo_document(self.keys)
        document["routes"]["filings"]["timeout_s"] = route_timeout_s
        self.http = Caller(self.deployment.platform.address).http
        platform = PlatformClient(
            self.deployment.platform.address, self.http, 5.0
        )
        self.store = ConfigStore(platform)
        head = await self.store.apply(
            document, base_version=0, author="a", team="t", at_s=0.0
        )
        await self.deployment.wait_for_version(head.version)
        self.daemons = self.deployment.daemons()
        self.service = Caller(self.deployment.services()[0].address)

    def caller(self, number, key=None):
        text = DemoKeys.text(key or self.keys.archive)
        return Caller(self.daemons[number].address, text)

    async def file(self, number, body, timeout_s=10.0):
        """Sends a filing of `body` with `body` as its idempotency key."""
        headers = ((b"idempotency-key", body.encode()),)
        caller = self.caller(number)
        try:
            return await caller.send(
                "POST", "/filings", body, headers=headers, timeout_s=timeout_s
            )
        finally:
            await caller.aclose()

    async def file_until(self, number, body, expected):
        """Repeats a filing until the response has a status or error code.

        `expected` is either of them. Fails after 10 seconds.
        """
        with anyio.fail_after(10):
            while True:
                response = await self.file(number, body)
                if expected in (response.status, problem(response)[0]):
                    return response
                await anyio.sleep(0.05)

    async def count_runs(self, body):
        """Returns how often the service ran the filing of `body`."""
        filings = await self.service.json("GET", "/admin/filings")
        return filings.count(msgspec.json.encode(body).decode())

    async def inject_fault(self, kind, **more):
        """Makes the service apply a fault to its next filing."""
        fault = {"kind": kind, "path": "/filings", "count": 1, **more}
        await self.service.json("POST", "/faults", fault)

    async def test_look_ups_survive_silent_connections(self):
        """Each caller gets its own response though open connections go silent.

        A repeat over another open connection would get no response either.
        """
        await self.start()
        await self.look_up_records()
        silent = await self.service.json("POST", "/faults", {"kind": "silent"})
        self.assertGreater(silent["connections"], 1)
        await self.look_up_records()

    async def look_up_records(self):
        async def look_up(number):
            caller = self.caller(number % 2)
            response = await caller.send("GET", f"/records/{number}")
            path = msgspec.json.decode(response.body).get("path")
            await caller.aclose()
            self.assertEqual(
                (response.status, path), (200, f"/records/{number}")
            )

        async with anyio.create_task_group() as tasks:
            for number in range(8):
                tasks.start_soon(look_up, number)

    async def test_filings_run_at_most_once(self):
        await self.start()
        await self.check_replay()
        await self.check_lost_response()
        await self.check_truncated_response()
        await self.check_store_outage()
        await self.check_killed_daemon()

    async def test_a_frozen_daemon_runs_a_filing_only_once(self):
        """The daemon is frozen between the claim and its request.

        The store holds its reply to the claim's write until the daemon is
        frozen and a repeat at the other daemon has been refused.
        """
        await self.start(_LONG_TIMEOUT_S, _LONG_TIMEOUT_S)
        platform = Caller(self.deployment.platform.address)
        listing = "/objects?prefix=claims/"
        fault = {"kind": "hold", "path": "/objects/claims", "method": "PUT"}
        await platform.json("POST", "/faults", {**fault, "count": 1})
        first = []

        async def file():
            first.append(await self.file(0, "frozen", 2 * _LONG_TIMEOUT_S))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(file)
            with anyio.fail_after(10):
                while not (await platform.json("GET", listing))["objects"]:
                    await anyio.sleep(0.01)
            self.daemons[0].send_signal(signal.SIGSTOP)
            response = await self.file(1, "frozen")
            self.assertEqual(problem(response), ("outcome_unknown", "unknown"))
            self.assertEqual(await self.count_runs("frozen"), 0)
            await platform.json("DELETE", "/faults")
            self.daemons[0].send_signal(signal.SIGCONT)
        again = await self.file_until(1, "frozen", 201)
        self.assertEqual((first[0].status, first[0].body), (201, again.body))
        self.assertEqual(await self.count_runs("frozen"), 1)
        await platform.aclose()

    async def check_replay(self):
        """A repeat at another daemon gets the stored response."""
        first = await self.file(0, "plain")
        again = await self.file(1, "plain")
        self.assertEqual((first.status, first.body), (201, again.body))
        self.assertEqual(await self.count_runs("plain"), 1)

    async def check_lost_response(self):
        """Repeats are refused if the request ran but its response was lost."""
        await self.inject_fault("lose")
        response = await self.file(0, "lost")
        self.assertEqual(problem(response), ("endpoint_timeout", "unknown"))
        for number in (0, 1):
            response = await self.file_until(number, "lost", "outcome_unknown")
            self.assertEqual(problem(response)[1], "unknown")
        self.assertEqual(await self.count_runs("lost"), 1)

    async def check_truncated_response(self):
        """Repeats are refused as run if the response was truncated."""
        await self.inject_fault("truncate")
        response = await self.file(0, "cut")
        self.assertEqual(problem(response), ("answer_incomplete", "ran"))
        response = await self.file(1, "cut")
        self.assertEqual(problem(response), ("answer_not_kept", "ran"))
        self.assertEqual(await self.count_runs("cut"), 1)

    async def check_store_outage(self):
        """An uncertain claim that took effect is freed after the outage.

        The store writes the claim without a reply, and reads hang.
        """
        platform = Caller(self.deployment.platform.address)
        fault = {"kind": "lose", "path": "/objects/claims", "method": "PUT"}
        await platform.json("POST", "/faults", fault)
        fault = {"kind": "hang", "path": "/objects/claims", "method": "GET"}
        await platform.json("POST", "/faults", fault)
        response = await self.file(0, "outage")
        self.assertEqual(problem(response), ("claim_unavailable", "not_run"))
        self.assertEqual(await self.count_runs("outage"), 0)
        await platform.json("DELETE", "/faults")
        await self.file_until(1, "outage", 201)
        self.assertEqual(await self.count_runs("outage"), 1)

    async def check_killed_daemon(self):
        """A killed daemon's claim blocks its key, also after a restart."""
        await self.inject_fault("late", delay_s=60.0)
        async with anyio.create_task_group() as tasks:

            async def file():
                with contextlib.suppress(RequestFailedError):
                    await self.file(0, "killed")

            tasks.start_soon(file)
            with anyio.fail_after(10):
                while not await self.count_runs("killed"):
                    await anyio.sleep(0.02)
            self.daemons[0].send_signal(signal.SIGKILL)
            self.daemons[0].wait()
        response = await self.file(1, "killed")
        self.assertEqual(problem(response), ("outcome_unknown", "unknown"))
        self.deployment.start_daemon(self.daemons[0].name)
        await self.deployment.wait_until_listening(self.deployment.daemons()[0])
        await self.deployment.wait_for_version(1)
        response = await self.file(0, "killed")
        self.assertEqual(problem(response), ("outcome_unknown", "unknown"))
        self.assertEqual(await self.count_runs("killed"), 1)


def problem(response):
    """Returns the code and `ran` of an error response."""
    value = msgspec.json.decode(response.body)
    return value.get("code"), value.get("ran")
