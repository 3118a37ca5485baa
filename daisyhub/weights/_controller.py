"""Has engines load new weights while this daemon holds the duty."""

import abc
import time
from collections.abc import Callable

import anyio

from daisyhub.balancing import (
    Denial,
    Endpoint,
    EndpointDirectory,
    EndpointEntry,
    Permit,
    PermitSource,
    Urgency,
)
from daisyhub.catalog import ManifestController
from daisyhub.duties import DutyController
from daisyhub.duty_bound import DutyBoundController
from daisyhub.logs import DecisionLog
from daisyhub.objects import KindWatcher, ObjectStore, StoredObject
from daisyhub.weights._engine_client import (
    EngineClient,
    LoadMode,
    OrderOutcome,
    VersionOrder,
)
from daisyhub.weights._load_core import (
    WeightLoadCore,
)
from daisyhub.weights._load_types import (
    EngineObservation,
    EnginesObserved,
    FetchReport,
    OrderAnswered,
    ReportFailed,
    ReportReceived,
    SendOrder,
    VersionPublished,
)
from daisyhub.weights._sharing import assign_engines

__all__ = ["VersionReader", "WeightLoadController"]

# Interval between observations of the engines.
_TICK_INTERVAL_S = 0.1
# Interval between list calls that verify the watch of the versions. A version
# that is received late delays the trainer's next step.
_VERIFY_INTERVAL_S = 1.5
# Seconds for which an order waits for room at an engine that limits its rate.
# A report doesn't: the next one is due soon.
_MAX_ORDER_WAIT_S = 0.5


class VersionReader(abc.ABC):
    """Decodes the versions that trainers publish in the store.

    Attributes:
        kind: Kind of the stored objects.
    """

    kind: str

    @abc.abstractmethod
    def read(self, found: StoredObject) -> VersionPublished:
        """Returns the version that an object publishes.

        Raises:
            ValueError: The object is invalid.
        """


