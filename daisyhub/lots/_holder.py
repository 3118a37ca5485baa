"""Runs all open lots while this daemon has the duty for lots."""

import time

import anyio
import msgspec

from daisyhub.cluster import (
    LotAcceptedNotification,
    LotEndedNotification,
    PoolBacklog,
)
from daisyhub.duties import DutyController
from daisyhub.duty_bound import DutyBoundController
from daisyhub.json_texts import decode_json
from daisyhub.lots._body_reader import BodyReader
from daisyhub.lots._dispatch_actions import carry_out
from daisyhub.lots._dispatch_core import DispatchCore
from daisyhub.lots._engine_views import find_pools_by_model, list_engine_views
from daisyhub.lots._failure_store import FailureStore
from daisyhub.lots._held_results import HeldResults
from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._listing_core import (
    ItemFinished,
    ListingCore,
    ListingTick,
)
from daisyhub.lots._listing_writer import ListingWriter
from daisyhub.lots._lot_demand import LotDemand
from daisyhub.lots._lot_loader import LotLoader
from daisyhub.lots._lot_memory import LotMemory
from daisyhub.lots._lot_opener import LotOpener
from daisyhub.lots._lot_remover import LotRemover
from daisyhub.lots._lot_routes import choose_pool
from daisyhub.lots._lot_store import LOTS_KIND, decode_head
from daisyhub.lots._run_reports import (
    describe_order,
    log_order,
    measure_engine,
)
from daisyhub.lots._run_states import Item
from daisyhub.lots._run_types import (
    EnginesListed,
    FinishItem,
    LotClosed,
    LotRouted,
    StreamEventsReceived,
)
from daisyhub.lots._text_saver import TextCache, TextSaver
from daisyhub.lots._types import ItemResult, LotHead
from daisyhub.objects import KindWatcher

__all__ = ["LotHolder", "LotHolderDependencies"]

# Seconds between checks for silent runs and free slots: the time of a few
# events.
_TICK_INTERVAL_S = 0.1
# Seconds between saves of unfinished texts. A crash of the holder loses the
# progress of at most this time, and a trainer's step is due in 7.5 s; each save
# costs one write for each open lot.
_SAVE_INTERVAL_S = 1.0
# Seconds between lists of all lots, which back up their watch. If the daemon
# that ended a lot couldn't notify the holder, the end must take effect within
# three seconds.
_VERIFY_INTERVAL_S = 1.5


