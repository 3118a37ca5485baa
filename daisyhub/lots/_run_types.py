"""Events and actions of the dispatch core.

The `run` of an event or action is the id of a run, which is unique for the
core.
"""

import dataclasses

from daisyhub.balancing import Release
from daisyhub.lots._item_bodies import ItemPlace
from daisyhub.lots._run_states import EngineView, Progress, RunFault
from daisyhub.lots._types import ItemResult, ItemSpec, LotHead, LotSpec

__all__ = [
    "BodiesRead",
    "CancelRewardCall",
    "CancelRun",
    "EnginesListed",
    "FinishItem",
    "LotClosed",
    "LotOpened",
    "LotRouted",
    "RewardCallFailed",
    "RewardCallSucceeded",
    "RunCompleted",
    "RunFailed",
    "StartRewardCall",
    "StartRun",
    "StreamEventsReceived",
]


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
        places: Where the bodies of its items are, by item id; those of items
            that are missing from it are in `spec`.
    """

    spec: LotSpec
    pool: str
    due_at_s: float
    give_up_at_s: float
    listed: frozenset[str] = frozenset()
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    lag_s: float = 0.0
    places: dict[str, ItemPlace] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class BodiesRead:
    """Items of an open lot were read from the store with their bodies.

    Attributes:
        head: The lot.
        items: The items.
    """

    head: LotHead
    items: tuple[ItemSpec, ...]


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
class CancelRewardCall:
    """Action: end an item's open reward call with all of its repeats."""

    lot_id: str
    item_id: str


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
