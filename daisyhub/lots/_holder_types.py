"""What the holder of lots depends on, and its state of a lot."""

import dataclasses
from collections.abc import Callable

import anyio

from daisyhub.balancing import EndpointDirectory, EndpointEntry
from daisyhub.catalog import ManifestController
from daisyhub.cluster import ClusterClock
from daisyhub.logs import DecisionLog
from daisyhub.lots._engine_capacity import EngineCapacity
from daisyhub.lots._item_bodies import ItemPlace
from daisyhub.lots._listing_core import ListingCore
from daisyhub.lots._lot_store import LotStore
from daisyhub.lots._run_states import Progress
from daisyhub.lots._types import LotHead, LotSpec
from daisyhub.lots._worker_pool import WorkerPool
from daisyhub.objects import ObjectStore, PacedRead

__all__ = ["HeldLot", "LotHolderDependencies"]

_DEFAULT_MEMORY_BYTES = 1 << 25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotHolderDependencies:
    """The objects that a holder depends on.

    Attributes:
        store: The platform's store.
        lots: Lots in that store.
        directory: Known endpoints.
        manifests: Provides the active manifest.
        pool: Has items run and reward calls made.
        is_loading: Returns whether the engine of an endpoint id is loading
            weights.
        has_lost_peers: Returns whether a peer that was reachable before is
            unreachable now.
        clock: Clock that all daemons agree on.
        log: Log of decisions.
        unsent_bytes: Returns the bytes of messages that wait to be sent.
        status_s: Seconds for which a lot must stay readable.
        is_adaptive: Returns whether a pool is adaptive; see `AdaptivePools`.
        is_cold: Returns whether an endpoint is cold.
        capacity: Measures the engines of adaptive pools.
        memory_bytes: Memory for the bodies of items of open lots.
    """

    store: ObjectStore
    lots: LotStore
    directory: EndpointDirectory
    manifests: ManifestController
    pool: WorkerPool
    is_loading: Callable[[str], bool]
    has_lost_peers: Callable[[], bool]
    clock: ClusterClock
    log: DecisionLog
    unsent_bytes: Callable[[], int]
    status_s: float
    is_adaptive: Callable[[str], bool] = lambda _: False
    is_cold: Callable[[EndpointEntry], bool] = lambda _: False
    capacity: EngineCapacity | None = None
    memory_bytes: int = _DEFAULT_MEMORY_BYTES

    def measured(self, entry: EndpointEntry) -> tuple[float | None, float]:
        """Returns an engine's limit and slowdown; see `EngineView`."""
        return self.capacity.measured(entry) if self.capacity else (None, 1.0)


@dataclasses.dataclass(slots=True)
class HeldLot:
    """The holder's state of one lot.

    Attributes:
        head: The lot.
        listing: Lists its results.
        spec: The lot with its items while it is opened, else None.
        places: Where the bodies of these items are, by item id.
        is_ended: Whether a caller ended it.
        is_listing_loaded: Whether its stored results were read.
        is_inherited: Whether it was accepted before this daemon got the duty,
            so that an earlier holder may have listed results.
        progress_revision: Revision of its unfinished texts in the store; 0 if
            unknown.
        saved_progress: Its unfinished texts as this holder last saved them.
        refresh: Reads results that another daemon may have listed.
        results_added: Set, and replaced, when results are listed.
    """

    head: LotHead
    listing: ListingCore
    spec: LotSpec | None = None
    places: dict[str, ItemPlace] = dataclasses.field(default_factory=dict)
    is_ended: bool = False
    is_listing_loaded: bool = False
    is_inherited: bool = True
    progress_revision: int = 0
    saved_progress: dict[str, Progress] = dataclasses.field(
        default_factory=dict
    )
    refresh: PacedRead = dataclasses.field(default_factory=PacedRead)
    results_added: anyio.Event = dataclasses.field(default_factory=anyio.Event)
