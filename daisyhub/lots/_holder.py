"""Runs all open lots while this daemon has the duty for lots."""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterable

import anyio
import msgspec

from daisyhub.balancing import EndpointDirectory, EndpointEntry
from daisyhub.catalog import ManifestController
from daisyhub.cluster import (
    ClusterClock,
    LotAcceptedNotification,
    LotEndedNotification,
    LotHeadRequest,
    LotItemBodyRequest,
    LotResponse,
    LotResultsRequest,
    PoolBacklog,
)
from daisyhub.duties import DutyController
from daisyhub.duty_bound import DutyBoundController
from daisyhub.json_texts import decode_json
from daisyhub.logs import DecisionLog
from daisyhub.lots._dispatch_core import DispatchCore
from daisyhub.lots._engine_capacity import EngineCapacity
from daisyhub.lots._listing_core import (
    ChunkStored,
    ChunkWriteFailed,
    ItemFinished,
    ListingCore,
    ListingTick,
    WriteChunk,
)
from daisyhub.lots._load_queue import LoadQueue
from daisyhub.lots._lot_order import trainer_lag_s
from daisyhub.lots._lot_routes import choose_pool
from daisyhub.lots._lot_store import LOTS_KIND, LotStore, decode_head
from daisyhub.lots._run_types import (
    CancelRun,
    EnginesListed,
    EngineView,
    FinishItem,
    LotClosed,
    LotOpened,
    LotRouted,
    Progress,
    StartRewardCall,
    StartRun,
    StreamEventsReceived,
)
from daisyhub.lots._types import ItemResult, LotHead, LotSpec
from daisyhub.lots._worker_pool import WorkerPool
from daisyhub.objects import (
    KindWatcher,
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
    PacedRead,
)

__all__ = ["LotHolder", "LotHolderDependencies"]

# Seconds between checks for silent runs and free slots: the time of a few
# events.
_TICK_INTERVAL_S = 0.1
# Minimum interval in seconds between reads of a list that another daemon may
# have extended. A result that was read on any daemon must be readable on all of
# them within a second.
_LISTING_POLL_INTERVAL_S = 0.4
# Seconds before a failed load of a lot is retried; they double with each
# further failure up to the maximum.
_LOAD_RETRY_DELAY_S = 0.2
_MAX_LOAD_RETRY_DELAY_S = 0.8
# Maximum numbers of lots that are read at the same time, open ones and ended
# ones. A new holder finds all lots of the store at once, and a store that is
# flooded with reads is slow for requests, too.
_MAX_OPEN_LOADS = 16
_MAX_ENDED_LOADS = 4
# Timeout in seconds for saving unfinished texts, also at a graceful shutdown. A
# write to the store takes milliseconds, and requests are served meanwhile.
_SAVE_TIMEOUT_S = 1.0
# Seconds between saves of unfinished texts. A crash of the holder loses the
# progress of at most this time, and a trainer's step is due in 7.5 s; each save
# costs one write for each open lot.
_SAVE_INTERVAL_S = 1.0
# Number of engines of a pool up to which items are placed, moved and ordered as
# in adaptive pools. The cost grows with engines times items: with 1,000 engines
# a lot of 3,000 items takes 5 s to start, with 100 a lot of 600 takes 0.14 s.
_MAX_ADAPTIVE_ENGINES = 100
# Maximum number of texts of unfinished items of closed lots that are cached.
# Trainers resubmit at most half of the groups of a step.
_MAX_CACHED_TEXTS = 2000
# Seconds between lists of all lots, which back up their watch. If the daemon
# that ended a lot couldn't notify the holder, the end must take effect within
# three seconds.
_VERIFY_INTERVAL_S = 1.5
# Bytes that wait to be sent above which reads of ended lots are left to the
# store, so that many at once, as after a loss of power, neither fill the memory
# nor delay open lots: a few lots.
_MAX_UNSENT_BYTES = 1_000_000
# Seconds between checks for lots that may be deleted.
_DELETE_INTERVAL_S = 10.0
# A lot that its trainer never ended is retained this many times longer.
_UNENDED_RETENTION_FACTOR = 20
# Seconds for which a lot is retained beyond the time for which it must stay
# readable.
_DELETE_MARGIN_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotHolderDependencies:
    """The objects that a holder depends on.

    Attributes:
        store: The platform's store.
        lots: Lots in that store.
        directory: Known endpoints.
        manifests: Provides the active manifest.
        pool: Has items run and reward calls made.
        is_loading: Returns whether the engine of an endpoint id is loading
            weights.
        has_lost_peers: Returns whether a peer that was reachable before is
            unreachable now.
        clock: Clock that all daemons agree on.
        log: Log of decisions.
        unsent_bytes: Returns the bytes of messages that wait to be sent.
        status_s: Seconds for which a lot must stay readable.
        is_adaptive: Returns whether a pool is adaptive; see `AdaptivePools`.
        is_cold: Returns whether an endpoint is cold.
        capacity: Measures the engines of adaptive pools.
    """

    store: ObjectStore
    lots: LotStore
    directory: EndpointDirectory
    manifests: ManifestController
    pool: WorkerPool
    is_loading: Callable[[str], bool]
    has_lost_peers: Callable[[], bool]
    clock: ClusterClock
    log: DecisionLog
    unsent_bytes: Callable[[], int]
    status_s: float
    is_adaptive: Callable[[str], bool] = lambda _: False
    is_cold: Callable[[EndpointEntry], bool] = lambda _: False
    capacity: EngineCapacity | None = None

    def measured(self, entry: EndpointEntry) -> tuple[float | None, float]:
        """Returns an engine's limit and slowdown; see `EngineView`."""
        return self.capacity.measured(entry) if self.capacity else (None, 1.0)


