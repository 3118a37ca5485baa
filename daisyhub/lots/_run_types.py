"""Events and actions of the dispatch core, and its records."""

import dataclasses
import enum
import math

from daisyhub.lots._types import ItemResult, ItemSpec, LotSpec

__all__ = [
    "CancelRun",
    "Engine",
    "EngineSeen",
    "EnginesListed",
    "EventArrived",
    "FinishItem",
    "Item",
    "LotClosed",
    "LotOpened",
    "Progress",
    "RewardFailed",
    "RewardPaid",
    "Run",
    "RunEnded",
    "RunFailed",
    "RunFault",
    "StartReward",
    "StartRun",
]


class RunFault(enum.Enum):
    """Why a run brought no whole text."""

    NOT_RUN = "not_run"
    ELSEWHERE = "elsewhere"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Text generated so far.

    Attributes:
        texts: Data of the events, from the first on.
        versions: The weight version that made each.
        is_whole: Whether the text came to its end.
    """

    texts: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSeen:
    """What is known of one engine.

    Attributes:
        endpoint_id: Its id.
        pool: Its pool.
        slots: Requests that it serves at one time.
        versions: Weight version by model.
        is_loading: Whether it is loading weights.
    """

    endpoint_id: str
    pool: str
    slots: int
    versions: dict[str, int]
    is_loading: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesListed:
    """All engines that may get work; those left out get none."""

    engines: tuple[EngineSeen, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LotOpened:
    """A lot is to be run.

    Attributes:
        spec: The lot.
        pool: The pool that serves its items.
        due_at_s: When its results are due, on the core's clock.
        give_up_at_s: When its items may be given up.
        listed: Items that are listed already.
        known: Text that earlier runs left, by item.
    """

    spec: LotSpec
    pool: str
    due_at_s: float
    give_up_at_s: float
    listed: frozenset[str] = frozenset()
    known: dict[str, Progress] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class LotClosed:
    """A lot was ended, or all of it is listed."""

    lot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EventArrived:
    """A run brought an event of its stream."""

    run: int
    data: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """A run's stream came to its end."""

    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunFailed:
    """A run brought no whole text."""

    run: int
    fault: RunFault


@dataclasses.dataclass(frozen=True, slots=True)
class RewardPaid:
    """A reward call brought its score."""

    lot_id: str
    item_id: str
    score: str


@dataclasses.dataclass(frozen=True, slots=True)
class RewardFailed:
    """A reward call brought none.

    Attributes:
        lot_id: The lot.
        item_id: The item.
        is_counted: Whether the endpoint itself failed at it.
        max_attempts: Failures of the endpoint after which the item may be
            given up, by the reward call's own route.
    """

    lot_id: str
    item_id: str
    is_counted: bool
    max_attempts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Action: send an item to an engine."""

    run: int
    lot_id: str
    item: ItemSpec
    endpoint_id: str
    resume_after: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """Action: close a run's connection."""

    run: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StartReward:
    """Action: make an item's reward call."""

    lot_id: str
    item: ItemSpec


@dataclasses.dataclass(frozen=True, slots=True)
class FinishItem:
    """Action: list an item's result."""

    lot_id: str
    result: ItemResult
    is_group_done: bool


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine as the core keeps it.

    Attributes:
        seen: What was last told of it.
        runs: Open runs there.
        pace_s: Running mean of the time between events; 0 if not known.
        failures: Failures in a row.
        backoff_until_s: Until when it gets no new work.
    """

    seen: EngineSeen
    runs: set[int] = dataclasses.field(default_factory=set)
    pace_s: float = 0.0
    failures: int = 0
    backoff_until_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class Item:
    """An item that isn't listed.

    Attributes:
        spec: What to generate.
        progress: The longest text at hand.
        runs: Open runs.
        failures: Runs that the engine itself failed at.
        reward_failures: Reward calls that failed at their endpoint.
        is_rewarded: Whether the reward call is open.
        retry_at_s: When the next run or reward call may start.
        is_done: Whether it has its result.
    """

    spec: ItemSpec
    progress: Progress = Progress()
    runs: set[int] = dataclasses.field(default_factory=set)
    failures: int = 0
    reward_failures: int = 0
    is_rewarded: bool = False
    retry_at_s: float = -math.inf
    is_done: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """One stream of an item.

    Attributes:
        lot_id: Its lot.
        item_id: Its item.
        endpoint_id: Where it runs.
        texts: Data of events: those that it goes on from, and its own.
        versions: The weight version of each.
        started_at_s: When it was sent.
        last_received_at_s: When its last event came, or when it was sent.
        events: Events that came of itself.
    """

    lot_id: str
    item_id: str
    endpoint_id: str
    texts: list[str]
    versions: list[int]
    started_at_s: float
    last_received_at_s: float
    events: int = 0
