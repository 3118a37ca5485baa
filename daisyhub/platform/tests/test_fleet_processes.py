"""The whole path on a stand-in of the platform, as separate processes."""

import contextlib
import signal
import subprocess
import sys
import unittest

import anyio

from daisyhub.connections import RequestFailedError
from daisyhub.testing.fleet import KEY, Fleet


@contextlib.asynccontextmanager
async def running(**options):
    fleet = Fleet(**options)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.http.aclose()
        fleet.stop()


_SPY = """
import signal, sys
class Spy:
    def find_spec(self, name, *_):
        if name == "anyio":
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            sys.exit()
sys.meta_path.insert(0, Spy())
import daisyhub.platform.__main__
"""


class StartTest(unittest.TestCase):
    def test_a_hang_up_is_ignored_before_the_long_imports(self):
        """SIGHUP killed a daemon that still imported its modules."""
        told = subprocess.run(
            [sys.executable, "-c", _SPY],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual(told.stdout.strip(), "True")


class FleetProcesses(unittest.IsolatedAsyncioTestCase):
    def check_lot(self, results, lot_id, groups=3):
        """Every item stands once, whole and scored."""
        ids = {f"{lot_id}-{g}-{n}" for g in range(groups) for n in range(4)}
        self.assertEqual({r["id"] for r in results}, ids)
        self.assertEqual(len(results), len(ids))
        for result in results:
            text = "\n".join(f"{result['id']}-{n}" for n in range(1, 7))
            self.assertEqual(result["text"], text)
            self.assertEqual(result["versions"], [1])
            self.assertTrue(result["score"])

    async def test_look_ups_lots_keys_and_usage(self):
        async with running() as fleet:
            answer = await fleet.call("edge-0", "POST", "/records/7")
            self.assertEqual(answer.status, 200)
            self.assertIn(b"daisyhub-server-stamp", dict(answer.headers))
            for key, status in (("wrong", 401), ("", 401)):
                refused = await fleet.call(
                    "edge-1", "POST", "/records/7", key=key
                )
                self.assertEqual(refused.status, status)
            unknown = await fleet.call("edge-1", "GET", "/nowhere")
            self.assertEqual(unknown.status, 404)
            self.assertEqual(await fleet.submit_lot("edge-0", "L"), 202)
            self.assertEqual(await fleet.submit_lot("edge-2", "L"), 202)
            listed = await fleet.read_whole_lot(fleet.daemon_names, "L")
            self.check_lot(listed, "L")
            body = await fleet.call("edge-1", "GET", "/v1/items/L?id=L-0-0")
            self.assertEqual(body.body, b"prompt")
            for daemon in ("edge-1", "edge-2", "edge-1"):
                ended = await fleet.call(daemon, "DELETE", "/v1/lots/L")
                self.assertEqual(ended.status, 200)
            absent = await fleet.call("edge-1", "GET", "/v1/lots/none")
            self.assertEqual(absent.status, 404)
            executed_requests = await fleet.executed_requests()
            self.assertFalse(any(run["has_key"] for run in executed_requests))
            items = [r for r in executed_requests if r["id"].startswith("L-")]
            by_item = {r["account"] for r in items if r["id"][-1] != "r"}
            self.assertEqual(by_item, {"t"})
            await self.usage_is(fleet, 1)

    async def usage_is(self, fleet, count):
        """Waits for the reports; each window has one set of figures."""
        with anyio.fail_after(15):
            while True:
                reports = await fleet.usage()
                windows = {}
                for report in reports:
                    window = report["window-id"]
                    known = windows.setdefault(window, report["counts"])
                    self.assertEqual(known, report["counts"])
                total = sum(c.get("t", 0) for c in windows.values())
                self.assertLessEqual(total, count)
                if total == count:
                    return
                await anyio.sleep(0.2)

    async def test_a_withdrawn_key_stops_working_everywhere(self):
        async with running() as fleet:
            await fleet.write_config({"t": ["other"]})
            with anyio.fail_after(5):
                for daemon in fleet.daemon_names:
                    while True:
                        answer = await fleet.call(daemon, "POST", "/records/7")
                        if answer.status == 401:
                            break
                        await anyio.sleep(0.05)

    async def test_a_lot_survives_the_kill_of_its_holder(self):
        async with running(event_s=0.1) as fleet:
            holder = await fleet.holder()
            others = [d for d in fleet.daemon_names if d != holder]
            self.assertEqual(await fleet.submit_lot(others[0], "L"), 202)
            await anyio.sleep(0.5)
            fleet.signal(holder, signal.SIGKILL)
            fleet.processes[holder].wait()
            listed = await fleet.read_whole_lot(others, "L")
            self.check_lot(listed, "L")

    async def test_a_leaving_holder_hands_its_texts_over(self):
        """Daemons stopped in turn began every item of a lot anew."""
        await self.check_resumption(signal.SIGTERM, 1.0)

    async def test_texts_survive_the_kill_of_their_holder(self):
        """A step's longest samples began anew after each kill."""
        await self.check_resumption(signal.SIGKILL, 2.4)

    async def check_resumption(self, number, after_s):
        async with running(event_s=0.5) as fleet:
            holder = await fleet.holder()
            others = [d for d in fleet.daemon_names if d != holder]
            self.assertEqual(await fleet.submit_lot(others[0], "L"), 202)
            await anyio.sleep(after_s)
            fleet.signal(holder, number)
            listed = await fleet.read_whole_lot(others, "L")
            self.check_lot(listed, "L")
            executed_requests = await fleet.executed_requests()
            self.assertTrue(any(run["resumed"] for run in executed_requests))

    async def test_a_frozen_holder_that_wakes_up_changes_nothing(self):
        async with running(event_s=0.1) as fleet:
            holder = await fleet.holder()
            others = [d for d in fleet.daemon_names if d != holder]
            self.assertEqual(await fleet.submit_lot(others[0], "L"), 202)
            await anyio.sleep(0.4)
            fleet.signal(holder, signal.SIGSTOP)
            listed = await fleet.read_whole_lot(others, "L")
            fleet.signal(holder, signal.SIGCONT)
            self.check_lot(listed, "L")
            again = await fleet.read_whole_lot(fleet.daemon_names, "L")
            self.assertEqual(again, listed)

    async def test_look_ups_go_on_without_the_store_and_lots_wait(self):
        async with running() as fleet:
            await fleet.holder()
            await fleet.inject_fault("platform", {"kind": "hang"})
            for number in range(10):
                answer = await fleet.call(
                    fleet.daemon_names[number % 3], "POST", "/records/7"
                )
                self.assertEqual(answer.status, 200)
            self.assertIn(await fleet.submit_lot("edge-0", "L"), (503, 504))
            await fleet.inject_fault("platform", None)
            with anyio.fail_after(10):
                while await fleet.submit_lot("edge-0", "L") != 202:
                    await anyio.sleep(0.2)
            listed = await fleet.read_whole_lot(fleet.daemon_names, "L")
            self.check_lot(listed, "L")

    async def test_sigterm_cuts_no_request(self):
        async with running(event_s=0.3) as fleet:
            statuses = []

            async def look_up(number):
                try:
                    answer = await fleet.call(
                        "edge-0", "POST", f"/records/{number}"
                    )
                    statuses.append(answer.status)
                except RequestFailedError as exc:
                    statuses.append(str(exc))

            async with anyio.create_task_group() as tasks:
                for number in range(6):
                    tasks.start_soon(look_up, number)
                    await anyio.sleep(0.05)
                fleet.signal("edge-0", signal.SIGTERM)
                for number in range(6, 12):
                    tasks.start_soon(look_up, number)
                    await anyio.sleep(0.1)
                    # Operators and tools may repeat themselves.
                    again = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
                    fleet.signal("edge-0", again[number % 3])
            self.assertEqual(statuses, [200] * 12)
            self.assertEqual(fleet.processes["edge-0"].wait(10), 0)
            events = [line["event"] for line in fleet.read_log("edge-0")]
            self.assertIn("stopped", events)

    async def test_a_request_half_sent_at_the_end_of_the_notice_is_served(self):
        """The daemon left while a part of a request's head had come."""
        request = (
            b"POST /records/7 HTTP/1.1\r\nhost: a.example\r\n"
            b"daisyhub-request-id: q\r\napi-key: " + KEY.encode() + b"\r\n"
            b"content-length: 0\r\n\r\n"
        )
        async with running() as fleet:
            fleet.signal("edge-0", signal.SIGTERM)
            await anyio.sleep(2.1)
            port = fleet.ports["edge-0/front"]
            async with await anyio.connect_tcp("127.0.0.1", port) as conn:
                await conn.send(request[:60])
                await anyio.sleep(0.5)
                await conn.send(request[60:])
                answer = await conn.receive()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            self.assertEqual(fleet.processes["edge-0"].wait(10), 0)

    async def test_all_daemons_killed_lose_no_accepted_lot(self):
        async with running(event_s=0.1) as fleet:
            self.assertEqual(await fleet.submit_lot("edge-0", "L"), 202)
            for daemon in fleet.daemon_names:
                fleet.signal(daemon, signal.SIGKILL)
                fleet.processes[daemon].wait()
            for daemon in fleet.daemon_names:
                fleet.start_daemon(daemon)
            for daemon in fleet.daemon_names:
                await fleet.wait_until_ready(daemon)
            listed = await fleet.read_whole_lot(fleet.daemon_names, "L")
            self.check_lot(listed, "L")