@dataclasses.dataclass(slots=True)
class _LotState:
    """The holder's state of one lot.

    Attributes:
        head: The lot.
        listing: Lists its results.
        spec: The lot with its items; None until they are read.
        is_ended: Whether a caller ended it.
        is_listing_loaded: Whether its stored results were read.
        is_inherited: Whether it was accepted before this daemon got the duty,
            so that an earlier holder may have listed results.
        progress_revision: Revision of its unfinished texts in the store; 0 if
            unknown.
        saved_progress: Its unfinished texts as this holder last saved them.
        refresh: Reads results that another daemon may have listed.
        results_added: Set, and replaced, when results are listed.
    """

    head: LotHead
    listing: ListingCore
    spec: LotSpec | None = None
    is_ended: bool = False
    is_listing_loaded: bool = False
    is_inherited: bool = True
    progress_revision: int = 0
    saved_progress: dict[str, Progress] = dataclasses.field(
        default_factory=dict
    )
    refresh: PacedRead = dataclasses.field(default_factory=PacedRead)
    results_added: anyio.Event = dataclasses.field(default_factory=anyio.Event)


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
        self._core = DispatchCore()
        self._lots: dict[str, _LotState] = {}
        self._unfinished_texts: dict[str, Progress] = {}
        # Number of items of the latest lot by model.
        self._items_by_model: dict[str, int] = {}
        self._demand: dict[str, float] = {}
        # Pools with an engine that may get runs of a model, by model.
        self._pools_by_model: dict[str, set[str]] = {}
        self._tasks = None
        self._duty_since_s = 0.0
        self._open_loads = anyio.CapacityLimiter(_MAX_OPEN_LOADS)
        self._ended_loads = anyio.CapacityLimiter(_MAX_ENDED_LOADS)
        self._adaptive_loads = LoadQueue(_MAX_OPEN_LOADS, _MAX_ENDED_LOADS)

    @property
    def term(self) -> int:
        """The duty's tenure: items may run more than once.

        Results are listed by conditional creates, so that two holders agree on
        them.
        """
        return self._duty.tenure

    @property
    def waiting_items(self) -> int:
        """Number of items that wait for a run."""
        return self._core.waiting_items

    @property
    def total_open_runs(self) -> int:
        """Number of open runs."""
        return self._core.total_open_runs

    def open_run_count(self, endpoint_id: str) -> int:
        """Returns the number of open runs at an engine."""
        return self._core.open_run_count(endpoint_id)

    @property
    def _min_retention_s(self) -> float:
        """Seconds after its acceptance before which no lot is deleted."""
        return self._deps.status_s + _DELETE_MARGIN_S

    def demand(self) -> dict[str, float]:
        """Returns the work of the latest lot by model, in seconds of a slot.

        It changes only when a lot is opened, so that engines don't change
        their model with each small change of the usual duration of runs.
        """
        return dict(self._demand)

    def _estimate_demand(self) -> dict[str, float]:
        """Estimates the work of the latest lot by model.

        Tokens don't tell it: most are of the prompt, which is read at once,
        while a slot is taken for as long as the text grows. Models whose runs
        have no known duration yet get the mean of the others.
        """
        known_s = {
            model: run_s
            for model in self._items_by_model
            if (run_s := self._core.mean_run_s(model))
        }
        default_s = sum(known_s.values()) / len(known_s) if known_s else 1.0
        return {
            model: count * known_s.get(model, default_s)
            for model, count in self._items_by_model.items()
        }

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
            "running": self._core.total_open_runs,
            "waiting": self._core.waiting_items,
            "order": self._describe_order(),
        }

    def _describe_order(self) -> dict[str, dict[str, object]]:
        """Returns the order of lots of adaptive pools, with its reasons."""
        return {
            order.work.head.lot_id: order.describe()
            for pool in sorted(self._core.adaptive_pools)
            for order in self._core.order_lots(pool, time.monotonic())
        }

    def _log_order(self) -> None:
        """Logs why items of lots of adaptive pools wait for a run."""
        for lot_id, reasons in self._describe_order().items():
            if reasons["waiting"]:
                self._deps.log.record("lot_waits", lot=lot_id, **reasons)

    async def run_with_duty(self) -> None:
        """Runs lots until the duty is lost."""
        # Read once: the duty may end between two reads.
        term = self.term
        watcher = KindWatcher(
            self._deps.store, LOTS_KIND, self._deps.log, self._on_lot_changed
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                self._duty_since_s = time.monotonic()
                tasks.start_soon(
                    self._deps.pool.run,
                    term,
                    self._feed_dispatch,
                )
                tasks.start_soon(watcher.run)
                tasks.start_soon(self.verify, watcher, _VERIFY_INTERVAL_S)
                tasks.start_soon(self._delete_expired_lots, watcher)
                tasks.start_soon(self._save_unfinished_texts_periodically)
                while term and self.term == term:
                    self._tick()
                    await anyio.sleep(_TICK_INTERVAL_S)
                tasks.cancel_scope.cancel()
        finally:
            self._tasks = None
            self._core = DispatchCore()
            self._lots.clear()

    async def save_unfinished_texts(self) -> None:
        """Saves the text of unfinished items to the store."""
        with anyio.move_on_after(_SAVE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for lot_id in self._core.open_lots:
                    tasks.start_soon(self._save_progress, lot_id)

    async def _save_progress(self, lot_id: str) -> None:
        progress = self._core.progress_of(lot_id)
        if not progress:
            return
        lot = self._lots[lot_id]
        if progress == lot.saved_progress and self._is_adaptive(lot.head):
            return
        try:
            lot.progress_revision = await self._deps.lots.save_progress(
                lot_id, progress, lot.progress_revision
            )
        except (ObjectStoreError, ObjectConflictError) as exc:
            lot.progress_revision = 0
            self._deps.log.record(
                "progress_not_kept", lot=lot_id, reason=str(exc)
            )
            return
        # Without a revision, the object was deleted meanwhile.
        lot.saved_progress = progress if lot.progress_revision else {}
        self._deps.log.record("progress_kept", lot=lot_id, items=len(progress))

    async def _save_unfinished_texts_periodically(self) -> None:
        """Saves unfinished texts regularly, in case this daemon crashes."""
        while True:
            await anyio.sleep(_SAVE_INTERVAL_S)
            self._log_order()
            await self.save_unfinished_texts()

    def _tick(self) -> None:
        """Passes the current engines and the time to the cores.

        Endpoints that are leaving, in an evacuated failure domain, or have no
        weight versions get no runs.
        """
        deps = self._deps
        sizes = collections.Counter(
            e.entry.pool for e in deps.directory.all() if e.entry.versions
        )
        engines = tuple(
            EngineView(
                endpoint_id=endpoint.entry.endpoint_id,
                pool=endpoint.entry.pool,
                slots=endpoint.entry.slots,
                versions=endpoint.entry.versions,
                is_loading=deps.is_loading(endpoint.entry.endpoint_id),
                release=endpoint.entry.release,
                is_adaptive=sizes[endpoint.entry.pool] <= _MAX_ADAPTIVE_ENGINES
                and deps.is_adaptive(endpoint.entry.pool),
                is_cold=deps.is_cold(endpoint.entry),
                limit=deps.measured(endpoint.entry)[0],
                slowdown=deps.measured(endpoint.entry)[1],
            )
            for endpoint in deps.directory.all()
            if endpoint.entry.versions
            and deps.directory.accepts(endpoint.entry)
        )
        self._pools_by_model = _find_pools_by_model(engines)
        self._follow_routes()
        self._feed_dispatch(EnginesListed(engines))
        for lot in list(self._lots.values()):
            self._feed_listing(lot, ListingTick())

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
        lot = _LotState(
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

        A later lot with items of the same ids resumes from these texts.
        """
        if lot_id not in self._core.open_lots:
            return
        self._unfinished_texts.update(self._core.progress_of(lot_id))
        while len(self._unfinished_texts) > _MAX_CACHED_TEXTS:
            del self._unfinished_texts[next(iter(self._unfinished_texts))]
        lot = self._lots[lot_id]
        self._deps.log.record(
            "lot_closed",
            lot=lot_id,
            reason=reason,
            listed=len(lot.listing.listed),
            total=lot.head.total,
        )
        self._feed_dispatch(LotClosed(lot_id))

    async def _load_lot(self, lot: _LotState) -> None:
        """Reads a lot's results and items, then runs the unlisted items.

        Failed reads are retried until they succeed or the lot is removed.
        """
        head = lot.head
        retry_delay_s = _LOAD_RETRY_DELAY_S
        while True:
            if self._lots.get(head.lot_id) is not lot:
                return
            try:
                async with self._admit_load(lot):
                    await self._read_lot(lot)
                break
            except (ObjectStoreError, msgspec.DecodeError) as exc:
                self._deps.log.record(
                    "lot_read_failed", lot=head.lot_id, reason=str(exc)
                )
            await anyio.sleep(retry_delay_s)
            retry_delay_s = min(2 * retry_delay_s, _MAX_LOAD_RETRY_DELAY_S)
        is_known = self._lots.get(head.lot_id) is lot
        if is_known and not lot.is_ended and not lot.listing.is_complete:
            self._open_lot(lot)

    def _admit_load(self, lot: _LotState):
        """Returns a context in which a lot may be read."""
        if self._is_adaptive(lot.head):
            return self._adaptive_loads.admit(lot.head, is_ended=lot.is_ended)
        return self._ended_loads if lot.is_ended else self._open_loads

    async def _read_lot(self, lot: _LotState) -> None:
        """Reads a lot's results, and what is needed to run it if it is open.

        Raises:
            ObjectStoreError: The store failed, or a part doesn't exist.
            msgspec.DecodeError: An object has another schema.
        """
        await self._load_listed_chunks(lot)
        lot.is_listing_loaded = True
        if lot.is_ended or lot.listing.is_complete:
            return
        lot.spec = await self._deps.lots.spec(lot.head)
        if lot.is_inherited:
            self._unfinished_texts.update(await self._read_progress(lot))

    async def _read_progress(self, lot: _LotState) -> dict[str, Progress]:
        """Returns saved texts; none if they can't be decoded.

        Without them, the lot can still be run.

        Raises:
            ObjectStoreError: The store failed.
        """
        try:
            return await self._deps.lots.progress(lot.head.lot_id)
        except msgspec.DecodeError as exc:
            self._deps.log.record(
                "progress_unreadable", lot=lot.head.lot_id, reason=str(exc)
            )
            return {}

    def _open_lot(self, lot: _LotState) -> None:
        """Runs the unlisted items of a lot that was read."""
        head = lot.head
        self._items_by_model[head.model] = head.total
        self._demand = self._estimate_demand()
        age_s = self._deps.clock.now_s() - head.accepted_s
        now_s = time.monotonic()
        lag_s = trainer_lag_s(head, (lot.head for lot in self._lots.values()))
        self._deps.log.record(
            "lot_opened",
            lot=head.lot_id,
            step=head.step,
            oldest_version=head.oldest_version,
            total=head.total,
            listed=len(lot.listing.listed),
            age_s=round(age_s, 3),
            lag_s=round(lag_s, 3),
            fencing=self.term,
        )
        self._feed_dispatch(
            LotOpened(
                lot.spec,
                self._choose_pool(head),
                now_s + head.due_s - age_s,
                now_s + max(0.0, head.max_wait_s - age_s),
                frozenset(r.item_id for r in lot.listing.listed),
                {
                    item.item_id: self._unfinished_texts[item.item_id]
                    for item in lot.spec.items
                    if item.item_id in self._unfinished_texts
                },
                lag_s,
            )
        )

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

    async def _load_listed_chunks(self, lot: _LotState) -> None:
        """Reads the stored chunks that the listing lacks."""
        while not lot.listing.is_complete:
            first = len(lot.listing.listed)
            results = await self._deps.lots.chunk(lot.head.lot_id, first)
            if results is None:
                return
            self._add_stored_chunk(lot, first, results)

    def _add_stored_chunk(
        self, lot: _LotState, first: int, results: tuple[ItemResult, ...]
    ) -> None:
        """Adds a stored chunk to a lot's list; closes a lot that is complete.

        The chunk was written here, or read back after another daemon wrote it.
        """
        # A result that became due during a write is listed now.
        self._feed_listing(lot, ChunkStored(first, results))
        lot.results_added.set()
        lot.results_added = anyio.Event()
        lot_id = lot.head.lot_id
        # After the duty was lost and acquired again, a lot has a new state.
        if lot.listing.is_complete and self._lots.get(lot_id) is lot:
            self._close_lot(lot_id, "all of its items are listed")

    def _feed_dispatch(self, event: object) -> None:
        """Passes an event to the dispatch core and runs its actions."""
        if isinstance(event, StreamEventsReceived):
            self._measure(event)
        for action in self._core.handle(event, time.monotonic()):
            match action:
                case StartRun():
                    lot = self._lots[action.lot_id]
                    remaining_s = max(1.0, lot.head.max_wait_s)
                    if action.moved_run:
                        self._log_move(action)
                    self._deps.pool.start_run(action, lot.head, remaining_s)
                case CancelRun():
                    self._deps.log.record(
                        "run_cancelled", run=action.run, reason=action.reason
                    )
                    self._deps.pool.cancel_run(action.run)
                case StartRewardCall():
                    self._deps.pool.start_reward(action)
                case FinishItem():
                    lot = self._lots[action.lot_id]
                    self._feed_listing(
                        lot, ItemFinished(action.result, action.is_group_done)
                    )

    def _log_move(self, action: StartRun) -> None:
        """Logs that a run is to be replaced by one on another engine."""
        moved = self._core.find_run(action.moved_run)
        self._deps.log.record(
            "run_moved",
            run=action.run,
            id=action.item.item_id,
            lot=action.lot_id,
            moved_run=action.moved_run,
            from_endpoint=moved.endpoint_id if moved else "",
            endpoint=action.endpoint_id,
            resume_after=action.resume_after,
            reason=action.reason,
        )

    def _measure(self, event: StreamEventsReceived) -> None:
        """Has the engine of a run measured, unless it loads weights."""
        capacity = self._deps.capacity
        run = self._core.find_run(event.run)
        if capacity is None or run is None:
            return
        if not self._deps.is_loading(run.endpoint_id):
            model = self._lots[run.lot_id].head.model
            open_runs = self._core.open_run_count(run.endpoint_id)
            capacity.observe(run.endpoint_id, model, event, open_runs)

    def _feed_listing(self, lot: _LotState, event: object) -> None:
        """Passes an event to a lot's listing core and runs its actions.

        A read for a caller may end after the duty was lost. Nothing is written
        then: the next holder lists what is missing.
        """
        actions = lot.listing.handle(event, time.monotonic())
        if self._tasks is None:
            return
        for action in actions:
            self._tasks.start_soon(self._write_chunk, lot, action)

    async def _write_chunk(self, lot: _LotState, action: WriteChunk) -> None:
        lot_id = lot.head.lot_id
        started_s = time.monotonic()
        try:
            results = await self._deps.lots.write_chunk(
                lot_id, action.first, action.results
            )
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            self._deps.log.record(
                "list_failed", lot=lot_id, first=action.first, reason=str(exc)
            )
            self._feed_listing(lot, ChunkWriteFailed())
            return
        self._deps.log.record(
            "listed",
            lot=lot_id,
            first=action.first,
            count=len(results),
            is_own=results == action.results,
            took_s=round(time.monotonic() - started_s, 3),
        )
        self._add_stored_chunk(lot, action.first, results)

    async def results(
        self, lot_id: str, after: int, wait_s: float
    ) -> list[ItemResult] | None:
        """Returns results from a position on.

        Waits up to `wait_s` seconds if there is none.

        Returns:
            The results, or None if the caller must read the store. An empty
            list means that no other daemon had listed a further result
            `_LISTING_POLL_INTERVAL_S` ago.
        """
        lot = self._lots.get(lot_id)
        if lot is None or not lot.is_listing_loaded or not self.term:
            return None
        if lot.is_ended and self._deps.unsent_bytes() > _MAX_UNSENT_BYTES:
            return None
        if len(lot.listing.listed) <= after and not lot.is_ended:
            with anyio.move_on_after(wait_s):
                await lot.results_added.wait()
        is_empty = len(lot.listing.listed) <= after
        if is_empty and not await self._refresh_listing(lot):
            return None
        return lot.listing.listed[after:]

    async def _refresh_listing(self, lot: _LotState) -> bool:
        """Reads results that another holder may have listed.

        Returns:
            Whether the listing is up to date; False if the read failed.
        """
        # A daemon that no longer receives this one's pings may have acquired
        # the duty and listed results.
        is_own = not lot.is_inherited and not self._deps.has_lost_peers()
        is_confirmed = self._duty.fencing != 0
        if (is_own and is_confirmed) or lot.listing.is_complete:
            return True
        try:
            await lot.refresh.run(
                lambda: self._read_new_chunks(lot),
                max_age_s=_LISTING_POLL_INTERVAL_S,
            )
        except (ObjectStoreError, msgspec.DecodeError):
            return False
        return True

    async def _read_new_chunks(self, lot: _LotState) -> None:
        """Reads the chunks that the listing lacks; logs a failure once."""
        try:
            await self._load_listed_chunks(lot)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            self._deps.log.record(
                "lot_read_failed", lot=lot.head.lot_id, reason=str(exc)
            )
            raise

    def head(self, lot_id: str) -> LotHead | None:
        """Returns a lot's head.

        None if the lot is unknown here, or this daemon doesn't have the duty.
        """
        lot = self._lots.get(lot_id)
        return lot.head if lot and self.term else None

    async def handle_head_request(self, request: LotHeadRequest) -> LotResponse:
        """Answers a peer that doesn't know a lot that its caller named."""
        head = self.head(request.lot_id)
        if head is None:
            return LotResponse(is_held=False)
        return LotResponse(is_held=True, content=msgspec.json.encode(head))

    async def handle_results_request(
        self, request: LotResultsRequest
    ) -> LotResponse:
        """Answers a peer that reads results for its caller."""
        found = await self.results(
            request.lot_id, request.after, request.wait_s
        )
        if found is None:
            lot = self._lots.get(request.lot_id)
            is_ended = lot is not None and lot.is_ended
            return LotResponse(is_held=False, is_ended=is_ended)
        lot = self._lots.get(request.lot_id)
        return LotResponse(
            is_held=True,
            content=msgspec.json.encode(found),
            is_ended=lot is not None and lot.is_ended,
        )

    async def handle_body_request(
        self, request: LotItemBodyRequest
    ) -> LotResponse:
        """Answers a peer that reads an item's body for its caller."""
        lot = self._lots.get(request.lot_id)
        if lot is None or lot.spec is None or not self.term:
            return LotResponse(is_held=False)
        for item in lot.spec.items:
            if item.item_id == request.item_id:
                return LotResponse(is_held=True, content=item.body)
        return LotResponse(is_held=True, is_found=False)

    def add_accepted(self, head: LotHead) -> None:
        """Adds a lot that was just accepted, if this daemon has the duty.

        A notification of a daemon that was frozen may be older than the time
        after which lots are deleted. Whether its lot exists, the watch reports.
        """
        if not self.term or head.lot_id in self._lots:
            return
        age_s = self._deps.clock.now_s() - head.accepted_s
        if age_s >= self._min_retention_s:
            return
        self._add_lot(head, is_ended=False)

    def receive(self, _, message: object) -> None:
        """Handles a peer's notification that it accepted or ended a lot."""
        match message:
            case LotAcceptedNotification(head):
                self.add_accepted(decode_json(head, type=LotHead))
            case LotEndedNotification(lot_id):
                self.end(lot_id)

    async def _delete_expired_lots(self, watcher: KindWatcher) -> None:
        """Deletes lots whose retention time is over, at intervals.

        A failed attempt is repeated at the next interval.
        """
        while True:
            await anyio.sleep(_DELETE_INTERVAL_S)
            now_s = self._deps.clock.now_s()
            for found in list(watcher.objects.values()):
                lot = self._lots.get(found.name)
                if lot is None:
                    continue
                retention_s = (
                    self._min_retention_s
                    if lot.is_ended
                    else _UNENDED_RETENTION_FACTOR * self._min_retention_s
                )
                if now_s - lot.head.accepted_s < retention_s:
                    continue
                await self._delete_lot(lot)

    async def _delete_lot(self, lot: _LotState) -> None:
        lot_id = lot.head.lot_id
        try:
            await self._deps.lots.delete(lot.head, lot.listing.chunk_positions)
        except ObjectStoreError as exc:
            self._deps.log.record(
                "lot_delete_failed", lot=lot_id, reason=str(exc)
            )
            return
        self._deps.log.record("lot_deleted", lot=lot_id)


def _find_pools_by_model(
    engines: Iterable[EngineView],
) -> dict[str, set[str]]:
    """Returns the pools of the engines of each model."""
    found: dict[str, set[str]] = {}
    for engine in engines:
        for model in engine.versions:
            found.setdefault(model, set()).add(engine.pool)
    return found
