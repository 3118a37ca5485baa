"""Has the holder's tasks executed by workers and receives their reports."""

import dataclasses
import itertools
import zlib
from collections.abc import Callable

import anyio

from daisyhub.balancing import EndpointDirectory
from daisyhub.clocks import boot_time_s
from daisyhub.cluster import (
    PeerTable,
    RewardEnd,
    RewardOrder,
    RunEnd,
    RunOrder,
    RunProgress,
    TaskOrders,
    TaskReport,
)
from daisyhub.logs import DecisionLog
from daisyhub.lots._item_bodies import without_bodies
from daisyhub.lots._run_states import RunFault
from daisyhub.lots._run_types import (
    RewardCallFailed,
    RewardCallSucceeded,
    RunCompleted,
    RunFailed,
    StartRewardCall,
    StartRun,
    StreamEventsReceived,
)
from daisyhub.lots._types import LotHead
from daisyhub.lots._worker_pool_core import (
    ORDER_INTERVAL_S,
    AssignTask,
    FailTasks,
    PoolTick,
    SendOrders,
    TaskClosed,
    TaskRequested,
    WorkerAnswered,
    WorkerPoolCore,
    WorkersListed,
)
from daisyhub.lots._worker_views import list_workers
from daisyhub.peers import PeerNetwork

__all__ = ["WorkerPool"]

# Workers that make all reward calls. Each call takes some milliseconds of
# processor time, so that three carry a few hundred a second.
_REWARD_WORKERS = 3
# Seconds for which orders to a worker are gathered, so that one message has
# several: a small part of the time between two events.
_GATHER_S = 0.005

