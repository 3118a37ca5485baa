"""Executes tasks that the holder of the duty for lots orders.

Every daemon has a worker. It serves the holder with the highest fencing number
that it has heard of, and cancels its tasks if no order extends them in time, so
that no engine continues a run that the next holder has resumed elsewhere.

An order may arrive long after it was sent, when its lot has ended and its
sender no longer has the duty. Each order therefore repeats the time of the
worker's own clock that its sender received last. Without a recent one, new
tasks are held back until further orders, which repeat the time of the worker's
answer, still name them.
"""

import dataclasses
import time
from collections.abc import Callable

import anyio

from daisyhub.base import Controller
from daisyhub.clocks import boot_time_s
from daisyhub.cluster import (
    RewardEnd,
    RewardOrder,
    RunEnd,
    RunOrder,
    RunProgress,
    TaskOrders,
    TaskReport,
)
from daisyhub.logs import DecisionLog
from daisyhub.lots._rewards import RewardCaller
from daisyhub.lots._runner import ItemRunner
from daisyhub.lots._wire import StreamEvent
from daisyhub.metrics import Metrics

__all__ = ["TaskWorker"]

# Seconds between reports of received events: two or three events of a run. The
# holder notices a silent engine that much later.
_REPORT_INTERVAL_S = 0.12
# Seconds for which an end waits for others, so that one report has several.
_GATHER_S = 0.01
# Seconds without an order after which all tasks are cancelled. A standby takes
# the duty over after 1.2 s without pings.
_ORDER_TIMEOUT_S = 1.2
# Age in seconds from which an order starts, cancels and extends nothing. With
# the time for which a started task goes on without a further order, the end of
# a lot takes effect within three seconds.
_MAX_ORDER_AGE_S = 1.2
# Seconds after which the end of a task that the holder still names is reported
# again, as the report may have been lost.
_REPEAT_INTERVAL_S = 0.5

ReportSink = Callable[[str, TaskReport], None]


@dataclasses.dataclass(slots=True)
class _Task:
    """One task of this worker.

    Attributes:
        order: What to do.
        scope: Cancels the task.
        texts: Data of received events that were not reported.
        versions: Weight version of each of these events.
        reported: Number of the last reported event.
        event_at_s: When the last event was received; None without any.
        reported_event_at_s: When the last reported event was received.
        end: How the task ended.
        end_sent_at_s: When the end was last reported.
    """

    order: RunOrder | RewardOrder
    scope: anyio.CancelScope
    texts: list[str] = dataclasses.field(default_factory=list)
    versions: list[int] = dataclasses.field(default_factory=list)
    reported: int = 0
    event_at_s: float | None = None
    reported_event_at_s: float | None = None
    end: RunEnd | RewardEnd | None = None
    end_sent_at_s: float = float("-inf")

    def add_event(self, event: StreamEvent) -> None:
        """Records an event of the task's stream."""
        self.texts.append(event.data)
        self.versions.append(event.version)
        self.event_at_s = time.monotonic()

    def take_progress(self, now_s: float) -> RunProgress | None:
        """Returns the events that were not reported; None without any."""
        if not self.texts:
            return None
        count = len(self.texts)
        interval_s = 0.0
        if self.reported_event_at_s is not None:
            interval_s = (self.event_at_s - self.reported_event_at_s) / count
        progress = RunProgress(
            task_id=self.order.task_id,
            first=self.reported + 1,
            texts=tuple(self.texts),
            versions=tuple(self.versions),
            interval_s=interval_s,
            age_s=now_s - self.event_at_s,
        )
        self.reported += count
        self.reported_event_at_s = self.event_at_s
        self.texts.clear()
        self.versions.clear()
        return progress


