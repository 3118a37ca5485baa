"""Proof: whatever reports a window reports the same figures.

Two daemons have the duty one after the other and at one time; their books
differ. Faults: answers lost, seals that land late, failed calls, restarts.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from daisyhub.billing import (
    ReportWindow,
    SealFailed,
    SealWindow,
    UsageAggregator,
    UsageMeter,
    WindowCore,
    WindowCounts,
    WindowReported,
    WindowSealed,
    WindowTick,
)
from daisyhub.testing.proofs import find_failure, run_proof

WINDOW_S = 5.0
LATE_S = 10.0
DAEMONS = (0, 1)


class WindowMachine(RuleBasedStateMachine):
    """Two holders, one store of seals, and the platform's record."""

    core_class = WindowCore

    @initialize()
    def start(self):
        self.now_s = 1000.0
        self.cores = [self.core_class(WINDOW_S, LATE_S) for _ in DAEMONS]
        self.todo = {n: [] for n in DAEMONS}
        self.seals = {}
        self.late = []
        self.reported = {}
        self.since = dict.fromkeys(DAEMONS, self.present())

    def present(self):
        return int(self.now_s // WINDOW_S)

    def feed(self, number, event):
        self.todo[number] += self.cores[number].handle(event, self.now_s)

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0]), complete=st.booleans())
    def pass_time(self, seconds, complete):
        self.now_s += seconds
        before = int(self.now_s // WINDOW_S) if complete else 0
        for number in DAEMONS:
            self.feed(number, WindowTick(before))

    @rule(
        number=st.sampled_from(DAEMONS),
        fate=st.sampled_from(["good", "good", "lost", "late", "fail"]),
    )
    def act(self, number, fate):
        if not self.todo[number]:
            return
        action = self.todo[number].pop(0)
        if isinstance(action, SealWindow):
            self.seal(number, action.window, fate)
        else:
            self.report(number, action, fate)

    def seal(self, number, window, fate):
        counts = {"account": 10 * number + window % 7}
        if fate == "late":
            self.late.append((window, counts))
        if fate in ("good", "lost"):
            self.seals.setdefault(window, counts)
        if fate == "good":
            self.feed(number, WindowSealed(window, self.seals[window]))
        else:
            self.feed(number, SealFailed(window))

    def report(self, number, action, fate):
        assert isinstance(action, ReportWindow)
        if fate != "fail":
            known = self.reported.setdefault(action.window, action.counts)
            assert known == action.counts, f"window {action.window} twice"
        is_done = fate == "good"
        self.feed(number, WindowReported(action.window, is_done))

    @rule()
    def late_seal_lands(self):
        if self.late:
            window, counts = self.late.pop(0)
            self.seals.setdefault(window, counts)

    @rule(number=st.sampled_from(DAEMONS))
    def restart(self, number):
        self.cores[number] = self.core_class(WINDOW_S, LATE_S)
        self.todo[number] = []
        self.since[number] = self.present()

    def teardown(self):
        """Once faults end, all windows since a daemon's start are."""
        for _ in range(60):
            self.pass_time(0.5, True)
            for number in DAEMONS:
                for _ in range(4):
                    self.act(number, "good")
        wanted = range(min(self.since.values()), self.present() - 1)
        missing = set(wanted) - set(self.reported)
        assert not missing, f"windows {missing} were never reported"


class ReportsUnsealed(WindowCore):
    """Reports what it counted itself while the seal is in doubt."""

    def _pause(self, number, now_s):
        super()._pause(number, now_s)
        self._open[number].counts = {"account": -id(self) % 97}


class GivesUp(WindowCore):
    """Never seals a window again after a failure."""

    def _pause(self, number, now_s):
        self._open.pop(number, None)


class WindowProof(unittest.TestCase):
    def test_a_window_has_one_set_of_figures(self):
        run_proof(WindowMachine, examples=200)

    def test_broken_cores_are_caught(self):
        for core in (ReportsUnsealed, GivesUp):
            machine = type(
                core.__name__, (WindowMachine,), {"core_class": core}
            )
            with self.subTest(core.__name__):
                self.assertIsNotNone(find_failure(machine))


class WindowCoreTest(unittest.TestCase):
    def test_a_silent_daemon_is_waited_for_but_not_past_the_report(self):
        core = WindowCore(WINDOW_S, LATE_S)
        core.handle(WindowTick(0), 1000.0)
        self.assertFalse(core.handle(WindowTick(200), 1005.5)[3:])
        actions = core.handle(WindowTick(200), 1009.0)
        self.assertNotIn(SealWindow(200), actions)
        actions = core.handle(WindowTick(200), 1011.1)
        self.assertIn(SealWindow(200), actions)


class MeterTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 1001.0
        self.meter = UsageMeter(WINDOW_S, lambda: self.now_s)

    def test_a_request_counts_in_the_window_in_which_it_was_sent(self):
        token = self.meter.open("a")
        self.now_s = 1006.0
        self.assertEqual(self.meter.closed_before(), 200)
        self.meter.close(token, has_run=True)
        self.assertEqual(self.meter.closed_before(), 201)
        self.assertEqual(self.meter.snapshot(), (WindowCounts(200, {"a": 1}),))

    def test_what_did_not_run_and_what_has_no_account_is_not_counted(self):
        self.meter.close(self.meter.open("a"), has_run=False)
        self.meter.close(self.meter.open(""), has_run=True)
        self.assertEqual(self.meter.snapshot(), ())


class BookTest(unittest.TestCase):
    def test_starts_of_a_daemon_add_up_and_repeats_do_not(self):
        book = UsageAggregator()
        for _ in range(3):
            book.update("d", 1, (WindowCounts(7, {"a": 2}),), 7)
        book.update("d", 2, (WindowCounts(7, {"a": 1}),), 8)
        self.assertEqual(book.total(7), {"a": 3})

    def test_a_window_is_complete_once_every_live_daemon_closed_it(self):
        book = UsageAggregator()
        book.update("d", 2, (), 8)
        self.assertTrue(book.is_complete(7, {"d": 2}))
        self.assertFalse(book.is_complete(8, {"d": 2}))
        self.assertFalse(book.is_complete(7, {"d": 2, "e": 1}))
