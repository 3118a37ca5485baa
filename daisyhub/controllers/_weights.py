"""Orders engines to load new weights; one daemon of a domain is in charge."""

import time

import anyio
import msgspec

from daisyhub.balancing import EndpointTable
from daisyhub.base import Controller
from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.controllers._config import ConfigController
from daisyhub.hosting import LeaseFactory, PlatformObject
from daisyhub.logs import get_logger
from daisyhub.rollouts import (
    EnginesListed,
    EngineView,
    OrderCompleted,
    OrderFailed,
    OrderNotSent,
    RolloutPolicy,
    SendOrder,
    VersionPublished,
    WeightCore,
    WeightTick,
)
from daisyhub.settings import DaemonSettings, TimingSettings

__all__ = ["WeightController"]

_ORDER_TIMEOUT_S = 10.0
_BUSY_STEP_S = 0.5
_IDLE_STEP_S = 5.0
_SHORTEST_STEP_S = 0.005
_OK = 200
_JSON = ((b"content-type", b"application/json"),)

log = get_logger("weights")


class WeightNews(msgspec.Struct, frozen=True, kw_only=True):
    """The newest weight version of a pool, as its trainer published it."""

    version: int


class WeightOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine; it refuses lower fencing numbers if it checks."""

    kind: str
    version: int
    fencing: int


class WeightController(Controller):
    """Keeps the engines of one failure domain at the newest weights.

    Args:
        cfg: Settings of this daemon.
        keeper: Makes the lease.
        http: Sends orders.
        table: The endpoints.
        config: Tells which pools check fencing numbers.
    """

    name = "weights"

    def __init__(
        self,
        cfg: DaemonSettings,
        lease_factory: LeaseFactory,
        http: HttpClient,
        table: EndpointTable,
        config: ConfigController,
    ):
        self._cfg = cfg
        self._http = http
        self._table = table
        self._config = config
        self._lease = lease_factory.new_duty_lease(
            f"weights/{cfg.failure_domain}"
        )
        self._core = WeightCore(_extra_margin_s(cfg.timing))
        self._published: dict[str, int] = {}
        self._wakeup = anyio.Event()

    def status(self) -> dict[str, object]:
        """Tells the wanted versions and who is in charge."""
        return {
            "wanted": self._core.wanted,
            "behind": self._core.behind,
            "fencing": self._lease.fencing,
            "holder": self._lease.observed_holder,
        }

    async def on_weights(self, found: PlatformObject) -> None:
        """Takes a pool's newest version from the platform's watch."""
        pool = found.key.rpartition("/")[2]
        version = msgspec.convert(found.value, WeightNews).version
        self._published[pool] = version
        self._wakeup.set()

    async def run(self) -> None:
        """Sends orders while the lease is held."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._lease.run)
            while True:
                while self._published:
                    self._feed(VersionPublished(*self._published.popitem()))
                self._feed(self._engines_seen())
                self._feed(WeightTick(bool(self._lease.fencing)))
                with anyio.move_on_after(self._pause_s()):
                    await self._wakeup.wait()
                self._wakeup = anyio.Event()

    async def release(self) -> None:
        """Gives the duty up at shutdown."""
        await self._lease.release()

    def _feed(self, event: object) -> None:
        for order in self._core.handle(event, time.monotonic()):
            self._tasks.start_soon(self._load, order)

    def _pause_s(self) -> float:
        """Short while an engine is behind: its news comes by polling."""
        pause_s = _BUSY_STEP_S if self._core.behind else _IDLE_STEP_S
        wakeup_s = self._core.next_wakeup_s
        if wakeup_s is None:
            return pause_s
        remaining_s = wakeup_s - time.monotonic()
        return min(pause_s, max(_SHORTEST_STEP_S, remaining_s))

    def _engines_seen(self) -> EnginesListed:
        now_s = time.monotonic()
        rules = {
            name: RolloutPolicy(pool.weight_loads_at_once, pool.checks_fencing)
            for name, pool in self._config.document.endpoint_pools.items()
            if pool.kind == "engine"
        }
        engines = tuple(
            EngineView(
                state.endpoint_id, name, state.incarnation, state.weight_version
            )
            for name in rules
            for state in self._table.candidates(name, now_s)
        )
        return EnginesListed(engines, rules)

    async def _load(self, order: SendOrder) -> None:
        self._feed(await self._send(order))

    async def _send(self, order: SendOrder) -> object:
        """Sends an order if the lease holds; the check comes last."""
        state = self._table.get(order.endpoint_id)
        if state is None:
            return OrderFailed(order.attempt)
        fencing = self._lease.fencing_with_margin(order.extra_margin_s)
        if not fencing:
            return OrderNotSent(order.attempt)
        body = WeightOrder(
            kind="load_weights", version=order.version, fencing=fencing
        )
        try:
            answer = await self._http.request(
                "POST",
                state.address,
                "/orders",
                headers=_JSON,
                body=msgspec.json.encode(body),
                timeout_s=_ORDER_TIMEOUT_S,
                fresh=True,
            )
        except RequestFailedError as exc:
            log.warning("order to {} failed: {}", order.endpoint_id, exc)
            return OrderFailed(order.attempt)
        if answer.status != _OK:
            log.warning(
                "{} refused an order with status {}",
                order.endpoint_id,
                answer.status,
            )
            return OrderFailed(order.attempt)
        state.weight_version = max(state.weight_version, order.version)
        return OrderCompleted(order.attempt)


def _extra_margin_s(timing: TimingSettings) -> float:
    """What orders to engines that ignore fencing keep back of the lease.

    Between the last check and the order lies the wait for a connection, and
    what a freeze of the process adds. At most half of the lease's validity,
    or no such order would ever leave.
    """
    wanted_s = timing.lease_margin_s + timing.connect_timeout_s
    return min(wanted_s, (timing.lease_term_s - timing.lease_margin_s) / 2)
