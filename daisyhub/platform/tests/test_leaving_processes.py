"""Servers that announce their leaving, with daemons as processes."""

import signal
import unittest

import anyio

from daisyhub.testing.fleet import Fleet

_WAIT_TIMEOUT_S = 20.0


class LeavingProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self):
        fleet = Fleet(servers=3)
        self.addCleanup(fleet.stop)
        self.addAsyncCleanup(fleet.http.aclose)
        await fleet.start()
        return fleet

    async def call_all(self, fleet, count=5):
        for number in range(count):
            for daemon in fleet.daemon_names:
                response = await fleet.call(
                    daemon, "POST", f"/records/{number}"
                )
                self.assertEqual(response.status, 200)

    async def busiest_server(self, fleet):
        """Returns the server that executes the most of some requests."""
        await self.call_all(fleet)
        counts = {
            name: len(await fleet.executed_requests(name))
            for name in fleet.server_names
        }
        return max(counts, key=counts.get)

    async def wait_until_known(self, fleet, leaving):
        """Calls until every daemon shows exactly these servers as leaving."""
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while True:
                await self.call_all(fleet, 1)
                shown = [
                    (await fleet.status(name))["leaving_endpoints"]
                    for name in fleet.daemon_names
                ]
                if shown == [leaving] * len(shown):
                    return

    async def test_lookups_and_lots_go_elsewhere_until_a_restart(self):
        """Requests went to a server that had announced its leaving."""
        fleet = await self.start_fleet()
        leaving = await self.busiest_server(fleet)
        others = [name for name in fleet.server_names if name != leaving]
        await fleet.announce_leaving(leaving)
        await self.wait_until_known(fleet, [leaving])
        before = await fleet.executed_requests(leaving)
        await self.call_all(fleet)
        self.assertEqual(await fleet.submit_lot("edge-0", "L"), 202)
        results = await fleet.read_whole_lot(fleet.daemon_names, "L")
        self.assertEqual(len(results), 12)
        self.assertEqual(await fleet.executed_requests(leaving), before)
        # The next process at the same address.
        await fleet.announce_leaving(leaving, is_leaving=False)
        entry = {**fleet.build_server_entry(leaving), "born": 2}
        await fleet.put("servers", leaving, entry)
        await self.wait_until_known(fleet, [])
        for name in others:
            await fleet.announce_leaving(name)
        await self.wait_until_known(fleet, others)
        await self.call_all(fleet)
        after = await fleet.executed_requests(leaving)
        self.assertGreater(len(after), len(before))

    async def test_daemons_without_store_tell_each_other(self):
        fleet = await self.start_fleet()
        leaving = await self.busiest_server(fleet)
        fleet.signal("platform", signal.SIGSTOP)
        await fleet.announce_leaving(leaving)
        await self.wait_until_known(fleet, [leaving])
        before = await fleet.executed_requests(leaving)
        await self.call_all(fleet)
        self.assertEqual(await fleet.executed_requests(leaving), before)
        lines = [
            line
            for name in fleet.daemon_names
            for line in fleet.read_log(name)
            if line["event"] == "endpoint_leaving"
        ]
        self.assertEqual(len(lines), len(fleet.daemon_names))
        self.assertTrue(all(line["endpoint"] == leaving for line in lines))
        self.assertIn("peer", {line["call"] for line in lines})

    async def test_a_daemon_that_restarts_learns_of_it_from_its_peers(self):
        """A daemon that started after an announcement never learned of it."""
        fleet = await self.start_fleet()
        leaving = await self.busiest_server(fleet)
        await fleet.announce_leaving(leaving)
        await self.wait_until_known(fleet, [leaving])
        name = fleet.daemon_names[-1]
        fleet.signal(name, signal.SIGKILL)
        fleet.processes[name].wait()
        fleet.start_daemon(name)
        await fleet.wait_until_ready(name)
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while (await fleet.status(name))["leaving_endpoints"] != [leaving]:
                await anyio.sleep(0.1)

    async def test_requests_are_refused_while_all_servers_are_leaving(self):
        fleet = await self.start_fleet()
        for name in fleet.server_names:
            await fleet.announce_leaving(name)
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while True:
                response = await fleet.call("edge-0", "POST", "/records/1")
                if response.status != 200:
                    break
        self.assertEqual(response.status, 503)
        self.assertIn(b"retry-after", dict(response.headers))
