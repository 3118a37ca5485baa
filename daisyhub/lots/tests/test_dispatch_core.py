"""What runs where: silent, slow and failing engines, versions, ends."""

import heapq
import random
import unittest

from daisyhub.lots import DispatchCore, ItemSpec, LotHead, LotSpec, RewardSpec
from daisyhub.lots._run_types import (
    CancelRun,
    EngineSeen,
    EnginesListed,
    EventArrived,
    FinishItem,
    LotClosed,
    LotOpened,
    Progress,
    RewardFailed,
    RewardPaid,
    RunEnded,
    RunFailed,
    RunFault,
    StartReward,
    StartRun,
)


def item(item_id, group="g", hint=0, reward=True):
    return ItemSpec(
        item_id=item_id,
        path="/p",
        headers={},
        body=b"",
        group=group,
        length_hint=hint,
        reward=RewardSpec(
            request_id=f"r{item_id}", host="h", path="/r", body=b""
        )
        if reward
        else None,
    )


def lot(*items, lot_id="L", due_at_s=10.0, give_up_at_s=100.0, **head):
    fields = {
        "account": "a",
        "host": "h",
        "path": "/p",
        "step": 1,
        "model": "m",
        "oldest_version": 1,
        "wanted_groups": 1,
        "max_attempts": 3,
        **head,
    }
    spec = LotSpec(
        head=LotHead(lot_id=lot_id, total=len(items), **fields), items=items
    )
    return LotOpened(spec, "pool", due_at_s, give_up_at_s)


def engines(*ids, slots=2, version=1, loading=()):
    return EnginesListed(
        tuple(
            EngineSeen(i, "pool", slots, {"m": version}, i in loading)
            for i in ids
        )
    )


class Driver:
    """A core, and what it started."""

    def __init__(self):
        self.core = DispatchCore()
        self.now_s = 0.0
        self.actions = []
        self.seen = EnginesListed(())

    def feed(self, event, after_s=0.0):
        self.now_s += after_s
        if isinstance(event, EnginesListed):
            self.seen = event
        actions = self.core.handle(event, self.now_s)
        self.actions += actions
        return actions

    def tick(self, after_s=0.0):
        """Shows the core the engines that it saw last."""
        return self.feed(self.seen, after_s)

    def runs(self, actions):
        return [a for a in actions if isinstance(a, StartRun)]

    def stream(self, run, *texts, version=1):
        for text in texts:
            self.feed(EventArrived(run, text, version))


def draw_lengths(rng, count):
    """Returns events by item: most texts are short, a few ten times longer."""
    return {
        f"i{n}": min(153, max(3, round(rng.lognormvariate(2.7, 0.9))))
        for n in range(count)
    }


def play(driver, lot_id, lengths, paces):
    """Runs a lot at engines of these paces; returns how long it took."""
    started_s = driver.now_s
    events = []
    left = set(lengths)

    def take(actions):
        for action in actions:
            if isinstance(action, StartRun):
                at_s = driver.now_s + paces[action.endpoint_id]
                done = action.resume_after
                heapq.heappush(events, (at_s, action.run, action, done))
            elif isinstance(action, FinishItem):
                left.discard(action.result.item_id)

    opened = lot(*(item(name, reward=False) for name in lengths), lot_id=lot_id)
    take(driver.feed(opened))
    tick_s = driver.now_s
    while left:
        at_s, number, run, done = heapq.heappop(events)
        while tick_s + 0.1 < at_s:
            tick_s += 0.1
            driver.now_s = tick_s
            take(driver.tick())
        driver.now_s = at_s
        if driver.core.run_of(number) is None:
            continue
        take(driver.feed(EventArrived(number, "x", 1)))
        if done + 1 == lengths[run.item.item_id]:
            take(driver.feed(RunEnded(number)))
            continue
        at_s += paces[run.endpoint_id]
        heapq.heappush(events, (at_s, number, run, done + 1))
    driver.feed(LotClosed(lot_id))
    return driver.now_s - started_s


