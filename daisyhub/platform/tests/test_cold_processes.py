"""Cold servers, with daemons as processes."""

import collections
import time
import unittest

import anyio

from daisyhub.testing.fleet import Fleet

_DAEMONS = 4
_RATE = 4.0
# The users' bound in any second.
_BOUND = 1.5 * _RATE + 5
# Seconds until all daemons know that a server became cold again: the delay
# for which readers batch changes, and the way.
_KNOWN_S = 1.0
_COLD_S = 8.0
# The same for a check whose time depends on the speed of the machine.
_LONG_COLD_S = 60.0
_CALLS_PER_S = 80
# Seconds after its start for which a daemon decides about no cold server.
_SETTLED_S = 3.5


def most_in_a_second(times_s):
    return max(
        (sum(s <= t < s + 1 for t in times_s) for s in times_s), default=0
    )


class ColdProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, servers):
        fleet = Fleet(daemons=_DAEMONS, servers=servers)
        fleet.pool_fields = {"cold-per-s": _RATE, "cold-start-s": 2.0}
        self.addCleanup(fleet.stop)
        self.addAsyncCleanup(fleet.http.aclose)
        await fleet.start()
        await anyio.sleep(_SETTLED_S)
        return fleet

    async def play(self, fleet, seconds):
        """Calls all daemons at a constant rate; returns the responses."""
        responses = []

        async def call(number):
            daemon = fleet.daemon_names[number % _DAEMONS]
            started_s = time.monotonic()
            response = await fleet.call(daemon, "POST", f"/records/{number}")
            responses.append((response, time.monotonic() - started_s))

        async with anyio.create_task_group() as tasks:
            started_s = time.monotonic()
            for number in range(int(seconds * _CALLS_PER_S)):
                due_s = started_s + number / _CALLS_PER_S
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                tasks.start_soon(call, number)
        return responses

    async def make_cold(self, fleet, name, left_s=_COLD_S):
        """Writes an entry; returns when the store confirmed it."""
        entry = {
            **fleet.build_server_entry(name),
            "cold-left-ms": left_s * 1000,
        }
        await fleet.put("servers", name, entry)
        return time.monotonic()

    async def arrivals(self, fleet, name, from_s, to_s):
        return [
            arrival["at_s"]
            for arrival in await fleet.received(name)
            if from_s <= arrival["at_s"] < to_s
        ]

    async def test_a_server_that_becomes_cold_again_gets_its_rate_only(self):
        """Four daemons went on sending to it at the usual rate."""
        fleet = await self.start_fleet(servers=2)
        responses = []

        async def play():
            responses.extend(await self.play(fleet, 9.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(play)
            await anyio.sleep(1.0)
            cold_at_s = await self.make_cold(fleet, "i-0")
            for number in range(4):
                lot_id = f"L{number}"
                status = await fleet.submit_lot("edge-0", lot_id, 9)
                self.assertEqual(status, 202)
                await anyio.sleep(1.5)
        times_s = await self.arrivals(
            fleet, "i-0", cold_at_s + _KNOWN_S, cold_at_s + _COLD_S
        )
        self.assertLessEqual(most_in_a_second(times_s), _BOUND)
        counts = collections.Counter(r.status for r, _ in responses)
        self.assertEqual(set(counts), {200})
        for number in range(4):
            lot_id = f"L{number}"
            results = await fleet.read_whole_lot(fleet.daemon_names, lot_id)
            self.assertEqual({r["state"] for r in results}, {"completed"})

    async def test_what_all_cold_servers_do_not_tolerate_is_refused(self):
        fleet = await self.start_fleet(servers=2)
        for name in fleet.server_names:
            cold_at_s = await self.make_cold(fleet, name, _LONG_COLD_S)
        await anyio.sleep(_KNOWN_S)
        responses = await self.play(fleet, 5.0)
        for name in fleet.server_names:
            times_s = await self.arrivals(
                fleet, name, cold_at_s + _KNOWN_S, cold_at_s + _COLD_S
            )
            self.assertLessEqual(most_in_a_second(times_s), _BOUND, name)
        counts = collections.Counter(r.status for r, _ in responses)
        self.assertEqual(set(counts), {200, 503})
        self.assertGreaterEqual(counts[200], _RATE * 2 * 3)
        for response, took_s in responses:
            if response.status == 503:
                self.assertIn(b"retry-after", dict(response.headers))
                self.assertLess(took_s, 1.0)
        status = await fleet.status("edge-0")
        self.assertEqual(set(status["cold_endpoints"]), {"i-0", "i-1"})

    async def test_a_server_that_has_just_started_is_cold(self):
        """Its first seconds brought the usual rate to a new server."""
        fleet = await self.start_fleet(servers=1)
        born_s = time.time()
        entry = {
            **fleet.build_server_entry("i-0"),
            "born": int(born_s * 1000),
        }
        await fleet.put("servers", "i-0", entry)
        listed_at_s = time.monotonic()
        await anyio.sleep(_KNOWN_S)
        await self.play(fleet, 3.0)
        times_s = await self.arrivals(
            fleet, "i-0", listed_at_s + _KNOWN_S, listed_at_s + 2.0
        )
        self.assertLessEqual(len(times_s), _BOUND)
        later_s = await self.arrivals(
            fleet, "i-0", listed_at_s + 2.5, listed_at_s + 4.0
        )
        self.assertGreater(len(later_s), 2 * _BOUND)
