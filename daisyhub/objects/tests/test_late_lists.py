"""A list that arrives late says nothing of objects that are newer."""

import unittest

import anyio

from daisyhub.logs import DecisionLog
from daisyhub.objects import KindWatcher
from daisyhub.testing.object_store import MemoryStore


class SlowListStore(MemoryStore):
    """A store that executes one list at once and answers it late.

    Attributes:
        is_slow: Whether the next list is answered late.
        executed: Set when a slow list was executed.
        answered: Set to answer it.
    """

    def __init__(self):
        super().__init__()
        self.is_slow = False
        self.executed = anyio.Event()
        self.answered = anyio.Event()

    async def list_all(self, kind):
        listed = await super().list_all(kind)
        if self.is_slow:
            self.is_slow = False
            self.executed.set()
            await self.answered.wait()
        return listed


class LateListTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_late_list_does_not_report_newer_objects_as_deleted(self):
        """A lot that `verify` had found was closed as deleted."""
        store = SlowListStore()
        reported = []
        log = DecisionLog("d", write=lambda _: True)
        watcher = KindWatcher(store, "k", log, reported.append)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            with anyio.fail_after(10):
                await watcher.synced.wait()
                while not store.calls["watch"]:
                    await anyio.sleep(0.001)
                store.is_slow = True
                found = store.put("other", "x", b"1")
                watcher.record_peer_revision(found.revision, 0.0)
                watcher.record_peer_revision(found.revision, 1.0)
                await store.executed.wait()
                store.put("k", "a", b"1")
                await watcher.verify()
                self.assertIn("a", watcher.objects)
                store.answered.set()
                watches = store.calls["watch"]
                while store.calls["watch"] == watches:
                    await anyio.sleep(0.001)
            tasks.cancel_scope.cancel()
        deleted = [o.name for o in reported if o.is_deleted]
        self.assertEqual(deleted, [])


if __name__ == "__main__":
    unittest.main()
