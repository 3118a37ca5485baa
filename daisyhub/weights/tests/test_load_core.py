"""Stages, orders in doubt, and engines shared by models."""

import unittest

from daisyhub.weights import (
    EngineObservation,
    EngineReport,
    EnginesObserved,
    FetchReport,
    LoadMode,
    OrderAnswered,
    OrderOutcome,
    ReportFailed,
    ReportReceived,
    SendOrder,
    VersionPublished,
    WeightLoadCore,
    assign_engines,
)


def sights(versions, runs=None, model=""):
    return EnginesObserved(
        tuple(
            EngineObservation(
                endpoint_id=e,
                incarnation=1,
                versions={"m": v},
                runs=(runs or {}).get(e, 0),
                model=model,
            )
            for e, v in versions.items()
        ),
        LoadMode.CONTINUE,
    )


def report(version, taken, busy=False):
    return EngineReport(
        versions={"m": version}, is_busy=busy, orders_taken=taken
    )


class StageCoreTest(unittest.TestCase):
    def started(self, versions, runs=None, share=0.5):
        """A core whose engines reported their counts of orders."""
        core = WeightLoadCore(share)
        core.handle(sights(versions, runs), 0.0)
        asks = core.handle(VersionPublished("m", 2), 0.0)
        orders = []
        for ask in asks:
            self.assertIsInstance(ask, FetchReport)
            orders += core.handle(
                ReportReceived(ask.endpoint_id, report(1, 0)), 0.0
            )
        return core, [o for o in orders if isinstance(o, SendOrder)]

    def test_half_of_the_engines_load_at_one_time(self):
        core, orders = self.started(dict.fromkeys("abcd", 1))
        self.assertEqual(len(orders), 2)
        for order in orders:
            core.handle(
                OrderAnswered(order.endpoint_id, OrderOutcome.ACCEPTED), 0.1
            )
        self.assertEqual(core.handle(sights(dict.fromkeys("abcd", 1)), 0.5), [])
        done = dict.fromkeys("abcd", 1) | {o.endpoint_id: 2 for o in orders}
        more = core.handle(sights(done), 1.0)
        self.assertEqual(
            {o.endpoint_id for o in more},
            set("abcd") - {o.endpoint_id for o in orders},
        )

    def test_idle_engines_go_first(self):
        _, orders = self.started(
            dict.fromkeys("abcd", 1), {"a": 5, "b": 0, "c": 5, "d": 1}
        )
        first = {order.endpoint_id for order in orders}
        self.assertIn("b", first)

    def test_an_order_in_doubt_is_followed_up_before_it_is_repeated(self):
        core, orders = self.started({"a": 1}, share=1.0)
        (ask,) = core.handle(OrderAnswered("a", OrderOutcome.UNKNOWN), 0.1)
        self.assertEqual(ask, FetchReport("a"))
        self.assertEqual(
            core.handle(ReportReceived("a", report(1, 0)), 0.2), []
        )
        core.handle(sights({"a": 1}), 0.5)
        again = core.handle(ReportReceived("a", report(1, 0)), 0.8)
        self.assertEqual(again, orders)
        self.assertEqual(again[0].orders_taken, 0)

    def test_an_order_in_doubt_that_was_accepted_is_not_repeated(self):
        core, _ = self.started({"a": 1}, share=1.0)
        core.handle(OrderAnswered("a", OrderOutcome.UNKNOWN), 0.1)
        core.handle(ReportReceived("a", report(1, 1, busy=True)), 0.2)
        self.assertTrue(core.is_loading("a"))
        core.handle(ReportReceived("a", report(2, 1)), 1.5)
        self.assertFalse(core.is_loading("a"))
        self.assertEqual(core.handle(sights({"a": 2}), 1.6), [])

    def test_a_restarted_engine_is_asked_for_its_count_again(self):
        core, _ = self.started({"a": 1}, share=1.0)
        core.handle(OrderAnswered("a", OrderOutcome.ACCEPTED), 0.1)
        reborn = EngineObservation("a", 2, {"m": 1}, 0)
        actions = core.handle(
            EnginesObserved((reborn,), LoadMode.CONTINUE), 0.5
        )
        self.assertEqual(actions, [FetchReport("a")])

    def test_a_load_that_never_ends_keeps_no_other_waiting(self):
        core, (order,) = self.started({"a": 1, "b": 1}, share=0.5)
        name = order.endpoint_id
        core.handle(OrderAnswered(name, OrderOutcome.ACCEPTED), 0.1)
        for step in range(30):
            actions = core.handle(ReportFailed(name), 0.5 * step)
        (other,) = [a for a in actions if isinstance(a, SendOrder)] or [None]
        self.assertFalse(core.is_loading(name))
        if other is not None:
            self.assertNotEqual(other.endpoint_id, name)

    def test_an_engine_of_one_model_loads_no_other(self):
        core = WeightLoadCore(1.0)
        core.handle(sights({"a": 1}, model="other"), 0.0)
        self.assertEqual(core.handle(VersionPublished("m", 2), 0.0), [])

    def test_a_newer_version_named_meanwhile_is_loaded_next(self):
        core, _ = self.started({"a": 1}, share=1.0)
        core.handle(OrderAnswered("a", OrderOutcome.ACCEPTED), 0.1)
        core.handle(VersionPublished("m", 3), 0.2)
        (order,) = core.handle(sights({"a": 2}), 1.0)
        self.assertEqual((order.version, order.orders_taken), (3, 1))


class ShareEnginesTest(unittest.TestCase):
    def test_shares_follow_the_demand_and_each_model_gets_one(self):
        shared = assign_engines("abcde", {"x": 1.0, "y": 3.0}, {})
        counts = [list(shared.values()).count(m) for m in "xy"]
        self.assertEqual(sum(counts), 5)
        self.assertGreaterEqual(counts[0], 1)
        self.assertGreater(counts[1], counts[0])

    def test_engines_keep_their_model(self):
        earlier = assign_engines("abcde", {"x": 1.0, "y": 1.0}, {})
        again = assign_engines("abcde", {"x": 1.1, "y": 0.9}, earlier)
        self.assertEqual(earlier, again)
        fewer = assign_engines("abce", {"x": 1.0, "y": 1.0}, earlier)
        moved = [e for e in fewer if fewer[e] != earlier[e]]
        self.assertLessEqual(len(moved), 1)

    def test_too_few_engines_serve_all_models(self):
        self.assertEqual(assign_engines("a", {"x": 1.0, "y": 1.0}, {}), {})

    def test_equal_demand_that_engines_do_not_divide_settles(self):
        # Found on a pool of 19: one model was short by 0.75 of an engine,
        # the others were over by 0.25, and an engine moved without end.
        for engines in range(1, 40):
            ids = [f"e{n}" for n in range(engines)]
            for models in range(1, 9):
                demand = {f"m{n}": 1.0 for n in range(models)}
                shared = assign_engines(ids, demand, {})
                self.assertEqual(assign_engines(ids, demand, shared), shared)

    def test_it_ends_for_any_demand(self):
        for engines in range(1, 12):
            ids = [f"e{n}" for n in range(engines)]
            for weight in (0.0, 0.01, 1.0, 500.0):
                demand = {"x": weight, "y": 1.0, "z": 2.0}
                shared = assign_engines(ids, demand, dict.fromkeys(ids, "x"))
                self.assertIn(len(shared), (0, engines))
