"""Brings new weights to the engines while this daemon has the duty."""

import abc
import time
from collections.abc import Callable

import anyio

from daisyhub.balancing import Endpoint, EndpointDirectory
from daisyhub.catalog import ManifestController
from daisyhub.duties import DutyController
from daisyhub.duty_bound import DutyBoundController
from daisyhub.logs import DecisionLog
from daisyhub.objects import KindWatcher, ObjectStore, StoredObject
from daisyhub.weights._assignment import assign_engines
from daisyhub.weights._engine_client import (
    EngineClient,
    LoadMode,
    OrderOutcome,
    VersionOrder,
)
from daisyhub.weights._load_core import (
    EngineObservation,
    EnginesObserved,
    FetchReport,
    OrderAnswered,
    ReportFailed,
    ReportReceived,
    SendOrder,
    VersionPublished,
    WeightLoadCore,
)

__all__ = ["VersionReader", "WeightLoadController"]

# Seconds between looks at the engines.
_TICK_S = 0.1
# Seconds between lists of the versions beside their watch; a version that is
# seen later keeps a trainer's next step waiting.
_VERIFY_S = 1.5


class VersionReader(abc.ABC):
    """Reads the versions that trainers name in the store."""

    kind: str

    @abc.abstractmethod
    def read(self, found: StoredObject) -> VersionPublished:
        """Returns what an object names.

        Raises:
            ValueError: It can't be read.
        """


