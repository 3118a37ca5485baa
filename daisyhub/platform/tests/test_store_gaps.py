"""Which removals of servers' entries count as lapses of the store."""

import json
import unittest
from unittest import mock

import anyio

from daisyhub.balancing import _lapses
from daisyhub.platform import _daemon
from daisyhub.platform._daemon import FleetDaemon
from daisyhub.platform._manifest import CONFIG_KIND
from daisyhub.platform._servers import SERVERS_KIND
from daisyhub.platform.tests.test_daemon import make_settings
from daisyhub.testing.object_store import Fault, MemoryStore

SERVER = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "born": 1700,
}


class StoreGapsTest(unittest.IsolatedAsyncioTestCase):
    """A daemon whose watches use a store in memory."""

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.store.put(SERVERS_KIND, "i-1", json.dumps(SERVER).encode())
        self.daemon = FleetDaemon(make_settings(), "settings.jsonc")
        self.watchers = {w.kind: w for w in self.daemon.watchers}
        self.daemon.store._direct = self.store
        # Sees each failure, however short.
        self.enterContext(
            mock.patch.object(_daemon, "_EXPIRY_CHECK_INTERVAL_S", 0.01)
        )

    async def run_daemon(self, test):
        async with anyio.create_task_group() as tasks:
            for watcher in self.watchers.values():
                tasks.start_soon(watcher.run)
            tasks.start_soon(self.daemon._expire_entries)
            with anyio.fail_after(10):
                await self.wait_until(self.daemon.directory.all)
                await test()
            tasks.cancel_scope.cancel()

    async def wait_until(self, is_met):
        while not is_met():
            await anyio.sleep(0.001)

    async def remove_server(self):
        """Removes the entry and waits until the watch returned that."""
        watcher = self.watchers[SERVERS_KIND]
        self.store.drop(SERVERS_KIND, "i-1")
        await self.wait_until(lambda: "i-1" not in watcher.objects)

    async def test_a_watch_that_was_cut_off_keeps_no_removed_server(self):
        """The server got items for more than two seconds after its removal."""
        self.store.fail_next("watch", *[Fault.REFUSED] * 9)

        async def test():
            lists = self.store.calls["list_all"]
            while self.store.faults["watch"]:
                await anyio.sleep(0.01)
            await self.wait_until(
                lambda: (
                    self.store.calls["list_all"] > lists
                    and all(w.is_current for w in self.watchers.values())
                )
            )
            await self.remove_server()
            self.assertIsNone(self.daemon.directory.get("i-1"))

        await self.run_daemon(test)

    async def test_an_entry_without_a_start_brings_no_leaving_server_back(
        self,
    ):
        foreign = {k: v for k, v in SERVER.items() if k != "born"}

        async def test():
            watcher = self.watchers[SERVERS_KIND]
            for entry in ({**SERVER, "state": "draining"}, foreign):
                spec = json.dumps(entry).encode()
                revision = self.store.put(SERVERS_KIND, "i-1", spec).revision
                await self.wait_until(
                    lambda r=revision: watcher.newest_revision >= r
                )
            self.assertEqual(self.daemon.directory.in_pools(("s",)), [])

        await self.run_daemon(test)

    async def test_a_server_that_lapsed_while_the_store_was_away_is_kept(self):
        # A slow machine doesn't end the time for which it is kept.
        for name in ("_WINDOW_S", "_MAX_ABSENCE_S"):
            self.enterContext(mock.patch.object(_lapses, name, 60.0))

        async def test():
            entry = self.daemon.directory.get("i-1").entry
            self.store.fail_next("list_all", Fault.REFUSED, Fault.REFUSED)
            self.store.fail_next("watch", *[Fault.REFUSED] * 3)
            self.store.put("evacuations", "x", b"{}")
            self.store.put(CONFIG_KIND, "x", b"{}")
            self.store.put(SERVERS_KIND, "x", b"{}")
            await self.wait_until(lambda: not self.store.faults["list_all"])
            await self.remove_server()
            self.assertTrue(self.daemon.directory.accepts(entry))

        await self.run_daemon(test)


if __name__ == "__main__":
    unittest.main()
