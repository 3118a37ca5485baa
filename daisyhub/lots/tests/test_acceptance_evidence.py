"""What a refused submission rests on is never stale data of the store."""

import unittest

from daisyhub.lots import LotStore
from daisyhub.lots.tests.acceptance_model import make_spec
from daisyhub.objects import ObjectStoreError
from daisyhub.testing.object_store import BareConflictStore, Fault

SPEC = make_spec("a", "x", 1)


class EvidenceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = BareConflictStore()
        self.lots = LotStore(self.store)

    async def get_failure(self):
        with self.assertRaises(ObjectStoreError) as caught:
            await self.lots.accept(SPEC)
        return caught.exception

    async def test_a_part_that_a_stale_read_misses_is_found(self):
        self.store.fail_next("create", None, Fault.DELAYED)
        await self.get_failure()
        self.store.fail_next("create", Fault.REFUSED)
        self.store.fail_next("stale read", *[Fault.EMPTY] * 4)
        self.assertTrue((await self.get_failure()).may_be_done)

    async def test_a_head_that_a_stale_read_misses_is_found(self):
        await self.lots.accept(SPEC)
        self.store.fail_next("create", Fault.REFUSED)
        self.store.fail_next("stale read", *[Fault.EMPTY] * 4)
        head, _ = await self.lots.accept(SPEC)
        self.assertEqual(head.lot_id, SPEC.head.lot_id)


if __name__ == "__main__":
    unittest.main()
