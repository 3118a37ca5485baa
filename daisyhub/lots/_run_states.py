"""The state of engines, items and runs in the dispatch core."""

import dataclasses
import enum
import math

from daisyhub.balancing import Release
from daisyhub.lots._item_bodies import ItemPlace
from daisyhub.lots._types import ItemSpec

__all__ = ["Engine", "EngineView", "Item", "Progress", "Run", "RunFault"]


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
        spec: What to generate; without its bodies while these are in the store
            only.
        rank: Its position in the order in which its lot's items are started.
        place: Where its bodies are.
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
    place: ItemPlace = ItemPlace(part=0, size=0)
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
