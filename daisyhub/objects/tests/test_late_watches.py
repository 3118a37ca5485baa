"""Watches that are behind are noticed, and older states change nothing."""

import unittest

import anyio

from daisyhub.logs import DecisionLog
from daisyhub.objects import KindWatcher, ObjectList, StoredObject, WatchBatch
from daisyhub.testing.object_store import Fault, MemoryStore


class FedStore(MemoryStore):
    """A store whose watches return what a test feeds them."""

    def __init__(self):
        super().__init__()
        self.send, self._batches = anyio.create_memory_object_stream(10)

    async def watch(self, kind, *, after_revision, wait_s, can_be_stale=False):
        self.calls["stale watch" if can_be_stale else "watch"] += 1
        return await self._batches.receive()


class LateWatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reported = []
        self.log = DecisionLog("d", write=lambda _: True)

    async def run_with(self, store, test, **options):
        watcher = KindWatcher(
            store, "k", self.log, self.reported.append, **options
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            with anyio.fail_after(10):
                await watcher.synced.wait()
                await test(watcher)
            tasks.cancel_scope.cancel()

    async def wait_until(self, is_met):
        while not is_met():
            await anyio.sleep(0.001)

    async def test_a_watch_that_delivers_only_older_changes_is_given_up(self):
        store = FedStore()

        async def test(watcher):
            older = [store.put("k", f"old-{n}", b"1") for n in range(4)]
            newest = store.put("k", "new", b"1").revision
            for number, change in enumerate(older):
                watcher.record_peer_revision(newest, 0.2 * number)
                await store.send.send(
                    WatchBatch(revision=change.revision, changes=(change,))
                )
                await self.wait_until(
                    lambda c=change: c.name in watcher.objects
                )
            await self.wait_until(lambda: "new" in watcher.objects)

        await self.run_with(store, test)

    async def test_peers_learn_of_a_removal_that_only_a_list_showed(self):
        store = MemoryStore()
        store.put("k", "a", b"1")
        store.fail_next("watch", Fault.EMPTY)

        async def test(watcher):
            await self.wait_until(lambda: store.calls["watch"] == 1)
            before = watcher.newest_revision
            store.drop("k", "a")
            await watcher.verify()
            self.assertEqual(watcher.objects, {})
            self.assertGreater(watcher.newest_revision, before)

        await self.run_with(store, test)

    async def test_an_older_list_does_not_bring_a_removed_object_back(self):
        store = MemoryStore()
        removed = store.put("k", "a", b"1")

        class Behind(MemoryStore):
            """Its second list is that of a copy which is behind."""

            async def list_all(self, kind):
                self.calls["list_all"] += 1
                if self.calls["list_all"] == 2:
                    return ObjectList(
                        revision=removed.revision, items=(removed,)
                    )
                return await store.list_all(kind)

            async def watch(self, kind, **options):
                if self.calls["list_all"] == 2:
                    await anyio.sleep_forever()
                return await store.watch(kind, **options)

        behind = Behind()

        async def test(watcher):
            store.drop("k", "a")
            await self.wait_until(lambda: not watcher.objects)
            watcher.record_peer_revision(100, 0.0)
            watcher.record_peer_revision(100, 1.0)
            await self.wait_until(lambda: behind.calls["list_all"] == 2)
            await anyio.sleep(0.01)
            self.assertEqual(watcher.objects, {})

        await self.run_with(behind, test)
        self.assertEqual(
            [(o.name, o.is_deleted) for o in self.reported],
            [("a", False), ("a", True)],
        )

    async def test_objects_that_a_paged_list_missed_are_not_held_for_removed(
        self,
    ):
        """The later pages of a list are newer than its revision."""
        store = FedStore()
        created = StoredObject(kind="k", name="a", revision=5, spec=b"1")
        paged = StoredObject(kind="k", name="z", revision=7, spec=b"1")

        async def list_all(kind):
            return ObjectList(revision=4, items=(paged,))

        store.list_all = list_all

        async def test(watcher):
            await store.send.send(
                WatchBatch(revision=7, changes=(created, paged))
            )
            await self.wait_until(lambda: "a" in watcher.objects)

        await self.run_with(store, test)

    async def test_a_watch_may_not_stay_stale_once_nobody_tells_of_changes(
        self,
    ):
        store = MemoryStore()
        has_holder = True

        async def test(watcher):
            nonlocal has_holder
            await self.wait_until(lambda: store.calls["stale watch"] == 1)
            watcher.end_unguarded_watch()
            await anyio.sleep(0.01)
            self.assertEqual(store.calls["watch"], 0)
            has_holder = False
            watcher.end_unguarded_watch()
            await self.wait_until(lambda: store.calls["watch"] == 1)
            self.assertEqual(store.calls["list_all"], 1)

        await self.run_with(store, test, can_be_stale=lambda: has_holder)


if __name__ == "__main__":
    unittest.main()