class WeightLoadController(DutyBoundController):
    """Orders engines to load what trainers name.

    Args:
        duty: Tells whether this daemon is in charge.
        holder: Machine name that orders carry.
        store: Where versions are named.
        reader: Reads them.
        port: Talks to engines.
        directory: Endpoints.
        manifests: Tells which routes want samples of a single version.
        open_run_count: Tells how many runs are open at an engine.
        demand: Tells the work asked for by model.
        loads_share: Share of a model's engines that load at one time.
        log: Where decisions are noted.
    """

    name = "weight_stages"

    def __init__(
        self,
        duty: DutyController,
        holder: str,
        store: ObjectStore,
        reader: VersionReader,
        port: EngineClient,
        directory: EndpointDirectory,
        manifests: ManifestController,
        open_run_count: Callable[[str], int],
        demand: Callable[[], dict[str, float]],
        loads_share: float,
        log: DecisionLog,
    ):
        super().__init__(duty)
        self._holder = holder
        self._store = store
        self._reader = reader
        self._port = port
        self._directory = directory
        self._manifests = manifests
        self._open_run_count = open_run_count
        self._demand = demand
        self._loads_share = loads_share
        self._log = log
        self._cores: dict[str, WeightLoadCore] = {}
        self._named: dict[str, VersionPublished] = {}
        self._serves: dict[str, str] = {}
        self._tasks = None

    def is_loading(self, endpoint_id: str) -> bool:
        """Whether an engine may be loading weights now."""
        return any(c.is_loading(endpoint_id) for c in self._cores.values())

    def status(self) -> dict[str, object]:
        """Tells the newest version of each model, and who serves which."""
        return {
            "named": {n.model: n.version for n in self._named.values()},
            "serves": dict(self._serves),
        }

    async def hold(self) -> None:
        """Works until the duty is lost; see `DutyBoundController.hold`."""
        watcher = KindWatcher(
            self._store, self._reader.kind, self._log, self._on_version
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(watcher.run)
                tasks.start_soon(self.verify, watcher, _VERIFY_S)
                while self._duty.fencing:
                    self._look()
                    await anyio.sleep(_TICK_S)
                tasks.cancel_scope.cancel()
        finally:
            self._tasks = None
            self._cores.clear()
            self._named.clear()

    def _on_version(self, found: StoredObject) -> None:
        if found.is_deleted:
            return
        try:
            named = self._reader.read(found)
        except ValueError as exc:
            self._log.note(
                "version_unreadable", name=found.name, reason=str(exc)
            )
            return
        self._log.note(
            "version_named",
            model=named.model,
            version=named.version,
            revision=found.revision,
        )
        self._named[named.model] = named
        for core in self._cores.values():
            self._handle(core, named)
        self._look()

    def _look(self) -> None:
        """Shows each pool's engines to its core."""
        pools: dict[str, list[Endpoint]] = {}
        for endpoint in self._directory.all():
            if endpoint.entry.versions and not endpoint.entry.is_leaving:
                pools.setdefault(endpoint.entry.pool, []).append(endpoint)
        for pool, engines in pools.items():
            core = self._cores.get(pool)
            if core is None:
                core = self._cores[pool] = WeightLoadCore(self._loads_share)
                for named in self._named.values():
                    self._handle(core, named)
            self._share(engines)
            sights = tuple(self._sight(endpoint) for endpoint in engines)
            self._handle(core, EnginesObserved(sights, self._mode()))

    def _share(self, engines: list[Endpoint]) -> None:
        """Decides which engine of a pool serves which model."""
        models = {m for e in engines for m in e.entry.versions}
        demand = self._demand()
        ids = [endpoint.entry.endpoint_id for endpoint in engines]
        shared = assign_engines(
            ids,
            {model: demand.get(model, 1.0) for model in models},
            self._serves,
        )
        changed = {e: m for e, m in shared.items() if self._serves.get(e) != m}
        if changed:
            self._log.note("engines_shared", changed=changed, demand=demand)
        for endpoint_id in ids:
            self._serves.pop(endpoint_id, None)
        self._serves.update(shared)

    def _mode(self) -> LoadMode:
        manifest = self._manifests.manifest
        is_single = manifest is not None and any(
            route.is_single_version for route in manifest.routes
        )
        return LoadMode.FINISH if is_single else LoadMode.CONTINUE

    def _sight(self, endpoint: Endpoint) -> EngineObservation:
        entry = endpoint.entry
        return EngineObservation(
            endpoint_id=entry.endpoint_id,
            incarnation=entry.incarnation,
            versions=entry.versions,
            runs=self._open_run_count(entry.endpoint_id),
            model=self._serves.get(entry.endpoint_id, ""),
        )

    def _handle(self, core: WeightLoadCore, event: object) -> None:
        for action in core.handle(event, time.monotonic()):
            if isinstance(action, SendOrder):
                self._tasks.start_soon(self._order, core, action)
            elif isinstance(action, FetchReport):
                self._tasks.start_soon(self._report, core, action)

    async def _order(self, core: WeightLoadCore, action: SendOrder) -> None:
        """Sends an order; the number is read as the last step before."""
        endpoint = self._directory.get(action.endpoint_id)
        fencing = self._duty.fencing
        if endpoint is None or not fencing:
            outcome = OrderOutcome.REFUSED
        else:
            order = VersionOrder(
                endpoint_id=action.endpoint_id,
                model=action.model,
                version=action.version,
                mode=action.mode,
                holder=self._holder,
                fencing=fencing,
                orders_taken=action.orders_taken,
            )
            outcome = await self._port.order(endpoint.entry.address, order)
        self._log.note(
            "order",
            endpoint=action.endpoint_id,
            model=action.model,
            version=action.version,
            orders_taken=action.orders_taken,
            fencing=fencing,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.STALE_FENCING:
            self._duty.step_down(f"{action.endpoint_id} saw a higher number")
        self._handle(core, OrderAnswered(action.endpoint_id, outcome))

    async def _report(self, core: WeightLoadCore, action: FetchReport) -> None:
        endpoint = self._directory.get(action.endpoint_id)
        report = None
        if endpoint is not None:
            report = await self._port.report(endpoint.entry.address)
        if report is None:
            self._handle(core, ReportFailed(action.endpoint_id))
            return
        self._directory.record_versions(action.endpoint_id, report.versions)
        self._handle(core, ReportReceived(action.endpoint_id, report))
