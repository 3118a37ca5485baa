"""Deterministic core for the endpoint orders of one failure domain.

The holder of the domain's lease orders endpoints to start and to stop. Every
order is written to the order book, one conditionally updated object, before
it is sent. A new holder first writes the book with its own fencing number,
which prevents an earlier holder from adding orders, and then resends the
pending orders with the same ids. Two holders can therefore only send the same
orders, and no pool exceeds its maximum after a change of holder.
"""

import dataclasses
from typing import Literal

import msgspec

from daisyhub.base import Core
from daisyhub.hosting._pool_sizing import PoolSizer, PoolState

__all__ = [
    "BookAccessFailed",
    "BookLoaded",
    "BookWriteRejected",
    "BookWritten",
    "EndpointOrder",
    "LoadBook",
    "OrderResponseReceived",
    "OrderBook",
    "OrderCore",
    "OrderOutcomeUnknown",
    "OrderTick",
    "SendOrder",
    "WriteBook",
]

_RESEND_INTERVAL_S = 2.0
# An answered order counts as completed after this time, even if the platform's
# list doesn't show its effect.
_LISTING_TIMEOUT_S = 120.0


class EndpointOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to the platform.

    Attributes:
        order_id: Unique id; makes repeated sends idempotent.
        kind: `start` for a new endpoint, `stop` for `endpoint_id`.
        pool: The endpoint pool.
        cheap: Whether the platform may reclaim the new endpoint at a few
            seconds' notice.
        endpoint_id: The endpoint to stop; for a start, the new endpoint from
            the platform's response, empty before.
    """

    order_id: str
    kind: Literal["start", "stop"]
    pool: str
    cheap: bool = False
    endpoint_id: str = ""


class OrderBook(msgspec.Struct, frozen=True, kw_only=True):
    """The stored order book.

    Attributes:
        fencing: Fencing number of the holder that wrote it.
        next_number: Number of the next order.
        pending: Orders that may not have taken effect yet.
    """

    fencing: int = 0
    next_number: int = 1
    pending: tuple[EndpointOrder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderTick:
    """Event: time has passed; `fencing` is 0 if the lease may have expired."""

    fencing: int
    pool_states: tuple[PoolState, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BookLoaded:
    """Event: the book was read; version 0 if it doesn't exist."""

    book: OrderBook
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class BookWritten:
    """Event: the last write created `version`."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class BookWriteRejected:
    """Event: the book wasn't written, as it is at another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class BookAccessFailed:
    """Event: a read failed, or the outcome of a write is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResponseReceived:
    """Event: the platform accepted the order or refused it permanently.

    Attributes:
        order_id: The order.
        endpoint_id: The endpoint that it starts or stops; empty if refused.
    """

    order_id: str
    endpoint_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcomeUnknown:
    """Event: the order wasn't sent, or it is unknown if it took effect."""

    order_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBook:
    """Action: read the book."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBook:
    """Action: write the book if it is at `expected_version`."""

    book: OrderBook
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: send the order, after a check that the lease is still held."""

    order: EndpointOrder
    fencing: int


