"""Runs all open lots while this daemon has the duty."""

import contextlib
import dataclasses
import time
from collections.abc import Callable

import anyio
import msgspec

from daisyhub.balancing import EndpointDirectory
from daisyhub.catalog import ManifestController
from daisyhub.cluster import (
    LotAnswer,
    LotBodyAsked,
    LotEndTold,
    LotHeadAsked,
    LotResultsAsked,
    LotTold,
    TrueClock,
)
from daisyhub.duties import DutyController
from daisyhub.duty_bound import DutyBoundController
from daisyhub.logs import DecisionLog
from daisyhub.lots._dispatch_core import DispatchCore
from daisyhub.lots._listing_core import (
    ChunkFailed,
    ChunkStands,
    ItemFinished,
    ListingCore,
    ListingTick,
    WriteChunk,
)
from daisyhub.lots._lot_store import LOTS_KIND, LotStore, read_head
from daisyhub.lots._rewards import RewardCaller
from daisyhub.lots._run_types import (
    CancelRun,
    EngineSeen,
    EnginesListed,
    FinishItem,
    LotClosed,
    LotOpened,
    Progress,
    StartReward,
    StartRun,
)
from daisyhub.lots._runner import ItemRunner
from daisyhub.lots._types import ItemResult, LotHead, LotSpec
from daisyhub.metrics import Metrics
from daisyhub.objects import (
    KindWatcher,
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
)

__all__ = ["LotHolderDependencies", "LotHolder"]

# Seconds between looks at silent runs and free slots; a few events' time.
_TICK_S = 0.1
# Seconds between looks at the end of a list that another daemon may have
# extended; what was read anywhere must be readable everywhere within a second.
_LOOK_UP_S = 0.4
# Seconds before the store is asked again for a lot that couldn't be read.
_READ_PAUSE_S = 0.2
# Seconds for one round of keeping texts, also at a graceful end; a write
# of the store takes milliseconds, and requests go on being served meanwhile.
_KEEPING_S = 1.0
# Seconds between keeping texts: what a holder's death may cost a step that is
# due in 7.5 s, against a write of each open lot.
_KEEP_S = 1.0
# Texts of unfinished items of ended lots that are kept: trainers hand in
# again at most half of the groups of a step.
_KEPT_TEXTS = 2000
# Seconds between lists of the lots beside their watch; an end that its daemon
# could not tell must be heard within three seconds.
_VERIFY_S = 1.5
# Seconds between looks for lots that may be deleted.
_DELETE_S = 10.0
# How many times longer a lot is kept that its trainer never ended.
_FORGOTTEN = 20
# Seconds beyond the time for which a lot must stay readable.
_DELETE_MARGIN_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotHolderDependencies:
    """What a holder works with.

    Attributes:
        store: The platform's store.
        lots: Lots in it.
        directory: Endpoints.
        manifests: Holds the manifest in force.
        runner: Runs items at engines.
        rewards: Makes reward calls.
        is_loading: Whether an engine is loading weights.
        has_lost_peers: Whether daemons that were heard before are silent now.
        clock: The true time.
        metrics: Counts runs.
        log: Where decisions are noted.
        status_s: How long a lot stays readable.
    """

    store: ObjectStore
    lots: LotStore
    directory: EndpointDirectory
    manifests: ManifestController
    runner: ItemRunner
    rewards: RewardCaller
    is_loading: Callable[[str], bool]
    has_lost_peers: Callable[[], bool]
    clock: TrueClock
    metrics: Metrics
    log: DecisionLog
    status_s: float


