"""Seals and reports usage windows while this daemon holds the duty."""

import anyio
import msgspec

from daisyhub.billing._desk import (
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
from daisyhub.json_texts import decode_json
from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
)

__all__ = ["UsageReporter"]

_SEAL_KIND = "usage-windows"
# Interval between ticks of the core.
_TICK_INTERVAL_S = 0.25
# Windows after which a seal is deleted; no daemon reports one that old.
_SEAL_RETENTION_WINDOWS = 24


class _Seal(msgspec.Struct, frozen=True, kw_only=True):
    """The final counts of one window by account, as stored."""

    counts: dict[str, int]


class UsageReporter(DutyBoundController):
    """Reports the request counts of all daemons to the platform.

    Args:
        duty: The duty to report usage.
        aggregator: Counts of all daemons.
        live: Returns the incarnations of the live daemons by id.
        store: Stores the seals.
        order_desk: Receives the reports.
        clock: Returns the time that the daemons agree on, seconds since 1970;
            see `ClusterClock`.
        window_s: Length of a window.
        late_s: Time after a window's end by which its report is due.
        log: Logs sealed and reported windows and failures.
    """

    name = "usage_reports"

    def __init__(
        self,
        duty,
        aggregator: UsageAggregator,
        live,
        store: ObjectStore,
        order_desk: OrderDeskClient,
        clock,
        window_s: float,
        late_s: float,
        log: DecisionLog,
    ):
        super().__init__(duty)
        self._usage_aggregator = aggregator
        self._get_live_incarnations = live
        self._store = store
        self._order_desk = order_desk
        self._clock = clock
        self._window_s = window_s
        self._report_deadline_s = late_s
        self._log = log
        self._core = WindowCore(window_s, late_s)
        self._tasks = None

    def status(self) -> dict[str, object]:
        """Returns the windows that ended and aren't reported yet."""
        return {"waiting": list(self._core.open_windows)}

    async def run_with_duty(self) -> None:
        """Runs until the duty is lost; see the base class."""
        self._core = WindowCore(self._window_s, self._report_deadline_s)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while self._duty.fencing:
                self._handle(WindowTick(self._first_incomplete_window()))
                await anyio.sleep(_TICK_INTERVAL_S)
            tasks.cancel_scope.cancel()

    def _first_incomplete_window(self) -> int:
        """Returns the first window that isn't final in every live daemon."""
        live = self._get_live_incarnations()
        current_window = int(self._clock() // self._window_s)
        for window in self._core.open_windows:
            if not self._usage_aggregator.is_complete(window, live):
                return window
        return current_window

    def _handle(self, event: object) -> None:
        for action in self._core.handle(event, self._clock()):
            if isinstance(action, SealWindow):
                self._tasks.start_soon(self._seal, action.window)
            else:
                self._tasks.start_soon(self._report, action)

    async def _seal(self, window: int) -> None:
        """Seals a window's counts, or reads those of an existing seal."""
        counts = self._usage_aggregator.total(window)
        name = str(window)
        try:
            counts = await self._create_seal(name, counts)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            self._log.record("seal_failed", window=window, reason=str(exc))
            self._handle(SealFailed(window))
            return
        self._log.record(
            "window_sealed",
            window=window,
            counts=counts,
            late_s=round(self._clock() - (window + 1) * self._window_s, 2),
            is_complete=self._usage_aggregator.is_complete(
                window, self._get_live_incarnations()
            ),
        )
        self._usage_aggregator.discard_before(window - _SEAL_RETENTION_WINDOWS)
        self._handle(WindowSealed(window, counts))
        await self._delete_old(window - _SEAL_RETENTION_WINDOWS)

    async def _create_seal(self, name: str, counts: dict[str, int]):
        """Stores a seal; returns its counts, or those of an existing seal.

        Raises:
            ObjectStoreError: The seal could be neither created nor read.
            msgspec.DecodeError: The existing seal is invalid.
        """
        content = msgspec.json.encode(_Seal(counts=counts))
        try:
            await self._store.create(_SEAL_KIND, name, content)
        except ObjectConflictError as exc:
            found = exc.found or await self._store.read(_SEAL_KIND, name)
            if found is None:
                raise ObjectStoreError(
                    f"seal {name} was deleted", may_be_done=True
                ) from exc
            return decode_json(found.spec, type=_Seal).counts
        except ObjectStoreError as exc:
            if not exc.may_be_done:
                raise
            found = await self._store.read(_SEAL_KIND, name)
            if found is None:
                raise
            return decode_json(found.spec, type=_Seal).counts
        return counts

    async def _report(self, action: ReportWindow) -> None:
        """Reports a window with the fencing number read just before."""
        fencing = self._duty.fencing
        if not fencing:
            return
        outcome = await self._order_desk.report_usage(
            action.window, action.counts, fencing
        )
        self._log.record(
            "usage_reported",
            window=action.window,
            fencing=fencing,
            outcome=outcome.value,
        )
        if outcome is OrderDeskOutcome.STALE_FENCING:
            self._duty.step_down(
                "the platform has received a higher fencing number"
            )
        is_done = outcome is OrderDeskOutcome.DONE
        self._handle(WindowReported(action.window, is_done))

    async def _delete_old(self, window: int) -> None:
        try:
            await self._store.delete(_SEAL_KIND, str(window))
        except ObjectStoreError as exc:
            self._log.record(
                "seal_delete_failed", window=window, reason=str(exc)
            )
