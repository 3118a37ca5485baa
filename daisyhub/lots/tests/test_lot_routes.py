"""An open lot is served where its route leads now.

The items of an open lot stayed with the service that its route had left, and
never ran once the servers of that service were gone.
"""

import types
import unittest
from unittest import mock

from daisyhub.balancing import EndpointDirectory, EndpointEntry, Release
from daisyhub.catalog import PoolShare
from daisyhub.logs import DecisionLog
from daisyhub.lots import DispatchCore, ItemSpec, LotHead, LotHolder, LotSpec
from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._listing_core import ListingCore
from daisyhub.lots._lot_routes import choose_pool
from daisyhub.lots._run_states import EngineView, RunFault
from daisyhub.lots._run_types import (
    EnginesListed,
    LotOpened,
    LotRouted,
    RunFailed,
    StartRun,
    StreamEventsReceived,
)
from daisyhub.settings import Address

ITEMS = 8
SLOTS = 2


def make_spec(count=ITEMS, **head):
    """Returns a lot with one group."""
    items = tuple(
        ItemSpec(item_id=f"i{n}", path="/p", headers={}, body=b"{}", group="g")
        for n in range(count)
    )
    fields = {
        "account": "a",
        "host": "h",
        "path": "/p",
        "step": 1,
        "model": "m",
        "oldest_version": 1,
        "wanted_groups": 1,
        "due_s": 7.5,
        "max_wait_s": 60.0,
        **head,
    }
    return LotSpec(head=LotHead(lot_id="L", total=count, **fields), items=items)


def split(**weights):
    return tuple(PoolShare(pool, weight) for pool, weight in weights.items())


class ChoosePoolTest(unittest.TestCase):
    def test_lots_are_divided_as_the_shares_say(self):
        shares = split(a=3.0, b=1.0, c=0.0)
        chosen = [choose_pool(f"lot{n}", shares) for n in range(4000)]
        self.assertAlmostEqual(chosen.count("a") / 4000, 0.75, delta=0.03)
        self.assertNotIn("c", chosen)

    def test_all_daemons_choose_the_same_pool(self):
        shares = split(a=1.0, b=1.0, c=1.0)
        for n in range(50):
            lot_id = f"lot{n}"
            self.assertEqual(
                choose_pool(lot_id, shares), choose_pool(lot_id, shares[::-1])
            )

    def test_a_lot_stays_while_its_pool_has_a_share_and_an_engine(self):
        for n in range(50):
            found = choose_pool(
                f"lot{n}", split(a=0.1, b=9.0), current="a", served={"a", "b"}
            )
            self.assertEqual(found, "a")

    def test_a_lot_leaves_a_pool_that_lost_its_share_or_its_engines(self):
        for shares, served in (
            (split(b=1.0), {"a", "b"}),
            (split(a=0.0, b=1.0), {"a", "b"}),
            (split(a=9.0, b=1.0), {"b"}),
        ):
            found = choose_pool("L", shares, current="a", served=served)
            self.assertEqual(found, "b")

    def test_a_lot_waits_in_its_pool_while_no_pool_has_an_engine(self):
        shares = split(a=1.0, b=1.0)
        for current in "ab":
            found = choose_pool("L", shares, current=current, served=())
            self.assertEqual(found, current)

    def test_a_removed_route_leads_nowhere(self):
        self.assertEqual(choose_pool("L", (), current="a", served={"a"}), "")


