"""Tests of the placement of items and of moves of their runs."""

import unittest

from daisyhub.balancing import Release
from daisyhub.lots._pool_state import record_interval
from daisyhub.lots._run_states import RunFault
from daisyhub.lots._run_types import CancelRun, RunFailed
from daisyhub.lots.tests.fake_engines import adaptive
from daisyhub.lots.tests.test_dispatch_core import Driver, engines, item, lot


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.driver = Driver()
        self.feed = self.driver.feed

    def begin(self, intervals_s, *items, events=12, listed=None, **head):
        """Runs items until each has events, at the engines' speeds.

        Args:
            intervals_s: Seconds between events, by engine.
            *items: The items.
            events: Number of events at the engine with the least interval.
            listed: The engines; by default one slot at each.
            **head: Fields of the lot.

        Returns:
            The runs by endpoint id.
        """
        self.feed(listed or adaptive(engines(*intervals_s, slots=1)))
        runs = {r.endpoint_id: r for r in self.feed(lot(*items, **head))}
        due_s = dict.fromkeys(runs, 0.0)
        end_s = min(intervals_s.values()) * events
        while min(due_s.values()) <= end_s:
            endpoint_id = min(due_s, key=due_s.get)
            self.driver.now_s = due_s[endpoint_id]
            self.driver.receive(runs[endpoint_id].run, "x")
            due_s[endpoint_id] += intervals_s[endpoint_id]
        self.driver.now_s = end_s
        return runs

    def moves(self):
        """Ticks twice; returns all second runs that were started so far."""
        self.driver.tick(0.05)
        self.driver.tick(0.05)
        return [a for a in self.driver.runs(self.driver.actions) if a.moved_run]

    def test_the_older_run_continues_until_the_newer_one_has_an_event(self):
        # Guards against a gap in the text while the second run begins.
        speeds = {"fast": 0.05, "slow": 0.15}
        runs = self.begin(
            speeds, item("a", hint=400), item("b", hint=400), events=12
        )
        self.driver.complete(runs["fast"].run)
        done = runs["slow"]
        (second,) = self.moves()
        self.assertEqual(second.endpoint_id, "fast")
        self.assertEqual(second.moved_run, done.run)
        self.assertIn("sooner", second.reason)
        texts = len(self.driver.core.find_run(done.run).texts)
        self.assertEqual(second.resume_after, texts)
        self.assertEqual(self.driver.receive(done.run, "x"), [])
        (cancel,) = self.driver.receive(second.run, "y")
        self.assertEqual(cancel, CancelRun(done.run, "moved to fast"))

    def test_a_run_does_not_move_to_another_release(self):
        # Guards against texts of two releases, and against discarding a text
        # in order to move it.
        speeds = {"fast": 0.05, "slow": 0.15}
        other = Release("pool", "v2")
        listed = adaptive(engines(*speeds, slots=1, releases={"fast": other}))
        runs = self.begin(
            speeds, item("a", hint=400), item("b", hint=400), listed=listed
        )
        self.driver.complete(runs["fast"].run)
        self.assertEqual(self.moves(), [])
        self.assertIsNotNone(self.driver.core.find_run(runs["slow"].run))

    def test_a_single_version_text_does_not_move_to_another_version(self):
        # Guards against second runs that are abandoned at their first event.
        speeds = {"fast": 0.05, "slow": 0.15}
        newer = {"fast": {"versions": {"m": 2}}}
        listed = adaptive(engines(*speeds, slots=1), **newer)
        runs = self.begin(
            speeds,
            item("a", hint=400),
            item("b", hint=400),
            listed=listed,
            is_single_version=True,
        )
        self.driver.complete(runs["fast"].run)
        self.assertEqual(self.moves(), [])

    def test_a_text_does_not_return_to_an_engine_that_it_left(self):
        # Guards against moving back and forth between two engines.
        self.feed(adaptive(engines("e1", "e2", slots=1)))
        (first,) = self.feed(lot(item("a", hint=900)))
        run, moves = first.run, []
        for _ in range(60):
            self.driver.now_s += 0.1
            self.driver.receive(run, "x")
            # The engine of the text is always the slower one.
            at = self.driver.core.find_run(run).endpoint_id
            for endpoint_id in ("e1", "e2"):
                speed_s = 0.15 if endpoint_id == at else 0.05
                self.set_speed(endpoint_id, speed_s)
            actions = self.driver.runs(self.driver.tick())
            for second in actions:
                moves.append(second.endpoint_id)
                self.driver.receive(second.run, "x")
                run = second.run
        self.assertEqual(moves, ["e2" if first.endpoint_id == "e1" else "e1"])

    def set_speed(self, endpoint_id, interval_s):
        engine = self.driver.core._state.engines[endpoint_id]
        record_interval(engine, interval_s, 100, self.driver.now_s)

    def test_an_engine_that_was_left_as_silent_gets_no_runs_for_a_second(self):
        # Guards against new runs at an engine that is stalled.
        self.feed(adaptive(engines("e1", "e2", slots=2)))
        (first,) = self.feed(lot(item("a", hint=900)))
        for _ in range(10):
            self.driver.now_s += 0.05
            self.driver.receive(first.run, "x")
        self.driver.now_s += 0.3
        (second,) = self.moves()
        self.assertEqual(second.reason, "its engine is silent")
        (cancel,) = self.driver.receive(second.run, "x")
        self.assertEqual(cancel.run, first.run)
        runs = self.feed(lot(*(item(n) for n in "bcd"), lot_id="B"))
        self.assertEqual([r.endpoint_id for r in runs], [second.endpoint_id])
        started = self.driver.runs(self.driver.tick(1.1))
        self.assertIn(first.endpoint_id, {r.endpoint_id for r in started})

    def test_a_move_that_saves_little_is_not_made(self):
        # Guards against connections for texts that are nearly complete.
        speeds = {"fast": 0.05, "slow": 0.15}
        runs = self.begin(
            speeds, item("a", hint=16), item("b", hint=16), events=12
        )
        self.driver.complete(runs["fast"].run)
        self.assertEqual(self.moves(), [])

    def test_a_failed_second_run_leaves_the_first_one(self):
        # Guards against losing a text when its move fails halfway.
        speeds = {"fast": 0.05, "slow": 0.15}
        runs = self.begin(speeds, item("a", hint=400), item("b", hint=400))
        self.driver.complete(runs["fast"].run)
        (second,) = self.moves()
        self.assertEqual(
            self.feed(RunFailed(second.run, RunFault.WORKER_LOST)), []
        )
        self.assertEqual(self.driver.receive(runs["slow"].run, "x"), [])

    def test_rejected_second_runs_use_up_no_moves(self):
        # Guards against long texts that stay on a slow engine since others
        # were full for a moment, and against endless second runs.
        speeds = {"fast": 0.05, "slow": 0.15}
        runs = self.begin(speeds, item("a", hint=400), item("b", hint=400))
        self.driver.complete(runs["fast"].run)
        for number in range(1, 8):
            started = self.moves()
            self.assertEqual(len(started), min(number, 6))
            self.feed(RunFailed(started[-1].run, RunFault.NOT_RUN))
            self.driver.now_s += 0.05
            self.driver.receive(runs["slow"].run, "x")

    def test_the_measured_limit_bounds_runs_while_others_have_room(self):
        # Guards against filling an engine beyond what it sustains.
        limits = {"e1": {"limit": 1.7, "slowdown": 0.5}, "e2": {"limit": 3.0}}
        self.feed(adaptive(engines("e1", "e2", slots=4), **limits))
        runs = self.feed(lot(*(item(str(n)) for n in range(4))))
        used = sorted(r.endpoint_id for r in runs)
        self.assertEqual(used, ["e1", "e2", "e2", "e2"])
        runs = self.feed(lot(*(item(f"b{n}") for n in range(9)), lot_id="B"))
        self.assertEqual(len(runs), 4)

    def test_measured_slowdown_counts_before_own_measurements(self):
        # Guards against a new holder that places long texts at slow engines.
        slow = {"e1": {"slowdown": 1.2}, "e3": {"slowdown": 0.5}}
        self.feed(adaptive(engines("e1", "e2", "e3", slots=1), **slow))
        runs = self.feed(lot(*(item(n, hint=9) for n in "abc")))
        self.assertEqual([r.endpoint_id for r in runs], ["e3", "e2", "e1"])

    def test_items_of_a_group_prefer_engines_that_read_their_prompt(self):
        # Guards against reading a shared prompt at every engine.
        self.feed(adaptive(engines("e1", "e2", "e3", "e4", slots=8)))
        groups = "xyz" * 5
        runs = self.feed(
            lot(*(item(f"{n}", group=g) for n, g in enumerate(groups)))
        )
        engines_by_group: dict[str, set[str]] = {}
        for run in runs:
            found = engines_by_group.setdefault(run.item.group, set())
            found.add(run.endpoint_id)
        # Up to half of an engine's slots, its prompts decide.
        sizes = [len(e) for e in engines_by_group.values()]
        self.assertLessEqual(sum(sizes), 6)
