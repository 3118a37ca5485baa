"""Property tests: all reports of a usage window have the same counts.

Two daemons hold the duty one after the other and at the same time, with
different counts. Faults: lost responses, seals that are created late, failed
calls, restarts.
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
REPORT_DEADLINE_S = 10.0
DAEMONS = (0, 1)


class WindowMachine(RuleBasedStateMachine):
    """Two holders, one store of seals, and the reports at the platform."""

    core_class = WindowCore

    @initialize()
    def start(self):
        self.now_s = 1000.0
        self.cores = [
            self.core_class(WINDOW_S, REPORT_DEADLINE_S) for _ in DAEMONS
        ]
        self.pending_actions = {n: [] for n in DAEMONS}
        self.seals = {}
        self.delayed_seals = []
        self.reported = {}
        self.started_window = dict.fromkeys(DAEMONS, self.current_window())

    def current_window(self):
        return int(self.now_s // WINDOW_S)

    def feed(self, number, event):
        self.pending_actions[number] += self.cores[number].handle(
            event, self.now_s
        )

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0]), is_complete=st.booleans())
    def pass_time(self, seconds, is_complete):
        self.now_s += seconds
        before = int(self.now_s // WINDOW_S) if is_complete else 0
        for number in DAEMONS:
            self.feed(number, WindowTick(before))

    @rule(
        number=st.sampled_from(DAEMONS),
        result=st.sampled_from(["good", "good", "lost", "late", "fail"]),
    )
    def act(self, number, result):
        """Performs a daemon's next action.

        Results: "good"; "lost", the response is lost; "late", a seal is
        created later, without a response (a report: like "lost"); "fail", no
        effect.
        """
        if not self.pending_actions[number]:
            return
        action = self.pending_actions[number].pop(0)
        if isinstance(action, SealWindow):
            self.seal(number, action.window, result)
        else:
            self.report(number, action, result)

    def seal(self, number, window, result):
        counts = {"account": 10 * number + window % 7}
        if result == "late":
            self.delayed_seals.append((window, counts))
        if result in ("good", "lost"):
            self.seals.setdefault(window, counts)
        if result == "good":
            self.feed(number, WindowSealed(window, self.seals[window]))
        else:
            self.feed(number, SealFailed(window))

    def report(self, number, action, result):
        assert isinstance(action, ReportWindow)
        if result != "fail":
            known = self.reported.setdefault(action.window, action.counts)
            assert known == action.counts, (
                f"window {action.window} was reported with other counts"
            )
        is_done = result == "good"
        self.feed(number, WindowReported(action.window, is_done))

    @rule()
    def store_delayed_seal(self):
        if self.delayed_seals:
            window, counts = self.delayed_seals.pop(0)
            self.seals.setdefault(window, counts)

    @rule(number=st.sampled_from(DAEMONS))
    def restart(self, number):
        self.cores[number] = self.core_class(WINDOW_S, REPORT_DEADLINE_S)
        self.pending_actions[number] = []
        self.started_window[number] = self.current_window()

    def teardown(self):
        """Once faults end, all windows since a daemon's start are reported."""
        for _ in range(60):
            self.pass_time(0.5, True)
            for number in DAEMONS:
                for _ in range(4):
                    self.act(number, "good")
        expected = range(
            min(self.started_window.values()), self.current_window() - 1
        )
        missing = set(expected) - set(self.reported)
        assert not missing, f"windows {missing} were never reported"


class ReportsUnsealedCounts(WindowCore):
    """Broken: reports its own counts after a failure, without a seal."""

    def _schedule_retry(self, number, now_s):
        super()._schedule_retry(number, now_s)
        self._open[number].counts = {"account": -id(self) % 97}


class NeverRetries(WindowCore):
    """Broken: never seals or reports a window again after a failure."""

    def _schedule_retry(self, number, now_s):
        self._open.pop(number, None)


class WindowProof(unittest.TestCase):
    def test_reports_of_a_window_have_the_same_counts(self):
        run_proof(WindowMachine, examples=200)

    def test_broken_cores_are_detected(self):
        for core in (ReportsUnsealedCounts, NeverRetries):
            machine = type(
                core.__name__, (WindowMachine,), {"core_class": core}
            )
            with self.subTest(core.__name__):
                self.assertIsNotNone(find_failure(machine))


