"""Trainers that compete for slots of an adaptive pool all get their steps."""

import dataclasses
import unittest
from unittest import mock

import msgspec

from daisyhub.lots._lot_order import (
    ItemWork,
    LotClass,
    LotWork,
    order_items,
    order_lots,
    trainer_lag_s,
)
from daisyhub.lots._run_states import RunFault
from daisyhub.lots._run_types import (
    EnginesListed,
    LotOpened,
    RunFailed,
    StartRun,
)
from daisyhub.lots.tests.test_dispatch_core import (
    Driver,
    engines,
    item,
    lot,
)
from daisyhub.lots.tests.trainer_play import Play, Trainer


def head(account="a", step=1, accepted_s=0.0, wanted_groups=1):
    spec = lot(lot_id=f"{account}{step}", account=account).spec
    return msgspec.structs.replace(
        spec.head,
        step=step,
        accepted_s=accepted_s,
        due_s=7.5,
        wanted_groups=wanted_groups,
    )


def work(*remaining_s, lag_s=0.0, due_at_s=7.5, groups=None, **fields):
    """Returns a lot with one item a group; those at 0 s are done."""
    names = tuple(f"g{number}" for number in range(len(remaining_s)))
    return LotWork(
        head(**fields),
        due_at_s,
        lag_s,
        names,
        tuple(
            ItemWork(name, name, value)
            for name, value in zip(names, remaining_s, strict=True)
            if value
        ),
    )


def adaptive(listed: EnginesListed) -> EnginesListed:
    return EnginesListed(
        tuple(
            dataclasses.replace(view, is_adaptive=True)
            for view in listed.engines
        )
    )


class TrainerPlayTest(unittest.TestCase):
    def play(self, *, is_adaptive, seeds=range(4)):
        """Returns the steps in time of each trainer over a minute."""
        totals = {"a": 0, "b": 0, "c": 0}
        for seed in seeds:
            trainers = [
                Trainer("a", groups=20, mean_events=13),
                Trainer("b", groups=20, mean_events=13, starts_s=0.5),
                Trainer("c", groups=14, mean_events=18, starts_s=1.0),
            ]
            play = Play(trainers, seed=seed, engines=6, adaptive=is_adaptive)
            play.run(60.0)
            for trainer in trainers:
                totals[trainer.name] += trainer.in_time
        return totals

    def test_no_trainer_starves_and_none_pays_for_it(self):
        """By due time, the one with long texts got 29 steps, others 43."""
        today = self.play(is_adaptive=False)
        self.assertLess(min(today.values()), 0.8 * max(today.values()))
        found = self.play(is_adaptive=True)
        self.assertGreaterEqual(
            min(found.values()), 0.8 * max(found.values()), found
        )
        self.assertGreaterEqual(sum(found.values()), sum(today.values()))