EventSink = Callable[[object], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _RewardTask:
    """The item of a reward call."""

    lot_id: str
    item_id: str


@dataclasses.dataclass(slots=True)
class _PendingOrders:
    """New tasks of one worker that were not sent yet."""

    runs: list[RunOrder] = dataclasses.field(default_factory=list)
    rewards: list[RewardOrder] = dataclasses.field(default_factory=list)


class WorkerPool:
    """Passes tasks to workers and events back to the dispatch core.

    Args:
        own_id: Id of this daemon.
        speed: Processor speed available to this daemon, in cores.
        peers: Known daemons.
        network: Sends orders.
        directory: Provides the failure domain of engines.
        deliver_locally: Passes orders to this daemon's own worker.
        log: Log of decisions.
    """

    def __init__(
        self,
        own_id: str,
        speed: float,
        peers: PeerTable,
        network: PeerNetwork,
        directory: EndpointDirectory,
        deliver_locally: Callable[[TaskOrders], None],
        log: DecisionLog,
    ):
        self._own_id = own_id
        self._speed = speed
        self._peers = peers
        self._network = network
        self._directory = directory
        self._deliver_locally = deliver_locally
        self._log = log
        self._sink: EventSink = lambda _: None
        # They go on rising if this daemon has the duty again.
        self._order_numbers = itertools.count(1)
        self._reset()

    def _reset(self) -> None:
        self._core = WorkerPoolCore(self._own_id)
        self._fencing = 0
        self._tasks = None
        self._task_ids = itertools.count(1)
        # The run or reward call of each open task, and the task of each.
        self._open: dict[int, StartRun | _RewardTask] = {}
        self._task_by_run: dict[int, int] = {}
        self._task_by_reward: dict[_RewardTask, int] = {}
        self._pending: dict[str, _PendingOrders] = {}
        self._is_flush_due = False
        # Clock of each worker as of its latest report.
        self._clock_by_worker: dict[str, float] = {}

    async def run(self, fencing: int, sink: EventSink) -> None:
        """Orders tasks under a fencing number until cancelled.

        Args:
            fencing: The holder's fencing number.
            sink: Takes events of the dispatch core.
        """
        self._reset()
        self._fencing = fencing
        self._sink = sink
        try:
            async with anyio.create_task_group() as self._tasks:
                while True:
                    workers = list_workers(
                        self._peers, self._directory, self._speed
                    )
                    self._feed(WorkersListed(workers))
                    self._feed(PoolTick())
                    await anyio.sleep(ORDER_INTERVAL_S / 2)
        finally:
            for worker_id in self._core.busy_workers:
                self._send_orders(worker_id, (), _PendingOrders())
            self._reset()

    def start_run(
        self, action: StartRun, head: LotHead, remaining_s: float
    ) -> None:
        """Has an item streamed from an engine.

        Args:
            action: The run to start.
            head: The item's lot.
            remaining_s: Seconds after which the result is useless.
        """
        item = action.item
        endpoint = self._directory.get(action.endpoint_id)
        domain = endpoint.entry.domain if endpoint else ""
        software = action.release.version if action.release else ""
        # The order has the bodies; the task would keep them for a whole run.
        content = dataclasses.replace(action, item=without_bodies(item))
        task_id, worker_id = self._open_task(
            content, action.endpoint_id, domain
        )
        self._task_by_run[action.run] = task_id
        self._pending_orders(worker_id).runs.append(
            RunOrder(
                task_id=task_id,
                endpoint_id=action.endpoint_id,
                software=software,
                resume_after=action.resume_after,
                remaining_s=remaining_s,
                item_id=item.item_id,
                host=head.host,
                account=head.account,
                path=item.path,
                headers=item.headers,
                body=item.body,
            )
        )
        self._log.record(
            "run_ordered",
            run=action.run,
            id=item.item_id,
            lot=action.lot_id,
            endpoint=action.endpoint_id,
            software=software,
            resume_after=action.resume_after,
            task=task_id,
            worker=worker_id,
        )

    def start_reward(self, action: StartRewardCall) -> None:
        """Has a reward call made."""
        item = action.item
        digest = zlib.crc32(item.item_id.encode())
        task = _RewardTask(action.lot_id, item.item_id)
        task_id, worker_id = self._open_task(
            task, f"rewards/{digest % _REWARD_WORKERS}"
        )
        self._task_by_reward[task] = task_id
        reward = item.reward
        self._pending_orders(worker_id).rewards.append(
            RewardOrder(
                task_id=task_id,
                item_id=item.item_id,
                request_id=reward.request_id,
                host=reward.host,
                path=reward.path,
                body=reward.body,
            )
        )

    def cancel_run(self, run_id: int) -> None:
        """Has a run cancelled; its later reports are ignored."""
        self._cancel_task(self._task_by_run.get(run_id))

    def cancel_reward(self, lot_id: str, item_id: str) -> None:
        """Has a reward call cancelled; its later reports are ignored."""
        task = _RewardTask(lot_id, item_id)
        self._cancel_task(self._task_by_reward.get(task))

    def _cancel_task(self, task_id: int | None) -> None:
        """Closes an open task and tells its worker; None for no task."""
        if task_id is None:
            return
        worker_id = self._core.worker_of(task_id)
        self._close_task(task_id)
        if worker_id is not None:
            self._pending_orders(worker_id)

    def receive(self, sender: str, report: TaskReport) -> None:
        """Handles a worker's report."""
        if report.fencing != self._fencing or not self._fencing:
            return
        self._clock_by_worker[sender] = report.clock_s
        self._feed(WorkerAnswered(sender))
        for progress in report.progress:
            self._on_progress(progress)
        for run_end in report.runs:
            self._on_run_end(run_end)
        for reward_end in report.rewards:
            self._on_reward_end(reward_end)
        for task_id in report.unknown:
            if self._core.worker_of(task_id) == sender:
                self._fail_task(task_id, "its order was lost")
        if report.needs_confirmation:
            self._pending_orders(sender)

    def _on_progress(self, progress: RunProgress) -> None:
        action = self._open.get(progress.task_id)
        if isinstance(action, StartRun):
            self._sink(
                StreamEventsReceived(
                    action.run,
                    progress.first,
                    progress.texts,
                    progress.versions,
                    progress.interval_s,
                    progress.age_s,
                )
            )

    def _on_run_end(self, end: RunEnd) -> None:
        action = self._open.get(end.task_id)
        if not isinstance(action, StartRun):
            return
        self._close_task(end.task_id)
        self._log.record(
            "run",
            run=action.run,
            id=action.item.item_id,
            lot=action.lot_id,
            endpoint=action.endpoint_id,
            task=end.task_id,
            outcome=end.detail,
        )
        if end.fault:
            self._sink(
                RunFailed(action.run, RunFault(end.fault), end.retry_after_s)
            )
        else:
            self._sink(RunCompleted(action.run, end.events))

    def _on_reward_end(self, end: RewardEnd) -> None:
        task = self._open.get(end.task_id)
        if not isinstance(task, _RewardTask):
            return
        self._close_task(end.task_id)
        if end.score:
            self._sink(
                RewardCallSucceeded(task.lot_id, task.item_id, end.score)
            )
            return
        self._sink(
            RewardCallFailed(
                task.lot_id,
                task.item_id,
                end.is_endpoint_failure,
                end.max_attempts,
            )
        )

    def _fail_task(self, task_id: int, reason: str) -> None:
        """Fails a task whose outcome is unknown."""
        action = self._open.get(task_id)
        self._close_task(task_id)
        if isinstance(action, StartRun):
            self._log.record("run_lost", run=action.run, reason=reason)
            self._sink(RunFailed(action.run, RunFault.WORKER_LOST))
        elif isinstance(action, _RewardTask):
            self._sink(RewardCallFailed(action.lot_id, action.item_id, False))

    def _open_task(
        self, content: StartRun | _RewardTask, key: str, domain: str = ""
    ) -> tuple[int, str]:
        """Opens a task; returns its id and its worker."""
        task_id = next(self._task_ids)
        self._open[task_id] = content
        (action,) = self._core.handle(
            TaskRequested(task_id, key, domain), boot_time_s()
        )
        return task_id, action.daemon_id

    def _close_task(self, task_id: int) -> None:
        action = self._open.pop(task_id, None)
        if isinstance(action, StartRun):
            self._task_by_run.pop(action.run, None)
        elif isinstance(action, _RewardTask):
            self._task_by_reward.pop(action, None)
        self._feed(TaskClosed(task_id))

    def _pending_orders(self, worker_id: str) -> _PendingOrders:
        """Returns the orders that are sent to a worker soon."""
        if not self._is_flush_due:
            self._is_flush_due = True
            self._tasks.start_soon(self._flush_soon)
        return self._pending.setdefault(worker_id, _PendingOrders())

    async def _flush_soon(self) -> None:
        await anyio.sleep(_GATHER_S)
        self._is_flush_due = False
        pending, self._pending = self._pending, {}
        for worker_id, orders in pending.items():
            self._send_orders(worker_id, self._core.tasks_of(worker_id), orders)

    def _send_orders(
        self,
        worker_id: str,
        open_tasks: tuple[int, ...],
        orders: _PendingOrders,
    ) -> None:
        is_own = worker_id == self._own_id
        message = TaskOrders(
            fencing=self._fencing,
            open_tasks=open_tasks,
            runs=tuple(orders.runs),
            rewards=tuple(orders.rewards),
            worker_clock_s=(
                boot_time_s()
                if is_own
                else self._clock_by_worker.get(worker_id, 0.0)
            ),
            number=next(self._order_numbers),
        )
        if is_own:
            self._deliver_locally(message)
        elif not self._network.send(worker_id, message):
            self._log.record("orders_not_sent", worker=worker_id)

    def _feed(self, event: object) -> None:
        for action in self._core.handle(event, boot_time_s()):
            match action:
                case SendOrders(worker_id):
                    self._pending_orders(worker_id)
                case FailTasks(worker_id, task_ids):
                    self._log.record(
                        "worker_lost", worker=worker_id, tasks=len(task_ids)
                    )
                    for task_id in task_ids:
                        self._fail_task(task_id, f"{worker_id} is silent")
                case AssignTask():
                    raise TypeError("tasks are assigned by `_open_task`")
