"""Tests of reads on a daemon that neither accepted nor runs the lots."""

import contextlib
import time
import types
import unittest

import anyio
import msgspec

from daisyhub.cluster import LotHeadRequest, LotResponse
from daisyhub.exceptions import ExecutionStatus, Refusal
from daisyhub.logs import DecisionLog
from daisyhub.lots import (
    ItemResult,
    ItemSpec,
    LotHead,
    LotReader,
    LotSpec,
    LotStore,
)
from daisyhub.peers import PeerUnreachableError
from daisyhub.testing.object_store import Fault, MemoryStore
from daisyhub.testing.virtual_time import run_in_virtual_time

RESULT = ItemResult(item_id="a", state="completed", text="x")
HEAD = LotHead(
    lot_id="L",
    account="a",
    host="h",
    path="/p",
    step=1,
    model="m",
    oldest_version=1,
    wanted_groups=1,
    total=1,
)


class FakeHolder:
    """This daemon's own holder, which doesn't have the duty."""

    def head(self, _):
        return None

    def add_accepted(self, _):
        """Does nothing without the duty."""

    async def results(self, *_):
        return None


class FakeNetwork:
    """Connection to the holder, which answers for the given heads."""

    def __init__(self, heads, is_unreachable=False):
        self.heads = heads
        self.is_unreachable = is_unreachable
        self.ended = set()
        self.calls = []

    def send(self, *_):
        """Loses a notification."""

    async def call(self, peer, request, _):
        self.calls.append(type(request))
        if self.is_unreachable:
            raise PeerUnreachableError(f"{peer} did not answer")
        head = self.heads.get(request.lot_id)
        if head is None:
            return LotResponse(is_held=False)
        if request.lot_id in self.ended and not isinstance(
            request, LotHeadRequest
        ):
            return LotResponse(is_held=False, is_ended=True)
        if isinstance(request, LotHeadRequest):
            return LotResponse(is_held=True, content=msgspec.json.encode(head))
        content = msgspec.json.encode([RESULT][request.after :])
        return LotResponse(is_held=True, content=content)


