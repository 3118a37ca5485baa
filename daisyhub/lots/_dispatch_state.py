"""The lots, engines and runs that the parts of the dispatch core share."""

import dataclasses
import statistics
import time

import msgspec

from daisyhub.lots._item_bodies import (
    ItemPlace,
    bodies_size,
    without_bodies,
)
from daisyhub.lots._item_failures import (
    ItemFailures,
    ItemIdentity,
    digest_body,
    identify_item,
)
from daisyhub.lots._open_lot import (
    OpenLot,
    reusable_progress,
    update_progress,
)
from daisyhub.lots._placement import Placement, RunContext
from daisyhub.lots._pool_state import PoolState
from daisyhub.lots._run_states import Engine, Item, Progress, Run
from daisyhub.lots._run_types import (
    BodiesRead,
    CancelRewardCall,
    CancelRun,
    EnginesListed,
    LotClosed,
    LotOpened,
    LotRouted,
)

__all__ = ["DispatchState", "back_off"]


class DispatchState:
    """Open lots, engines and runs.

    Attributes:
        lots: The open lots by id.
        engines: The engines that may get runs, by endpoint id.
        runs: The open runs by id.
        mean_run_s: Moving average of the duration of whole runs by model.
        placement: Chooses engines in adaptive pools.
        failures: The failures of items in these and earlier lots.
    """

    def __init__(self, failures: ItemFailures | None = None):
        self.lots: dict[str, OpenLot] = {}
        self.engines: dict[str, Engine] = {}
        self.runs: dict[int, Run] = {}
        self.mean_run_s: dict[str, float] = {}
        self.placement = Placement()
        if failures is None:
            failures = ItemFailures(time.time)
        self.failures = failures

    def open(self, opened: LotOpened) -> None:
        """Adds a lot."""
        items = {}
        unfinished: dict[str, int] = {}
        # The longest first: a long text that starts last delays its whole
        # group.
        longest_first = sorted(
            opened.spec.items, key=lambda spec: -spec.length_hint
        )
        for spec in longest_first:
            if spec.item_id in opened.listed:
                continue
            earlier = opened.progress.get(spec.item_id, Progress())
            reusable = reusable_progress(earlier, opened.spec.head)
            place = opened.places.get(spec.item_id) or ItemPlace(
                part=0, size=bodies_size(spec), digest=digest_body(spec)
            )
            item = Item(spec, len(items), place, progress=reusable)
            items[spec.item_id] = item
            unfinished[spec.group] = unfinished.get(spec.group, 0) + 1
        # The bodies are with the items alone, so that they can be dropped.
        entries = tuple(map(without_bodies, opened.spec.items))
        entries = msgspec.structs.replace(opened.spec, items=entries)
        opened = dataclasses.replace(opened, spec=entries, places={})
        places = [item.place for item in items.values()]
        lot = OpenLot(
            opened,
            items,
            unfinished,
            bodies_bytes=sum(place.size for place in places),
            read_bytes=sum(place.size for place in places if place.is_read),
        )
        for item in items.values():
            lot.requeue(item)
        lot.is_sorted = True
        self.lots[opened.spec.head.lot_id] = lot

    def add_bodies(self, event: BodiesRead) -> None:
        """Completes the items of a lot, if that is still open."""
        lot = self.lots.get(event.head.lot_id)
        if lot is None or lot.opened.spec.head != event.head:
            return
        for spec in event.items:
            lot.add_bodies(spec)

    def route(self, event: LotRouted) -> None:
        """Sets the pool that serves a lot."""
        lot = self.lots.get(event.lot_id)
        if lot is None:
            return
        lot.opened = dataclasses.replace(lot.opened, pool=event.pool)
        lot.is_in_order = False
        for item in lot.items.values():
            item.waits_since_s = None

    def close(self, event: LotClosed) -> list[object]:
        """Removes a lot; cancels its runs and reward calls."""
        lot = self.lots.pop(event.lot_id, None)
        if lot is None:
            return []
        run_ids = [r for item in lot.items.values() for r in item.runs]
        for run_id in run_ids:
            self.remove_run(run_id)
        actions = [CancelRun(r, "the lot was closed") for r in run_ids]
        actions += [
            CancelRewardCall(event.lot_id, item_id)
            for item_id, item in lot.items.items()
            if item.is_reward_pending
        ]
        return actions

    def list_engines(self, event: EnginesListed) -> None:
        """Replaces the set of engines; runs on removed engines continue."""
        views = {engine.endpoint_id: engine for engine in event.engines}
        for endpoint_id in [e for e in self.engines if e not in views]:
            del self.engines[endpoint_id]
        for endpoint_id, view in views.items():
            engine = self.engines.get(endpoint_id)
            if engine is None:
                engine = self.engines[endpoint_id] = Engine(view)
                engine.runs = {
                    run_id
                    for run_id, run in self.runs.items()
                    if run.endpoint_id == endpoint_id
                }
            engine.view = view

    def pool_state(self, lot: OpenLot, now_s: float) -> PoolState:
        """Returns the engines and runs of the pool that serves a lot."""
        return PoolState(
            lot.opened.pool, self.engines.values(), self.runs, now_s
        )

    def context(self, run_id: int) -> RunContext:
        """Returns a run with its item and the head of its lot."""
        run = self.runs[run_id]
        lot = self.lots[run.lot_id]
        return RunContext(
            run_id, run, lot.items[run.item_id], lot.opened.spec.head
        )

    def identity(self, lot: OpenLot, item: Item) -> ItemIdentity:
        """Returns what identifies an item across lots."""
        head = lot.opened.spec.head
        return identify_item(head, item.spec.item_id, item.place.digest)

    def same_items(self, identity: ItemIdentity) -> list[tuple[OpenLot, Item]]:
        """Returns the items with this identity that need a run."""
        _, _, item_id, _ = identity
        found = [
            (lot, lot.items[item_id])
            for lot in self.lots.values()
            if item_id in lot.items
        ]
        return [
            (lot, item)
            for lot, item in found
            if not item.is_done
            and not item.progress.is_whole
            and self.identity(lot, item) == identity
        ]

    def abandon_run(self, run_id: int, reason: str) -> list[object]:
        """Cancels a run, but keeps its text if it can be reused."""
        run = self.remove_run(run_id)
        lot = self.lots[run.lot_id]
        item = lot.items[run.item_id]
        update_progress(item, run)
        item.progress = reusable_progress(item.progress, lot.opened.spec.head)
        lot.requeue(item)
        return [CancelRun(run_id, reason)]

    def remove_run(self, run_id: int) -> Run:
        """Removes a run that ended."""
        run = self.runs.pop(run_id)
        engine = self.engines.get(run.endpoint_id)
        if engine is not None:
            engine.runs.discard(run_id)
        lot = self.lots.get(run.lot_id)
        if lot is not None:
            lot.items[run.item_id].runs.discard(run_id)
        return run

    def median_event_interval_s(self) -> float:
        """Returns the median of the known event intervals; 0 without any."""
        intervals_s = [
            e.event_interval_s
            for e in self.engines.values()
            if e.event_interval_s
        ]
        return statistics.median_low(intervals_s) if intervals_s else 0.0


def back_off(engine: Engine | None, now_s: float, backoff_s: float) -> None:
    """Gives an engine no new runs for some time."""
    if engine is not None:
        engine.backoff_until_s = max(engine.backoff_until_s, now_s + backoff_s)
