"""Calls go on through peers, and each write takes effect once."""

import unittest

import anyio

from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStoreError,
    RelayedStore,
    RelayProvider,
)
from daisyhub.testing.object_store import Fault, MemoryStore


class Carrier(RelayProvider):
    def __init__(self, *stores):
        self._stores = list(stores)

    def stores(self):
        return self._stores


class Cut(MemoryStore):
    """A way to the store on which every call fails without effect."""

    def _call_with_fault(self, verb, call):
        self.calls[verb] += 1
        raise ObjectStoreError("cut", may_be_done=False)


def quiet_log():
    return DecisionLog("d", write=lambda _: True)


class RelayedStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_peer_carries_calls_while_the_own_way_is_cut(self):
        peer = MemoryStore()
        store = RelayedStore(Cut(), Carrier(peer), quiet_log())
        await store.create("k", "n", b"1")
        self.assertEqual((await store.read("k", "n")).spec, b"1")
        self.assertFalse(store.is_directly_reachable)

    async def test_a_create_whose_answer_was_lost_counts_as_done(self):
        shared = MemoryStore()
        store = RelayedStore(shared, Carrier(shared), quiet_log())
        shared.fail_next("create", Fault.RESPONSE_LOST)
        found = await store.create("k", "n", b'{"a":1}')
        self.assertEqual(found.spec, b'{"a":1}')

    async def test_another_ones_create_is_a_conflict_even_after_a_loss(self):
        shared = MemoryStore()
        shared.put("k", "n", b'"other"')
        store = RelayedStore(shared, Carrier(shared), quiet_log())
        shared.fail_next("create", Fault.REFUSED)
        with self.assertRaises(ObjectConflictError):
            await store.create("k", "n", b'"own"')

    async def test_an_unknown_outcome_stays_unknown_if_peers_refuse(self):
        shared, peer = MemoryStore(), MemoryStore()
        store = RelayedStore(shared, Carrier(peer), quiet_log())
        shared.fail_next("create", Fault.DELAYED)
        peer.fail_next("create", Fault.REFUSED)
        with self.assertRaises(ObjectStoreError) as caught:
            await store.create("k", "n", b"1")
        self.assertTrue(caught.exception.may_be_done)

    async def test_calls_fail_at_once_while_nobody_reaches_the_store(self):
        cut = Cut()
        store = RelayedStore(cut, Carrier(), quiet_log())
        for _ in range(5):
            with self.assertRaises(ObjectStoreError):
                await store.read("k", "n")
        self.assertEqual(cut.calls["read"], 1)

    async def test_a_failed_call_ends_watches_that_wait_on_the_own_way(self):
        """A holder cut off from the store waited 10 s for new lots."""
        direct, peer = MemoryStore(), MemoryStore()
        store = RelayedStore(direct, Carrier(peer), quiet_log())
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

    async def test_a_cut_watch_does_not_count_as_a_lost_store(self):
        direct = MemoryStore()
        store = RelayedStore(direct, Carrier(), quiet_log())
        direct.fail_next("watch", Fault.REFUSED)
        with self.assertRaises(ObjectStoreError):
            await store.watch("k", after_revision=0, wait_s=1.0)
        self.assertTrue(store.is_directly_reachable)

    async def test_relayed_watches_end_before_an_end_of_a_lot_is_due(self):
        """One carried by a peer that fell silent hid an end for 5.7 s."""
        waits = []

        class Noting(MemoryStore):
            async def watch(self, kind, *, after_revision, wait_s):
                waits.append(wait_s)
                return await super().watch(
                    kind, after_revision=after_revision, wait_s=0.0
                )

        store = RelayedStore(Cut(), Carrier(Noting()), quiet_log())
        with self.assertRaises(ObjectStoreError):
            await RelayedStore(Cut(), Carrier(), quiet_log()).read("k", "n")
        await store.read("k", "n")
        await store.watch("k", after_revision=0, wait_s=10.0)
        self.assertLessEqual(max(waits), 2.0)
