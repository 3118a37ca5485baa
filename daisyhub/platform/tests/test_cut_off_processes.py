"""Daemons that are cut off from all servers serve through their peers."""

import asyncio
import collections
import contextlib
import itertools
import unittest

import anyio

from daisyhub.connections import RequestFailedError
from daisyhub.testing.soak import LinkedFleet, LinkMode
from daisyhub.testing.stream_caller import StreamCaller

# Seconds from the beginning of a cut until callers must be served again: the
# platform's bound for a daemon that lost its contact.
CONTACT_S = 3.0
# Share of first attempts at daemons that are cut off, of those elsewhere, that
# must be served.
MIN_SHARE = 2 / 3
CALL_INTERVAL_S = 0.3


@contextlib.asynccontextmanager
async def running_fleet(daemons=6, servers=4):
    fleet = LinkedFleet(daemons=daemons, servers=servers)
    failure = None
    try:
        async with anyio.create_task_group() as tasks:
            await fleet.start_fakes()
            await fleet.open_links(tasks)
            await fleet.start_daemons()
            await anyio.sleep(1.0)
            try:
                yield fleet
            except AssertionError as exc:
                # Raised below, so that no exception group hides it.
                failure = exc
            tasks.cancel_scope.cancel()
    finally:
        await fleet.http.aclose()
        fleet.stop()
    if failure is not None:
        raise failure


class Load:
    """Sends requests of some kinds to daemons; counts the served ones."""

    def __init__(self, fleet, daemons, kinds):
        self.kinds = kinds
        self.fleet = fleet
        self.daemons = daemons
        self.numbers = itertools.count()
        self.served = collections.Counter()
        self.sent = collections.Counter()
        self.statuses = collections.Counter()
        self.writes = {}
        self.is_counting = False

    async def run(self):
        async with anyio.create_task_group() as tasks:
            while True:
                for daemon in self.daemons:
                    for kind in self.kinds:
                        tasks.start_soon(self.call, daemon, kind)
                await anyio.sleep(CALL_INTERVAL_S)

    async def call(self, daemon, kind):
        is_counted = self.is_counting
        request_id = f"{kind}{next(self.numbers)}"
        status = 0
        with contextlib.suppress(RequestFailedError):
            response = await self.fleet.call(
                daemon,
                "POST",
                f"/{kind}/{request_id}",
                request_id=request_id,
                headers=((b"daisyhub-deadline-ms", b"1000"),),
                timeout_s=1.5,
            )
            status = response.status
        if kind == "writes":
            self.writes[request_id] = status
        if is_counted:
            self.sent[daemon] += 1
            self.served[daemon] += status == 200
            self.statuses[daemon, kind, status] += 1

    def share(self, daemons):
        sent = sum(self.sent[d] for d in daemons)
        return sum(self.served[d] for d in daemons) / sent


class CutOffProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # This process carries all links; asyncio's debug mode, which the base
        # class sets, makes it the bottleneck.
        asyncio.get_running_loop().set_debug(False)

    async def play(self, mode, cut, kinds=("records", "writes"), for_s=6.0):
        """Cuts daemons off under load; checks who is served, and how often."""
        async with running_fleet() as fleet, anyio.create_task_group() as tasks:
            load = Load(fleet, fleet.daemon_names, kinds)
            tasks.start_soon(load.run)
            await anyio.sleep(1.5)
            for daemon in cut:
                fleet.cut_off(daemon, mode)
            await anyio.sleep(CONTACT_S)
            load.is_counting = True
            await anyio.sleep(for_s - CONTACT_S)
            load.is_counting = False
            for daemon in cut:
                fleet.cut_off(daemon, LinkMode.PASS)
            await anyio.sleep(CONTACT_S)
            statuses = [await fleet.status(d) for d in cut]
            ran = await fleet.executed_requests()
            tasks.cancel_scope.cancel()
        rest = [d for d in fleet.daemon_names if d not in cut]
        bound = MIN_SHARE * load.share(rest)
        self.assertGreaterEqual(load.share(cut), bound, load.statuses)
        for status in statuses:
            self.assertFalse(status["reach"]["is_cut_off"])
        counts = collections.Counter(run["id"] for run in ran)
        for request_id, status in load.writes.items():
            self.assertLessEqual(counts[request_id], 1, (request_id, status))
            if status in (429, 503):
                self.assertEqual(counts[request_id], 0, (request_id, status))

    async def test_callers_are_served_while_links_are_silent(self):
        await self.play(LinkMode.SILENT, ("edge-0", "edge-1", "edge-3"))

    async def test_callers_are_served_while_connections_are_reset(self):
        await self.play(LinkMode.RESET, ("edge-0", "edge-1", "edge-3"))

    async def test_callers_are_served_while_new_connections_are_refused(self):
        # A link accepts a connection before it refuses it, so the outcome of a
        # write there is unknown.
        await self.play(
            LinkMode.REFUSE, ("edge-0", "edge-1", "edge-3"), ("records",)
        )

    async def test_one_daemon_serves_for_all_others(self):
        cut = tuple(f"edge-{n}" for n in range(5))
        await self.play(LinkMode.SILENT, cut)

    async def test_a_lot_completes_whose_holder_is_cut_off(self):
        async with running_fleet() as fleet:
            holder = await fleet.holder()
            fleet.cut_off(holder, LinkMode.SILENT)
            entry = next(d for d in fleet.daemon_names if d != holder)
            self.assertEqual(await fleet.submit_lot(entry, "L"), 202)
            with anyio.fail_after(12):
                results = await fleet.read_whole_lot(fleet.daemon_names, "L")
            self.assertEqual({r["state"] for r in results}, {"completed"})

    async def test_streams_begin_and_go_on_at_a_daemon_that_is_cut_off(self):
        async with running_fleet() as fleet:
            fleet.cut_off("edge-1", LinkMode.SILENT)
            await anyio.sleep(CONTACT_S)
            callers = [StreamCaller(fleet, f"s{n}") for n in range(8)]
            for caller in callers[:4]:
                await caller.read("edge-0", max_events=2)
            for caller in callers:
                await caller.read("edge-1")
                self.assertEqual(len(caller.events), 6, caller.statuses)
                self.assertEqual(len(caller.software), 1, caller.events)
