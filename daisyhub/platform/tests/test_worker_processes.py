"""Lots complete while workers and holders are killed and stopped.

The daemons' processors are stated to be slow, so that the holder has other
daemons execute its tasks.
"""

import contextlib
import signal
import unittest

import anyio

from daisyhub.testing.fleet import Fleet


@contextlib.asynccontextmanager
async def running_fleet(event_s):
    fleet = Fleet(daemons=5, event_s=event_s, settings={"processor_share": 0.1})
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.http.aclose()
        fleet.stop()


async def find_workers(fleet):
    """Waits until daemons have tasks; returns them and the holder."""
    holder = await fleet.holder()
    with anyio.fail_after(10):
        while True:
            workers = [
                name
                for name in fleet.daemon_names
                if (await fleet.status(name))["task_worker"]["tasks"]
            ]
            if workers:
                return holder, workers
            await anyio.sleep(0.02)


class WorkerProcessesTest(unittest.IsolatedAsyncioTestCase):
    def check_lot(self, results):
        """Checks that every item is listed once, complete and scored."""
        ids = {f"L-{g}-{n}" for g in range(3) for n in range(4)}
        self.assertEqual({r["id"] for r in results}, ids)
        self.assertEqual(len(results), len(ids))
        for result in results:
            text = "\n".join(f"{result['id']}-{n}" for n in range(1, 7))
            self.assertEqual(result["text"], text)
            self.assertTrue(result["score"])

    async def play(self, disturb, event_s=0.1):
        """Submits a lot, disturbs its daemons, and reads it at the others."""
        async with running_fleet(event_s) as fleet:
            holder = await fleet.holder()
            entry = next(d for d in fleet.daemon_names if d != holder)
            # Until the holder knows the other daemons.
            await anyio.sleep(1.0)
            self.assertEqual(await fleet.submit_lot(entry, "L"), 202)
            holder, workers = await find_workers(fleet)
            self.assertNotIn(holder, workers)
            down = await disturb(fleet, holder, workers)
            rest = [d for d in fleet.daemon_names if d not in down]
            self.check_lot(await fleet.read_whole_lot(rest, "L"))
            self.holder_log = fleet.read_log(holder)
            return await fleet.executed_requests()

    async def test_a_lot_is_run_by_other_daemons_than_its_holder(self):
        async def disturb(*_):
            return ()

        await self.play(disturb)
        self.check_holder_log()

    def check_holder_log(self):
        """Checks that all runs went to others, and each further one's reason.

        An item has further runs if the last one ended without a whole text,
        or beside an open one on another engine: a backup run, which a busy
        machine causes, too, as it makes an engine seem slow.
        """
        open_runs = {}
        for line in self.holder_log:
            item_id = line.get("id")
            match line["event"]:
                case "run_ordered":
                    self.assertNotEqual(line["worker"], line["at"])
                    others = open_runs.setdefault(item_id, {})
                    self.assertNotIn(line["endpoint"], others.values())
                    self.assertNotIn("complete", others)
                    others[line["run"]] = line["endpoint"]
                case "run":
                    del open_runs[item_id][line["run"]]
                    if line["outcome"].startswith("complete"):
                        open_runs[item_id]["complete"] = None
                case "run_cancelled" | "run_lost":
                    for runs in open_runs.values():
                        runs.pop(line["run"], None)
                case "duty_left":
                    self.fail(f"nothing was disturbed: {line}")
        self.assertEqual(len(open_runs), 12)
        for item_id, runs in open_runs.items():
            self.assertEqual(runs, {"complete": None}, item_id)

    async def test_the_items_of_a_killed_worker_are_resumed_by_others(self):
        async def disturb(fleet, _, workers):
            await anyio.sleep(0.3)
            fleet.signal(workers[0], signal.SIGKILL)
            return workers[:1]

        executed = await self.play(disturb, event_s=0.2)
        self.assertTrue(any(run["resumed"] for run in executed))

    async def test_a_stopped_worker_that_resumes_changes_nothing(self):
        async def disturb(fleet, _, workers):
            await anyio.sleep(0.2)
            fleet.signal(workers[0], signal.SIGSTOP)
            await anyio.sleep(2.5)
            fleet.signal(workers[0], signal.SIGCONT)
            return ()

        await self.play(disturb)

    async def test_a_lot_survives_its_holder_and_a_worker(self):
        async def disturb(fleet, holder, workers):
            await anyio.sleep(0.3)
            for name in (holder, workers[0]):
                fleet.signal(name, signal.SIGKILL)
            return (holder, workers[0])

        await self.play(disturb, event_s=0.2)
