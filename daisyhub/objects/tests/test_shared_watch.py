"""Followers see what the store has, through a reader or without it."""

import unittest

import anyio

from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    KindWatcher,
    ObjectStoreError,
    ReaderProvider,
    SharedWatch,
    WatchedCopy,
)
from daisyhub.testing.object_store import MemoryStore

LOG = DecisionLog("d", write=lambda _: True)


class FixedReader(ReaderProvider):
    """Always chooses the reader `r` unless it is excluded."""

    knows_peers = True

    def __init__(self, copy):
        self._copy = copy

    def choose(self, excluded):
        return None if "r" in excluded else "r"

    def copy_of(self, reader_id):
        return self._copy


class BrokenCopy:
    """A reader that can't be reached."""

    async def list_all(self, kind):
        raise ObjectStoreError("no response", may_be_done=False)

    async def watch(self, kind, **_):
        raise ObjectStoreError("no response", may_be_done=False)


class SharedWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.reader = KindWatcher(self.store, "k", LOG, lambda _: None)
        self.copy = WatchedCopy((self.reader,))

    def new_follower(self, copy=None):
        source = SharedWatch(self.store, FixedReader(copy or self.copy), LOG)
        return KindWatcher(source, "k", LOG, lambda _: None)

    async def wait_until(self, is_met):
        with anyio.fail_after(10):
            while not is_met():
                await anyio.sleep(0.002)

    def names(self, watcher):
        return sorted(watcher.objects)

    async def run_with(self, watchers, test):
        async with anyio.create_task_group() as tasks:
            for watcher in watchers:
                tasks.start_soon(watcher.run)
                with anyio.fail_after(10):
                    await watcher.synced.wait()
            await test()
            tasks.cancel_scope.cancel()

    async def test_followers_follow_and_cause_no_calls_to_the_store(self):
        self.store.put("k", "a", b"1")
        followers = [self.new_follower() for _ in range(5)]

        async def test():
            self.assertEqual(self.store.calls["list_all"], 1)
            self.store.put("k", "b", b"1")
            await self.wait_until(
                lambda: all(self.names(f) == ["a", "b"] for f in followers)
            )
            await self.store.delete("k", "a")
            await self.wait_until(
                lambda: all(self.names(f) == ["b"] for f in followers)
            )
            self.assertEqual(self.store.calls["list_all"], 1)
            self.assertLessEqual(self.store.calls["watch"], 3)

        await self.run_with([self.reader, *followers], test)

    async def test_a_follower_lists_anew_after_its_reader_did(self):
        self.store.put("k", "a", b"1")
        follower = self.new_follower()

        async def test():
            before = self.reader.revision
            self.store.put("k", "b", b"1")
            # As after a lost history: the reader's changes start anew.
            self.reader._restart_with_list(0)
            await self.wait_until(lambda: self.reader.revision > before)
            await self.wait_until(lambda: self.names(follower) == ["a", "b"])

        await self.run_with([self.reader, follower], test)

    async def test_a_follower_without_its_reader_uses_the_store(self):
        self.store.put("k", "a", b"1")
        follower = self.new_follower(BrokenCopy())

        async def test():
            self.assertTrue(follower.is_current)
            self.store.put("k", "b", b"1")
            await self.wait_until(lambda: self.names(follower) == ["a", "b"])

        await self.run_with([follower], test)

    async def test_a_reader_without_a_current_copy_refuses(self):
        with self.assertRaises(ObjectStoreError):
            await self.copy.list_all("k")
        with self.assertRaises(ObjectStoreError):
            await self.copy.watch("other", after_revision=0, wait_s=0)
