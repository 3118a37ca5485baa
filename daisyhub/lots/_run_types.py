"""Events, actions and state records of the dispatch core.

The `run` of an event or action is the id of a run, which is unique for the
core.
"""

import dataclasses
import enum
import math

from daisyhub.balancing import Release
from daisyhub.lots._types import ItemResult, ItemSpec, LotSpec

__all__ = [
    "CancelRun",
    "Engine",
    "EngineView",
    "EnginesListed",
    "FinishItem",
    "Item",
    "LotClosed",
    "LotOpened",
    "LotRouted",
    "Progress",
    "RewardCallFailed",
    "RewardCallSucceeded",
    "Run",
    "RunCompleted",
    "RunFailed",
    "RunFault",
    "StartRewardCall",
    "StartRun",
    "StreamEventsReceived",
]


class RunFault(enum.Enum):
    """Why a run produced no complete text.

    Attributes:
        NOT_RUN: The engine rejected the request without running it.
        ELSEWHERE: The endpoint is unknown or leaving, or another endpoint
            answers at its address.
        UNREACHABLE: No response was received.
        BROKEN: The stream was cut or malformed, or the status was unexpected.
        FAILED: The engine failed at the item; counted as an attempt.
        IMPOSSIBLE: The engine can never serve the item; it is given up.
        WORKER_LOST: The daemon that received the stream is lost, or the order
            to it; the engine isn't at fault.
    """

    NOT_RUN = "not_run"
    ELSEWHERE = "elsewhere"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    WORKER_LOST = "worker_lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Text generated so far.

    Attributes:
        texts: Data of all events received so far, in order.
        versions: Weight version that generated each event.
        is_whole: Whether the text is complete.
        release: The release that generated it; None if unknown.
    """

    texts: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()
    is_whole: bool = False
    release: Release | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """Observed state of one engine.

    Attributes:
        endpoint_id: Its endpoint's id.
        pool: Its pool.
        slots: Number of requests that it serves concurrently.
        versions: Weight version by model.
        is_loading: Whether it is loading weights.
        release: Its release; None if unknown.
        is_adaptive: Whether its pool is adaptive; see `AdaptivePools`.
        is_cold: Whether it tolerates few requests now.
        limit: Number of runs that it sustains without degradation, at most
            `slots`; None if it isn't measured.
        slowdown: Its unloaded time per event relative to the pool's median; 1
            if it isn't measured.
    """

    endpoint_id: str
    pool: str
    slots: int
    versions: dict[str, int]
    is_loading: bool = False
    release: Release | None = None
    is_adaptive: bool = False
    is_cold: bool = False
    limit: float | None = None
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesListed:
    """The set of engines that may get runs was refreshed.

    Engines that are missing from it get no new runs.
    """

    engines: tuple[EngineView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LotOpened:
    """A lot was opened and is to be run.

    Attributes:
        spec: The lot.
        pool: The pool that serves its items, until `LotRouted`; empty if its
            route has none.
        due_at_s: When its results are due, on the core's clock.
        give_up_at_s: Time from which items that still need a run are given up,
            on the core's clock.
        listed: Ids of items that were listed before; they aren't run.
        progress: Text that earlier runs generated, by item id.
        lag_s: Seconds by which its trainer is behind its schedule.
    """

    spec: LotSpec
    pool: str
    due_at_s: float
    give_up_at_s: float
    listed: frozenset[str] = frozenset()
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LotRouted:
    """Another pool serves an open lot from now on.

    Runs at engines of the pool before continue.

    Attributes:
        lot_id: The lot.
        pool: The pool; empty if the lot's route has none.
    """

    lot_id: str
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class LotClosed:
    """A lot was ended or deleted, or all of its items are listed."""

    lot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEventsReceived:
    """Consecutive events of a run's stream were received.

    Attributes:
        run: The run.
        first: Number of the first of them within the item's text, from 1.
        texts: The piece of text that each event adds.
        versions: Weight version that generated each.
        interval_s: Mean time between them, and to the run's event before; 0
            if there is none before.
        age_s: Seconds since the last of them was received.
    """

    run: int
    first: int
    texts: tuple[str, ...]
    versions: tuple[int, ...]
    interval_s: float = 0.0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunCompleted:
    """A run's stream ended normally.

    Attributes:
        run: The run.
        events: Number of events of the item's text.
    """

    run: int
    events: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunFailed:
    """A run failed before its text was complete.

    Attributes:
        run: The run.
        fault: Why.
        retry_after_s: Seconds after which the engine has room again; 0 if
            unknown.
    """

    run: int
    fault: RunFault
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RewardCallSucceeded:
    """A reward call returned a score.

    Attributes:
        lot_id: The lot.
        item_id: The item.
        score: The proof in the endpoint's response.
    """

    lot_id: str
    item_id: str
    score: str


@dataclasses.dataclass(frozen=True, slots=True)
class RewardCallFailed:
    """A reward call returned no score.

    Attributes:
        lot_id: The lot.
        item_id: The item.
        is_endpoint_failure: Whether the endpoint itself failed, which counts
            as an attempt.
        max_attempts: Number of endpoint failures after which the item is given
            up, set by the route of the reward call.
    """

    lot_id: str
    item_id: str
    is_endpoint_failure: bool
    max_attempts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Action: send an item to an engine.

    Attributes:
        run: Id of the new run.
        lot_id: The item's lot.
        item: The item.
        endpoint_id: The engine.
        resume_after: Number of events that earlier runs received; the stream
            starts behind them.
        release: The engine's release, for which the run is meant; None if
            unknown.
        moved_run: The run that continues until this one has an event; 0 if
            there is none.
        reason: Why that run is to be replaced, for the log.
    """

    run: int
    lot_id: str
    item: ItemSpec
    endpoint_id: str
    resume_after: int
    release: Release | None = None
    moved_run: int = 0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """Action: close a run's connection.

    Attributes:
        run: The run.
        reason: Why it is cancelled, for the log.
    """

    run: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StartRewardCall:
    """Action: make an item's reward call."""

    lot_id: str
    item: ItemSpec