class TaskWorker(Controller):
    """Streams items and makes reward calls for the holder.

    Args:
        runner: Streams items from engines.
        rewards: Makes reward calls.
        report: Sends a report to a daemon.
        metrics: Counts runs.
        log: Log of decisions.
        known_fencing: Returns the highest fencing number of the duty that
            peers report.
    """

    name = "task_worker"

    def __init__(
        self,
        runner: ItemRunner,
        rewards: RewardCaller,
        report: ReportSink,
        metrics: Metrics,
        log: DecisionLog,
        known_fencing: Callable[[], int] = lambda: 0,
    ):
        self._runner = runner
        self._rewards = rewards
        self._report = report
        self._metrics = metrics
        self._log = log
        self._known_fencing = known_fencing
        self._holder = ""
        self._fencing = 0
        # Number of the holder's latest orders.
        self._number = 0
        self._ordered_at_s = float("-inf")
        self._tasks: dict[int, _Task] = {}
        # Orders of new tasks that wait for the holder's confirmation, by task,
        # and when the first of them was received.
        self._held: dict[int, RunOrder | RewardOrder] = {}
        self._held_since_s = float("inf")
        self._unknown: set[int] = set()
        self._must_answer = False
        self._needs_confirmation = False
        self._wakeup = anyio.Event()
        self._group = None

    def status(self) -> dict[str, object]:
        """Returns the served holder, its number, and the number of tasks."""
        return {
            "holder": self._holder,
            "fencing": self._fencing,
            "tasks": len(self._tasks),
        }

    async def run(self) -> None:
        """Executes tasks until cancelled."""
        try:
            async with anyio.create_task_group() as self._group:
                while True:
                    await self._wakeup.wait()
                    await anyio.sleep(_GATHER_S)
                    self._wakeup = anyio.Event()
                    self._send_report()
                    while self._tasks or self._held:
                        with anyio.move_on_after(_REPORT_INTERVAL_S):
                            await self._wakeup.wait()
                        if self._wakeup.is_set():
                            await anyio.sleep(_GATHER_S)
                            self._wakeup = anyio.Event()
                        self._cancel_if_expired()
                        self._send_report()
        finally:
            self._group = None
            self._tasks.clear()
            self._held.clear()

    def receive(self, sender: str, orders: TaskOrders) -> None:
        """Handles the orders of a holder; ignores those of a deposed one."""
        fencing = max(self._fencing, self._known_fencing())
        if orders.fencing < fencing or self._group is None:
            return
        if orders.fencing > self._fencing or sender != self._holder:
            self._cancel_all("another daemon has the duty")
            self._held.clear()
            self._fencing = orders.fencing
            self._holder = sender
            self._number = 0
        if orders.number:
            # A message of an earlier connection may arrive after later ones.
            if orders.number <= self._number:
                return
            self._number = orders.number
        self._must_answer = True
        if not self._is_recent(orders):
            self._hold(orders)
            return
        self._ordered_at_s = boot_time_s()
        wanted = set(orders.open_tasks)
        for task_id in [t for t in self._tasks if t not in wanted]:
            self._drop(task_id)
        held, self._held = self._held, {}
        for order in (*held.values(), *orders.runs, *orders.rewards):
            if order.task_id in wanted and order.task_id not in self._tasks:
                self._start(order)
        self._unknown = wanted - self._tasks.keys()
        # Without new orders, the next periodic report is soon enough.
        has_new = held or orders.runs or orders.rewards
        if has_new or not self._tasks or self._unknown:
            self._wakeup.set()

    def _is_recent(self, orders: TaskOrders) -> bool:
        """Whether orders were certainly sent a short time ago."""
        if orders.worker_clock_s is None:
            return True
        # After a restart of the machine, earlier times are in the future.
        age_s = boot_time_s() - orders.worker_clock_s
        return 0 <= age_s <= _MAX_ORDER_AGE_S

    def _hold(self, orders: TaskOrders) -> None:
        """Keeps new tasks until the holder confirms them.

        Tasks that are no longer named are not cancelled, since later orders
        may have arrived before.
        """
        new = [
            order
            for order in (*orders.runs, *orders.rewards)
            if order.task_id not in self._tasks
        ]
        if not self._held:
            self._held_since_s = boot_time_s()
        self._held.update((order.task_id, order) for order in new)
        self._needs_confirmation = True
        self._wakeup.set()
        if new:
            self._log.record(
                "orders_held",
                holder=self._holder,
                fencing=self._fencing,
                tasks=len(new),
                worker_clock_s=orders.worker_clock_s,
            )

    def _start(self, order: RunOrder | RewardOrder) -> None:
        task = _Task(order, anyio.CancelScope())
        if isinstance(order, RunOrder):
            task.reported = order.resume_after
        self._tasks[order.task_id] = task
        self._group.start_soon(self._execute, task)

    async def _execute(self, task: _Task) -> None:
        order = task.order
        with task.scope:
            if isinstance(order, RunOrder):
                self._metrics.count("runs")
                task.end = await self._runner.run(
                    order, task.add_event, self._is_ordered
                )
            else:
                task.end = await self._rewards.request_score(
                    order, self._is_ordered
                )
            self._wakeup.set()

    def _drop(self, task_id: int) -> None:
        """Forgets a task that the holder no longer names."""
        task = self._tasks.pop(task_id)
        if task.end is None:
            task.scope.cancel()

    def _cancel_all(self, reason: str) -> None:
        if not self._tasks:
            return
        self._log.record(
            "tasks_cancelled",
            holder=self._holder,
            fencing=self._fencing,
            tasks=len(self._tasks),
            reason=reason,
        )
        for task_id in list(self._tasks):
            self._drop(task_id)

    def _is_ordered(self) -> bool:
        """Whether the tasks of this worker are still to be executed.

        A process that was stalled may be about to send a request before
        `_cancel_if_expired` cancels its task.
        """
        return (
            boot_time_s() - self._ordered_at_s <= _ORDER_TIMEOUT_S
            and self._known_fencing() <= self._fencing
        )

    def _cancel_if_expired(self) -> None:
        now_s = boot_time_s()
        silent_s = now_s - self._ordered_at_s
        if silent_s > _ORDER_TIMEOUT_S:
            self._cancel_all(f"no order for {silent_s:.1f} s")
        elif self._known_fencing() > self._fencing:
            self._cancel_all("another daemon has the duty")
        if self._held and now_s - self._held_since_s > _ORDER_TIMEOUT_S:
            self._log.record(
                "orders_dropped",
                holder=self._holder,
                fencing=self._fencing,
                tasks=len(self._held),
                reason="the holder did not confirm them",
            )
            self._held.clear()

    def _send_report(self) -> None:
        """Reports events and ends, or just answers the last order."""
        now_s = time.monotonic()
        progress = []
        runs = []
        rewards = []
        for task in self._tasks.values():
            part = task.take_progress(now_s)
            if part is not None:
                progress.append(part)
            is_due = now_s - task.end_sent_at_s >= _REPEAT_INTERVAL_S
            if task.end is None or not is_due:
                continue
            task.end_sent_at_s = now_s
            is_run = isinstance(task.end, RunEnd)
            (runs if is_run else rewards).append(task.end)
        unknown = tuple(self._unknown)
        has_content = progress or runs or rewards or unknown
        if not has_content and not self._must_answer:
            return
        self._must_answer = False
        self._unknown = set()
        needs_confirmation = self._needs_confirmation
        self._needs_confirmation = False
        self._report(
            self._holder,
            TaskReport(
                fencing=self._fencing,
                progress=tuple(progress),
                runs=tuple(runs),
                rewards=tuple(rewards),
                unknown=unknown,
                clock_s=boot_time_s(),
                needs_confirmation=needs_confirmation,
            ),
        )
