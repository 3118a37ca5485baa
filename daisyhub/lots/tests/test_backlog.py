"""After a stop of all daemons, a new holder serves the steps still wanted."""

import types
import unittest

import anyio
import msgspec

from daisyhub.balancing import Release
from daisyhub.catalog import PoolShare
from daisyhub.logs import DecisionLog
from daisyhub.lots import ItemSpec, LotHead, LotHolder, LotSpec, LotStore
from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._listing_core import ListingCore
from daisyhub.lots._load_queue import LoadQueue
from daisyhub.lots._run_states import EngineView, Progress
from daisyhub.lots._run_types import (
    EnginesListed,
    LotOpened,
    StartRewardCall,
    StartRun,
)
from daisyhub.lots.tests import test_dispatch_core as dispatch
from daisyhub.lots.tests.trainer_play import Play, Trainer
from daisyhub.testing.object_store import Fault, MemoryStore
from daisyhub.testing.virtual_time import run_in_virtual_time

V1 = Release("pool", "v1")


def head(lot_id="L", **fields):
    return LotHead(
        **{
            "lot_id": lot_id,
            "account": "a",
            "host": "h",
            "path": "/p",
            "step": 1,
            "model": "m",
            "oldest_version": 1,
            "wanted_groups": 1,
            "total": 1,
            **fields,
        }
    )


class LossOfPowerTest(unittest.TestCase):
    def play(self, *, is_adaptive, outage_s, seeds=range(6)):
        """Returns the steps in time within 20 s after a loss of power."""
        in_time = 0
        for seed in seeds:
            trainers = [
                Trainer("a", groups=20, mean_events=13),
                Trainer("b", groups=20, mean_events=13, starts_s=0.5),
                Trainer("c", groups=14, mean_events=18, starts_s=1.0),
            ]
            play = Play(trainers, seed=seed, engines=6, adaptive=is_adaptive)
            play.run(20.0)
            in_time -= sum(trainer.in_time for trainer in trainers)
            play.lose_power(outage_s)
            play.run(40.0 + outage_s)
            in_time += sum(trainer.in_time for trainer in trainers)
        return in_time

    def test_more_steps_are_in_time_after_a_loss_of_power(self):
        """After 9 s, lots that their trainers gave up came first."""
        for outage_s in (2.0, 9.0):
            with self.subTest(outage_s=outage_s):
                today = self.play(is_adaptive=False, outage_s=outage_s)
                found = self.play(is_adaptive=True, outage_s=outage_s)
                self.assertGreater(found, today)


class KeptTextsTest(unittest.TestCase):
    def test_kept_texts_are_not_generated_again(self):
        """A whole text only lacks its reward call, a partial one its rest."""
        driver = dispatch.Driver()
        driver.feed(
            EnginesListed(
                tuple(
                    EngineView(
                        endpoint_id,
                        "pool",
                        1,
                        {"m": 1},
                        release=Release("pool", version),
                        is_adaptive=True,
                    )
                    for endpoint_id, version in (("e1", "v1"), ("e2", "v2"))
                )
            )
        )
        spec = dispatch.lot(
            dispatch.item("whole"), dispatch.item("part", hint=9)
        ).spec
        kept = {
            "whole": Progress(("x",), (1,), is_whole=True, release=V1),
            "part": Progress(("x", "y"), (1, 1), release=V1),
        }
        actions = driver.feed(
            LotOpened(spec, "pool", 10.0, 100.0, progress=kept)
        )
        (reward,) = [a for a in actions if isinstance(a, StartRewardCall)]
        self.assertEqual(reward.item.item_id, "whole")
        (run,) = [a for a in actions if isinstance(a, StartRun)]
        self.assertEqual(
            (run.item.item_id, run.endpoint_id, run.resume_after),
            ("part", "e1", 2),
        )


