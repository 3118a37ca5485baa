"""Calls succeed through peers, and each write takes effect once."""

import math
import unittest
from unittest import mock

import anyio

from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStoreError,
    RelayedStore,
    RelayProvider,
    record_tries,
)
from daisyhub.objects import _relayed as relayed_module
from daisyhub.testing.object_store import (
    BareConflictStore,
    Fault,
    MemoryStore,
)


class FixedRelayProvider(RelayProvider):
    def __init__(self, *stores):
        self._stores = list(stores)

    def stores(self):
        return self._stores


class UnreachableStore(MemoryStore):
    """A store at which every call fails without effect."""

    def _call_with_fault(self, verb, call):
        self.calls[verb] += 1
        raise ObjectStoreError("unreachable", may_be_done=False)


def silent_log():
    return DecisionLog("d", write=lambda _: True)


class RelayedStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_peer_relays_calls_while_direct_calls_fail(self):
        peer = MemoryStore()
        store = RelayedStore(
            UnreachableStore(), FixedRelayProvider(peer), silent_log()
        )
        await store.create("k", "n", b"1")
        self.assertEqual((await store.read("k", "n")).spec, b"1")
        self.assertFalse(store.is_directly_reachable)

    async def test_the_store_is_unavailable_only_if_all_ways_fail(self):
        peer = MemoryStore()
        store = RelayedStore(
            UnreachableStore(), FixedRelayProvider(peer), silent_log()
        )
        await store.list_all("k")
        self.assertEqual(store.failed_call_at_s, -math.inf)
        peer.fail_next("list_all", Fault.REFUSED)
        with self.assertRaises(ObjectStoreError):
            await store.list_all("k")
        self.assertGreater(store.failed_call_at_s, 0.0)

    async def test_watches_and_the_rate_limit_say_nothing_of_the_store(self):
        direct = MemoryStore()
        store = RelayedStore(direct, FixedRelayProvider(), silent_log())
        direct.fail_next("watch", Fault.REFUSED)
        with self.assertRaises(ObjectStoreError):
            await store.watch("k", after_revision=0, wait_s=1.0)
        direct.fail_next("list_all", Fault.THROTTLED)
        with self.assertRaises(ObjectStoreError):
            await store.list_all("k")
        self.assertEqual(store.failed_call_at_s, -math.inf)

    async def test_a_peer_that_does_not_respond_says_nothing_of_the_store(self):
        class SilentPeer(UnreachableStore):
            def _call_with_fault(self, verb, call):
                raise ObjectStoreError(
                    "no response", may_be_done=False, is_from_store=False
                )

        store = RelayedStore(
            UnreachableStore(), FixedRelayProvider(SilentPeer()), silent_log()
        )
        with mock.patch.object(relayed_module, "_DIRECT_RETRY_S", math.inf):
            with self.assertRaises(ObjectStoreError):
                await store.list_all("k")
            failed_at_s = store.failed_call_at_s
            with self.assertRaises(ObjectStoreError):
                await store.list_all("k")
        self.assertEqual(store.failed_call_at_s, failed_at_s)

    async def test_a_call_that_contacts_nobody_says_nothing_of_the_store(self):
        store = RelayedStore(
            UnreachableStore(), FixedRelayProvider(), silent_log()
        )
        with mock.patch.object(relayed_module, "_DIRECT_RETRY_S", math.inf):
            with self.assertRaises(ObjectStoreError):
                await store.list_all("k")
            failed_at_s = store.failed_call_at_s
            with self.assertRaises(ObjectStoreError):
                await store.list_all("k")
        self.assertEqual(store.failed_call_at_s, failed_at_s)

    async def test_a_create_whose_response_was_lost_succeeds(self):
        shared = MemoryStore()
        store = RelayedStore(shared, FixedRelayProvider(shared), silent_log())
        shared.fail_next("create", Fault.RESPONSE_LOST)
        found = await store.create("k", "n", b'{"a":1}')
        self.assertEqual(found.spec, b'{"a":1}')

    async def test_a_create_by_another_daemon_conflicts_even_after_a_failure(
        self,
    ):
        shared = MemoryStore()
        shared.put("k", "n", b'"other"')
        store = RelayedStore(shared, FixedRelayProvider(shared), silent_log())
        shared.fail_next("create", Fault.REFUSED)
        with self.assertRaises(ObjectConflictError):
            await store.create("k", "n", b'"own"')

    async def test_an_equal_value_is_another_daemons_after_a_single_try(self):
        """Only a repeated write can conflict with itself."""
        shared = MemoryStore()
        found = shared.put("k", "n", b"1")
        store = RelayedStore(shared, FixedRelayProvider(shared), silent_log())
        with self.assertRaises(ObjectConflictError) as caught:
            await store.create("k", "n", b"1")
        self.assertEqual(caught.exception.found, found)
        with self.assertRaises(ObjectConflictError):
            await store.replace("k", "n", b"1", revision=found.revision + 1)

    async def test_an_unknown_outcome_stays_unknown_if_peers_fail(self):
        shared, peer = MemoryStore(), MemoryStore()
        store = RelayedStore(shared, FixedRelayProvider(peer), silent_log())
        shared.fail_next("create", Fault.DELAYED)
        peer.fail_next("create", Fault.REFUSED)
        with self.assertRaises(ObjectStoreError) as caught:
            await store.create("k", "n", b"1")
        self.assertTrue(caught.exception.may_be_done)

    async def test_calls_fail_at_once_while_no_daemon_reaches_the_store(self):
        unreachable = UnreachableStore()
        store = RelayedStore(unreachable, FixedRelayProvider(), silent_log())
        for _ in range(5):
            with self.assertRaises(ObjectStoreError):
                await store.read("k", "n")
        self.assertEqual(unreachable.calls["read"], 1)

    async def test_a_call_without_a_way_to_the_store_is_recorded(self):
        store = RelayedStore(
            UnreachableStore(), FixedRelayProvider(), silent_log()
        )
        with (
            mock.patch.object(relayed_module, "_DIRECT_RETRY_S", math.inf),
            record_tries() as tries,
        ):
            for _ in range(2):
                with self.assertRaises(ObjectStoreError):
                    await store.create("k", "n", b"1")
        self.assertEqual(
            [str(store_try) for store_try in tries],
            [
                "create k/n by direct: not_done (unreachable)",
                "create k/n by none: not_done",
            ],
        )

    async def test_a_failed_direct_call_ends_direct_watches(self):
        """Guards against a watch that outlasts the connection to the store.

        A holder that lost the store received new lots only after 10 s.
        """
        direct, peer = MemoryStore(), MemoryStore()
        store = RelayedStore(direct, FixedRelayProvider(peer), silent_log())
        peer.put("k", "n", b"1")
        direct.fail_next("read", Fault.REFUSED)
        batches = []

        async def watch():
            batches.append(
                await store.watch("k", after_revision=0, wait_s=60.0)
            )

        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await anyio.sleep(0)
                await anyio.sleep(0)
                await store.read("k", "n")
        self.assertEqual([c.name for c in batches[0].changes], ["n"])

    async def test_a_failed_watch_does_not_mark_the_store_as_lost(self):
        direct = MemoryStore()
        store = RelayedStore(direct, FixedRelayProvider(), silent_log())
        direct.fail_next("watch", Fault.REFUSED)
        with self.assertRaises(ObjectStoreError):
            await store.watch("k", after_revision=0, wait_s=1.0)
        self.assertTrue(store.is_directly_reachable)

    async def test_relayed_watches_wait_less_than_the_limit_for_lot_ends(self):
        """Guards against a long watch through a lost peer.

        One delayed the end of a lot by 5.7 s.
        """
        waits = []

        class WaitRecordingStore(MemoryStore):
            async def watch(self, kind, *, after_revision, wait_s):
                waits.append(wait_s)
                return await super().watch(
                    kind, after_revision=after_revision, wait_s=0.0
                )

        store = RelayedStore(
            UnreachableStore(),
            FixedRelayProvider(WaitRecordingStore()),
            silent_log(),
        )
        with self.assertRaises(ObjectStoreError):
            await RelayedStore(
                UnreachableStore(), FixedRelayProvider(), silent_log()
            ).read("k", "n")
        await store.read("k", "n")
        await store.watch("k", after_revision=0, wait_s=10.0)
        self.assertLessEqual(max(waits), 2.0)


