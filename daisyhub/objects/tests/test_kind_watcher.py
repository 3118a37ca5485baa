"""The local copy follows the store through every kind of watch trouble."""

import random
import unittest

import anyio

from daisyhub.logs import DecisionLog
from daisyhub.objects import KindWatcher
from daisyhub.testing.object_store import Fault, MemoryStore


class Watched:
    """A watcher of kind `k`, and what it told."""

    def __init__(self, store):
        self.store = store
        self.told = []
        log = DecisionLog("d", write=lambda _: True)
        self.watcher = KindWatcher(store, "k", log, self.told.append)

    async def until(self, is_met):
        with anyio.fail_after(10):
            while not is_met():
                await anyio.sleep(0.001)

    def mirror(self):
        return {o.name: o.spec for o in self.watcher.objects.values()}

    def truth(self):
        return {n: o.spec for (k, n), o in self.store.objects.items()}


async def with_watcher(store, test):
    watched = Watched(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watched.watcher.run)
        await watched.watcher.synced.wait()
        await test(watched)
        tasks.cancel_scope.cancel()


class LateWatchTest(unittest.IsolatedAsyncioTestCase):
    def new_watcher(self, store, **options):
        log = DecisionLog("d", write=lambda _: True)
        return KindWatcher(store, "k", log, lambda _: None, **options)

    async def run_beside(self, watcher, test):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            with anyio.fail_after(10):
                await watcher.synced.wait()
                await test()
            tasks.cancel_scope.cancel()

    async def test_a_watch_is_late_only_while_a_peer_would_tell(self):
        store = MemoryStore()
        has_witness = False
        watcher = self.new_watcher(store, can_be_stale=lambda: has_witness)

        async def test():
            nonlocal has_witness
            while not store.calls["watch"]:
                await anyio.sleep(0.001)
            self.assertEqual(store.calls["late watch"], 0)
            has_witness = True
            store.put("k", "a", b"1")
            while not store.calls["late watch"]:
                await anyio.sleep(0.001)

        await self.run_beside(watcher, test)

    async def test_a_peer_that_is_ahead_ends_a_late_watch_that_hears_nothing(
        self,
    ):
        store = MemoryStore()
        store.fail_next("watch", Fault.EMPTY)
        watcher = self.new_watcher(store, can_be_stale=lambda: True)

        async def test():
            found = store.put("k", "a", b"1")
            watcher.note_peer_revision(found.revision, 0.0)
            watcher.note_peer_revision(found.revision, 1.0)
            while "a" not in watcher.objects:
                await anyio.sleep(0.001)

        await self.run_beside(watcher, test)
        self.assertEqual(store.calls["list_all"], 2)

    async def test_changes_that_gather_are_not_listed_beside(self):
        store = MemoryStore()
        watcher = self.new_watcher(store, gather_s=lambda: 0.2)

        async def test():
            store.put("k", "a", b"1")
            while "a" not in watcher.objects:
                await anyio.sleep(0.001)
            found = store.put("k", "b", b"1")
            watcher.note_peer_revision(found.revision, 0.0)
            watcher.note_peer_revision(found.revision, 1.0)
            while "b" not in watcher.objects:
                await anyio.sleep(0.001)

        await self.run_beside(watcher, test)
        self.assertEqual(store.calls["list_all"], 1)


class KindWatcherTest(unittest.IsolatedAsyncioTestCase):
    async def test_changes_and_deletions_are_told_once(self):
        store = MemoryStore()
        store.put("k", "a", b"1")

        async def test(watched):
            store.put("k", "b", b"2")
            store.drop("k", "a")
            await watched.until(lambda: watched.mirror() == {"b": b"2"})
            told = [(o.name, o.is_deleted) for o in watched.told]
            self.assertEqual(told, [("a", False), ("b", False), ("a", True)])

        await with_watcher(store, test)

    async def test_a_lost_history_is_followed_by_a_list(self):
        store = MemoryStore()
        store.fail_next("watch", Fault.HISTORY_GONE)
        store.put("k", "a", b"1")

        async def test(watched):
            await watched.until(lambda: store.calls["list_all"] == 2)
            self.assertEqual(watched.mirror(), {"a": b"1"})

        await with_watcher(store, test)

    async def test_a_failed_watch_is_followed_by_a_list(self):
        store = MemoryStore()
        store.fail_next("watch", Fault.REFUSED)

        async def test(watched):
            await watched.until(lambda: store.calls["list_all"] == 2)

        await with_watcher(store, test)

    async def test_a_deaf_watch_is_found_out_by_a_list_beside_it(self):
        """A key taken away stayed in force for 5 s."""
        store = MemoryStore()
        store.fail_next("watch", Fault.EMPTY)

        async def test(watched):
            await watched.until(lambda: store.calls["watch"] == 1)
            store.put("k", "a", b"1")
            await watched.watcher.verify()
            self.assertEqual(watched.mirror(), {"a": b"1"})
            await watched.until(lambda: store.calls["watch"] == 2)

        await with_watcher(store, test)

    async def test_a_peer_that_stays_ahead_makes_it_list(self):
        store = MemoryStore()
        store.fail_next("watch", Fault.EMPTY)

        async def test(watched):
            await watched.until(lambda: store.calls["watch"] == 1)
            newest = store.put("k", "a", b"1").revision
            watched.watcher.note_peer_revision(newest, 100.0)
            watched.watcher.note_peer_revision(newest, 100.1)
            self.assertEqual(watched.mirror(), {})
            watched.watcher.note_peer_revision(newest, 100.4)
            await watched.until(lambda: watched.mirror() == {"a": b"1"})

        await with_watcher(store, test)

    async def test_changes_that_gather_come_with_one_call(self):
        """55 daemons made 124 calls a second, most for single changes."""
        store = MemoryStore()
        told = []
        log = DecisionLog("d", write=lambda _: True)
        watcher = KindWatcher(store, "k", log, told.append, lambda: 0.05)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            await watcher.synced.wait()
            for number in range(20):
                store.put("k", str(number), b"1")
                await anyio.sleep(0)
            with anyio.fail_after(5):
                while len(told) < 20:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        self.assertLessEqual(store.calls["watch"], 4)

    async def test_an_older_list_takes_nothing_back(self):
        store = MemoryStore()

        async def test(watched):
            old = store._list("k")
            store.put("k", "a", b"1")
            await watched.until(lambda: watched.mirror() == {"a": b"1"})
            store._list = lambda kind: old
            await watched.watcher.verify()
            self.assertEqual(watched.mirror(), {"a": b"1"})

        await with_watcher(store, test)

    async def test_it_converges_under_random_faults(self):
        for seed in range(20):
            rng = random.Random(seed)
            store = MemoryStore()

            async def test(watched, rng=rng, store=store):
                for step in range(60):
                    verb = rng.choice(["watch", "list_all"])
                    kinds = [Fault.HISTORY_GONE, Fault.REFUSED]
                    if rng.random() < 0.3:
                        fault = rng.choice(kinds)
                        if verb == "list_all":
                            fault = Fault.REFUSED
                        store.fail_next(verb, fault)
                    name = rng.choice("abcd")
                    if rng.random() < 0.3:
                        store.drop("k", name)
                    else:
                        store.put("k", name, str(step).encode())
                    for _ in range(rng.randrange(4)):
                        await anyio.sleep(0)
                store.faults.clear()
                await watched.until(lambda: watched.mirror() == watched.truth())

            with self.subTest(seed=seed):
                await with_watcher(store, test)
