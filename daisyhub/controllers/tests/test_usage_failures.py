"""Tests that each served request is reported once despite failures.

Daemons are killed or paused, and responses of the platform are lost.
"""

import json
import signal
import unittest

import anyio

from daisyhub.testing.caller import Caller
from daisyhub.testing.demo import Demo
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment

WAIT_S = 30.0
LEASE_TERM_S = 1.5
# Longer than the term and the margin, so another daemon acquires the lease.
FREEZE_S = 2.2
TIMING = {
    "usage_window_s": 1.0,
    "usage_grace_s": 0.4,
    "lease_term_s": LEASE_TERM_S,
    "lease_margin_s": 0.3,
    "platform_timeout_s": 0.5,
}


class UsageFailuresTest(unittest.TestCase):
    def run_with(self, scenario, limits=None, **timing):
        """Runs a scenario on three daemons; `limits` are the account's."""
        demo = Demo()
        demo.deployment.stop()
        demo.deployment = Deployment(
            ("busan",), 3, 0, 1, timing={**TIMING, **timing}
        )
        self.addCleanup(demo.deployment.stop)
        self.deployment, self.key = demo.deployment, demo.keys.archive
        self.served = 0

        async def run():
            await demo.deployment.start()
            demo.deployment.write_operator_settings()
            document = demo_document(demo.keys)
            document["client_accounts"]["archive"] |= limits or {}
            version = demo._apply(document)
            await demo.deployment.wait_for_version(version)
            await demo.deployment.wait_for_status(lambda s: s["endpoints"])
            await scenario()

        anyio.run(run)

    async def look_up(self, daemon, count):
        caller = Caller(daemon.address, DemoKeys.text(self.key))
        for number in range(count):
            response = await caller.send("GET", f"/records/{number}")
            self.served += response.status == 200
        await caller.aclose()

    async def status_of(self, daemon):
        caller = Caller(daemon.operators_address)
        status = await caller.json("GET", "/status")
        await caller.aclose()
        return status["usage"]

    async def platform(self, method, target, value=None):
        caller = Caller(self.deployment.platform.address)
        response = await caller.send(method, target, value)
        await caller.aclose()
        return json.loads(response.body)

    async def check_reports(self):
        """Waits until all requests are reported, each window with one body.

        Returns the count of repeated reports.
        """
        self.assertGreater(self.served, 0)
        reported_count = 0
        with anyio.move_on_after(WAIT_S):
            while reported_count != self.served:
                await anyio.sleep(0.2)
                reports = await self.platform("GET", "/admin/usage")
                bodies = {}
                for report in reports:
                    known = bodies.setdefault(report["window"], report["body"])
                    self.assertEqual(known, report["body"])
                counts = [json.loads(b)["counts"] for b in bodies.values()]
                reported_count = sum(c["requests"] for cs in counts for c in cs)
                self.assertLessEqual(reported_count, self.served)
        self.assertEqual(reported_count, self.served)
        return len(reports) - len(bodies)

    def test_a_killed_daemons_unflushed_counts_are_reported(self):
        async def scenario():
            killed = self.deployment.daemons()[0]
            await self.look_up(killed, 30)
            # Waits until a peer or the platform stores all counts.
            with anyio.fail_after(WAIT_S):
                while (await self.status_of(killed))["unkept_requests"]:
                    await anyio.sleep(0.05)
            self.assertEqual(self.served, 30)
            killed.send_signal(signal.SIGKILL)
            await self.check_reports()

        self.run_with(scenario, usage_window_s=4.0)

    def test_a_holder_resumed_after_its_term_changes_no_window(self):
        async def scenario():
            daemons = self.deployment.daemons()
            for _ in range(2):
                holder = await self.find_holder()
                others = [d for d in daemons if d is not holder]
                await self.look_up(holder, 10)
                await anyio.sleep(TIMING["usage_window_s"])
                holder.send_signal(signal.SIGSTOP)
                until_s = anyio.current_time() + FREEZE_S
                while anyio.current_time() < until_s:
                    await self.look_up(others[0], 2)
                holder.send_signal(signal.SIGCONT)
                await self.look_up(others[1], 10)
            await self.check_reports()

        self.run_with(scenario)

    async def find_holder(self):
        with anyio.fail_after(WAIT_S):
            while True:
                for daemon in self.deployment.daemons():
                    if (await self.status_of(daemon))["fencing"]:
                        return daemon
                await anyio.sleep(0.1)

    def test_an_account_at_one_daemon_borrows_the_shares_of_peers(self):
        async def scenario():
            daemon = self.deployment.daemons()[0]
            # Without loans, each of the three daemons has a third of the limit.
            with anyio.fail_after(WAIT_S):
                while (await self.share_at(daemon)) <= 0.5:
                    await self.look_up(daemon, 20)
            await self.check_reports()

        self.run_with(scenario, {"requests_per_s": 60.0, "burst": 60})

    async def share_at(self, daemon):
        caller = Caller(daemon.operators_address)
        status = await caller.json("GET", "/status")
        await caller.aclose()
        return status["peers"]["rate_shares"].get("archive", 0.0)

    def test_lost_responses_to_seals_and_reports_change_no_window(self):
        async def scenario():
            daemons = self.deployment.daemons()
            for path, method in (("/objects/sealed", "PUT"), ("/usage", "")):
                fault = {"kind": "lose", "path": path, "method": method}
                await self.platform("POST", "/faults", {**fault, "count": 2})
            # An invalid usage object must not prevent sealing.
            unreadable = "/objects/usage/busan/other?expected=0&write_id=x"
            await self.platform("PUT", unreadable, {"parts": 7})
            for _ in range(2):
                for daemon in daemons:
                    await self.look_up(daemon, 10)
                await anyio.sleep(TIMING["usage_window_s"])
            # Each of the two lost responses causes a repeated report.
            self.assertGreaterEqual(await self.check_reports(), 2)

        self.run_with(scenario)