class DispatchCoreTest(unittest.TestCase):
    def setUp(self):
        self.driver = Driver()
        self.feed = self.driver.feed

    def test_an_item_is_generated_then_scored_then_finished(self):
        self.feed(engines("e1"))
        (run,) = self.feed(lot(item("a")))
        self.driver.stream(run.run, "x", "y", version=2)
        (reward,) = self.feed(RunEnded(run.run))
        self.assertIsInstance(reward, StartReward)
        (done,) = self.feed(RewardPaid("L", "a", "proof"))
        self.assertEqual(done.result.text, "x\ny")
        self.assertEqual(done.result.versions, (2,))
        self.assertEqual(done.result.score, "proof")
        self.assertTrue(done.is_group_done)

    def test_engines_get_no_more_runs_than_slots(self):
        self.feed(engines("e1", "e2"))
        runs = self.feed(lot(*(item(str(n)) for n in range(9))))
        used = [run.endpoint_id for run in runs]
        self.assertEqual(sorted(used), ["e1", "e1", "e2", "e2"])

    def test_items_that_wait_cost_nothing_while_all_slots_are_taken(self):
        class Counting(DispatchCore):
            looks = 0

            def _choose(self, *args):
                self.looks += 1
                return super()._choose(*args)

        self.driver.core = Counting()
        self.feed(engines("e1", "e2"))
        run, *_ = self.feed(lot(*(item(str(n)) for n in range(500))))
        self.driver.stream(run.run, "x")
        self.driver.core.looks = 0
        self.feed(RunEnded(run.run))
        # One look finds the slot that was freed, one finds no further.
        self.assertLessEqual(self.driver.core.looks, 2)

    def test_the_longest_items_start_first(self):
        self.feed(engines("e1"))
        runs = self.feed(
            lot(item("a", hint=5), item("b", hint=50), item("c", hint=20))
        )
        self.assertEqual([r.item.item_id for r in runs], ["b", "c"])

    def test_the_lot_that_is_due_first_goes_first(self):
        self.feed(lot(item("late"), lot_id="B", due_at_s=20.0))
        self.feed(lot(item("soon"), lot_id="A", due_at_s=5.0))
        runs = self.driver.runs(self.feed(engines("e1", slots=1)))
        self.assertEqual([r.item.item_id for r in runs], ["soon"])

    def test_a_silent_run_goes_on_elsewhere_behind_its_last_event(self):
        self.feed(engines("e1", "e2"))
        (run,) = self.feed(lot(item("a")))
        self.driver.stream(run.run, "x")
        actions = self.driver.tick(after_s=0.7)
        self.assertIsInstance(actions[0], CancelRun)
        (again,) = self.driver.runs(actions)
        self.assertEqual(again.resume_after, 1)
        self.assertNotEqual(again.endpoint_id, run.endpoint_id)
        self.driver.stream(again.run, "y")
        self.feed(RunEnded(again.run))
        (done,) = self.feed(RewardPaid("L", "a", "p"))
        self.assertEqual(done.result.text, "x\ny")

    def test_a_loading_engine_may_be_silent_longer_and_gets_nothing_new(self):
        self.feed(engines("e1"))
        (run,) = self.feed(lot(item("a"), item("b")))[:1]
        self.driver.stream(run.run, "x")
        self.feed(engines("e1", loading=("e1",)))
        self.assertEqual(self.driver.tick(after_s=1.5), [])

    def test_a_broken_run_keeps_what_came(self):
        self.feed(engines("e1", "e2"))
        (run,) = self.feed(lot(item("a")))
        self.driver.stream(run.run, "x", "y")
        (again,) = self.feed(RunFailed(run.run, RunFault.BROKEN))
        self.assertEqual(again.resume_after, 2)

    def test_weights_that_are_too_old_give_nothing(self):
        self.feed(engines("e1", version=1))
        self.assertEqual(self.feed(lot(item("a"), oldest_version=2)), [])
        (run,) = self.feed(engines("e1", version=2))
        cancelled = self.feed(EventArrived(run.run, "x", 1))
        self.assertIsInstance(cancelled[0], CancelRun)

    def test_a_single_version_text_is_not_mixed(self):
        self.feed(engines("e1"))
        (run,) = self.feed(lot(item("a"), is_single_version=True))
        self.driver.stream(run.run, "x", version=1)
        self.feed(EventArrived(run.run, "y", 2))
        (again,) = self.driver.runs(self.driver.tick(after_s=0.2))
        self.assertEqual(again.resume_after, 0)

    def test_failures_of_the_engine_end_the_item_after_its_attempts(self):
        self.feed(engines("e1"))
        actions = self.feed(lot(item("a"), max_attempts=2))
        self.feed(RunFailed(actions[0].run, RunFault.FAILED))
        (run,) = self.driver.tick(after_s=0.2)
        (done,) = self.feed(RunFailed(run.run, RunFault.FAILED))
        self.assertEqual(done.result.state, "given_up")

    def test_a_refusal_that_did_not_run_is_no_failure(self):
        self.feed(engines("e1"))
        (run,) = self.feed(lot(item("a"), max_attempts=1))
        for _ in range(5):
            self.feed(RunFailed(run.run, RunFault.NOT_RUN))
            (run,) = self.driver.tick(after_s=0.2)

    def test_rewards_are_given_up_by_their_own_routes_attempts(self):
        """Items were given up after the lot's attempts, one too early."""
        self.feed(engines("e1"))
        (run,) = self.feed(lot(item("a"), max_attempts=2))
        self.driver.stream(run.run, "x")
        self.feed(RunEnded(run.run))
        failed = RewardFailed("L", "a", is_counted=True, max_attempts=4)
        for _ in range(3):
            self.assertEqual(self.feed(failed), [])
            (reward,) = self.driver.tick(after_s=0.2)
            self.assertIsInstance(reward, StartReward)
        (done,) = self.feed(failed)
        self.assertIsInstance(done, FinishItem)
        self.assertEqual(done.result.state, "given_up")

    def test_an_item_on_a_slow_engine_gets_a_second_run(self):
        self.feed(engines("slow", "e1", "e2"))
        runs = self.feed(lot(*(item(n) for n in "abc")))
        for number in range(12):
            for run in runs:
                is_slow = run.endpoint_id == "slow"
                if not is_slow or number % 4 == 0:
                    self.feed(EventArrived(run.run, "x", 1), after_s=0.01)
            self.driver.now_s += 0.03
        started = self.driver.runs(self.driver.tick())
        slow = next(r for r in runs if r.endpoint_id == "slow")
        self.assertEqual([r.item for r in started], [slow.item])
        self.assertEqual(started[0].resume_after, 3)
        self.driver.stream(started[0].run, "y")
        cancelled = self.feed(RunEnded(started[0].run))
        self.assertIn(slow.run, [getattr(a, "run", 0) for a in cancelled])

    def test_a_step_waits_no_longer_than_its_longest_text_takes_fast(self):
        # The load: groups of 16 texts of very unequal length, of which all
        # count, on engines of which a third is slower by a third.
        fast_s, slow_s = 0.0475, 0.062
        paces = dict.fromkeys((f"f{n}" for n in range(6)), fast_s)
        paces |= dict.fromkeys(("s0", "s1"), slow_s)
        for seed in range(20):
            driver = Driver()
            driver.feed(engines(*paces, slots=6))
            # Some short texts tell the core which engines are slow.
            play(driver, "warm", {f"w{n}": 12 for n in range(24)}, paces)
            lengths = draw_lengths(random.Random(seed), 48)
            took_s = play(driver, "L", lengths, paces)
            # A tenth more leaves room for items that wait for a slot.
            bound_s = 1.1 * max(lengths.values()) * fast_s
            self.assertLess(took_s, bound_s, seed)

    def test_an_ended_lot_is_not_run_further(self):
        self.feed(engines("e1", slots=1))
        (run,) = self.feed(lot(item("a"), item("b")))
        self.driver.stream(run.run, "x")
        self.assertEqual(
            self.driver.core.progress_of("L"), {"a": Progress(("x",), (1,))}
        )
        (cancelled,) = self.feed(LotClosed("L"))
        self.assertEqual(cancelled.run, run.run)
        self.assertEqual(self.feed(RunFailed(run.run, RunFault.BROKEN)), [])

    def test_text_of_an_earlier_lot_is_taken_up_if_its_versions_fit(self):
        self.feed(engines("e1", version=3))
        opened = lot(item("a"), oldest_version=2)
        known = {"a": Progress(("x", "y"), (2, 3))}
        opened = LotOpened(opened.spec, "pool", 1.0, 9.0, known=known)
        (run,) = self.feed(opened)
        self.assertEqual(run.resume_after, 2)

    def test_every_item_ends_under_random_faults(self):
        for seed in range(25):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng):
        """Plays a lot against engines that fail at random; checks texts."""
        driver = Driver()
        ids = [f"i{n}" for n in range(12)]
        driver.feed(engines("e1", "e2", "e3"))
        driver.feed(lot(*(item(i) for i in ids), max_attempts=99))
        done, open_runs, seen = {}, {}, 0
        for _ in range(4000):
            for action in driver.actions[seen:]:
                if isinstance(action, StartRun):
                    open_runs[action.run] = action.resume_after
                elif isinstance(action, CancelRun):
                    open_runs.pop(action.run, None)
                elif isinstance(action, StartReward):
                    driver.feed(RewardPaid("L", action.item.item_id, "p"))
                elif isinstance(action, FinishItem):
                    self.assertNotIn(action.result.item_id, done)
                    done[action.result.item_id] = action.result
                seen += 1
            if len(done) == len(ids):
                break
            driver.tick(after_s=0.05)
            for run, sent in list(open_runs.items()):
                dice = rng.random()
                if dice < 0.05:
                    del open_runs[run]
                    driver.feed(RunFailed(run, rng.choice(list(RunFault)[:4])))
                elif dice < 0.1:
                    continue
                elif sent == 5:
                    del open_runs[run]
                    driver.feed(RunEnded(run))
                else:
                    open_runs[run] = sent + 1
                    driver.feed(EventArrived(run, str(sent + 1), 1))
        self.assertEqual(set(done), set(ids))
        self.assertEqual({r.text for r in done.values()}, {"1\n2\n3\n4\n5"})
