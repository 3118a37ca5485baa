"""Messages by which a holder has workers execute tasks, in MessagePack."""

import msgspec

__all__ = [
    "RewardEnd",
    "RewardOrder",
    "RunEnd",
    "RunOrder",
    "RunProgress",
    "TaskOrders",
    "TaskReport",
]


class RunOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Orders a daemon to stream an item from an engine.

    Attributes:
        task_id: Id of the task, unique for a fencing number of the duty.
        endpoint_id: The engine.
        software: Software version of the engine; empty if unknown.
        resume_after: Number of events after which the stream starts.
        remaining_s: Seconds after which the result is useless.
        item_id: The item.
        host: Host name of its request.
        account: Client account of its lot.
        path: Path of its request.
        headers: Headers of its request.
        body: Body of its request.
    """

    task_id: int
    endpoint_id: str
    resume_after: int
    remaining_s: float
    item_id: str
    host: str
    account: str
    path: str
    headers: dict[str, str]
    body: bytes
    software: str = ""


class RewardOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Orders a daemon to make a reward call.

    Attributes:
        task_id: Id of the task, unique for a fencing number of the duty.
        item_id: The item, for the log.
        request_id: Id of the call.
        host: Host name that selects its route.
        path: Its path.
        body: Its body.
    """

    task_id: int
    item_id: str
    request_id: str
    host: str
    path: str
    body: bytes


class TaskOrders(msgspec.Struct, frozen=True, kw_only=True, tag="to"):
    """The tasks that a holder wants one daemon to have.

    Attributes:
        fencing: Fencing number of the holder.
        open_tasks: Ids of all tasks that the daemon is to have, the new ones
            included. It cancels all others.
        runs: New tasks that stream an item.
        rewards: New tasks that make a reward call.
        worker_clock_s: `TaskReport.clock_s` of the daemon's latest report,
            which shows the daemon how old these orders can be; 0 if none was
            received. None from a software version that doesn't send it.
        number: Rises with each message of a holder; 0 from a software version
            that doesn't send it.
    """

    fencing: int
    open_tasks: tuple[int, ...]
    runs: tuple[RunOrder, ...] = ()
    rewards: tuple[RewardOrder, ...] = ()
    worker_clock_s: float | None = None
    number: int = 0


class RunProgress(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Events that a task received since its last report.

    Attributes:
        task_id: The task.
        first: Number of the first of these events within the text, from 1.
        texts: Their data.
        versions: Weight version of each.
        interval_s: Mean time between them, and to the event before; 0 if
            there is none before.
        age_s: Seconds since the last one was received.
    """

    task_id: int
    first: int
    texts: tuple[str, ...]
    versions: tuple[int, ...]
    interval_s: float
    age_s: float


class RunEnd(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How the stream of a task ended.

    Attributes:
        task_id: The task.
        fault: Value of a `RunFault`; empty if the stream is complete.
        events: Number of the last event within the text.
        detail: Description for the log.
        retry_after_s: Seconds after which the engine has room again; 0 if
            unknown.
    """

    task_id: int
    fault: str
    events: int
    detail: str
    retry_after_s: float = 0.0


class RewardEnd(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How the reward call of a task ended.

    Attributes:
        task_id: The task.
        score: The proof in the endpoint's response; empty if it failed.
        is_endpoint_failure: Whether the endpoint itself failed.
        max_attempts: Number of such failures after which the item is given
            up, set by the route of the call.
    """

    task_id: int
    score: str
    is_endpoint_failure: bool
    max_attempts: int


class TaskReport(msgspec.Struct, frozen=True, kw_only=True, tag="tr"):
    """What a daemon's tasks did since its last report.

    Attributes:
        fencing: Fencing number of the orders.
        progress: Events of streams.
        runs: Streams that ended. They are repeated until the holder no longer
            names the task.
        rewards: Reward calls that ended, likewise.
        unknown: Tasks that the holder named, but of which no order arrived.
        clock_s: Time of this report on the daemon's CLOCK_BOOTTIME.
        needs_confirmation: Whether the daemon holds back orders that may be
            old until further orders name their tasks.
    """

    fencing: int
    progress: tuple[RunProgress, ...] = ()
    runs: tuple[RunEnd, ...] = ()
    rewards: tuple[RewardEnd, ...] = ()
    unknown: tuple[int, ...] = ()
    clock_s: float = 0.0
    needs_confirmation: bool = False