class LoadQueueTest(unittest.TestCase):
    def test_newest_open_lots_are_loaded_first_and_ended_ones_last(self):
        """Steps that were still wanted waited for lots that were given up."""
        started = []

        async def load(queue, number, is_ended):
            lot = head(accepted_s=float(number))
            async with queue.admit(lot, is_ended=is_ended):
                started.append((is_ended, number))
                await anyio.sleep(0.1)

        async def main():
            queue = LoadQueue(2, 1)
            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(load, queue, number, True)
                    tasks.start_soon(load, queue, number, False)

        run_in_virtual_time(main)
        # The first two loads begin before the others are known.
        self.assertEqual(started[0], (True, 0))
        self.assertEqual([n for e, n in started if not e], [0, 1, 3, 2])
        self.assertEqual([n for e, n in started if e], [0, 3, 2, 1])
        self.assertEqual([e for e, _ in started[1:5]], [False] * 4)

    def test_cancelled_loads_leave_the_queue(self):
        """A load that waited for a cancelled one waited for ever."""

        async def main():
            queue = LoadQueue(1, 1)
            async with queue.admit(head(), is_ended=False):
                for is_ended in (False, True):
                    with anyio.move_on_after(0.1):
                        async with queue.admit(head(), is_ended=is_ended):
                            self.fail("admitted")
            with anyio.fail_after(1.0):
                for is_ended in (False, True):
                    async with queue.admit(head(), is_ended=is_ended):
                        pass

        run_in_virtual_time(main)


class SavedTextsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.events = []
        self.store = MemoryStore()
        self.lots = LotStore(self.store)
        self.adaptive_pools = {"pool"}
        route = types.SimpleNamespace(shares=[PoolShare("pool", 1.0)])
        self.holder = LotHolder(
            types.SimpleNamespace(fencing=1, tenure=1),
            LotHolderDependencies(
                store=self.store,
                lots=self.lots,
                directory=None,
                manifests=types.SimpleNamespace(
                    manifest=types.SimpleNamespace(find_route=lambda *_: route)
                ),
                pool=types.SimpleNamespace(start_run=lambda *_: None),
                is_loading=None,
                has_lost_peers=lambda: False,
                clock=types.SimpleNamespace(now_s=lambda: 0.0),
                log=DecisionLog(
                    "d",
                    write=lambda line: self.events.append(
                        msgspec.json.decode(line)["event"]
                    ),
                ),
                unsent_bytes=lambda: 0,
                status_s=60.0,
                is_adaptive=lambda pool: pool in self.adaptive_pools,
            ),
        )
        self.kept = {"i": Progress(("x",), (1,), release=V1)}

    async def open(self):
        """Opens a lot with a kept text, as a new holder does."""
        item = ItemSpec(
            item_id="i", path="/p", headers={}, body=b"{}", group="g"
        )
        stored, _ = await self.lots.accept(
            LotSpec(head=head(max_wait_s=40.0), items=(item,))
        )
        lot = HeldLot(stored, ListingCore(1))
        self.holder._lots["L"] = lot
        with anyio.fail_after(5.0):
            await self.holder._load_lot(lot)

    def writes(self):
        return self.store.calls["create"] + self.store.calls["replace"]

    async def test_unchanged_texts_cause_no_store_call(self):
        """Each open lot cost a write a second, also while nothing ran."""
        await self.lots.save_progress("L", self.kept, 0)
        await self.open()
        await self.holder.save_unfinished_texts()
        self.store.calls.clear()
        await self.holder.save_unfinished_texts()
        self.assertFalse(+self.store.calls)

    async def test_texts_are_saved_again_after_a_failure(self):
        await self.lots.save_progress("L", self.kept, 0)
        await self.open()
        self.store.fail_next("create", Fault.REFUSED)
        await self.holder.save_unfinished_texts()
        self.store.calls.clear()
        await self.holder.save_unfinished_texts()
        self.assertTrue(self.writes())

    async def test_other_pools_save_each_time(self):
        self.adaptive_pools.clear()
        await self.lots.save_progress("L", self.kept, 0)
        await self.open()
        await self.holder.save_unfinished_texts()
        self.store.calls.clear()
        await self.holder.save_unfinished_texts()
        self.assertTrue(self.writes())

    async def test_unreadable_texts_do_not_keep_a_lot_closed(self):
        """Its load was retried for ever, and its step failed."""
        self.store.put("lot-progress", "L", b"[1]")
        await self.open()
        self.assertEqual(self.holder._core.open_lots, ("L",))
        self.assertIn("progress_unreadable", self.events)