class WeightLoadController(DutyBoundController):
    """Orders engines to load the versions that trainers publish.

    Args:
        duty: The duty to order loads.
        holder: Name of this machine, sent with each order.
        store: Stores the published versions.
        reader: Decodes them.
        client: Calls engines.
        directory: All endpoints, engines included.
        manifests: Routes; they may require samples of a single version.
        open_run_count: Returns the number of open runs at an engine, by
            endpoint id.
        demand: Returns the requested work by model, in any unit.
        loads_share: Fraction of a pool's engines that load concurrently.
        permits: Permits for engines that limit their rate.
        log: Logs versions, orders and assignments.
    """

    name = "weight_stages"

    def __init__(
        self,
        duty: DutyController,
        holder: str,
        store: ObjectStore,
        reader: VersionReader,
        client: EngineClient,
        directory: EndpointDirectory,
        manifests: ManifestController,
        open_run_count: Callable[[str], int],
        demand: Callable[[], dict[str, float]],
        loads_share: float,
        permits: PermitSource,
        log: DecisionLog,
    ):
        super().__init__(duty)
        self._holder = holder
        self._store = store
        self._reader = reader
        self._client = client
        self._directory = directory
        self._manifests = manifests
        self._open_run_count = open_run_count
        self._get_demand = demand
        self._loads_share = loads_share
        self._permits = permits
        self._log = log
        self._cores: dict[str, WeightLoadCore] = {}
        self._published: dict[str, VersionPublished] = {}
        self._model_by_engine: dict[str, str] = {}
        self._tasks = None

    def is_loading(self, endpoint_id: str) -> bool:
        """Whether an engine may be loading weights now."""
        return any(c.is_loading(endpoint_id) for c in self._cores.values())

    def status(self) -> dict[str, object]:
        """Returns the last published versions and the models by engine."""
        return {
            "named": {n.model: n.version for n in self._published.values()},
            "serves": dict(self._model_by_engine),
        }

    async def run_with_duty(self) -> None:
        """Runs until the duty is lost; see the base class."""
        watcher = KindWatcher(
            self._store, self._reader.kind, self._log, self._on_version_object
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(watcher.run)
                tasks.start_soon(self.verify, watcher, _VERIFY_INTERVAL_S)
                while self._duty.fencing:
                    self._observe_engines()
                    await anyio.sleep(_TICK_INTERVAL_S)
                tasks.cancel_scope.cancel()
        finally:
            self._tasks = None
            self._cores.clear()
            self._published.clear()

    def _on_version_object(self, found: StoredObject) -> None:
        """Sends a published version to the cores of all pools."""
        if found.is_deleted:
            return
        try:
            published = self._reader.read(found)
        except ValueError as exc:
            self._log.record(
                "version_unreadable", name=found.name, reason=str(exc)
            )
            return
        self._log.record(
            "version_named",
            model=published.model,
            version=published.version,
            revision=found.revision,
        )
        self._published[published.model] = published
        for core in self._cores.values():
            self._handle(core, published)
        self._observe_engines()

    def _observe_engines(self) -> None:
        """Sends the observed engines of each pool to the pool's core."""
        pools: dict[str, list[Endpoint]] = {}
        for endpoint in self._directory.all():
            # Only engines have weight versions.
            entry = endpoint.entry
            if entry.versions and self._directory.accepts(entry):
                pools.setdefault(entry.pool, []).append(endpoint)
        for pool, engines in pools.items():
            core = self._cores.get(pool)
            if core is None:
                core = self._cores[pool] = WeightLoadCore(self._loads_share)
                for published in self._published.values():
                    self._handle(core, published)
            self._assign_models(engines)
            observations = tuple(
                self._observe(endpoint) for endpoint in engines
            )
            self._handle(
                core, EnginesObserved(observations, self._current_mode())
            )

    def _assign_models(self, engines: list[Endpoint]) -> None:
        """Updates which engine of a pool serves which model."""
        models = {m for e in engines for m in e.entry.versions}
        demand = self._get_demand()
        ids = {endpoint.entry.endpoint_id for endpoint in engines}
        assigned = assign_engines(
            ids,
            {model: demand.get(model, 1.0) for model in models},
            self._model_by_engine,
        )
        changed = {
            e: m
            for e, m in assigned.items()
            if self._model_by_engine.get(e) != m
        }
        if changed:
            self._log.record("engines_shared", changed=changed, demand=demand)
        # Engines that are leaving keep their model until they are gone.
        self._model_by_engine = {
            e: m
            for e, m in self._model_by_engine.items()
            if e not in ids and self._directory.get(e) is not None
        }
        self._model_by_engine.update(assigned)

    def _current_mode(self) -> LoadMode:
        """Returns `FINISH` if a route requires samples of a single version."""
        manifest = self._manifests.manifest
        is_single = manifest is not None and any(
            route.is_single_version for route in manifest.routes
        )
        return LoadMode.FINISH if is_single else LoadMode.CONTINUE

    def _observe(self, endpoint: Endpoint) -> EngineObservation:
        entry = endpoint.entry
        return EngineObservation(
            endpoint_id=entry.endpoint_id,
            incarnation=entry.incarnation,
            versions=entry.versions,
            runs=self._open_run_count(entry.endpoint_id),
            model=self._model_by_engine.get(entry.endpoint_id, ""),
        )

    def _handle(self, core: WeightLoadCore, event: object) -> None:
        for action in core.handle(event, time.monotonic()):
            if isinstance(action, SendOrder):
                self._tasks.start_soon(self._send_order, core, action)
            elif isinstance(action, FetchReport):
                self._tasks.start_soon(self._fetch_report, core, action)

    async def _send_order(
        self, core: WeightLoadCore, action: SendOrder
    ) -> None:
        """Sends an order with the fencing number read just before."""
        entry, permit = await self._acquire(
            action.endpoint_id, Urgency.URGENT, _MAX_ORDER_WAIT_S
        )
        fencing = self._duty.fencing
        if permit is None or not fencing:
            outcome = OrderOutcome.REFUSED
        else:
            sent_at_s = time.monotonic()
            order = VersionOrder(
                endpoint_id=action.endpoint_id,
                model=action.model,
                version=action.version,
                mode=action.mode,
                holder=self._holder,
                fencing=fencing,
                orders_taken=action.orders_taken,
            )
            response = await self._client.order(
                entry.address,
                order,
                lambda: self._may_send(entry, permit),
            )
            self._permits.observe(entry, response.rate_limit, sent_at_s)
            outcome = response.outcome
            if response.is_leaving:
                self._directory.record_leaving(entry, "order", time.monotonic())
        self._log.record(
            "order",
            endpoint=action.endpoint_id,
            model=action.model,
            version=action.version,
            orders_taken=action.orders_taken,
            fencing=fencing,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.STALE_FENCING:
            self._duty.step_down(
                f"{action.endpoint_id} has received a higher fencing number"
            )
        self._handle(core, OrderAnswered(action.endpoint_id, outcome))

    async def _fetch_report(
        self, core: WeightLoadCore, action: FetchReport
    ) -> None:
        """Fetches a report; records its versions in the directory."""
        entry, permit = await self._acquire(action.endpoint_id, Urgency.PATIENT)
        if permit is None:
            self._handle(core, ReportFailed(action.endpoint_id))
            return
        sent_at_s = time.monotonic()
        response = await self._client.report(
            entry.address, lambda: self._may_send(entry, permit)
        )
        report = response.report
        # The call names no endpoint, so that the response may be of another
        # process at the address. Of the engine and its orders it says nothing.
        is_other = (
            report is not None
            and report.incarnation
            and entry.incarnation
            and report.incarnation != entry.incarnation
        )
        if response.is_leaving and not is_other:
            self._directory.record_leaving(entry, "report", time.monotonic())
        if not is_other:
            self._permits.observe(entry, response.rate_limit, sent_at_s)
        if report is None or is_other:
            self._handle(core, ReportFailed(action.endpoint_id))
            return
        self._directory.record_versions(action.endpoint_id, report.versions)
        self._handle(core, ReportReceived(action.endpoint_id, report))

    async def _acquire(
        self, endpoint_id: str, urgency: Urgency, max_wait_s: float = 0.0
    ) -> tuple[EndpointEntry | None, Permit | None]:
        """Waits for a permit for one call.

        Returns:
            The entry of the engine and the permit; no permit if the engine is
            leaving, evacuated or unknown, or limits its rate and has no room.
        """
        endpoint = self._directory.get(endpoint_id)
        if endpoint is None or not self._directory.accepts(endpoint.entry):
            return None, None
        entry = endpoint.entry
        permit = await self._permits.acquire(entry, urgency, max_wait_s)
        if isinstance(permit, Denial):
            return entry, None
        await anyio.sleep(max(0.0, permit.start_at_s - time.monotonic()))
        return entry, permit

    def _may_send(self, entry: EndpointEntry, permit: Permit) -> bool:
        return self._directory.accepts(entry) and self._permits.may_send(permit)