async def poll(read, seconds):
    """Repeats a refused read as fast as an impatient caller."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        with contextlib.suppress(Refusal):
            await read()
        await anyio.sleep(0.05)


def make_reader(store, network):
    peers = types.SimpleNamespace(
        holder_of=lambda _: types.SimpleNamespace(daemon_id="holder")
    )
    log = DecisionLog("d", write=lambda _: True)
    return LotReader(
        "rollouts", LotStore(store), FakeHolder(), peers, network, log
    )


class LotReaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        lots = LotStore(self.store)
        item = ItemSpec(item_id="a", path="/p", headers={}, body=b"", group="g")
        self.head, _ = await lots.accept(LotSpec(head=HEAD, items=(item,)))
        self.store.calls.clear()

    def reader(self, network):
        return make_reader(self.store, network)

    async def test_results_of_the_holder_need_no_store_call(self):
        reader = self.reader(FakeNetwork({"L": self.head}))
        total, results = await reader.results("L", "a", 0, 0.0)
        self.assertEqual((total, results), (1, [RESULT]))
        self.assertEqual(sum(self.store.calls.values()), 0)

    async def test_store_is_read_while_the_holder_is_unreachable(self):
        reader = self.reader(FakeNetwork({}, is_unreachable=True))
        await LotStore(self.store).write_chunk("L", 0, (RESULT,))
        total, results = await reader.results("L", "a", 0, 0.0)
        self.assertEqual((total, results), (1, [RESULT]))

    async def test_stale_read_that_misses_an_object_is_repeated(self):
        self.store.fail_next("stale read", *[Fault.EMPTY] * 3)
        reader = self.reader(FakeNetwork({}, is_unreachable=True))
        await LotStore(self.store).write_chunk("L", 0, (RESULT,))
        total, results = await reader.results("L", "a", 0, 0.0)
        self.assertEqual((total, results), (1, [RESULT]))
        # The lot's head, its first chunk, and the chunk that could follow.
        self.assertEqual(self.store.calls["stale read"], 3)

    async def test_pages_of_an_ended_lot_are_read_without_pauses(self):
        lots = LotStore(self.store)
        head = msgspec.structs.replace(self.head, lot_id="M", total=3)
        item = ItemSpec(item_id="a", path="/p", headers={}, body=b"", group="g")
        head, _ = await lots.accept(LotSpec(head=head, items=(item,)))
        await lots.end("M")
        long_text = "x" * 300_000
        for first, item_id in enumerate("abc"):
            result = ItemResult(
                item_id=item_id, state="completed", text=long_text
            )
            await lots.write_chunk("M", first, (result,))
        reader = self.reader(FakeNetwork({}, is_unreachable=True))
        for after, item_ids in ((0, ["a", "b"]), (2, ["c"])):
            _, results = await reader.results("M", "a", after, 0.0)
            self.assertEqual([r.item_id for r in results], item_ids)

    async def test_lot_unknown_to_the_holder_is_read_from_the_store(self):
        reader = self.reader(FakeNetwork({}))
        total, results = await reader.results("L", "a", 0, 0.0)
        self.assertEqual((total, results), (1, []))

    async def test_chunks_of_ended_lot_are_read_from_the_store_in_one_call(
        self,
    ):
        network = FakeNetwork({"L": self.head})
        network.ended.add("L")
        self.head = msgspec.structs.replace(self.head, total=5)
        network.heads["L"] = self.head
        names = "abcd"
        for first, name in enumerate(names):
            result = msgspec.structs.replace(RESULT, item_id=name)
            await LotStore(self.store).write_chunk("L", first, (result,))
        reader = self.reader(network)
        _, results = await reader.results("L", "a", 0, 0.0)
        self.assertEqual([r.item_id for r in results], list(names))
        # A read behind the last result returns at once without peer calls, as
        # an ended lot gets no further results.
        network.calls.clear()
        with anyio.fail_after(5):
            _, results = await reader.results("L", "a", 4, 60.0)
        self.assertEqual((results, network.calls), ([], []))

    async def test_lots_of_other_accounts_are_refused_like_unknown_lots(self):
        reader = self.reader(FakeNetwork({"L": self.head}))
        for lot_id, account in (("L", "b"), ("M", "a")):
            with self.assertRaises(Refusal) as caught:
                await reader.results(lot_id, account, 0, 0.0)
            self.assertEqual(caught.exception.code, "lot_unknown")

    async def test_an_end_that_may_be_stored_is_not_refused_as_not_done(self):
        """The refusal was 503, "not run", and the end was stored."""
        reader = self.reader(FakeNetwork({}, is_unreachable=True))
        self.store.fail_next("set_status", Fault.RESPONSE_LOST)
        with self.assertRaises(Refusal) as caught:
            await reader.end("L", "a")
        self.assertIs(caught.exception.ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(caught.exception.error.status, 504)
        self.assertIsNotNone(caught.exception.retry_after_s)
        _, status = await LotStore(self.store).head("L")
        self.assertTrue(status.is_ended)

    async def test_an_end_that_is_not_stored_is_refused_as_not_done(self):
        reader = self.reader(FakeNetwork({}, is_unreachable=True))
        self.store.fail_next("set_status", Fault.REFUSED)
        with self.assertRaises(Refusal) as caught:
            await reader.end("L", "a")
        self.assertIs(caught.exception.ran, ExecutionStatus.NOT_RUN)
        self.assertEqual(caught.exception.error.status, 503)
        _, status = await LotStore(self.store).head("L")
        self.assertFalse(status.is_ended)

    async def test_a_lot_that_cannot_be_read_is_not_reported_as_unknown(self):
        reader = self.reader(FakeNetwork({}, is_unreachable=True))
        for stale_faults in ((), (Fault.EMPTY,)):
            with self.subTest(stale_faults):
                self.store.fail_next("stale read", *stale_faults)
                self.store.fail_next("read", Fault.REFUSED)
                with self.assertRaises(Refusal) as caught:
                    await reader.results("L", "a", 0, 0.0)
                self.assertEqual(caught.exception.error.status, 503)


class ReadPaceTest(unittest.TestCase):
    """Reads of the store while it fails and the holder is unreachable."""

    def count_reads(self, *, is_head_known):
        """Returns the store's calls of 20 callers that poll for 4 seconds."""
        store = MemoryStore()
        reader = make_reader(store, FakeNetwork({}, is_unreachable=True))

        async def main():
            if is_head_known:
                reader.record_accepted(HEAD, is_ended=False)
            store.fail_next("read", *[Fault.REFUSED] * 10_000)
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(
                        poll, lambda: reader.results("L", "a", 0, 0.0), 4.0
                    )

        run_in_virtual_time(main)
        return store.calls["read"]

    def test_a_failing_store_is_not_read_more_often_for_more_callers(self):
        for is_head_known in (True, False):
            with self.subTest(is_head_known=is_head_known):
                # At most one each 0.4 s.
                reads = self.count_reads(is_head_known=is_head_known)
                self.assertLessEqual(reads, 11)
                self.assertGreater(reads, 5)