@dataclasses.dataclass(frozen=True, slots=True)
class FinishItem:
    """Action: list an item's result.

    Attributes:
        lot_id: The item's lot.
        result: The result.
        is_group_done: Whether all items of its group have results.
    """

    lot_id: str
    result: ItemResult
    is_group_done: bool


@dataclasses.dataclass(slots=True)
class Engine:
    """The core's state of one engine.

    Attributes:
        view: Its last observed state.
        runs: Ids of its open runs.
        event_interval_s: Moving average of the time between events of a run;
            0 if unknown.
        consecutive_failures: Failures since its last event.
        backoff_until_s: Time until which it gets no new runs.
        recent_interval_s: Moving average like `event_interval_s`, but over the
            same time for any number of runs; 0 if unknown.
        usual_interval_s: The same over several hundred events; 0 if unknown.
        interval_count: Number of intervals that these averages cover.
        measured_at_s: When they were last updated.
        prompts: Account and group of the latest items that it ran; their
            prompt is probably in its cache.
    """

    view: EngineView
    runs: set[int] = dataclasses.field(default_factory=set)
    event_interval_s: float = 0.0
    consecutive_failures: int = 0
    backoff_until_s: float = -math.inf
    recent_interval_s: float = 0.0
    usual_interval_s: float = 0.0
    interval_count: int = 0
    measured_at_s: float = -math.inf
    prompts: dict[tuple[str, str], None] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Item:
    """An item that wasn't listed when its lot was opened.

    Attributes:
        spec: What to generate.
        rank: Its position in the order in which its lot's items are started.
        progress: The longest text received so far.
        runs: Ids of its open runs.
        failures: Number of runs that failed in the engine itself.
        reward_failures: Number of reward calls that failed in their endpoint.
        reward_obstacles: Number of reward calls that no endpoint answered.
        is_reward_pending: Whether a reward call is in progress.
        retry_at_s: When the next run or reward call may start.
        waits_since_s: Since when it waits for an engine of its text's release;
            None if it doesn't.
        is_done: Whether it has its result.
        left_engines: Engines whose run was cancelled in favour of another
            one's: one for each move.
        second_runs: Number of runs that were started to replace another one.
    """

    spec: ItemSpec
    rank: int
    progress: Progress = Progress()
    runs: set[int] = dataclasses.field(default_factory=set)
    failures: int = 0
    reward_failures: int = 0
    reward_obstacles: int = 0
    is_reward_pending: bool = False
    retry_at_s: float = -math.inf
    waits_since_s: float | None = None
    is_done: bool = False
    left_engines: set[str] = dataclasses.field(default_factory=set)
    second_runs: int = 0


@dataclasses.dataclass(slots=True)
class Run:
    """One stream of an item from an engine.

    Attributes:
        lot_id: Its lot.
        item_id: Its item.
        endpoint_id: The engine.
        texts: Data of the events that it resumes after, and of its own.
        versions: Weight version of each of these events.
        started_at_s: When its request was sent.
        last_event_at_s: When its last event was received, or `started_at_s`.
        release: The engine's release; None if unknown.
        event_count: Number of events that it received itself.
    """

    lot_id: str
    item_id: str
    endpoint_id: str
    texts: list[str]
    versions: list[int]
    started_at_s: float
    last_event_at_s: float
    release: Release | None = None
    event_count: int = 0