class LotOrderTest(unittest.TestCase):
    def starts(self, *works, slots=4, now_s=0.0):
        orders = order_lots(works, slots, now_s)
        return [
            (lot_id, name)
            for lot_id, names in order_items(orders)
            for name in names
        ]

    def classes(self, *works, slots=4, now_s=0.0):
        orders = order_lots(works, slots, now_s)
        return {o.work.head.lot_id: o.lot_class for o in orders}

    def test_long_text_of_a_later_lot_starts_before_short_ones(self):
        """Its step was late since it waited for the lot before."""
        found = self.starts(
            work(1.0, 1.0, account="a"),
            work(4.0, 1.0, account="b", due_at_s=8.0, wanted_groups=2),
        )
        self.assertEqual(found[0], ("b1", "g0"))

    def test_trainer_that_is_behind_comes_first(self):
        found = self.starts(
            work(1.0, account="a"),
            work(1.0, account="b", due_at_s=8.0, lag_s=6.0),
        )
        self.assertEqual([lot_id for lot_id, _ in found], ["b1", "a1"])

    def test_a_late_step_still_gets_slots(self):
        """Its trainer asks for nothing more until it ends."""
        late = work(2.0, account="a", due_at_s=1.0)
        in_time = work(2.0, account="b", due_at_s=7.0)
        found = self.starts(in_time, late)
        self.assertEqual([lot_id for lot_id, _ in found], ["a1", "b1"])
        classes = self.classes(in_time, late)
        self.assertEqual(classes, {"a1": LotClass.LATE, "b1": LotClass.IN_TIME})

    def test_step_that_ends_too_late_takes_no_slot_from_others(self):
        """Overdue work was first by its due time, and of no use."""
        found = self.starts(
            work(9.0, account="a", due_at_s=-3.0),
            work(0.5, account="b", due_at_s=7.0),
        )
        self.assertEqual([lot_id for lot_id, _ in found], ["b1", "a1"])

    def test_second_lot_of_a_trainer_waits_for_other_trainers(self):
        found = self.starts(
            work(1.0, account="a", step=1),
            work(1.0, account="a", step=2, due_at_s=7.6, lag_s=5.0),
            work(1.0, account="b", due_at_s=9.0),
        )
        self.assertEqual([lot_id for lot_id, _ in found], ["a1", "b1", "a2"])

    def test_newest_step_comes_first_once_older_ones_were_given_up(self):
        """A holder that starts after a loss of power finds both open."""
        found = self.starts(
            work(1.0, account="a", step=1, due_at_s=-9.0),
            work(1.0, account="a", step=2, due_at_s=3.0),
            work(1.0, account="b", due_at_s=9.0),
        )
        self.assertEqual([lot_id for lot_id, _ in found], ["a2", "b1", "a1"])

    def test_groups_of_earlier_steps_are_always_required(self):
        """They were passed over for groups with shorter texts."""
        (order,) = order_lots([work(5.0, 1.0, 1.5, wanted_groups=2)], 4, 0.0)
        self.assertEqual(order.required, {"g0", "g1"})

    def test_done_groups_count_as_wanted(self):
        (order,) = order_lots([work(0, 2.0, 1.0, wanted_groups=2)], 4, 0.0)
        self.assertEqual(order.required, {"g2"})

    def test_surplus_groups_come_after_all_others(self):
        """A step that had all it wanted took slots from one that waited."""
        found = self.starts(
            work(0, 5.0, account="a", due_at_s=2.0),
            work(1.0, account="b", due_at_s=9.0),
        )
        self.assertEqual([lot_id for lot_id, _ in found], ["b1", "a1"])

    def test_expected_surplus_starts_later_than_what_is_required(self):
        found = self.starts(work(1.0, 1.5, 1.2, wanted_groups=2))
        self.assertEqual([name for _, name in found], ["g2", "g0", "g1"])

    def test_lag_counts_delays_of_the_last_steps_only(self):
        heads = [head(step=1), head(step=2, accepted_s=6.0)]
        third = head(step=3, accepted_s=9.0)
        self.assertAlmostEqual(trainer_lag_s(third, heads), 1.0)
        self.assertEqual(trainer_lag_s(third, []), 0.0)
        others = [head(account="b", step=2), head(step=4, accepted_s=50.0)]
        self.assertEqual(trainer_lag_s(third, others), 0.0)
        paused = head(step=3, accepted_s=60.0)
        self.assertAlmostEqual(trainer_lag_s(paused, heads), 2.0)


