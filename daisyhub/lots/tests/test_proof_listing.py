"""Property test: listed results keep their positions, none is listed twice.

Two daemons list one lot concurrently, each with its own texts. Faults: lost
responses, delayed writes, failed writes and restarted daemons.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from daisyhub.lots._listing_core import (
    ChunkStored,
    ChunkWriteFailed,
    ItemFinished,
    ListingCore,
    ListingTick,
    WriteChunk,
)
from daisyhub.lots._types import ItemResult, ResultState
from daisyhub.testing.proofs import find_failure, run_proof

ITEMS = tuple("abcdef")
DAEMONS = (0, 1)


def result(item_id, text):
    return ItemResult(item_id=item_id, state=ResultState.COMPLETED, text=text)


class ListingMachine(RuleBasedStateMachine):
    """Two daemons, one store of chunks, and a reader of the whole list."""

    core_class = ListingCore

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.chunks = {}
        self.read = []
        self.cores = [self.core_class(len(ITEMS)) for _ in DAEMONS]
        self.writes = {n: [] for n in DAEMONS}
        self.delayed = []

    def feed(self, number, event):
        self.writes[number] += self.cores[number].handle(event, self.now_s)

    @rule(
        number=st.sampled_from(DAEMONS),
        item_id=st.sampled_from(ITEMS),
        is_group_done=st.booleans(),
    )
    def finish(self, number, item_id, is_group_done):
        if self.cores[number].is_listed(item_id):
            return
        text = f"by {number}"
        self.feed(number, ItemFinished(result(item_id, text), is_group_done))

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0]))
    def pass_time(self, seconds):
        self.now_s += seconds
        for number in DAEMONS:
            self.feed(number, ListingTick())

    @rule(
        number=st.sampled_from(DAEMONS),
        outcome=st.sampled_from(["good", "good", "lost", "late", "fail"]),
    )
    def write(self, number, outcome):
        """Performs a daemon's next write.

        Outcomes: "good" is stored and confirmed, "lost" is stored but its
        response is lost, "late" is reported as failed and applied later, "fail"
        is never applied.
        """
        if not self.writes[number]:
            return
        action = self.writes[number].pop(0)
        assert isinstance(action, WriteChunk)
        if outcome == "late":
            self.delayed.append(action)
        if outcome in ("good", "lost"):
            self.chunks.setdefault(action.first, action.results)
        if outcome == "good":
            stored = self.chunks[action.first]
            self.feed(number, ChunkStored(action.first, stored))
        else:
            self.feed(number, ChunkWriteFailed())

    @rule()
    def apply_delayed_write(self):
        if self.delayed:
            action = self.delayed.pop(0)
            self.chunks.setdefault(action.first, action.results)

    @rule(number=st.sampled_from(DAEMONS))
    def restart(self, number):
        """Restarts a daemon, which reads all stored chunks first."""
        core = self.core_class(len(ITEMS))
        while (first := len(core.listed)) in self.chunks:
            core.handle(ChunkStored(first, self.chunks[first]), self.now_s)
        self.cores[number] = core
        self.writes[number] = []

    def stored_results(self):
        """Returns all results in the store by position."""
        found = []
        while len(found) in self.chunks:
            found += self.chunks[len(found)]
        return found

    @invariant()
    def positions_are_stable(self):
        found = self.stored_results()
        assert found[: len(self.read)] == self.read, (
            "the result at a position changed"
        )
        self.read = found

    @invariant()
    def no_item_is_listed_twice(self):
        ids = [r.item_id for r in self.stored_results()]
        assert len(ids) == len(set(ids)), f"an item is listed twice: {ids}"

    @invariant()
    def daemons_show_only_stored_results(self):
        found = self.stored_results()
        for core in self.cores:
            assert core.listed == found[: len(core.listed)]

    def teardown(self):
        """Ends all faults; then every item must get listed, none twice."""
        for number in DAEMONS:
            for item_id in ITEMS:
                if not self.cores[number].is_listed(item_id):
                    self.feed(
                        number, ItemFinished(result(item_id, "end"), False)
                    )
        for _ in range(40):
            self.pass_time(1.0)
            for number in DAEMONS:
                self.write(number, "good")
        assert len(self.stored_results()) == len(ITEMS)
        self.positions_are_stable()
        self.no_item_is_listed_twice()


class AssumesOwnChunkStored(ListingCore):
    """Broken: assumes that its own chunk was stored."""

    def _on_chunk_stored(self, event, now_s):
        own = tuple(self._pending.values())
        super()._on_chunk_stored(
            ChunkStored(event.first, own or event.results), now_s
        )


class ListsItemTwice(ListingCore):
    """Broken: forgets which items are listed."""

    def _on_item_finished(self, event, now_s):
        self._listed_ids.discard(event.result.item_id)
        super()._on_item_finished(event, now_s)

    def is_listed(self, item_id):
        return False


class LeavesGap(ListingCore):
    """Broken: leaves a gap before its chunk."""

    def _write(self, now_s):
        return [
            WriteChunk(action.first + 1, action.results)
            for action in super()._write(now_s)
        ]


class ListingProof(unittest.TestCase):
    def test_results_keep_positions_and_are_listed_once(self):
        run_proof(ListingMachine, examples=200)

    def test_broken_cores_are_detected(self):
        for core in (AssumesOwnChunkStored, ListsItemTwice, LeavesGap):
            machine = type(
                core.__name__, (ListingMachine,), {"core_class": core}
            )
            with self.subTest(core.__name__):
                self.assertIsNotNone(find_failure(machine))


class ListingCoreTest(unittest.TestCase):
    def test_complete_group_is_listed_immediately(self):
        core = ListingCore(4)
        self.assertEqual(
            core.handle(ItemFinished(result("a", ""), False), 0.0), []
        )
        (write,) = core.handle(ItemFinished(result("b", ""), True), 0.01)
        self.assertEqual([r.item_id for r in write.results], ["a", "b"])

    def test_large_texts_are_split_into_separate_chunks(self):
        core = ListingCore(2)
        core.handle(ItemFinished(result("a", "x" * 300_000), False), 0.0)
        (write,) = core.handle(
            ItemFinished(result("b", "y" * 300_000), True), 0.0
        )
        self.assertEqual([r.item_id for r in write.results], ["a"])
        (write,) = core.handle(ChunkStored(0, write.results), 0.3)
        self.assertEqual(write.first, 1)

    def test_failed_writes_are_retried_at_growing_intervals(self):
        core = ListingCore(1)
        (write,) = core.handle(ItemFinished(result("a", ""), True), 0.0)
        now_s = 0.0
        delays_s = []
        for _ in range(4):
            core.handle(ChunkWriteFailed(), now_s)
            delays_s.append(round(core.next_wakeup_s - now_s, 3))
            now_s = core.next_wakeup_s
            self.assertEqual(core.handle(ListingTick(), now_s), [write])
        self.assertEqual(delays_s, [0.2, 0.4, 0.8, 0.8])
