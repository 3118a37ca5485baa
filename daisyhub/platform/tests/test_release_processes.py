"""Texts and streams while endpoints of two software versions serve."""

import contextlib
import signal
import unittest

import anyio

from daisyhub.testing.fleet import Fleet
from daisyhub.testing.stream_caller import StreamCaller

STREAMS = 24


@contextlib.asynccontextmanager
async def running_fleet(event_s):
    fleet = Fleet(daemons=5, servers=4, event_s=event_s)
    fleet.software = {"i-2": "v2", "i-3": "v2"}
    try:
        await fleet.start()
        await anyio.sleep(1.0)
        yield fleet
    finally:
        await fleet.http.aclose()
        fleet.stop()


async def read_all(callers, daemons, max_events=1000):
    """Has each caller send one request, spread over the daemons."""
    async with anyio.create_task_group() as tasks:
        for number, caller in enumerate(callers):
            daemon = daemons[number % len(daemons)]
            tasks.start_soon(caller.read, daemon, max_events)


class ReleaseProcessesTest(unittest.IsolatedAsyncioTestCase):
    def check_text(self, text, name, message=""):
        """Checks that a text is whole and of one software version."""
        marks = {line.partition("@")[2] for line in text}
        self.assertEqual(len(marks), 1, (message, text))
        lines = [line.partition("@")[0] for line in text]
        self.assertEqual(lines, [f"{name}-{n}" for n in range(1, 7)])

    async def test_no_item_joins_texts_of_two_software_versions(self):
        async with running_fleet(0.2) as fleet:
            self.assertEqual(await fleet.submit_lot("edge-1", "L"), 202)
            await anyio.sleep(0.7)
            fleet.kill_server("i-0")
            fleet.kill_server("i-2")
            results = await fleet.read_whole_lot(fleet.daemon_names, "L")
            runs = await fleet.executed_requests("i-1", "i-3")
            self.assertTrue(any(run["resumed"] for run in runs))
        for result in results:
            self.check_text(result["text"].split("\n"), result["id"])

    async def test_no_stream_joins_two_software_versions_at_another_daemon(
        self,
    ):
        async with running_fleet(0.1) as fleet:
            callers = [StreamCaller(fleet, f"s{n}") for n in range(STREAMS)]
            await read_all(callers, fleet.daemon_names, max_events=2)
            fleet.signal("edge-0", signal.SIGKILL)
            fleet.signal("edge-3", signal.SIGKILL)
            rest = ["edge-1", "edge-2", "edge-4"]
            await read_all(callers, rest, max_events=2)
            await read_all(callers, rest[1:])
        self.assertEqual({v for c in callers for v in c.software}, {"v1", "v2"})
        finished = [c for c in callers if len(c.events) == 6]
        self.assertGreaterEqual(len(finished), STREAMS // 2)
        for caller in finished:
            self.check_text(caller.events, caller.name, caller.statuses)

    async def test_no_stream_joins_versions_at_a_process_not_listed_yet(self):
        """All daemons took the new process for that of its last entry."""
        async with running_fleet(0.1) as fleet:
            fleet.software = {}
            fleet.kill_server("i-2")
            fleet.kill_server("i-3")
            await fleet.restart_server("i-2")
            await fleet.restart_server("i-3")
            await anyio.sleep(1.0)
            callers = [StreamCaller(fleet, f"s{n}") for n in range(STREAMS)]
            await read_all(callers, fleet.daemon_names, max_events=2)
            fleet.software = {"i-0": "v2", "i-1": "v2"}
            for server in ("i-0", "i-1"):
                fleet.kill_server(server)
                await fleet.restart_server(server, is_listed=False)
            await read_all(callers, fleet.daemon_names[::-1])
        finished = [c for c in callers if len(c.events) == 6]
        self.assertGreaterEqual(len(finished), STREAMS // 2)
        for caller in finished:
            self.check_text(caller.events, caller.name, caller.statuses)

    async def test_a_stream_whose_first_request_is_unknown_is_refused(self):
        async with running_fleet(0.05) as fleet:
            for headers in (
                ((b"last-event-id", b"2"),),
                ((b"last-event-id", b"2"), (b"resumes", b"nobody")),
            ):
                response = await fleet.call(
                    "edge-1", "POST", "/chat/x", headers=headers
                )
                self.assertEqual(response.status, 503, response.body)
            self.assertEqual(await fleet.executed_requests(), [])
