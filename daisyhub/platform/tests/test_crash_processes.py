"""A request under which servers end, with daemons as processes."""

import collections
import itertools
import json
import time
import unittest

import anyio

from daisyhub.testing.fake_fleet import CRASH_STATUS
from daisyhub.testing.fleet import Fleet

_DAEMONS = 4
_SERVERS = 4
# Of the users' rule: seconds after the third end, and the further requests.
_GRACE_S = 3.0
_MAX_RETRIES = 3
# Seconds until a server that ended is back as another process.
_RESTART_S = 1.5
_CRASH = "/records/crash"


class CrashProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self):
        fleet = Fleet(daemons=_DAEMONS, servers=_SERVERS, event_s=0.03)
        self.addCleanup(fleet.stop)
        self.addAsyncCleanup(fleet.http.aclose)
        await fleet.start()
        self.ends_s = []
        self.numbers = itertools.count()
        return fleet

    async def restart_servers(self, fleet):
        """Starts each server that ended again, as another process."""

        async def restart(name):
            if fleet.processes[name].returncode == CRASH_STATUS:
                self.ends_s.append(time.monotonic())
            await anyio.sleep(_RESTART_S)
            await fleet.restart_server(name)
            down.discard(name)

        down = set()
        async with anyio.create_task_group() as tasks:
            while True:
                for name in fleet.server_names:
                    if name in down or fleet.processes[name].poll() is None:
                        continue
                    down.add(name)
                    tasks.start_soon(restart, name)
                await anyio.sleep(0.01)

    async def call(self, fleet, target, body=b""):
        number = next(self.numbers)
        return await fleet.call(
            fleet.daemon_names[number % _DAEMONS],
            "POST",
            target,
            request_id=f"q{number}",
            body=body,
        )

    async def repeat(self, fleet, seconds, interval_s, target, body=b""):
        """Sends requests at a constant rate; returns their responses."""
        responses = []
        started_s = time.monotonic()

        async def call(number):
            text = target.format(number)
            responses.append(await self.call(fleet, text, body))

        async with anyio.create_task_group() as tasks:
            for number in range(int(seconds / interval_s)):
                due_s = started_s + number * interval_s
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                tasks.start_soon(call, number)
        return responses

    async def play(self, fleet, seconds, bodies=(b"",)):
        """Repeats crashing requests beside look-ups; returns all responses."""
        results = {}

        async def run(key, *args):
            results[key] = await self.repeat(fleet, seconds, *args)

        async with anyio.create_task_group() as outer:
            outer.start_soon(self.restart_servers, fleet)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run, "look-ups", 0.1, "/records/{}")
                for body in bodies:
                    tasks.start_soon(run, body, 0.3, _CRASH, body)
            outer.cancel_scope.cancel()
        return results

    def check_ends(self):
        """Checks the users' bound for one request that ends servers."""
        third_s = sorted(self.ends_s)[2]
        late = [t for t in self.ends_s if t > third_s + _GRACE_S]
        self.assertLessEqual(len(late), _MAX_RETRIES)

    async def test_it_is_sent_no_more_once_three_servers_ended(self):
        """It was sent again for as long as its caller repeated it."""
        fleet = await self.start_fleet()
        await self.play(fleet, 12.0)
        self.check_ends()
        ended = len(self.ends_s)
        results = await self.play(fleet, 4.0)
        self.assertEqual(len(self.ends_s), ended)
        self.assertEqual({r.status for r in results[b""]}, {502})
        for response in results[b""]:
            self.assertNotIn(b"retry-after", dict(response.headers))
            code = json.loads(response.body)["code"]
            self.assertEqual(code, "request_blocked")
        self.assertEqual({r.status for r in results["look-ups"]}, {200})

    async def test_three_such_requests_at_once_are_all_blocked(self):
        fleet = await self.start_fleet()
        bodies = (b"1", b"2", b"3")
        await self.play(fleet, 20.0, bodies)
        ended = len(self.ends_s)
        # Two that run at the same server end it together.
        self.assertLessEqual(ended, len(bodies) * (3 + _MAX_RETRIES))
        results = await self.play(fleet, 4.0, bodies)
        self.assertEqual(len(self.ends_s), ended)
        self.assertEqual({r.status for r in results["look-ups"]}, {200})

    async def test_a_daemon_that_starts_later_blocks_it_and_it_can_be_lifted(
        self,
    ):
        fleet = await self.start_fleet()
        await self.play(fleet, 8.0)
        name = fleet.daemon_names[0]
        fleet.processes[name].kill()
        fleet.processes[name].wait()
        fleet.start_daemon(name)
        await fleet.wait_until_ready(name)
        with anyio.fail_after(20):
            while not (await fleet.status(name))["blocked_requests"]:
                await anyio.sleep(0.1)
        ended = len(self.ends_s)
        response = await fleet.call(name, "POST", _CRASH)
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.ends_s), ended)
        (blocked,) = (await fleet.status(name))["blocked_requests"]
        lifted = await fleet.http.request(
            "DELETE",
            fleet.address(f"{name}/metrics"),
            f"/blocked/{blocked['content']}",
            timeout_s=5.0,
        )
        self.assertEqual(lifted.status, 200)
        with anyio.fail_after(20):
            for daemon in fleet.daemon_names:
                while (await fleet.status(daemon))["blocked_requests"]:
                    await anyio.sleep(0.1)

    async def test_items_are_never_blocked(self):
        """An item runs beside; the servers that end take its run along."""
        fleet = await self.start_fleet()
        self.assertEqual(await fleet.submit_lot("edge-0", "L"), 202)
        await self.play(fleet, 6.0)
        results = await fleet.read_whole_lot(fleet.daemon_names, "L")
        self.assertEqual(len(results), 12)
        counts = collections.Counter(r["state"] for r in results)
        self.assertEqual(counts, {"completed": 12})
