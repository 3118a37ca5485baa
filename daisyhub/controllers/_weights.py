"""Orders engines to load new weights, from one daemon per failure domain."""

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
_ROLLOUT_TICK_INTERVAL_S = 0.5
_IDLE_TICK_INTERVAL_S = 5.0
_MIN_TICK_INTERVAL_S = 0.005
_OK = 200
_JSON = ((b"content-type", b"application/json"),)

log = get_logger("weights")


class PublishedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """The newest weight version of a pool, published by its trainer."""

    version: int


class WeightOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine.

    An engine that checks fencing numbers rejects an order with a lower number
    than an earlier one.
    """

    kind: str
    version: int
    fencing: int


class WeightController(Controller):
    """Keeps the engines of one failure domain at the newest weights.

    Args:
        cfg: Settings of this daemon.
        lease_factory: Creates the lease.
        http: Sends orders.
        table: The endpoints.
        config: Provides the pools and whether they check fencing numbers.
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
        self._pending_versions: dict[str, int] = {}
        self._wakeup = anyio.Event()

    def status(self) -> dict[str, object]:
        """Returns wanted versions, the count of engines behind, the lease."""
        return {
            "wanted": self._core.wanted,
            "behind": self._core.behind,
            "fencing": self._lease.fencing,
            "holder": self._lease.observed_holder,
        }

    async def on_weights(self, found: PlatformObject) -> None:
        """Handles a pool's newly published version from the watch."""
        pool = found.key.rpartition("/")[2]
        version = msgspec.convert(found.value, PublishedVersion).version
        self._pending_versions[pool] = version
        self._wakeup.set()

    async def run(self) -> None:
        """Sends orders while the lease is held."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._lease.run)
            while True:
                while self._pending_versions:
                    self._feed(
                        VersionPublished(*self._pending_versions.popitem())
                    )
                self._feed(self._list_engines())
                self._feed(WeightTick(bool(self._lease.fencing)))
                with anyio.move_on_after(self._tick_interval_s()):
                    await self._wakeup.wait()
                self._wakeup = anyio.Event()

    async def release(self) -> None:
        """Releases the lease at shutdown."""
        await self._lease.release()

    def _feed(self, event: object) -> None:
        for order in self._core.handle(event, time.monotonic()):
            self._tasks.start_soon(self._execute, order)

    def _tick_interval_s(self) -> float:
        """Returns the time until the next tick.

        It is short while an engine is behind, since the versions that engines
        report are only read from the endpoint table at a tick.
        """
        interval_s = (
            _ROLLOUT_TICK_INTERVAL_S
            if self._core.behind
            else _IDLE_TICK_INTERVAL_S
        )
        wakeup_s = self._core.next_wakeup_s
        if wakeup_s is None:
            return interval_s
        remaining_s = wakeup_s - time.monotonic()
        return min(interval_s, max(_MIN_TICK_INTERVAL_S, remaining_s))

    def _list_engines(self) -> EnginesListed:
        now_s = time.monotonic()
        policies = {
            name: RolloutPolicy(pool.weight_loads_at_once, pool.checks_fencing)
            for name, pool in self._config.document.endpoint_pools.items()
            if pool.kind == "engine"
        }
        engines = tuple(
            EngineView(
                state.endpoint_id, name, state.incarnation, state.weight_version
            )
            for name in policies
            for state in self._table.candidates(name, now_s)
        )
        return EnginesListed(engines, policies)

    async def _execute(self, order: SendOrder) -> None:
        self._feed(await self._send(order))

    async def _send(self, order: SendOrder) -> object:
        """Sends an order if the lease is valid; returns the outcome as event.

        The lease is checked immediately before sending.
        """
        state = self._table.get(order.endpoint_id)
        if state is None or state.is_leaving:
            return OrderFailed(order.attempt)
        fencing = self._lease.fencing_with_margin(order.extra_margin_s)
        if not fencing:
            return OrderNotSent(order.attempt)
        body = WeightOrder(
            kind="load_weights", version=order.version, fencing=fencing
        )
        try:
            response = await self._http.request(
                "POST",
                state.address,
                "/orders",
                headers=_JSON,
                body=msgspec.json.encode(body),
                timeout_s=_ORDER_TIMEOUT_S,
                fresh=True,
                may_send=lambda: self._table.may_send_to(state),
            )
        except RequestFailedError as exc:
            log.warning("weight order to {} failed: {}", order.endpoint_id, exc)
            return OrderFailed(order.attempt)
        if response.status != _OK:
            log.warning(
                "{} refused a weight order with status {}",
                order.endpoint_id,
                response.status,
            )
            return OrderFailed(order.attempt)
        state.weight_version = max(state.weight_version, order.version)
        return OrderCompleted(order.attempt)


def _extra_margin_s(timing: TimingSettings) -> float:
    """Returns the extra lease margin for engines that ignore fencing numbers.

    Between the last check of the lease and the order, time passes while a
    connection is opened or the process is paused. The margin is at most half
    of the lease's validity, since otherwise no such order could be sent.
    """
    desired_s = timing.lease_margin_s + timing.connect_timeout_s
    return min(desired_s, (timing.lease_term_s - timing.lease_margin_s) / 2)