class OrderCore(Core):
    """Decides the orders of one failure domain while its lease is held.

    Args:
        domain: The failure domain; prefix of order ids.
    """

    def __init__(self, domain: str):
        self.domain = domain
        self._fencing = 0
        self._book: OrderBook | None = None
        self._version = 0
        self._book_in_write: OrderBook | None = None
        self._is_loading = False
        self._sent_at_s: dict[str, float] = {}
        self._responses: dict[str, str] = {}
        self._response_at_s: dict[str, float] = {}
        self._sizers: dict[str, PoolSizer] = {}

    @property
    def next_wakeup_s(self) -> float | None:
        """None: the caller sends `OrderTick` at a fixed interval."""
        return None

    @property
    def pending(self) -> tuple[EndpointOrder, ...]:
        """The orders in the book that may not have taken effect yet."""
        return self._book.pending if self._book else ()

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; returns the actions to perform."""
        match event:
            case OrderTick():
                return self._on_tick(event, now_s)
            case BookLoaded():
                return self._on_loaded(event)
            case BookWritten():
                return self._on_written(event, now_s)
            case BookWriteRejected() | BookAccessFailed():
                self._reset()
                return []
            case OrderResponseReceived():
                self._responses[event.order_id] = event.endpoint_id
                return []
            case OrderOutcomeUnknown():
                return []
        raise TypeError(f"not an order event: {event!r}")

    def _reset(self) -> None:
        """Discards the cached book, which may be stale, so it is read again."""
        self._book = None
        self._book_in_write = None
        self._is_loading = False
        self._sent_at_s.clear()

    def _on_tick(self, event: OrderTick, now_s: float) -> list[object]:
        if event.fencing != self._fencing:
            self._reset()
            self._responses.clear()
            self._fencing = event.fencing
        for pool_state in event.pool_states:
            sizer = self._sizers.setdefault(pool_state.pool, PoolSizer())
            sizer.observe(pool_state, now_s)
        if not self._fencing or self._is_loading or self._book_in_write:
            return []
        if self._book is None:
            self._is_loading = True
            return [LoadBook()]
        pending = self._uncompleted_orders(event.pool_states, now_s)
        new = self._new_orders(event.pool_states, pending, now_s)
        if new or pending != self._book.pending:
            number = self._book.next_number + len(new)
            return [self._write((*pending, *new), number)]
        return self._send_pending(now_s)

    def _uncompleted_orders(
        self, pool_states, now_s: float
    ) -> tuple[EndpointOrder, ...]:
        """Returns the orders whose effect isn't listed yet.

        An accepted order stays pending until the platform's lagging list
        shows its effect, or until a timeout, so that no endpoint is ordered
        twice.
        """
        listed = {e.endpoint_id for p in pool_states for e in p.endpoints}
        leaving = {
            e.endpoint_id
            for p in pool_states
            for e in p.endpoints
            if e.is_leaving
        }
        orders = [self._with_endpoint_id(order) for order in self._book.pending]
        return tuple(
            order
            for order in orders
            if not self._is_completed(order, listed, leaving, now_s)
        )

    def _with_endpoint_id(self, order: EndpointOrder) -> EndpointOrder:
        endpoint_id = self._responses.get(order.order_id)
        if order.kind == "stop" or not endpoint_id:
            return order
        return msgspec.structs.replace(order, endpoint_id=endpoint_id)

    def _is_completed(
        self, order: EndpointOrder, listed, leaving, now_s
    ) -> bool:
        endpoint_id = self._responses.get(order.order_id)
        # An empty id is a permanent refusal, None is no response.
        if endpoint_id == "":
            return True
        if not self._has_response(order):
            return False
        response_at_s = self._response_at_s.setdefault(order.order_id, now_s)
        if now_s - response_at_s >= _LISTING_TIMEOUT_S:
            return True
        if order.kind == "start":
            return order.endpoint_id in listed
        return order.endpoint_id not in listed or order.endpoint_id in leaving

    def _has_response(self, order: EndpointOrder) -> bool:
        """Whether the platform responded, to this or an earlier holder."""
        if order.kind == "start" and order.endpoint_id:
            return True
        return order.order_id in self._responses

    def _on_loaded(self, event: BookLoaded) -> list[object]:
        if not self._is_loading:
            return []
        self._is_loading = False
        # A higher fencing number is that of a later holder.
        if not self._fencing or event.book.fencing > self._fencing:
            return []
        self._book = event.book
        self._version = event.version
        if event.book.fencing == self._fencing:
            return []
        return [self._write(event.book.pending, event.book.next_number)]

    def _write(self, pending, next_number: int) -> WriteBook:
        self._book_in_write = OrderBook(
            fencing=self._fencing, next_number=next_number, pending=pending
        )
        return WriteBook(self._book_in_write, self._version)

    def _on_written(self, event: BookWritten, now_s: float) -> list[object]:
        if self._book_in_write is None:
            return []
        self._book = self._book_in_write
        self._version = event.version
        self._book_in_write = None
        return self._send_pending(now_s)

    def _send_pending(self, now_s: float) -> list[object]:
        """Sends new orders, and resends orders without a response."""
        actions = []
        for order in self._book.pending:
            sent_at_s = self._sent_at_s.get(order.order_id)
            if self._has_response(order):
                continue
            if sent_at_s is not None and now_s - sent_at_s < _RESEND_INTERVAL_S:
                continue
            self._sent_at_s[order.order_id] = now_s
            actions.append(SendOrder(order, self._fencing))
        return actions

    def _new_orders(self, pool_states, pending, now_s) -> list[EndpointOrder]:
        orders = []
        for pool_state in pool_states:
            pool_orders = [
                order for order in pending if order.pool == pool_state.pool
            ]
            sizing = self._sizers[pool_state.pool].decide(
                pool_state,
                starting=tuple(
                    o.cheap for o in pool_orders if o.kind == "start"
                ),
                stopping=frozenset(
                    o.endpoint_id for o in pool_orders if o.kind == "stop"
                ),
                now_s=now_s,
            )
            orders += self._create_orders(pool_state.pool, sizing, len(orders))
        return orders

    def _create_orders(self, pool, sizing, offset: int) -> list[EndpointOrder]:
        kinds = [("start", True, "")] * sizing.start_cheap
        kinds += [("start", False, "")] * sizing.start_regular
        kinds += [("stop", False, name) for name in sizing.stop]
        first = self._book.next_number + offset
        return [
            EndpointOrder(
                order_id=f"{self.domain}-{first + index}",
                kind=kind,
                pool=pool,
                cheap=cheap,
                endpoint_id=endpoint_id,
            )
            for index, (kind, cheap, endpoint_id) in enumerate(kinds)
        ]