class LotHolder(DutyBoundController):
    """Runs all open lots and lists their results while the duty is held.

    Args:
        duty: The duty for lots.
        deps: The objects that the holder depends on.
    """

    name = "lot_holder"

    def __init__(self, duty: DutyController, deps: LotHolderDependencies):
        super().__init__(duty)
        self._deps = deps
        self._failures = FailureStore(deps)
        self._core = DispatchCore(self._failures.failures)
        self._lots: dict[str, HeldLot] = {}
        self._cached_texts = TextCache()
        self._opener = LotOpener(deps, self._cached_texts)
        self._demand = LotDemand()
        # Pools with an engine that may get runs of a model, by model.
        self._pools_by_model: dict[str, set[str]] = {}
        self._tasks = None
        self._duty_since_s = 0.0
        self._texts = TextSaver(deps, self._is_adaptive)
        self._listing = ListingWriter(deps, self._on_listed)
        self._remover = LotRemover(deps, self.find)
        self._memory = LotMemory(deps.memory_bytes)
        self._loader = LotLoader(
            deps,
            self._is_known,
            self._listing.add_chunk,
            self._memory,
            lambda: deps.memory_bytes - self._core.read_bytes,
        )
        self._bodies = BodyReader(deps, lambda: self._core, self._feed_dispatch)
        self._results = HeldResults(duty, deps, self._loader)

    @property
    def term(self) -> int:
        """The duty's tenure: items may run more than once.

        Results are listed by conditional creates, so that two holders agree on
        them.
        """
        return self._duty.tenure

    def open_run_count(self, endpoint_id: str) -> int:
        """Returns the number of open runs at an engine."""
        return self._core.open_run_count(endpoint_id)

    def demand(self) -> dict[str, float]:
        """Returns the work of the latest lot by model; see `LotDemand`."""
        return self._demand.by_model()

    def backlogs(self) -> tuple[PoolBacklog, ...]:
        """Returns the figures of adaptive pools that its pings carry."""
        if not self.term:
            return ()
        return self._core.backlogs(time.monotonic())

    def status(self) -> dict[str, object]:
        """Returns listed and total items by lot, and the numbers of runs."""
        return {
            "lots": {
                lot_id: f"{len(lot.listing.listed)}/{lot.head.total}"
                for lot_id, lot in self._lots.items()
                if not lot.is_ended
            },
            "large_lots_waiting": self._memory.waiting_lots,
            "bodies_bytes": self._core.read_bytes,
            "items_without_bodies": self._core.unread_items,
            "running": self._core.total_open_runs,
            "waiting": self._core.waiting_items,
            "order": describe_order(self._core),
        }

    async def run_with_duty(self) -> None:
        """Runs lots until the duty is lost."""
        # Read once: the duty may end between two reads.
        term = self.term
        watcher = KindWatcher(
            self._deps.store, LOTS_KIND, self._deps.log, self._on_lot_changed
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = self._listing.tasks = tasks
                self._duty_since_s = time.monotonic()
                tasks.start_soon(self._deps.pool.run, term, self._feed_dispatch)
                tasks.start_soon(watcher.run)
                tasks.start_soon(self.verify, watcher, _VERIFY_INTERVAL_S)
                tasks.start_soon(self._remover.run, watcher)
                tasks.start_soon(self._bodies.run)
                self._failures.begin()
                tasks.start_soon(self._failures.run)
                tasks.start_soon(self._save_unfinished_texts_periodically)
                while term and self.term == term:
                    self._tick()
                    await anyio.sleep(_TICK_INTERVAL_S)
                tasks.cancel_scope.cancel()
        finally:
            self._tasks = self._listing.tasks = None
            self._core = DispatchCore(self._failures.failures)
            self._lots.clear()
            self._memory.clear()

    async def save_unfinished_texts(self) -> None:
        """Saves the text of unfinished items to the store, and failures."""
        await self._failures.save()
        await self._texts.save(self._core, self._lots)

    async def _save_unfinished_texts_periodically(self) -> None:
        """Saves unfinished texts regularly, in case this daemon crashes."""
        while True:
            await anyio.sleep(_SAVE_INTERVAL_S)
            log_order(self._core, self._deps.log)
            await self.save_unfinished_texts()

    def _tick(self) -> None:
        """Passes the current engines and the time to the cores."""
        engines = list_engine_views(self._deps)
        self._pools_by_model = find_pools_by_model(engines)
        self._follow_routes()
        self._feed_dispatch(EnginesListed(engines))
        for lot in list(self._lots.values()):
            self._listing.feed(lot, ListingTick())

    def _follow_routes(self) -> None:
        """Has each open lot served where its route leads now.

        It comes before new runs are started, since a manifest is in force for
        all items that are sent after it.
        """
        for lot_id in self._core.open_lots:
            before = self._core.pool_of(lot_id)
            pool = self._choose_pool(self._lots[lot_id].head)
            if pool == before:
                continue
            self._deps.log.record(
                "lot_rerouted", lot=lot_id, before=before, pool=pool
            )
            self._feed_dispatch(LotRouted(lot_id, pool))

    def _on_lot_changed(self, found) -> None:
        """Handles a change of a lot's object: accepted, ended or deleted."""
        if found.is_deleted:
            self._close_lot(found.name, "it was deleted")
            self._lots.pop(found.name, None)
            return
        try:
            head, status = decode_head(found)
        except msgspec.DecodeError as exc:
            self._deps.log.record(
                "lot_unreadable", lot=found.name, reason=str(exc)
            )
            return
        if status.is_ended:
            self.end(head.lot_id)
        self._add_lot(head, status.is_ended)

    def _add_lot(self, head: LotHead, is_ended: bool) -> None:
        """Adds a lot and starts loading it, unless it is known."""
        if head.lot_id in self._lots or self._tasks is None:
            return
        age_s = self._deps.clock.now_s() - head.accepted_s
        lot = HeldLot(
            head,
            ListingCore(head.total),
            is_ended=is_ended,
            is_inherited=age_s > time.monotonic() - self._duty_since_s,
        )
        self._lots[head.lot_id] = lot
        self._tasks.start_soon(self._load_lot, lot)

    def end(self, lot_id: str) -> None:
        """Ends a lot, as a caller requested."""
        lot = self._lots.get(lot_id)
        if lot is None or lot.is_ended:
            return
        lot.is_ended = True
        self._close_lot(lot_id, "its caller ended it")

    def _close_lot(self, lot_id: str, reason: str) -> None:
        """Stops running a lot; caches the texts of its unfinished items.

        A later lot with the same items resumes from these texts.
        """
        self._memory.release(lot_id)
        if lot_id not in self._core.open_lots:
            return
        self._cached_texts.add(self._core.texts_of(lot_id))
        lot = self._lots[lot_id]
        self._deps.log.record(
            "lot_closed",
            lot=lot_id,
            reason=reason,
            listed=len(lot.listing.listed),
            total=lot.head.total,
        )
        self._feed_dispatch(LotClosed(lot_id))

    async def _load_lot(self, lot: HeldLot) -> None:
        """Reads a lot, then runs the unlisted items."""
        if not lot.is_ended:
            await self._failures.wait_until_read()
        self._opener.add_texts(lot, await self._loader.load(lot))
        is_open = not lot.is_ended and not lot.listing.is_complete
        if self._is_known(lot) and is_open:
            self._open_lot(lot)
            return
        lot.spec, lot.places = None, {}
        self._memory.release(lot.head.lot_id)

    def _is_known(self, lot: HeldLot) -> bool:
        """Whether a lot was neither deleted nor replaced by a new state."""
        return self._lots.get(lot.head.lot_id) is lot

    def find_item(self, lot_id: str, item_id: str) -> Item | None:
        """Returns an unlisted item of an open lot, or None."""
        return self._core.find_item(lot_id, item_id) if self.term else None

    def find(self, lot_id: str) -> HeldLot | None:
        """Returns the state of a lot, or None if it is unknown here."""
        return self._lots.get(lot_id)

    def _open_lot(self, lot: HeldLot) -> None:
        """Runs the unlisted items of a lot that was read."""
        head = lot.head
        self._demand.add_lot(head, self._core.mean_run_s)
        heads = (other.head for other in self._lots.values())
        self._feed_dispatch(
            self._opener.open(lot, self._choose_pool(head), heads, self.term)
        )
        # Items drop their bodies one by one from now on.
        lot.spec, lot.places = None, {}

    def _is_adaptive(self, head: LotHead) -> bool:
        return self._deps.is_adaptive(self._choose_pool(head))

    def _choose_pool(self, head: LotHead) -> str:
        """Returns the pool that is to serve a lot; see `choose_pool`."""
        manifest = self._deps.manifests.manifest
        route = manifest.find_route(head.host, head.path) if manifest else None
        return choose_pool(
            head.lot_id,
            route.shares if route else (),
            current=self._core.pool_of(head.lot_id),
            served=self._pools_by_model.get(head.model, ()),
        )

    def _on_listed(self, lot: HeldLot) -> None:
        """Closes a lot of which all items are listed."""
        # After the duty was lost and acquired again, a lot has a new state.
        if self._is_known(lot):
            self._close_lot(lot.head.lot_id, "all of its items are listed")

    def _feed_dispatch(self, event: object) -> None:
        """Passes an event to the dispatch core and runs its actions."""
        if isinstance(event, StreamEventsReceived):
            measure_engine(self._core, self._deps, self._lots, event)
        for action in self._core.handle(event, time.monotonic()):
            carry_out(
                action, self._core, self._deps, self._lots, self._on_finished
            )

    def _on_finished(self, lot: HeldLot, item: FinishItem) -> None:
        """Has the result of an item listed."""
        self._listing.feed(lot, ItemFinished(item.result, item.is_group_done))

    async def results(
        self, lot_id: str, after: int, wait_s: float
    ) -> list[ItemResult] | None:
        """Returns results from a position on.

        Waits up to `wait_s` seconds if there is none.

        Returns:
            The results, or None if the caller must read the store. An empty
            list means that nobody had listed a further result a moment ago.
        """
        lot = self._lots.get(lot_id)
        if lot is None or not lot.is_listing_loaded or not self.term:
            return None
        return await self._results.read(lot, after, wait_s)

    def head(self, lot_id: str) -> LotHead | None:
        """Returns a lot's head.

        None if the lot is unknown here, or this daemon doesn't have the duty.
        """
        lot = self._lots.get(lot_id)
        return lot.head if lot and self.term else None

    def add_accepted(self, head: LotHead) -> None:
        """Adds a lot that was just accepted, if this daemon has the duty.

        A notification of a daemon that was frozen may be older than the time
        after which lots are deleted. Whether its lot exists, the watch reports.
        """
        if not self.term or head.lot_id in self._lots:
            return
        age_s = self._deps.clock.now_s() - head.accepted_s
        if age_s >= self._remover.min_retention_s:
            return
        self._add_lot(head, is_ended=False)

    def receive(self, _, message: object) -> None:
        """Handles a peer's notification that it accepted or ended a lot."""
        match message:
            case LotAcceptedNotification(head):
                self.add_accepted(decode_json(head, type=LotHead))
            case LotEndedNotification(lot_id):
                self.end(lot_id)
