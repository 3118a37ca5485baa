"""Servers that limit their request rate, with daemons as processes."""

import collections
import json
import time
import unittest

import anyio

from daisyhub.testing.fleet import Fleet

_DAEMONS = 4
# Of the users' rule: seconds from the first statement, length of the window,
# and what exceeds one and a half times the limit.
_GRACE_S = 3.0
_WINDOW_S = 4.0
_EXCESS = 5
_LIMIT_PER_S = 1.0
_CALLS_PER_S = 40
_PLAY_S = 9.0


def most_in_a_window(times_s):
    """Returns the most arrivals in a window that starts after the grace."""
    counted = [t for t in times_s if t >= times_s[0] + _GRACE_S]
    return max(
        (
            sum(start_s <= t < start_s + _WINDOW_S for t in counted)
            for start_s in counted
        ),
        default=0,
    )


class LimitProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, servers):
        fleet = Fleet(daemons=_DAEMONS, servers=servers)
        self.addCleanup(fleet.stop)
        self.addAsyncCleanup(fleet.http.aclose)
        await fleet.start()
        return fleet

    async def play(self, fleet, seconds=_PLAY_S):
        """Calls all daemons at a constant rate; returns the responses."""
        responses = []

        async def call(number):
            daemon = fleet.daemon_names[number % _DAEMONS]
            responses.append(
                await fleet.call(
                    daemon,
                    "POST",
                    f"/records/{number}",
                    request_id=f"q{number}",
                )
            )

        async with anyio.create_task_group() as tasks:
            started_s = time.monotonic()
            for number in range(int(seconds * _CALLS_PER_S)):
                due_s = started_s + number / _CALLS_PER_S
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                tasks.start_soon(call, number)
        return responses

    async def check_limits(self, fleet, servers):
        for name in servers:
            times_s = await fleet.limited_arrivals(name)
            allowed = 1.5 * _LIMIT_PER_S * _WINDOW_S + _EXCESS
            self.assertLessEqual(most_in_a_window(times_s), allowed, name)

    async def test_all_daemons_together_keep_to_the_limit(self):
        """Four daemons sent forty requests a second, whatever was stated."""
        fleet = await self.start_fleet(servers=3)
        limited = fleet.server_names[:2]
        for name in limited:
            await fleet.set_limit(name, _LIMIT_PER_S)
        responses = await self.play(fleet)
        await self.check_limits(fleet, limited)
        self.assertEqual({r.status for r in responses}, {200})

    async def test_what_exceeds_all_limits_is_refused_with_a_time(self):
        fleet = await self.start_fleet(servers=2)
        for name in fleet.server_names:
            await fleet.set_limit(name, _LIMIT_PER_S)
        self.assertEqual(await fleet.submit_lot("edge-0", "L"), 202)
        responses = await self.play(fleet)
        await self.check_limits(fleet, fleet.server_names)
        counts = collections.Counter(r.status for r in responses)
        self.assertEqual(set(counts), {200, 503})
        for response in responses:
            if response.status == 503:
                self.assertIn(b"retry-after", dict(response.headers))
                code = json.loads(response.body)["code"]
                self.assertEqual(code, "overloaded")
        ran = {run["id"] for run in await fleet.executed_requests()}
        refused = counts[503]
        self.assertEqual(len([i for i in ran if i[0] == "q"]), counts[200])
        self.assertGreater(refused, counts[200])

    async def test_a_limit_ends_with_a_response_without_it(self):
        fleet = await self.start_fleet(servers=1)
        (name,) = fleet.server_names
        await fleet.set_limit(name, _LIMIT_PER_S)
        await self.play(fleet, 2.0)
        await fleet.set_limit(name, None)
        await self.play(fleet, 3.0)
        for daemon in fleet.daemon_names:
            status = await fleet.status(daemon)
            self.assertEqual(status["limited_endpoints"], {})
        responses = await self.play(fleet, 1.0)
        self.assertEqual({r.status for r in responses}, {200})

    async def test_the_next_process_at_the_address_has_no_limit(self):
        fleet = await self.start_fleet(servers=1)
        (name,) = fleet.server_names
        await fleet.set_limit(name, 0.0)
        await self.play(fleet, 2.0)
        await fleet.set_limit(name, None)
        entry = {**fleet.build_server_entry(name), "born": 2}
        await fleet.put("servers", name, entry)
        with anyio.fail_after(20):
            while True:
                responses = await self.play(fleet, 0.5)
                if {r.status for r in responses} == {200}:
                    break
