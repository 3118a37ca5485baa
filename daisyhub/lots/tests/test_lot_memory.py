"""Which large lots the holder reads, and which stay in the store."""

import unittest

import anyio

from daisyhub.lots._lot_memory import LotMemory
from daisyhub.lots._types import LotHead

LIMIT = 10 << 20


def make_head(lot_id, size, total=4):
    return LotHead(
        lot_id=lot_id,
        account="a",
        host="h",
        path="/gen/",
        step=1,
        model="m",
        oldest_version=1,
        wanted_groups=1,
        total=total,
        stored_bytes=size,
    )


class LotMemoryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.memory = LotMemory(LIMIT)
        self.admitted = []

    async def admit(self, tasks, *sizes):
        """Has lots with the names 0, 1, ... admitted."""

        async def admit_one(head):
            await self.memory.admit(head)
            self.admitted.append(head.lot_id)

        for number, size in enumerate(sizes):
            tasks.start_soon(admit_one, make_head(str(number), size))
        await anyio.wait_all_tasks_blocked()

    async def test_lots_beyond_the_limit_wait_for_a_close(self):
        async with anyio.create_task_group() as tasks:
            await self.admit(tasks, 6 << 20, 6 << 20, 2 << 20)
            # The last would fit, but the one before it would never be read.
            self.assertEqual(self.admitted, ["0"])
            self.memory.release("0")
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.admitted, ["0", "1", "2"])

    async def test_a_single_lot_fits_whatever_its_size(self):
        async with anyio.create_task_group() as tasks:
            await self.admit(tasks, LIMIT * 4, 2 << 20)
            self.assertEqual(self.admitted, ["0"])
            self.memory.release("0")

    async def test_small_lots_never_wait(self):
        async with anyio.create_task_group() as tasks:
            await self.admit(tasks, LIMIT, LIMIT, 500_000)
            self.assertCountEqual(self.admitted, ["0", "2"])
            self.memory.release("0")

    async def test_a_lot_that_ends_while_it_waits_goes_on(self):
        async with anyio.create_task_group() as tasks:
            await self.admit(tasks, LIMIT, LIMIT, LIMIT)
            self.memory.release("1")
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.admitted, ["0", "1"])
            self.memory.release("0")
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.admitted, ["0", "1", "2"])

    async def test_many_items_make_a_lot_large(self):
        async with anyio.create_task_group() as tasks:
            await self.admit(tasks, LIMIT)
            with anyio.move_on_after(0.05) as scope:
                await self.memory.admit(make_head("many", 0, total=2048))
            self.assertTrue(scope.cancelled_caught)
            self.memory.release("many")


if __name__ == "__main__":
    unittest.main()
