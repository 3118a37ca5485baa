"""Chunks, progress and ends of lots whose writes have an unknown outcome."""

import contextlib
import itertools
import unittest
from unittest import mock

import msgspec

from daisyhub.balancing import Release
from daisyhub.lots import (
    ItemResult,
    ItemSpec,
    LotHead,
    LotSpec,
    LotStore,
    _parts,
)
from daisyhub.lots._repeats import LotConflictError
from daisyhub.lots._run_states import Progress
from daisyhub.objects import ObjectConflictError, ObjectStoreError
from daisyhub.testing.object_store import BareConflictStore, Fault, MemoryStore

OWN = (ItemResult(item_id="a", state="completed", text="own"),)
MORE = (*OWN, ItemResult(item_id="b", state="completed", text="own"))
SPEC = LotSpec(
    head=LotHead(
        lot_id="L",
        account="a",
        host="h",
        path="/p",
        step=1,
        model="m",
        oldest_version=1,
        wanted_groups=1,
        total=2,
    ),
    items=tuple(
        ItemSpec(item_id=i, path="/p/i", headers={}, body=b"x", group="g")
        for i in "ab"
    ),
)


class LotWriteTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = BareConflictStore()
        self.lots = LotStore(self.store)

    async def test_a_chunk_that_could_not_be_confirmed_keeps_its_results(self):
        self.store.fail_next("create", Fault.RESPONSE_LOST)
        self.store.fail_next("read", Fault.REFUSED)
        for _ in range(2):
            with self.assertRaises(ObjectStoreError):
                await self.lots.write_chunk("L", 0, OWN)
        self.assertEqual(await self.lots.write_chunk("L", 0, MORE), OWN)

    async def test_a_chunk_that_arrives_late_replaces_none(self):
        self.store.fail_next("create", Fault.DELAYED)
        with self.assertRaises(ObjectStoreError):
            await self.lots.write_chunk("L", 0, OWN)
        self.assertEqual(await self.lots.write_chunk("L", 0, MORE), MORE)
        self.store.run_delayed_writes()
        self.assertEqual(await self.lots.chunk("L", 0), MORE)

    async def save(self, text, revision):
        """Saves progress as the holder does; returns the next revision."""
        progress = {"a": Progress(texts=(text,), versions=(1,))}
        try:
            return await self.lots.save_progress("L", progress, revision)
        except (ObjectStoreError, ObjectConflictError):
            return 0

    async def saved_text(self):
        return (await self.lots.progress("L"))["a"].texts

    async def test_progress_is_saved_after_any_unknown_outcome(self):
        faults = (Fault.REFUSED, Fault.RESPONSE_LOST, Fault.DELAYED)
        for verb in ("create", "replace"):
            for fault in faults:
                self.setUp()
                revision = 0
                if verb == "replace":
                    revision = await self.save("1", 0)
                self.store.fail_next(verb, fault)
                revision = await self.save("2", revision)
                revision = await self.save("3", revision)
                self.store.run_delayed_writes()
                self.assertEqual(await self.saved_text(), ("3",))
                revision = await self.save("4", revision)
                self.assertEqual(await self.saved_text(), ("4",))

    async def test_saved_text_names_the_release_that_began_it(self):
        progress = {"a": Progress(("x",), (1,), release=Release("p", "v1"))}
        await self.lots.save_progress("L", progress, 0)
        self.assertEqual(await self.lots.progress("L"), progress)

    async def test_progress_is_saved_again_after_a_cancelled_save(self):
        revision = await self.save("1", 0)
        await self.save("2", revision)
        # The holder didn't learn the revision of the cancelled save.
        revision = await self.save("3", revision)
        await self.save("4", revision)
        self.assertEqual(await self.saved_text(), ("4",))

    async def test_an_end_that_arrives_late_changes_nothing(self):
        await self.store.create("lots", "L", b"{}")
        self.store.fail_next("set_status", Fault.DELAYED)
        with self.assertRaises(ObjectStoreError) as caught:
            await self.lots.end("L")
        self.assertTrue(caught.exception.may_be_done)
        self.assertTrue(await self.lots.end("L"))
        ended = self.store.objects["lots", "L"].status
        self.store.run_delayed_writes()
        self.assertEqual(self.store.objects["lots", "L"].status, ended)

    async def test_items_of_a_refused_lot_do_not_run_under_a_later_head(self):
        create, part_numbers = self.store.create, itertools.count()

        async def refuse_second_part(kind, name, spec):
            if kind == "lot-items" and next(part_numbers) == 1:
                raise ObjectStoreError("refused", may_be_done=False)
            return await create(kind, name, spec)

        self.store.create = refuse_second_part
        with mock.patch.object(_parts, "_MAX_PART_BYTES", 1):
            with self.assertRaises(ObjectStoreError) as caught:
                await self.lots.accept(SPEC)
            self.assertFalse(caught.exception.may_be_done)
            self.store.create = create
            items = tuple(reversed(SPEC.items))
            other = msgspec.structs.replace(SPEC, items=items)
            head, _ = await self.lots.accept(other)
            stored = await LotStore(self.store).spec(head)
        self.assertEqual(stored.items, other.items)

    async def test_a_lot_with_other_content_is_not_accepted_as_a_repeat(self):
        item = msgspec.structs.replace(SPEC.items[0], body=b"y")
        others = [
            msgspec.structs.replace(SPEC, items=(item, *SPEC.items[1:])),
            msgspec.structs.replace(SPEC, items=SPEC.items[::-1]),
        ]
        others += [
            msgspec.structs.replace(
                SPEC, head=msgspec.structs.replace(SPEC.head, **{field: value})
            )
            for field, value in (
                ("account", "b"),
                ("step", 2),
                ("model", "n"),
                ("oldest_version", 2),
                ("wanted_groups", 2),
            )
        ]
        for store in (MemoryStore(), BareConflictStore()):
            stored, _ = await LotStore(store).accept(SPEC)
            for other in others:
                with self.assertRaises(LotConflictError):
                    await LotStore(store).accept(other)
            found = await LotStore(store).spec(stored)
            self.assertEqual(found.items, SPEC.items)

    async def test_a_repeat_under_another_manifest_is_accepted(self):
        stored = await self.lots.accept(SPEC)
        head = msgspec.structs.replace(
            SPEC.head, accepted_s=9.0, due_s=9.0, max_attempts=9
        )
        repeat = msgspec.structs.replace(SPEC, head=head)
        self.assertEqual(await self.lots.accept(repeat), stored)

    async def test_lots_that_differ_in_the_order_of_headers_share_parts(self):
        names = set()
        for order in (1, -1):
            self.setUp()
            headers = dict([("a", "1"), ("b", "2")][::order])
            item = msgspec.structs.replace(SPEC.items[0], headers=headers)
            await self.lots.accept(msgspec.structs.replace(SPEC, items=(item,)))
            names |= {name for _, name in self.store.objects}
        self.assertEqual(len(names), 2, names)

    async def test_a_lot_that_is_deleted_in_part_is_not_run_again(self):
        for failing in range(6):
            self.setUp()
            head, _ = await self.lots.accept(SPEC)
            for first, result in enumerate(MORE):
                await self.lots.write_chunk("L", first, (result,))
            await self.delete_in_part(head, failing)
            next_holder = LotStore(self.store)
            if await next_holder.head("L") is None:
                continue
            if len(await next_holder.results("L", 0)) < head.total:
                with self.assertRaises(ObjectStoreError):
                    await next_holder.spec(head)

    async def delete_in_part(self, head, failing):
        """Deletes a lot; the call of the store with this number fails."""
        delete, numbers = self.store.delete, itertools.count()

        async def delete_unless_failing(kind, name):
            if next(numbers) == failing:
                raise ObjectStoreError("lost", may_be_done=True)
            await delete(kind, name)

        self.store.delete = delete_unless_failing
        with contextlib.suppress(ObjectStoreError):
            await self.lots.delete(head, [0, 1])
