"""Decides which daemon executes the holder's tasks.

A task streams one item from an engine or makes one reward call. Where one
process can't receive the streams of all engines, the holder of the duty for
lots executes none itself. All runs of an engine go to one daemon, of its own
failure domain if possible, and all reward calls to a few. An endpoint then gets
about as many connections as it has requests at one time, since requests of
different daemons can't share connections.

A worker is ordered by stating all tasks that it is to have. It answers each
order, and a worker with tasks that doesn't answer for too long is lost: its
tasks fail, and it gets no new ones for a while.

Times are seconds on CLOCK_BOOTTIME, which counts suspended time.
"""

import dataclasses
import math

from daisyhub.base import Core
from daisyhub.hosting import rank_candidates

__all__ = [
    "AssignTask",
    "FailTasks",
    "PoolTick",
    "SendOrders",
    "TaskClosed",
    "TaskRequested",
    "WorkerAnswered",
    "WorkerPoolCore",
    "WorkerView",
    "WorkersListed",
]

# Seconds between two orders to a worker with tasks. Each order extends the
# term for which the worker continues its tasks.
ORDER_INTERVAL_S = 0.25
# Seconds without an answer after which a worker with tasks is lost: four
# orders. A run without events is moved to another engine a little sooner.
_ANSWER_TIMEOUT_S = 1.0
# Seconds for which a lost worker gets no tasks, doubled with each loss up to
# the maximum: the time of a restart, and that of a long freeze.
_MIN_EXCLUSION_S = 2.0
_MAX_EXCLUSION_S = 16.0
# Seconds with answers after which earlier losses are forgotten.
_RECOVERY_S = 30.0
# Open tasks per core of its machine up to which a worker gets more. A stream
# takes about a hundredth of a core, and the daemon has other work as well.
MAX_TASKS_PER_CORE = 40
# Processor speed that is assumed of a daemon that reports none, in cores.
_MIN_SPEED = 0.01
# Minimum processor speed of a worker, relative to the fastest one.
_MIN_SPEED_RATIO = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """A daemon that may execute tasks.

    Attributes:
        daemon_id: Its id.
        domain: Its failure domain.
        speed: Processor speed available to it, in cores.
    """

    daemon_id: str
    domain: str
    speed: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkersListed:
    """The daemons that may execute tasks, besides the holder itself.

    Empty while the holder can execute all tasks itself.
    """

    workers: tuple[WorkerView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRequested:
    """A task is to be executed.

    Attributes:
        task_id: Its id.
        key: Tasks of the same key go to the same worker.
        domain: The failure domain in which a worker is preferred; empty for
            none.
    """

    task_id: int
    key: str
    domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskClosed:
    """A task ended or was cancelled."""

    task_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """A worker answered an order or reported on its tasks."""

    daemon_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class AssignTask:
    """Action: order a worker to execute a task."""

    task_id: int
    daemon_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrders:
    """Action: state to a worker which tasks it is to have."""

    daemon_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailTasks:
    """Action: treat tasks as failed, since their worker is lost."""

    daemon_id: str
    task_ids: tuple[int, ...]


@dataclasses.dataclass(slots=True)
class _Worker:
    """State of one worker.

    Attributes:
        tasks: Ids of its open tasks.
        knows_tasks: Whether the last order may have named tasks, so that a
            further order must tell the worker to forget them.
        ordered_at_s: When the last order was sent.
        waiting_since_s: When it got its first open task, or last answered.
        losses: Number of times that it was lost.
        lost_at_s: When it was last lost.
        excluded_until_s: Time until which it gets no tasks.
    """

    tasks: set[int] = dataclasses.field(default_factory=set)
    knows_tasks: bool = False
    ordered_at_s: float = -math.inf
    waiting_since_s: float = -math.inf
    losses: int = 0
    lost_at_s: float = -math.inf
    excluded_until_s: float = -math.inf


class WorkerPoolCore(Core):
    """Assigns tasks to workers.

    Args:
        own_id: Id of the holder, which executes tasks itself if there is no
            worker.
    """

    def __init__(self, own_id: str):
        self._own_id = own_id
        self._views: dict[str, WorkerView] = {}
        self._workers: dict[str, _Worker] = {}
        self._worker_by_task: dict[int, str] = {}
        self._rankings: dict[tuple[str, str], tuple[str, ...]] = {}

    @property
    def next_wakeup_s(self) -> float | None:
        """None: the pool sends periodic ticks."""
        return None

    @property
    def busy_workers(self) -> tuple[str, ...]:
        """The workers with open tasks."""
        return tuple(name for name, w in self._workers.items() if w.tasks)

    def tasks_of(self, daemon_id: str) -> tuple[int, ...]:
        """Returns the open tasks of a worker in ascending order."""
        worker = self._workers.get(daemon_id)
        return tuple(sorted(worker.tasks)) if worker else ()

    def worker_of(self, task_id: int) -> str | None:
        """Returns the worker of an open task, or None."""
        return self._worker_by_task.get(task_id)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; returns actions."""
        match event:
            case TaskRequested():
                return [self._assign(event, now_s)]
            case TaskClosed(task_id):
                self._close(task_id)
            case WorkerAnswered(daemon_id):
                worker = self._workers.get(daemon_id)
                if worker is not None:
                    worker.waiting_since_s = now_s
            case WorkersListed(workers):
                self._on_workers(workers)
            case PoolTick():
                return self._on_tick(now_s)
            case _:
                raise TypeError(f"not an event of the pool: {event!r}")
        return []

    def _on_workers(self, workers: tuple[WorkerView, ...]) -> None:
        views = {view.daemon_id: view for view in workers}
        if views != self._views:
            self._views = views
            self._rankings.clear()

    def _assign(self, event: TaskRequested, now_s: float) -> AssignTask:
        daemon_id = self._choose(event, now_s)
        worker = self._workers.setdefault(daemon_id, _Worker())
        if not worker.tasks:
            worker.waiting_since_s = now_s
        worker.tasks.add(event.task_id)
        worker.knows_tasks = True
        worker.ordered_at_s = now_s
        self._worker_by_task[event.task_id] = daemon_id
        return AssignTask(event.task_id, daemon_id)

    def _choose(self, event: TaskRequested, now_s: float) -> str:
        """Returns the first worker of the key's ranking that has capacity.

        Lost workers are skipped. If none has capacity, the least loaded one
        is returned.
        """
        usable = []
        for daemon_id in self._ranking(event.key, event.domain):
            worker = self._workers.get(daemon_id)
            if worker is None:
                return daemon_id
            if now_s < worker.excluded_until_s:
                continue
            if self._load(daemon_id) < MAX_TASKS_PER_CORE:
                return daemon_id
            usable.append(daemon_id)
        return min(usable, key=self._load, default=self._own_id)

    def _load(self, daemon_id: str) -> float:
        """Returns a worker's number of open tasks per core."""
        speed = max(self._views[daemon_id].speed, _MIN_SPEED)
        return len(self._workers[daemon_id].tasks) / speed

    def _ranking(self, key: str, domain: str) -> tuple[str, ...]:
        """Returns the workers in the order in which a key prefers them."""
        ranking = self._rankings.get((key, domain))
        if ranking is None:
            top_speed = max((v.speed for v in self._views.values()), default=0)
            names = [
                view.daemon_id
                for view in self._views.values()
                if view.speed >= _MIN_SPEED_RATIO * top_speed
            ]
            ranked = rank_candidates(key, names)
            if domain:
                ranked.sort(key=lambda n: self._views[n].domain != domain)
            ranking = self._rankings[key, domain] = tuple(ranked)
        return ranking

    def _close(self, task_id: int) -> None:
        daemon_id = self._worker_by_task.pop(task_id, None)
        if daemon_id is not None:
            self._workers[daemon_id].tasks.discard(task_id)

    def _on_tick(self, now_s: float) -> list[object]:
        actions: list[object] = []
        for daemon_id, worker in self._workers.items():
            if now_s - worker.lost_at_s > _RECOVERY_S:
                worker.losses = 0
            silent_s = now_s - worker.waiting_since_s
            is_silent = worker.tasks and silent_s > _ANSWER_TIMEOUT_S
            if is_silent and daemon_id != self._own_id:
                actions.append(self._lose(daemon_id, worker, now_s))
            is_due = now_s - worker.ordered_at_s >= ORDER_INTERVAL_S
            if worker.knows_tasks and is_due:
                worker.ordered_at_s = now_s
                worker.knows_tasks = bool(worker.tasks)
                actions.append(SendOrders(daemon_id))
        return actions

    def _lose(self, daemon_id: str, worker: _Worker, now_s: float) -> FailTasks:
        tasks = tuple(sorted(worker.tasks))
        for task_id in tasks:
            self._close(task_id)
        exclusion_s = min(_MIN_EXCLUSION_S * 2**worker.losses, _MAX_EXCLUSION_S)
        worker.losses += 1
        worker.lost_at_s = now_s
        worker.excluded_until_s = now_s + exclusion_s
        return FailTasks(daemon_id, tasks)
