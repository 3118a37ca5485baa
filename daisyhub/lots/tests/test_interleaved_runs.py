"""Property test: the text of an item is never joined from two runs."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyhub.balancing import Release
from daisyhub.lots._run_states import RunFault
from daisyhub.lots._run_types import CancelRun, FinishItem, RunFailed, StartRun
from daisyhub.lots.tests.fake_engines import adaptive
from daisyhub.lots.tests.test_dispatch_core import Driver, engines, item, lot


class _InterleavedRuns:
    """Runs of one item whose events arrive in any order.

    Each run generates its own text, so that a mixture is recognized.

    Attributes:
        texts: The text of each run so far, with what it resumed.
        open: The open runs.
        result: The item's text; empty while it has none.
        moves: Number of moves.
    """

    def __init__(self, length):
        self.driver = Driver()
        self.length = length
        self.texts: dict[int, tuple[str, ...]] = {}
        self.open: dict[int, StartRun] = {}
        self.result = ""
        self.moves = 0
        self.list_engines(0)
        self.feed(lot(item("a", hint=400, reward=False)))

    def list_engines(self, index):
        """Lists the engines of both releases or only of one."""
        ids = ("e1", "e2", "e3", "e4", "e5")
        listed = (ids, ids[:3], ids[3:])[index]
        releases = dict.fromkeys(ids[3:], Release("pool", "v2"))
        self.feed(adaptive(engines(*listed, slots=1, releases=releases)))

    def feed(self, event, after_s=0.0):
        self.take(self.driver.feed(event, after_s))

    def take(self, actions):
        for action in actions:
            match action:
                case StartRun():
                    self.begin(action)
                case CancelRun():
                    self.open.pop(action.run)
                case FinishItem():
                    assert not self.result
                    self.result = action.result.text

    def begin(self, start):
        """Checks what a run resumes: the start of one run of its release."""
        resumed = tuple(self.driver.core.find_run(start.run).texts)
        assert len(resumed) == start.resume_after
        starts = [text[: len(resumed)] for text in self.texts.values()]
        assert not resumed or resumed in starts
        for text in resumed:
            assert text.endswith(start.release.version)
        self.texts[start.run] = resumed
        self.open[start.run] = start
        self.moves += bool(start.moved_run)

    def send(self, index, after_s):
        """Delivers the next event of an open run, or its end."""
        self.driver.now_s += after_s
        if not self.open:
            return
        start = list(self.open.values())[index % len(self.open)]
        run = start.run
        if len(self.texts[run]) < self.length:
            number = len(self.texts[run]) + 1
            text = f"{number}@{run} {start.release.version}"
            self.texts[run] += (text,)
            self.take(self.driver.receive(run, text))
            return
        del self.open[run]
        self.take(self.driver.complete(run))

    def fail(self, index):
        if self.open:
            start = list(self.open.values())[index % len(self.open)]
            del self.open[start.run]
            self.feed(RunFailed(start.run, RunFault.BROKEN))


class InterleavedRunsTest(unittest.TestCase):
    moves = 0

    def test_interleaved_runs_never_mix_texts(self):
        # Guards against a text that is joined from two runs which both went
        # on, or from two releases.
        self.check_drawn_orders()
        self.assertGreater(InterleavedRunsTest.moves, 20)

    @settings(derandomize=True, database=None, max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("send",) * 24 + ("tick", "fail", "list")),
                st.integers(0, 2),
                st.sampled_from((0.01, 0.04, 0.1, 0.2)),
            ),
            min_size=60,
            max_size=120,
        )
    )
    def check_drawn_orders(self, steps):
        runs = _InterleavedRuns(length=40)
        for kind, index, after_s in steps:
            match kind:
                case "send":
                    runs.send(index, after_s)
                    runs.feed(runs.driver.engines)
                case "tick":
                    runs.feed(runs.driver.engines, after_s)
                case "fail":
                    runs.fail(index)
                case "list":
                    runs.list_engines(index)
        for _ in range(2000):
            if runs.result:
                break
            runs.send(0, 0.02)
            runs.feed(runs.driver.engines)
        self.assertIn(tuple(runs.result.split("\n")), runs.texts.values())
        self.assertEqual(len(runs.result.split("\n")), 40)
        InterleavedRunsTest.moves += runs.moves