class UnknownWriteTest(unittest.IsolatedAsyncioTestCase):
    """A write whose first try has an unknown outcome is relayed."""

    def make(self, store_class=MemoryStore):
        shared = store_class()
        store = RelayedStore(shared, FixedRelayProvider(shared), silent_log())
        return shared, store

    async def test_a_conflict_without_object_is_no_success(self):
        shared, store = self.make(BareConflictStore)
        shared.fail_next("create", Fault.RESPONSE_LOST)
        with self.assertRaises(ObjectConflictError) as caught:
            await store.create("k", "n", b"1")
        self.assertIsNone(caught.exception.found)

    async def test_an_equal_value_of_another_daemon_counts_as_written(self):
        shared, store = self.make()
        shared.put("k", "n", b'{"b": 2, "a": 1}')
        shared.fail_next("create", Fault.REFUSED)
        found = await store.create("k", "n", b'{"a":1,"b":2}')
        self.assertEqual(found, shared.objects["k", "n"])

    async def test_a_replaced_object_with_newer_changes_conflicts(self):
        shared, store = self.make()
        first = shared.put("k", "n", b"1")
        shared.fail_next("replace", Fault.RESPONSE_LOST)
        call = shared.replace

        async def replace_after_another(kind, name, spec, *, revision):
            try:
                return await call(kind, name, spec, revision=revision)
            finally:
                shared.put(kind, name, b"3")

        shared.replace = replace_after_another
        with self.assertRaises(ObjectConflictError) as caught:
            await store.replace("k", "n", b"2", revision=first.revision)
        self.assertEqual(caught.exception.found.spec, b"3")

    async def test_a_delayed_conditional_write_changes_nothing_later(self):
        shared, store = self.make()
        shared.fail_next("create", Fault.DELAYED)
        created = await store.create("k", "n", b"1")
        shared.fail_next("replace", Fault.DELAYED)
        await store.replace("k", "n", b"2", revision=created.revision)
        newer = shared.put("k", "n", b"3")
        shared.run_delayed_writes()
        self.assertEqual(shared.objects["k", "n"], newer)

    async def test_an_object_that_cannot_be_decoded_is_another_value(self):
        shared, store = self.make()
        shared.put("k", "n", b'{"a":"\xff"}')
        shared.fail_next("create", Fault.REFUSED)
        with self.assertRaises(ObjectConflictError):
            await store.create("k", "n", b"1")
