"""Orders endpoints from the platform for the pools of a failure domain."""

import time
import uuid

import anyio
import msgspec

from daisyhub.balancing import EndpointTable
from daisyhub.base import Controller
from daisyhub.config import EndpointPool
from daisyhub.controllers._config import ConfigController
from daisyhub.exceptions import (
    PlatformConflictError,
    PlatformUnavailableError,
)
from daisyhub.hosting import (
    BookAccessFailed,
    BookLoaded,
    BookWriteRejected,
    BookWritten,
    LeaseFactory,
    LoadBook,
    ObservedEndpoint,
    OrderBook,
    OrderCore,
    OrderOutcomeUnknown,
    OrderResponseReceived,
    OrderTick,
    PlatformClient,
    PoolState,
    SendOrder,
    WriteBook,
)
from daisyhub.logs import get_logger
from daisyhub.settings import DaemonSettings

__all__ = ["OrderController"]

_TICK_INTERVAL_S = 2.0

log = get_logger("orders")


class OrderController(Controller):
    """Executes the actions of an `OrderCore` while the lease is held.

    Args:
        cfg: Settings of this daemon.
        client: Client of the platform.
        lease_factory: Creates the lease.
        table: The endpoints.
        config: Provides the pools and their budgets.
    """

    name = "orders"

    def __init__(
        self,
        cfg: DaemonSettings,
        client: PlatformClient,
        lease_factory: LeaseFactory,
        table: EndpointTable,
        config: ConfigController,
    ):
        self._cfg = cfg
        self._client = client
        self._table = table
        self._config = config
        self._lease = lease_factory.new_duty_lease(
            f"orders/{cfg.failure_domain}"
        )
        self._core = OrderCore(cfg.failure_domain)

    def status(self) -> dict[str, object]:
        """Returns the lease's holder and the pending orders."""
        return {
            "fencing": self._lease.fencing,
            "holder": self._lease.observed_holder,
            "pending": [
                f"{order.order_id}:{order.kind}:{order.pool}"
                for order in self._core.pending
            ],
        }

    async def run(self) -> None:
        """Ticks the core until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._lease.run)
            while True:
                await anyio.sleep(_TICK_INTERVAL_S)
                pool_states = self._pool_states()
                await self._feed(OrderTick(self._lease.fencing, pool_states))

    async def release(self) -> None:
        """Releases the lease at shutdown."""
        await self._lease.release()

    def _pool_states(self) -> tuple[PoolState, ...]:
        """Returns the pools with automatic orders; empty without the lease."""
        if not self._lease.fencing:
            return ()
        pools = self._config.document.endpoint_pools
        return tuple(
            self._pool_state(name, pool)
            for name, pool in sorted(pools.items())
            if pool.orders == "automatic"
        )

    def _pool_state(self, name: str, pool: EndpointPool) -> PoolState:
        observed = tuple(
            ObservedEndpoint(
                endpoint_id=state.endpoint_id,
                cheap=state.cheap,
                is_leaving=state.is_leaving,
                load=state.load,
                capacity=state.capacity,
            )
            for state in self._table.all()
            if state.pool == name
        )
        return PoolState(
            pool=name,
            endpoints=observed,
            min_endpoints=pool.least,
            max_endpoints=pool.budget,
            target_load=pool.target_load,
            cheap_share=pool.cheap_share,
        )

    async def _feed(self, event: object) -> None:
        actions = self._core.handle(event, time.monotonic())
        while actions:
            result = await self._perform(actions.pop(0))
            actions += self._core.handle(result, time.monotonic())

    async def _perform(self, action: object) -> object:
        match action:
            case LoadBook():
                return await self._load()
            case WriteBook():
                return await self._write(action)
            case SendOrder():
                return await self._send(action)
        raise TypeError(f"not an order action: {action!r}")

    @property
    def _book_key(self) -> str:
        return f"orders/{self._cfg.failure_domain}"

    async def _load(self) -> object:
        try:
            found = await self._client.get(self._book_key)
        except PlatformUnavailableError:
            return BookAccessFailed()
        if found is None:
            return BookLoaded(OrderBook(), 0)
        book = msgspec.convert(found.value, OrderBook)
        return BookLoaded(book, found.version)

    async def _write(self, action: WriteBook) -> object:
        try:
            version = await self._client.put(
                self._book_key,
                msgspec.to_builtins(action.book),
                expected_version=action.expected_version,
                write_id=uuid.uuid4().hex,
            )
        except PlatformConflictError:
            return BookWriteRejected()
        except PlatformUnavailableError:
            return BookAccessFailed()
        return BookWritten(version)

    async def _send(self, action: SendOrder) -> object:
        """Sends an order if the lease still has the order's fencing number.

        The lease is checked immediately before sending. If the platform checks
        no fencing numbers for orders, the lease must remain valid for a second
        margin. Returns the outcome as an event.
        """
        order = action.order
        extra_s = self._cfg.timing.lease_margin_s
        if self._cfg.orders_check_fencing:
            extra_s = 0.0
        if self._lease.fencing_with_margin(extra_s) != action.fencing:
            return OrderOutcomeUnknown(order.order_id)
        try:
            endpoint_id = await self._client.send_order(
                self._cfg.failure_domain, order, action.fencing
            )
        except PlatformUnavailableError as exc:
            log.warning(
                "the outcome of order {} is unknown: {}", order.order_id, exc
            )
            return OrderOutcomeUnknown(order.order_id)
        log.info(
            "response to order {} ({}): endpoint {!r}",
            order.order_id,
            order.kind,
            endpoint_id,
        )
        return OrderResponseReceived(order.order_id, endpoint_id)
