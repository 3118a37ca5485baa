"""The local copy converges to the store under all kinds of watch faults."""

import random
import unittest

import anyio

from daisyhub.logs import DecisionLog
from daisyhub.objects import KindWatcher
from daisyhub.testing.object_store import Fault, MemoryStore


class RecordingWatcher:
    """A watcher of kind `k` and the changes that it reported."""

    def __init__(self, store):
        self.store = store
        self.reported = []
        log = DecisionLog("d", write=lambda _: True)
        self.watcher = KindWatcher(store, "k", log, self.reported.append)

    async def wait_until(self, is_met):
        with anyio.fail_after(10):
            while not is_met():
                await anyio.sleep(0.001)

    def local_specs(self):
        return {o.name: o.spec for o in self.watcher.objects.values()}

    def stored_specs(self):
        return {n: o.spec for (k, n), o in self.store.objects.items()}


async def with_watcher(store, test):
    watched = RecordingWatcher(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watched.watcher.run)
        await watched.watcher.synced.wait()
        await test(watched)
        tasks.cancel_scope.cancel()


class StaleWatchTest(unittest.IsolatedAsyncioTestCase):
    def new_watcher(self, store, **options):
        log = DecisionLog("d", write=lambda _: True)
        return KindWatcher(store, "k", log, lambda _: None, **options)

    async def run_with(self, watcher, test):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            with anyio.fail_after(10):
                await watcher.synced.wait()
                await test()
            tasks.cancel_scope.cancel()

    async def test_a_watch_may_be_stale_only_while_a_peer_reports_changes(self):
        store = MemoryStore()
        has_live_holder = False
        watcher = self.new_watcher(store, can_be_stale=lambda: has_live_holder)

        async def test():
            nonlocal has_live_holder
            while not store.calls["watch"]:
                await anyio.sleep(0.001)
            self.assertEqual(store.calls["stale watch"], 0)
            has_live_holder = True
            store.put("k", "a", b"1")
            while not store.calls["stale watch"]:
                await anyio.sleep(0.001)

        await self.run_with(watcher, test)

    async def test_a_peer_that_stays_ahead_ends_a_stale_watch_without_changes(
        self,
    ):
        store = MemoryStore()
        store.fail_next("watch", Fault.EMPTY)
        watcher = self.new_watcher(store, can_be_stale=lambda: True)

        async def test():
            found = store.put("k", "a", b"1")
            watcher.record_peer_revision(found.revision, 0.0)
            watcher.record_peer_revision(found.revision, 1.0)
            while "a" not in watcher.objects:
                await anyio.sleep(0.001)

        await self.run_with(watcher, test)
        self.assertEqual(store.calls["list_all"], 2)

    async def test_the_batch_delay_causes_no_additional_list(self):
        store = MemoryStore()
        watcher = self.new_watcher(store, batch_delay_s=lambda: 0.2)

        async def test():
            store.put("k", "a", b"1")
            while "a" not in watcher.objects:
                await anyio.sleep(0.001)
            found = store.put("k", "b", b"1")
            watcher.record_peer_revision(found.revision, 0.0)
            watcher.record_peer_revision(found.revision, 1.0)
            while "b" not in watcher.objects:
                await anyio.sleep(0.001)

        await self.run_with(watcher, test)
        self.assertEqual(store.calls["list_all"], 1)


class KindWatcherTest(unittest.IsolatedAsyncioTestCase):
    async def test_changes_and_deletions_are_reported_once(self):
        store = MemoryStore()
        store.put("k", "a", b"1")

        async def test(watched):
            store.put("k", "b", b"2")
            store.drop("k", "a")
            await watched.wait_until(
                lambda: watched.local_specs() == {"b": b"2"}
            )
            reported = [(o.name, o.is_deleted) for o in watched.reported]
            self.assertEqual(
                reported, [("a", False), ("b", False), ("a", True)]
            )

        await with_watcher(store, test)

    async def test_a_lost_history_is_followed_by_a_list(self):
        store = MemoryStore()
        store.fail_next("watch", Fault.HISTORY_GONE)
        store.put("k", "a", b"1")

        async def test(watched):
            await watched.wait_until(lambda: store.calls["list_all"] == 2)
            self.assertEqual(watched.local_specs(), {"a": b"1"})

        await with_watcher(store, test)

    async def test_a_failed_watch_is_followed_by_a_list(self):
        store = MemoryStore()
        store.fail_next("watch", Fault.REFUSED)

        async def test(watched):
            await watched.wait_until(lambda: store.calls["list_all"] == 2)

        await with_watcher(store, test)

    async def test_verify_detects_a_watch_that_misses_a_change(self):
        """Guards against a withdrawn key that stayed valid for 5 s.

        A watch may miss a change without failing.
        """
        store = MemoryStore()
        store.fail_next("watch", Fault.EMPTY)

        async def test(watched):
            await watched.wait_until(lambda: store.calls["watch"] == 1)
            store.put("k", "a", b"1")
            await watched.watcher.verify()
            self.assertEqual(watched.local_specs(), {"a": b"1"})
            await watched.wait_until(lambda: store.calls["watch"] == 2)

        await with_watcher(store, test)

    async def test_a_peer_that_stays_ahead_causes_a_list(self):
        store = MemoryStore()
        store.fail_next("watch", Fault.EMPTY)

        async def test(watched):
            await watched.wait_until(lambda: store.calls["watch"] == 1)
            newest = store.put("k", "a", b"1").revision
            watched.watcher.record_peer_revision(newest, 100.0)
            watched.watcher.record_peer_revision(newest, 100.1)
            self.assertEqual(watched.local_specs(), {})
            watched.watcher.record_peer_revision(newest, 100.4)
            await watched.wait_until(
                lambda: watched.local_specs() == {"a": b"1"}
            )

        await with_watcher(store, test)

    async def test_the_batch_delay_reduces_the_number_of_watch_calls(self):
        """Guards against one call per change.

        55 daemons made 124 calls a second, most of them for a single change.
        """
        store = MemoryStore()
        reported = []
        log = DecisionLog("d", write=lambda _: True)
        watcher = KindWatcher(store, "k", log, reported.append, lambda: 0.05)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            await watcher.synced.wait()
            for number in range(20):
                store.put("k", str(number), b"1")
                await anyio.sleep(0)
            with anyio.fail_after(5):
                while len(reported) < 20:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        self.assertLessEqual(store.calls["watch"], 4)

    async def test_an_older_list_reverts_no_change(self):
        store = MemoryStore()

        async def test(watched):
            old = store._list("k")
            store.put("k", "a", b"1")
            await watched.wait_until(
                lambda: watched.local_specs() == {"a": b"1"}
            )
            store._list = lambda kind: old
            await watched.watcher.verify()
            self.assertEqual(watched.local_specs(), {"a": b"1"})

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
                await watched.wait_until(
                    lambda: watched.local_specs() == watched.stored_specs()
                )

            with self.subTest(seed=seed):
                await with_watcher(store, test)