class RoutedHolderTest(unittest.TestCase):
    """A holder with one lot and two engines in each of two pools."""

    def setUp(self):
        self.shares = split(old=1.0)
        self.has_manifest = True
        self.pool = mock.Mock()
        self.lines = []
        self.directory = EndpointDirectory(lambda _: 0.0)
        for pool in ("old", "new"):
            for n in range(2):
                self.directory.upsert(
                    EndpointEntry(
                        endpoint_id=f"{pool}{n}",
                        pool=pool,
                        address=Address(ip="127.0.0.1", port=1),
                        domain="d",
                        slots=SLOTS,
                        versions={"m": 1},
                    )
                )
        deps = LotHolderDependencies(
            store=None,
            lots=None,
            directory=self.directory,
            manifests=self,
            pool=self.pool,
            is_loading=lambda _: False,
            has_lost_peers=lambda: False,
            clock=types.SimpleNamespace(now_s=lambda: 1e9),
            log=DecisionLog("d", write=self.lines.append),
            unsent_bytes=lambda: 0,
            status_s=60.0,
        )
        duty = types.SimpleNamespace(fencing=1, tenure=1)
        self.holder = LotHolder(duty, deps)
        spec = make_spec(accepted_s=1e9)
        self.lot = HeldLot(
            spec.head, ListingCore(ITEMS), spec, is_listing_loaded=True
        )
        self.holder._lots["L"] = self.lot

    @property
    def manifest(self):
        """The manifest of `ManifestController`."""
        if not self.has_manifest:
            return None
        route = types.SimpleNamespace(shares=self.shares)
        return types.SimpleNamespace(
            find_route=lambda *_: route if self.shares else None
        )

    def tick(self):
        """Returns the engines that got runs in a tick, in order."""
        self.pool.start_run.reset_mock()
        self.holder._tick()
        return sorted(
            call.args[0].endpoint_id
            for call in self.pool.start_run.call_args_list
        )

    def lose_runs(self):
        """All open runs break."""
        for run in list(self.holder._core._state.runs):
            self.holder._feed_dispatch(RunFailed(run, RunFault.WORKER_LOST))

    def test_items_follow_a_route_to_another_service(self):
        self.holder._open_lot(self.lot)
        self.assertEqual(self.tick(), ["old0", "old0", "old1", "old1"])
        self.shares = split(new=1.0)
        self.assertEqual(self.tick(), ["new0", "new0", "new1", "new1"])
        # Runs at the old service continue, but no further ones start there.
        self.assertEqual(self.holder._core.open_run_count("old0"), SLOTS)
        self.lose_runs()
        self.assertEqual(self.holder._core.open_run_count("old0"), 0)
        self.assertTrue(any('"lot_rerouted"' in str(x) for x in self.lines))

    def test_items_follow_a_split_route_whose_first_service_leaves(self):
        self.holder._open_lot(self.lot)
        self.tick()
        self.shares = split(old=1.0, new=1.0)
        self.lose_runs()
        self.assertEqual(self.holder._core.open_run_count("new0"), 0)
        for n in range(2):
            self.directory.remove(f"old{n}", 0.0, is_store_stable=True)
        self.assertEqual(self.tick(), ["new0", "new0", "new1", "new1"])

    def test_a_lot_opened_before_the_first_manifest_is_served(self):
        """A daemon may take the duty before it knows any manifest."""
        self.has_manifest = False
        self.holder._open_lot(self.lot)
        self.assertEqual(self.tick(), [])
        self.has_manifest = True
        self.assertEqual(len(self.tick()), 2 * SLOTS)

    def test_no_item_runs_for_a_removed_route_until_it_is_back(self):
        self.holder._open_lot(self.lot)
        self.shares = ()
        self.assertEqual(self.tick(), [])
        self.shares = split(old=1.0)
        self.assertEqual(len(self.tick()), 2 * SLOTS)


class RoutedCoreTest(unittest.TestCase):
    """The dispatch core after a lot moved to another pool."""

    def setUp(self):
        self.core = DispatchCore()
        self.now_s = 0.0
        self.is_adaptive = False
        self.engines = {"old0": "old", "new0": "new"}
        self.opened = LotOpened(make_spec(1), "old", 10.0, 100.0)

    def feed(self, event, after_s=0.0):
        self.now_s += after_s
        actions = self.core.handle(event, self.now_s)
        return [a for a in actions if isinstance(a, StartRun)]

    def list_engines(self, after_s=0.0):
        return self.feed(
            EnginesListed(
                tuple(
                    EngineView(
                        name,
                        pool,
                        SLOTS,
                        {"m": 1},
                        release=Release(pool, "v1"),
                        is_adaptive=self.is_adaptive,
                    )
                    for name, pool in self.engines.items()
                )
            ),
            after_s,
        )

    def start(self):
        """Starts the item in the old pool; it gets ten events."""
        self.feed(self.opened)
        (run,) = self.list_engines()
        self.assertEqual(run.endpoint_id, "old0")
        texts = tuple("abcdefghij")
        self.feed(StreamEventsReceived(run.run, 1, texts, (1,) * 10, 0.04))
        return run

    def test_a_text_begins_anew_at_the_new_pool_without_waiting(self):
        """It waited for engines of its release, which may not get it."""
        run = self.start()
        self.feed(LotRouted("L", "new"))
        (again,) = self.feed(RunFailed(run.run, RunFault.WORKER_LOST), 0.1)
        self.assertEqual((again.endpoint_id, again.resume_after), ("new0", 0))

    def test_no_run_moves_within_a_pool_that_the_route_left(self):
        """Runs of adaptive pools move to faster engines of their pool."""
        for is_routed in (False, True):
            with self.subTest(is_routed=is_routed):
                self.setUp()
                self.is_adaptive = True
                self.engines["old1"] = "old"
                self.start()
                if is_routed:
                    self.feed(LotRouted("L", "new"))
                # The engine is silent.
                moved = self.list_engines(after_s=0.45)
                expected = [] if is_routed else ["old1"]
                self.assertEqual([m.endpoint_id for m in moved], expected)


if __name__ == "__main__":
    unittest.main()
