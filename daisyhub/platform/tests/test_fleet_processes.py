"""End-to-end tests with daemons, a fake platform and servers as processes."""

import contextlib
import signal
import subprocess
import sys
import unittest

import anyio

from daisyhub.connections import RequestFailedError
from daisyhub.testing.fleet import KEY, Fleet


@contextlib.asynccontextmanager
async def running_fleet(**options):
    fleet = Fleet(**options)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.http.aclose()
        fleet.stop()


_SIGHUP_PROBE = """
import signal, sys
class ImportProbe:
    def find_spec(self, name, *_):
        if name == "anyio":
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            sys.exit()
sys.meta_path.insert(0, ImportProbe())
import daisyhub.platform.__main__
"""


class StartTest(unittest.TestCase):
    def test_sighup_is_ignored_during_the_imports(self):
        """A SIGHUP during the imports once ended the daemon."""
        completed = subprocess.run(
            [sys.executable, "-c", _SIGHUP_PROBE],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual(completed.stdout.strip(), "True")


class FleetProcessesTest(unittest.IsolatedAsyncioTestCase):
    def check_lot(self, results, lot_id, groups=3):
        """Checks that every item is listed once, complete and scored.

        A group has four items; a fake engine sends six events for each.
        """
        ids = {f"{lot_id}-{g}-{n}" for g in range(groups) for n in range(4)}
        self.assertEqual({r["id"] for r in results}, ids)
        self.assertEqual(len(results), len(ids))
        for result in results:
            text = "\n".join(f"{result['id']}-{n}" for n in range(1, 7))
            self.assertEqual(result["text"], text)
            self.assertEqual(result["versions"], [1])
            self.assertTrue(result["score"])

    async def test_lookups_lots_keys_and_usage(self):
        async with running_fleet() as fleet:
            response = await fleet.call("edge-0", "POST", "/records/7")
            self.assertEqual(response.status, 200)
            self.assertIn(b"daisyhub-server-stamp", dict(response.headers))
            for key, status in (("wrong", 401), ("", 401)):
                refused = await fleet.call(
                    "edge-1", "POST", "/records/7", key=key
                )
                self.assertEqual(refused.status, status)
            unknown = await fleet.call("edge-1", "GET", "/nowhere")
            self.assertEqual(unknown.status, 404)
            self.assertEqual(await fleet.submit_lot("edge-0", "L"), 202)
            self.assertEqual(await fleet.submit_lot("edge-2", "L"), 202)
            results = await fleet.read_whole_lot(fleet.daemon_names, "L")
            self.check_lot(results, "L")
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
            # The ids of reward calls end with "r".
            item_accounts = {r["account"] for r in items if r["id"][-1] != "r"}
            self.assertEqual(item_accounts, {"t"})
            await self.wait_for_usage(fleet, 1)

    async def wait_for_usage(self, fleet, count):
        """Waits until the usage reports add up to `count` requests.

        All reports of a window must have equal counts.
        """
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

    async def test_withdrawn_key_is_rejected_by_all_daemons(self):
        async with running_fleet() as fleet:
            await fleet.write_config({"t": ["other"]})
            with anyio.fail_after(5):
                for daemon in fleet.daemon_names:
                    while True:
                        response = await fleet.call(
                            daemon, "POST", "/records/7"
                        )
                        if response.status == 401:
                            break
                        await anyio.sleep(0.05)

    async def test_lot_completes_after_its_holder_is_killed(self):
        async with running_fleet(event_s=0.1) as fleet:
            holder = await fleet.holder()
            others = [d for d in fleet.daemon_names if d != holder]
            self.assertEqual(await fleet.submit_lot(others[0], "L"), 202)
            await anyio.sleep(0.5)
            fleet.signal(holder, signal.SIGKILL)
            fleet.processes[holder].wait()
            results = await fleet.read_whole_lot(others, "L")
            self.check_lot(results, "L")

    async def test_leaving_holder_transfers_unfinished_texts(self):
        """Stopping the daemons in turn once restarted all items of a lot."""
        await self.check_resumption(signal.SIGTERM, 1.0)

    async def test_unfinished_texts_survive_the_kill_of_the_holder(self):
        """Each kill of a holder once restarted the longest items of a step."""
        await self.check_resumption(signal.SIGKILL, 2.4)

    async def check_resumption(self, signal_number, after_s):
        """Checks that items are resumed after a signal to the lot's holder.

        The signal is sent `after_s` seconds after the lot was accepted. An item
        takes about 3 s, and the holder saves unfinished texts each second.
        """
        async with running_fleet(event_s=0.5) as fleet:
            holder = await fleet.holder()
            others = [d for d in fleet.daemon_names if d != holder]
            self.assertEqual(await fleet.submit_lot(others[0], "L"), 202)
            await anyio.sleep(after_s)
            fleet.signal(holder, signal_number)
            results = await fleet.read_whole_lot(others, "L")
            self.check_lot(results, "L")
            executed_requests = await fleet.executed_requests()
            self.assertTrue(any(run["resumed"] for run in executed_requests))

    async def test_holder_resumed_after_its_replacement_changes_nothing(self):
        async with running_fleet(event_s=0.1) as fleet:
            holder = await fleet.holder()
            others = [d for d in fleet.daemon_names if d != holder]
            self.assertEqual(await fleet.submit_lot(others[0], "L"), 202)
            await anyio.sleep(0.4)
            fleet.signal(holder, signal.SIGSTOP)
            results = await fleet.read_whole_lot(others, "L")
            fleet.signal(holder, signal.SIGCONT)
            self.check_lot(results, "L")
            repeated = await fleet.read_whole_lot(fleet.daemon_names, "L")
            self.assertEqual(repeated, results)

    async def test_without_the_store_lookups_work_and_lots_are_refused(self):
        async with running_fleet() as fleet:
            await fleet.holder()
            await fleet.inject_fault("platform", {"kind": "hang"})
            for number in range(10):
                response = await fleet.call(
                    fleet.daemon_names[number % 3], "POST", "/records/7"
                )
                self.assertEqual(response.status, 200)
            self.assertIn(await fleet.submit_lot("edge-0", "L"), (503, 504))
            await fleet.inject_fault("platform", None)
            with anyio.fail_after(10):
                while await fleet.submit_lot("edge-0", "L") != 202:
                    await anyio.sleep(0.2)
            results = await fleet.read_whole_lot(fleet.daemon_names, "L")
            self.check_lot(results, "L")

    async def test_sigterm_fails_no_request(self):
        async with running_fleet(event_s=0.3) as fleet:
            statuses = []

            async def look_up(number):
                try:
                    response = await fleet.call(
                        "edge-0", "POST", f"/records/{number}"
                    )
                    statuses.append(response.status)
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
                    # Operators and tools may send several signals.
                    repeated = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
                    fleet.signal("edge-0", repeated[number % 3])
            self.assertEqual(statuses, [200] * 12)
            self.assertEqual(fleet.processes["edge-0"].wait(10), 0)
            events = [line["event"] for line in fleet.read_log("edge-0")]
            self.assertIn("stopped", events)

    async def test_request_partly_received_at_the_end_of_the_notice_is_served(
        self,
    ):
        """A daemon once exited after receiving only a part of a request."""
        request = (
            b"POST /records/7 HTTP/1.1\r\nhost: a.example\r\n"
            b"daisyhub-request-id: q\r\napi-key: " + KEY.encode() + b"\r\n"
            b"content-length: 0\r\n\r\n"
        )
        async with running_fleet() as fleet:
            fleet.signal("edge-0", signal.SIGTERM)
            # Shortly before the end of the notice, which takes 2.3 s.
            await anyio.sleep(2.1)
            port = fleet.ports["edge-0/front"]
            async with await anyio.connect_tcp("127.0.0.1", port) as conn:
                await conn.send(request[:60])
                await anyio.sleep(0.5)
                await conn.send(request[60:])
                response = await conn.receive()
            self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
            self.assertEqual(fleet.processes["edge-0"].wait(10), 0)

    async def test_accepted_lot_survives_the_kill_of_all_daemons(self):
        async with running_fleet(event_s=0.1) as fleet:
            self.assertEqual(await fleet.submit_lot("edge-0", "L"), 202)
            for daemon in fleet.daemon_names:
                fleet.signal(daemon, signal.SIGKILL)
                fleet.processes[daemon].wait()
            for daemon in fleet.daemon_names:
                fleet.start_daemon(daemon)
            for daemon in fleet.daemon_names:
                await fleet.wait_until_ready(daemon)
            results = await fleet.read_whole_lot(fleet.daemon_names, "L")
            self.check_lot(results, "L")