class AdaptiveDispatchTest(unittest.TestCase):
    def started(self, listed):
        driver = Driver()
        driver.feed(lot(item("a", hint=5), lot_id="A", due_at_s=8.0))
        driver.feed(
            lot(item("b", hint=90), lot_id="B", due_at_s=9.0, account="b")
        )
        return [
            action.item.item_id
            for action in driver.feed(listed)
            if isinstance(action, StartRun)
        ]

    def test_order_applies_to_adaptive_pools_only(self):
        listed = engines("e1", slots=1)
        self.assertEqual(self.started(listed), ["a"])
        self.assertEqual(self.started(adaptive(listed)), ["b"])

    def test_item_that_waits_for_a_reward_or_retry_blocks_no_other(self):
        """It must not keep the slot of the next one free."""
        driver = Driver()
        driver.feed(adaptive(engines("e1", slots=1)))
        (run,) = driver.feed(lot(item("a", hint=50), item("b", hint=5)))
        driver.stream(run.run, "x")
        actions = driver.complete(run.run)
        started = [a.item.item_id for a in actions if isinstance(a, StartRun)]
        self.assertEqual(started, ["b"])

    def test_lots_that_no_engine_can_serve_are_not_ordered(self):
        """Each event cost half a millisecond while a version was loaded."""
        driver = Driver()
        driver.feed(adaptive(engines("e1", version=1)))
        driver.feed(lot(item("a"), oldest_version=2))
        with mock.patch.object(driver.core, "order_lots") as order_lots:
            driver.tick(after_s=0.1)
            order_lots.assert_not_called()
        listed = adaptive(engines("e1", version=2))
        self.assertEqual(len(driver.feed(listed)), 1)

    def test_the_order_is_not_computed_for_each_end_of_a_run(self):
        """It took the holder's processor: 7 ms for 1,900 items."""
        driver = Driver()
        driver.feed(adaptive(engines("e1", slots=8)))
        items = [item(f"i{n}", hint=50) for n in range(40)]
        runs = driver.feed(lot(*items, due_at_s=9.0))
        order_lots = driver.core.order_lots
        with mock.patch.object(driver.core, "order_lots") as counted:
            counted.side_effect = order_lots
            for run in runs:
                driver.now_s += 0.004
                driver.stream(run.run, "x")
                actions = driver.complete(run.run)
                self.assertEqual(len(driver.runs(actions)), 1)
            self.assertLessEqual(counted.call_count, 1)

    def test_new_items_are_put_in_order_at_once(self):
        # Guards against an order that is used again without them.
        driver = Driver()
        driver.feed(adaptive(engines("e1", slots=1)))
        items = [item(f"i{n}", hint=50) for n in range(3)]
        (run,) = driver.feed(lot(*items, due_at_s=9.0))
        driver.feed(
            lot(item("b", hint=50), lot_id="B", due_at_s=8.0, account="b")
        )
        actions = driver.feed(RunFailed(run.run, RunFault.WORKER_LOST), 0.01)
        (start,) = driver.runs(actions)
        self.assertEqual(start.item.item_id, "b")
        (start,) = driver.feed(RunFailed(start.run, RunFault.WORKER_LOST), 0.01)
        self.assertEqual(start.item.item_id, "b")

    def test_new_holder_starts_items_in_the_same_order(self):
        """Nothing that the order depends on is kept by one holder alone."""
        heads = [head("a", 1), head("a", 2, 9.0), head("b", 2, 9.0)]
        opened = []
        for account, accepted_s in (("a", 13.0), ("b", 13.0)):
            spec = lot(
                *(item(f"{account}{n}", hint=120 * n + 4) for n in range(3)),
                lot_id=account,
                account=account,
                step=3,
                wanted_groups=1,
            ).spec
            spec = msgspec.structs.replace(
                spec,
                head=msgspec.structs.replace(
                    spec.head, accepted_s=accepted_s, due_s=7.5
                ),
            )
            lag_s = trainer_lag_s(spec.head, heads)
            opened.append(LotOpened(spec, "pool", 20.5, 60.0, lag_s=lag_s))
        orders = []
        for events in (opened, opened[::-1]):
            driver = Driver()
            for event in events:
                driver.feed(event, after_s=0.1)
            actions = driver.feed(adaptive(engines("e1", slots=6)))
            orders.append([action.item.item_id for action in actions])
        self.assertEqual(orders[0], ["a2", "a1", "b2", "a0", "b1", "b0"])
        self.assertEqual(orders[0], orders[1])
