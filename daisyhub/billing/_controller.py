"""Seals and reports usage windows while this daemon has the duty."""

import anyio
import msgspec

from daisyhub.billing._order_desk_client import (
    OrderDeskClient,
    OrderDeskOutcome,
)
from daisyhub.billing._usage_aggregator import UsageAggregator
from daisyhub.billing._window_core import (
    ReportWindow,
    SealFailed,
    SealWindow,
    WindowCore,
    WindowReported,
    WindowSealed,
    WindowTick,
)
from daisyhub.duty_bound import DutyBoundController
from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
)

__all__ = ["UsageReporter"]

_SEALS_KIND = "usage-windows"
# Seconds between looks at the windows.
_TICK_S = 0.25
# Windows after which a seal is deleted; nobody reports one that old.
_KEPT_SEALS = 24


class _Seal(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one window, fixed for good."""

    counts: dict[str, int]


class UsageReporter(DutyBoundController):
    """Reports what all daemons counted.

    Args:
        duty: Tells whether this daemon is in charge.
        book: What the daemons counted.
        live: Returns the incarnations of the live daemons by id.
        store: Where seals lie.
        desk: Takes reports.
        clock: Returns the true time.
        window_s: Length of a window.
        late_s: Time after a window's end by which its report is due.
        log: Where decisions are noted.
    """

    name = "usage_reports"

    def __init__(
        self,
        duty,
        book: UsageAggregator,
        live,
        store: ObjectStore,
        desk: OrderDeskClient,
        clock,
        window_s: float,
        late_s: float,
        log: DecisionLog,
    ):
        super().__init__(duty)
        self._book = book
        self._live = live
        self._store = store
        self._desk = desk
        self._clock = clock
        self._window_s = window_s
        self._late_s = late_s
        self._log = log
        self._core = WindowCore(window_s, late_s)
        self._tasks = None

    def status(self) -> dict[str, object]:
        """Tells the windows that wait for their report."""
        return {"waiting": list(self._core.open_windows)}

    async def hold(self) -> None:
        """Works until the duty is lost; see `DutyBoundController.hold`."""
        self._core = WindowCore(self._window_s, self._late_s)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while self._duty.fencing:
                self._handle(WindowTick(self._complete_before()))
                await anyio.sleep(_TICK_S)
            tasks.cancel_scope.cancel()

    def _complete_before(self) -> int:
        """Returns the first open window that some live daemon may change."""
        live = self._live()
        present = int(self._clock() // self._window_s)
        for window in self._core.open_windows:
            if not self._book.is_complete(window, live):
                return window
        return present

    def _handle(self, event: object) -> None:
        for action in self._core.handle(event, self._clock()):
            if isinstance(action, SealWindow):
                self._tasks.start_soon(self._seal, action.window)
            else:
                self._tasks.start_soon(self._report, action)

    async def _seal(self, window: int) -> None:
        """Fixes a window's figures, or takes those that stand."""
        counts = self._book.total(window)
        name = str(window)
        try:
            counts = await self._create(name, counts)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            self._log.note("seal_failed", window=window, reason=str(exc))
            self._handle(SealFailed(window))
            return
        self._log.note(
            "window_sealed",
            window=window,
            counts=counts,
            late_s=round(self._clock() - (window + 1) * self._window_s, 2),
            is_complete=self._book.is_complete(window, self._live()),
        )
        self._book.forget_before(window - _KEPT_SEALS)
        self._handle(WindowSealed(window, counts))
        await self._delete_old(window - _KEPT_SEALS)

    async def _create(self, name: str, counts: dict[str, int]):
        content = msgspec.json.encode(_Seal(counts=counts))
        try:
            await self._store.create(_SEALS_KIND, name, content)
        except ObjectConflictError as exc:
            found = exc.found or await self._store.read(_SEALS_KIND, name)
            if found is None:
                raise ObjectStoreError(
                    f"seal {name} is gone", may_be_done=True
                ) from exc
            return msgspec.json.decode(found.spec, type=_Seal).counts
        except ObjectStoreError as exc:
            if not exc.may_be_done:
                raise
            found = await self._store.read(_SEALS_KIND, name)
            if found is None:
                raise
            return msgspec.json.decode(found.spec, type=_Seal).counts
        return counts

    async def _report(self, action: ReportWindow) -> None:
        fencing = self._duty.fencing
        if not fencing:
            return
        outcome = await self._desk.report_usage(
            action.window, action.counts, fencing
        )
        self._log.note(
            "usage_reported",
            window=action.window,
            fencing=fencing,
            outcome=outcome.value,
        )
        if outcome is OrderDeskOutcome.STALE_FENCING:
            self._duty.step_down("the platform saw a higher number")
        is_done = outcome is OrderDeskOutcome.DONE
        self._handle(WindowReported(action.window, is_done))

    async def _delete_old(self, window: int) -> None:
        try:
            await self._store.delete(_SEALS_KIND, str(window))
        except ObjectStoreError as exc:
            self._log.note("seal_delete_failed", window=window, reason=str(exc))
