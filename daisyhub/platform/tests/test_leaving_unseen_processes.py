"""Servers that announce their leaving to daemons that the list doesn't tell.

What is asserted is the order of events, not their times: no request that a
client sent after the daemon had read the announcement reaches that process from
this daemon.
"""

import contextlib
import signal
import unittest

import anyio

from daisyhub.connections import RequestFailedError
from daisyhub.testing.fleet import KEY, Fleet
from daisyhub.testing.rolling_release import RollingRelease, SteadyCalls

_WAIT_TIMEOUT_S = 20.0
_CALLS = 12


class LeavingUnseenProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, module="daisyhub.platform"):
        fleet = Fleet(servers=3, module=module)
        self.addCleanup(fleet.stop)
        self.addAsyncCleanup(fleet.http.aclose)
        for name in fleet.daemon_names:
            path = fleet.folder / f"{name}.cut-off"
            fleet.daemon_env[name] = {"DAISYHUB_CUT_OFF_FILE": str(path)}
        await fleet.start()
        self.fleet = fleet
        self.calls = SteadyCalls(fleet)
        self.leaving = await self.server_called_most("edge-0")

    async def server_called_most(self, daemon):
        for _ in range(_CALLS):
            await self.calls.call(daemon)
        counts = {}
        for server in self.fleet.server_names:
            runs = await self.fleet.executed_requests(server)
            counts[server] = sum(r["id"].startswith(daemon) for r in runs)
        return max(counts, key=counts.get)

    async def call_served(self, daemon):
        """Some calls, each of which must get a response of a server."""
        for _ in range(_CALLS):
            call = await self.calls.call(daemon)
            self.assertEqual(call.status, 200)
            self.assertFalse(call.is_announcing)

    async def assert_none_sent_after(self, known_s, daemon):
        executed = await self.fleet.executed_requests(self.leaving)
        late = self.calls.sent_after(known_s, daemon, executed)
        self.assertEqual(late, [])

    async def restore_store(self, daemon):
        """Lets the list show the server as ready once more."""
        version = (await self.fleet.status(daemon))["manifest"]
        self.fleet.signal("platform", signal.SIGCONT)
        entry = self.fleet.build_server_entry(self.leaving)
        await self.fleet.put("servers", self.leaving, {**entry, "slots": 5})
        # The next manifest shows that the daemon watches the store again.
        await self.fleet.write_config({"t": [KEY]})
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while (await self.fleet.status(daemon))["manifest"] == version:
                await anyio.sleep(0.05)

    async def test_a_daemon_without_store_hears_the_server_itself(self):
        await self.start_fleet()
        self.fleet.signal("platform", signal.SIGSTOP)
        await self.fleet.announce_leaving(self.leaving)
        known_s = await self.calls.call_until_known("edge-0", self.leaving)
        await self.call_served("edge-0")
        await self.restore_store("edge-0")
        await self.call_served("edge-0")
        await self.assert_none_sent_after(known_s, "edge-0")

    async def test_a_daemon_without_store_and_peers_hears_it_itself(self):
        await self.start_fleet()
        for name in ("platform", "edge-1", "edge-2"):
            self.fleet.signal(name, signal.SIGSTOP)
        await self.fleet.announce_leaving(self.leaving)
        known_s = await self.calls.call_until_known("edge-0", self.leaving)
        await self.call_served("edge-0")
        for name in ("edge-1", "edge-2"):
            self.fleet.signal(name, signal.SIGCONT)
        await self.call_served("edge-0")
        await self.restore_store("edge-0")
        await self.call_served("edge-0")
        await self.assert_none_sent_after(known_s, "edge-0")

    async def test_requests_that_arrive_during_a_freeze_go_elsewhere(self):
        await self.start_fleet()
        await self.fleet.announce_leaving(self.leaving)
        known_s = await self.calls.call_until_known("edge-0", self.leaving)
        self.fleet.signal("edge-0", signal.SIGSTOP)
        async with anyio.create_task_group() as tasks:
            for _ in range(_CALLS):
                tasks.start_soon(self.calls.call, "edge-0")
            # The peers go on, and so does the list, which shows it as ready.
            await self.calls.call("edge-1")
            self.fleet.signal("edge-0", signal.SIGCONT)
        await self.call_served("edge-0")
        self.assertEqual(self.calls.failed(), [])
        await self.assert_none_sent_after(known_s, "edge-0")

    async def daemon_without_duty(self):
        """Returns a daemon that reads no reports of servers."""
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while True:
                await self.fleet.holder()
                for name in self.fleet.daemon_names:
                    status = await self.fleet.status(name)
                    duties = [v for k, v in status.items() if "duty " in k]
                    if not any(duty["fencing"] for duty in duties):
                        return name
                await anyio.sleep(0.05)

    async def announce_without(self, daemon):
        """Spreads an announcement once `daemon` is silent for its peers.

        Returns:
            What the leaving server had executed before.
        """
        peers = [n for n in self.fleet.daemon_names if n != daemon]
        for name in peers:
            await self.wait_for_status(
                name, lambda s: daemon in s["cluster"]["silent"]
            )
        before = await self.fleet.executed_requests(self.leaving)
        await self.fleet.announce_leaving(self.leaving)
        await self.calls.call_until_known(peers[0], self.leaving)
        for name in peers:
            await self.wait_for_status(name, self.is_known)
        return before

    async def wait_for_status(self, daemon, is_met):
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(RequestFailedError):
                    if is_met(await self.fleet.status(daemon)):
                        return
                await anyio.sleep(0.05)

    def is_known(self, status):
        return status["leaving_endpoints"] == [self.leaving]

    async def assert_told(self, daemon, before):
        """A reachable daemon is told by a peer before it meets the server."""
        await self.wait_for_status(daemon, self.is_known)
        await self.call_served(daemon)
        lines = [
            line
            for line in self.fleet.read_log(daemon)
            if line["event"] == "endpoint_leaving"
        ]
        self.assertEqual([line["call"] for line in lines], ["peer"])
        executed = await self.fleet.executed_requests(self.leaving)
        late = [r for r in executed if r["id"].startswith(daemon)]
        self.assertEqual(
            late, [r for r in before if r["id"].startswith(daemon)]
        )

    async def test_a_frozen_daemon_is_told_what_it_missed(self):
        await self.start_fleet()
        daemon = await self.daemon_without_duty()
        self.fleet.signal(daemon, signal.SIGSTOP)
        before = await self.announce_without(daemon)
        self.fleet.signal(daemon, signal.SIGCONT)
        await self.assert_told(daemon, before)

    async def test_a_daemon_cut_off_from_its_peers_is_told_what_it_missed(self):
        """The store is down, so that no daemon acquires a duty meanwhile."""
        await self.start_fleet("daisyhub.testing.cut_off_daemon")
        daemon = await self.daemon_without_duty()
        self.fleet.signal("platform", signal.SIGSTOP)
        cut_off = self.fleet.folder / f"{daemon}.cut-off"
        cut_off.touch()
        before = await self.announce_without(daemon)
        self.assertFalse(self.is_known(await self.fleet.status(daemon)))
        cut_off.unlink()
        await self.assert_told(daemon, before)
        await self.restore_store(daemon)
        await self.assert_told(daemon, before)

    async def wait_until_known(self, server):
        """Calls each daemon until it knows that a server is leaving.

        So many calls at once reach a server that the steady ones leave idle.
        """
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            for daemon in self.fleet.daemon_names:
                while (
                    server
                    not in (await self.fleet.status(daemon))[
                        "leaving_endpoints"
                    ]
                ):
                    async with anyio.create_task_group() as tasks:
                        for _ in range(_CALLS):
                            tasks.start_soon(self.calls.call, daemon)

    async def test_a_release_under_load_loses_no_request(self):
        await self.start_fleet()
        release = RollingRelease(
            self.fleet, list_lag_s=None, wait_until_known=self.wait_until_known
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.calls.run, 2)
            await release.run()
            tasks.cancel_scope.cancel()
        self.assertEqual(self.calls.failed(), [])
        self.assertEqual(len(release.ended), 3)
        for ended in release.ended:
            for daemon in self.fleet.daemon_names:
                announced_s = self.calls.announced_s(daemon, ended.executed)
                late = self.calls.sent_after(
                    announced_s, daemon, ended.executed
                )
                self.assertEqual(late, [])

    async def test_all_leaving_at_once_is_refused_and_ends_with_a_start(self):
        await self.start_fleet()
        release = RollingRelease(self.fleet, list_lag_s=None)
        for name in self.fleet.server_names:
            await self.fleet.announce_leaving(name)
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while (await self.calls.call("edge-0")).status == 200:
                pass
        before = await self.fleet.executed_requests()
        for _ in range(_CALLS):
            response = await self.fleet.call("edge-0", "POST", "/records/1")
            self.assertEqual(response.status, 503)
            self.assertIn(b"retry-after", dict(response.headers))
        self.assertEqual(await self.fleet.executed_requests(), before)
        self.fleet.kill_server(self.leaving)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.calls.run, 1)
            await release.start(self.leaving)
            tasks.cancel_scope.cancel()
        await self.call_served("edge-0")


if __name__ == "__main__":
    unittest.main()