class WindowCoreTest(unittest.TestCase):
    def test_wait_for_a_silent_daemon_ends_before_the_report_is_due(self):
        core = WindowCore(WINDOW_S, REPORT_DEADLINE_S)
        core.handle(WindowTick(0), 1000.0)
        # At most the three windows before the first tick are sealed.
        self.assertFalse(core.handle(WindowTick(200), 1005.5)[3:])
        actions = core.handle(WindowTick(200), 1009.0)
        self.assertNotIn(SealWindow(200), actions)
        # The maximum wait is 6 of the 10 s after the end of window 200 at 1005.
        actions = core.handle(WindowTick(200), 1011.1)
        self.assertIn(SealWindow(200), actions)


class OutageTest(unittest.TestCase):
    """Calls of a holder during an outage in which many windows end."""

    def setUp(self):
        self.now_s = 1000.0
        self.core = WindowCore(WINDOW_S, REPORT_DEADLINE_S)

    def run_ticks(self, seconds, respond):
        """Ticks for a time; returns the actions, answered by `respond`."""
        actions = []
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            tick = WindowTick(int(self.now_s // WINDOW_S))
            new = self.core.handle(tick, self.now_s)
            actions += new
            while new:
                new = [
                    further
                    for action in new
                    for further in self.core.handle(respond(action), self.now_s)
                ]
                actions += new
            self.now_s += 0.25
        return actions

    def test_seals_are_not_tried_more_often_for_more_windows(self):
        actions = self.run_ticks(100.0, lambda a: SealFailed(a.window))
        # Three windows at once at first, then one each 0.5 s.
        self.assertLessEqual(len(actions), 3 + 200)
        actions = self.run_ticks(
            1.0,
            lambda a: (
                WindowSealed(a.window, {})
                if isinstance(a, SealWindow)
                else WindowReported(a.window, is_done=True)
            ),
        )
        # 23 windows ended; the last one isn't old enough.
        self.assertEqual(len(actions), 2 * 22)

    def test_reports_are_not_tried_more_often_for_more_windows(self):
        actions = self.run_ticks(
            100.0,
            lambda a: (
                WindowSealed(a.window, {})
                if isinstance(a, SealWindow)
                else WindowReported(a.window, is_done=False)
            ),
        )
        reports = [a for a in actions if isinstance(a, ReportWindow)]
        # One for each seal, then one each 0.5 s.
        self.assertLessEqual(len(reports), 23 + 200)

    def test_a_window_that_can_not_be_sealed_delays_no_other(self):
        first = int(self.now_s // WINDOW_S) - 1
        actions = self.run_ticks(
            20.0,
            lambda a: (
                SealFailed(a.window)
                if a.window == first
                else WindowSealed(a.window, {})
                if isinstance(a, SealWindow)
                else WindowReported(a.window, is_done=True)
            ),
        )
        reported = {a.window for a in actions if isinstance(a, ReportWindow)}
        self.assertEqual(reported, set(range(first - 2, first + 4)) - {first})


class UsageMeterTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 1001.0
        self.meter = UsageMeter(WINDOW_S, lambda: self.now_s)

    def test_request_counts_in_the_window_in_which_it_was_sent(self):
        token = self.meter.open("a")
        self.now_s = 1006.0
        self.assertEqual(self.meter.closed_before(), 200)
        self.meter.close(token, has_run=True)
        self.assertEqual(self.meter.closed_before(), 201)
        self.assertEqual(self.meter.snapshot(), (WindowCounts(200, {"a": 1}),))

    def test_requests_not_run_or_without_account_are_not_counted(self):
        self.meter.close(self.meter.open("a"), has_run=False)
        self.meter.close(self.meter.open(""), has_run=True)
        self.assertEqual(self.meter.snapshot(), ())


class UsageAggregatorTest(unittest.TestCase):
    def test_counts_of_incarnations_add_up_and_repeats_do_not(self):
        aggregator = UsageAggregator()
        for _ in range(3):
            aggregator.update("d", 1, (WindowCounts(7, {"a": 2}),), 7)
        aggregator.update("d", 2, (WindowCounts(7, {"a": 1}),), 8)
        self.assertEqual(aggregator.total(7), {"a": 3})

    def test_window_is_complete_once_every_live_daemon_closed_it(self):
        aggregator = UsageAggregator()
        aggregator.update("d", 2, (), 8)
        self.assertTrue(aggregator.is_complete(7, {"d": 2}))
        self.assertFalse(aggregator.is_complete(8, {"d": 2}))
        self.assertFalse(aggregator.is_complete(7, {"d": 2, "e": 1}))