@dataclasses.dataclass(slots=True)
class _Held:
    """A lot that is held here.

    Attributes:
        head: The lot.
        listing: Lists its results.
        spec: With its items, once they are read.
        is_ended: Whether it was ended.
        is_read: Whether the results in the store were read.
        is_inherited: Whether another daemon may have listed results of it.
        kept_revision: Revision of the texts kept in the store, 0 for none.
        looked_at_s: When the end of the list was last looked up.
        news: Set, and replaced, when results are listed.
    """

    head: LotHead
    listing: ListingCore
    spec: LotSpec | None = None
    is_ended: bool = False
    is_read: bool = False
    is_inherited: bool = True
    kept_revision: int = 0
    looked_at_s: float = float("-inf")
    news: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class LotHolder(DutyBoundController):
    """Holds every open lot while the duty is this daemon's.

    Args:
        duty: Tells whether it is.
        tools: What it works with.
    """

    name = "lot_holder"

    def __init__(self, duty: DutyController, tools: LotHolderDependencies):
        super().__init__(duty)
        self._tools = tools
        self._core = DispatchCore()
        self._held: dict[str, _Held] = {}
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._texts: dict[str, Progress] = {}
        self._demand: dict[str, float] = {}
        self._tasks = None
        self._held_since_s = 0.0

    @property
    def waiting_items(self) -> int:
        """Items that wait for a slot."""
        return self._core.waiting_items

    @property
    def running_items(self) -> int:
        """Items that run."""
        return self._core.running_items

    def open_run_count(self, endpoint_id: str) -> int:
        """Returns the number of runs open at an engine."""
        return self._core.open_run_count(endpoint_id)

    def demand(self) -> dict[str, float]:
        """Returns the tokens asked for by the last lot of each model."""
        return dict(self._demand)

    def status(self) -> dict[str, object]:
        """Tells the lots that are held and what they wait for."""
        return {
            "lots": {
                lot_id: f"{len(held.listing.listed)}/{held.head.total}"
                for lot_id, held in self._held.items()
                if not held.is_ended
            },
            "running": self._core.running_items,
            "waiting": self._core.waiting_items,
        }

    async def hold(self) -> None:
        """Holds lots until the duty is lost."""
        watcher = KindWatcher(
            self._tools.store, LOTS_KIND, self._tools.log, self._on_lot
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                self._held_since_s = time.monotonic()
                tasks.start_soon(watcher.run)
                tasks.start_soon(self.verify, watcher, _VERIFY_S)
                tasks.start_soon(self._delete_old, watcher)
                tasks.start_soon(self._keep_progress)
                while self._duty.fencing:
                    self._tick()
                    await anyio.sleep(_TICK_S)
                tasks.cancel_scope.cancel()
        finally:
            self._tasks = None
            self._core = DispatchCore()
            self._held.clear()
            self._scopes.clear()

    async def save_unfinished_texts(self) -> None:
        """Keeps the text of unfinished items in the store."""
        with anyio.move_on_after(_KEEPING_S):
            async with anyio.create_task_group() as tasks:
                for lot_id in self._core.open_lots:
                    tasks.start_soon(self._save_progress, lot_id)

    async def _save_progress(self, lot_id: str) -> None:
        progress = self._core.progress_of(lot_id)
        held = self._held[lot_id]
        if not progress:
            return
        try:
            held.kept_revision = await self._tools.lots.save_progress(
                lot_id, progress, held.kept_revision
            )
        except (ObjectStoreError, ObjectConflictError) as exc:
            held.kept_revision = 0
            self._tools.log.note(
                "progress_not_kept", lot=lot_id, reason=str(exc)
            )
            return
        self._tools.log.note("progress_kept", lot=lot_id, items=len(progress))

    async def _keep_progress(self) -> None:
        """Keeps texts now and then, for the case that this daemon dies."""
        while True:
            await anyio.sleep(_KEEP_S)
            await self.save_unfinished_texts()

    def _tick(self) -> None:
        tools = self._tools
        engines = tuple(
            EngineSeen(
                endpoint_id=endpoint.entry.endpoint_id,
                pool=endpoint.entry.pool,
                slots=endpoint.entry.slots,
                versions=endpoint.entry.versions,
                is_loading=tools.is_loading(endpoint.entry.endpoint_id),
            )
            for endpoint in tools.directory.all()
            if endpoint.entry.versions and not endpoint.entry.is_leaving
        )
        self._handle(EnginesListed(engines))
        for held in list(self._held.values()):
            self._list(held, ListingTick())

    def _on_lot(self, found) -> None:
        """Takes a lot's object: a new lot, or the end of one."""
        if found.is_deleted:
            self._close(found.name, "it was deleted")
            self._held.pop(found.name, None)
            return
        try:
            head, status = read_head(found)
        except msgspec.DecodeError as exc:
            self._tools.log.note(
                "lot_unreadable", lot=found.name, reason=str(exc)
            )
            return
        if status.is_ended:
            self.end(head.lot_id)
        self._take(head, status.is_ended)

    def _take(self, head: LotHead, is_ended: bool) -> None:
        """Holds a lot that isn't held yet."""
        if head.lot_id in self._held or self._tasks is None:
            return
        age_s = self._tools.clock.now_s() - head.accepted_s
        held = _Held(
            head,
            ListingCore(head.total),
            is_ended=is_ended,
            is_inherited=age_s > time.monotonic() - self._held_since_s,
        )
        self._held[head.lot_id] = held
        self._tasks.start_soon(self._open, held)

    def end(self, lot_id: str) -> None:
        """Ends a lot that a caller no longer wants."""
        held = self._held.get(lot_id)
        if held is None or held.is_ended:
            return
        held.is_ended = True
        self._close(lot_id, "its caller ended it")

    def _close(self, lot_id: str, reason: str) -> None:
        """Stops running a lot; texts of unfinished items are kept."""
        if lot_id not in self._core.open_lots:
            return
        self._texts.update(self._core.progress_of(lot_id))
        while len(self._texts) > _KEPT_TEXTS:
            del self._texts[next(iter(self._texts))]
        held = self._held[lot_id]
        self._tools.log.note(
            "lot_closed",
            lot=lot_id,
            reason=reason,
            listed=len(held.listing.listed),
            total=held.head.total,
        )
        self._handle(LotClosed(lot_id))

    async def _open(self, held: _Held) -> None:
        """Reads a lot's items and results, then runs what is missing."""
        head = held.head
        while True:
            try:
                await self._read_listed(held)
                held.is_read = True
                if held.is_ended or held.listing.is_whole:
                    return
                held.spec = await self._tools.lots.items(head)
                if held.is_inherited:
                    kept = await self._tools.lots.progress(head.lot_id)
                    self._texts.update(kept)
                break
            except (ObjectStoreError, msgspec.DecodeError) as exc:
                self._tools.log.note(
                    "lot_read_failed", lot=head.lot_id, reason=str(exc)
                )
                await anyio.sleep(_READ_PAUSE_S)
        if held.is_ended:
            return
        tokens = sum(item.tokens for item in held.spec.items)
        self._demand[head.model] = float(tokens)
        age_s = self._tools.clock.now_s() - head.accepted_s
        now_s = time.monotonic()
        self._tools.log.note(
            "lot_opened",
            lot=head.lot_id,
            step=head.step,
            oldest_version=head.oldest_version,
            total=head.total,
            listed=len(held.listing.listed),
            age_s=round(age_s, 3),
            fencing=self._duty.fencing,
        )
        self._handle(
            LotOpened(
                held.spec,
                self._pool_of(head),
                now_s + head.due_s - age_s,
                now_s + max(0.0, head.max_wait_s - age_s),
                frozenset(r.item_id for r in held.listing.listed),
                {
                    item.item_id: self._texts[item.item_id]
                    for item in held.spec.items
                    if item.item_id in self._texts
                },
            )
        )

    def _pool_of(self, head: LotHead) -> str:
        """Returns the pool that serves a lot's route now."""
        route = self._tools.manifests.manifest.find_route(head.host, head.path)
        return route.shares[0].pool if route and route.shares else ""

    async def _read_listed(self, held: _Held) -> None:
        """Reads all chunks that stand in the store."""
        while not held.listing.is_whole:
            first = len(held.listing.listed)
            results = await self._tools.lots.chunk(held.head.lot_id, first)
            if results is None:
                return
            held.listing.handle(ChunkStands(first, results), time.monotonic())

    def _handle(self, event: object) -> None:
        """Feeds the dispatch core and does what it decides."""
        for action in self._core.handle(event, time.monotonic()):
            match action:
                case StartRun():
                    self._tasks.start_soon(self._run, action)
                case CancelRun():
                    self._cancel(action)
                case StartReward():
                    self._tasks.start_soon(self._reward, action)
                case FinishItem():
                    held = self._held[action.lot_id]
                    self._list(
                        held, ItemFinished(action.result, action.is_group_done)
                    )

    def _cancel(self, action: CancelRun) -> None:
        scope = self._scopes.pop(action.run, None)
        if scope is not None:
            self._tools.log.note(
                "run_cancelled", run=action.run, reason=action.reason
            )
            scope.cancel()

    async def _run(self, action: StartRun) -> None:
        """Runs an item at an engine."""
        run = self._core.run_of(action.run)
        if run is None:
            return
        self._tools.metrics.count("runs")
        held = self._held[action.lot_id]
        give_up_at_s = time.monotonic() + max(1.0, held.head.max_wait_s)
        started_s = time.monotonic()
        ended = "cancelled"
        with anyio.CancelScope() as scope:
            self._scopes[action.run] = scope
            try:
                ended = await self._tools.runner.run(
                    action, held.head, give_up_at_s, self._handle
                )
            finally:
                self._scopes.pop(action.run, None)
                self._tools.log.note(
                    "run",
                    run=action.run,
                    id=action.item.item_id,
                    lot=action.lot_id,
                    endpoint=action.endpoint_id,
                    resume_after=action.resume_after,
                    outcome=ended,
                    took_s=round(time.monotonic() - started_s, 3),
                )

    async def _reward(self, action: StartReward) -> None:
        self._handle(await self._tools.rewards.pay(action))

    def _list(self, held: _Held, event: object) -> None:
        """Feeds a lot's listing core and writes the chunk that it decides."""
        for action in held.listing.handle(event, time.monotonic()):
            self._tasks.start_soon(self._write_chunk, held, action)

    async def _write_chunk(self, held: _Held, action: WriteChunk) -> None:
        lot_id = held.head.lot_id
        started_s = time.monotonic()
        try:
            results = await self._tools.lots.write_chunk(
                lot_id, action.first, action.results
            )
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            self._tools.log.note(
                "list_failed", lot=lot_id, first=action.first, reason=str(exc)
            )
            self._list(held, ChunkFailed())
            return
        self._tools.log.note(
            "listed",
            lot=lot_id,
            first=action.first,
            count=len(results),
            is_own=results == action.results,
            took_s=round(time.monotonic() - started_s, 3),
        )
        self._list(held, ChunkStands(action.first, results))
        held.news.set()
        held.news = anyio.Event()
        if held.listing.is_whole:
            self._close(lot_id, "it is listed whole")

    async def results(
        self, lot_id: str, after: int, wait_s: float
    ) -> list[ItemResult] | None:
        """Returns results from a position on; None if the store must tell.

        Waits up to `wait_s` while there is none. An empty answer is only
        given if no other daemon can have listed more.
        """
        held = self._held.get(lot_id)
        if held is None or not held.is_read or not self._duty.fencing:
            return None
        if held.is_ended:
            return None
        if len(held.listing.listed) <= after:
            with anyio.move_on_after(wait_s):
                await held.news.wait()
        is_short = len(held.listing.listed) <= after
        if is_short and not await self._look_up_end(held):
            return None
        return held.listing.listed[after:]

    async def _look_up_end(self, held: _Held) -> bool:
        """Reads what another holder may have listed; False if it can't."""
        is_own = not held.is_inherited and not self._tools.has_lost_peers()
        if is_own or held.listing.is_whole:
            return True
        now_s = time.monotonic()
        if now_s - held.looked_at_s < _LOOK_UP_S:
            return True
        try:
            await self._read_listed(held)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            self._tools.log.note(
                "lot_read_failed", lot=held.head.lot_id, reason=str(exc)
            )
            return False
        held.looked_at_s = now_s
        return True

    def head(self, lot_id: str) -> LotHead | None:
        """Returns a lot without its items; None if it isn't held."""
        held = self._held.get(lot_id)
        return held.head if held and self._duty.fencing else None

    async def handle_head_request(self, asked: LotHeadAsked) -> LotAnswer:
        """Answers a peer whose caller asks for a lot unknown there."""
        head = self.head(asked.lot_id)
        if head is None:
            return LotAnswer(is_held=False)
        return LotAnswer(is_held=True, content=msgspec.json.encode(head))

    async def handle_results_request(self, asked: LotResultsAsked) -> LotAnswer:
        """Answers a peer that reads results for its caller."""
        found = await self.results(asked.lot_id, asked.after, asked.wait_s)
        if found is None:
            held = self._held.get(asked.lot_id)
            is_ended = held is not None and held.is_ended
            return LotAnswer(is_held=False, is_ended=is_ended)
        return LotAnswer(is_held=True, content=msgspec.json.encode(found))

    async def handle_body_request(self, asked: LotBodyAsked) -> LotAnswer:
        """Answers a peer that reads an item's body for its caller."""
        held = self._held.get(asked.lot_id)
        if held is None or held.spec is None or not self._duty.fencing:
            return LotAnswer(is_held=False)
        for item in held.spec.items:
            if item.item_id == asked.item_id:
                return LotAnswer(is_held=True, content=item.body)
        return LotAnswer(is_held=True, is_found=False)

    def take(self, head: LotHead) -> None:
        """Holds a lot that was accepted just now, if the duty is here."""
        if not self._duty.fencing or head.lot_id in self._held:
            return
        self._take(head, is_ended=False)

    def receive(self, _, message: object) -> None:
        """Takes news of a lot from the daemon that stored it."""
        match message:
            case LotTold(head):
                self.take(msgspec.json.decode(head, type=LotHead))
            case LotEndTold(lot_id):
                self.end(lot_id)

    async def _delete_old(self, watcher: KindWatcher) -> None:
        """Deletes lots that need no longer be readable."""
        while True:
            await anyio.sleep(_DELETE_S)
            now_s = self._tools.clock.now_s()
            limit_s = self._tools.status_s + _DELETE_MARGIN_S
            for found in list(watcher.objects.values()):
                held = self._held.get(found.name)
                if held is None:
                    continue
                kept_s = limit_s if held.is_ended else _FORGOTTEN * limit_s
                if now_s - held.head.accepted_s < kept_s:
                    continue
                with contextlib.suppress(ObjectStoreError):
                    await self._tools.lots.delete(
                        held.head, held.listing.chunks
                    )
                self._tools.log.note("lot_deleted", lot=found.name)
