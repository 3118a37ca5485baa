"""Endpoint orders of one failure domain, decided by a deterministic core.

The holder of the domain's lease orders endpoints to start and to stop. Every
order is written to the order book, one object moved by conditional update,
before it is sent. A new holder first writes the book under its own fencing
number, which stops an earlier holder from adding orders, and then sends the
pending ones again under the same ids. So two holders can only ever send the
same orders, and the budget holds across a take-over.
"""

import dataclasses
from typing import Literal

import msgspec

from daisyhub.base import Core
from daisyhub.hosting._pool_sizing import PoolSizer, PoolState

__all__ = [
    "BookAccessFailed",
    "BookLoaded",
    "BookWriteRefused",
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

_RESEND_S = 2.0
_SETTLE_S = 120.0


class EndpointOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to the platform.

    Attributes:
        order_id: Unique; the same order may be sent again under it.
        kind: `start` a new endpoint, or `stop` the one named.
        pool: The endpoint pool.
        cheap: Whether the new endpoint may be reclaimed at seconds' notice.
        endpoint_id: The endpoint to stop; of a start, the endpoint that the
            platform named, once it has answered.
    """

    order_id: str
    kind: Literal["start", "stop"]
    pool: str
    cheap: bool = False
    endpoint_id: str = ""


class OrderBook(msgspec.Struct, frozen=True, kw_only=True):
    """The order book's object.

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
    """Time has passed; `fencing` is 0 unless the lease is surely held."""

    fencing: int
    demands: tuple[PoolState, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BookLoaded:
    """The book was read; version 0 if there is none."""

    book: OrderBook
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class BookWritten:
    """The last write took effect as `version`."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class BookWriteRefused:
    """Another holder has written the book."""


@dataclasses.dataclass(frozen=True, slots=True)
class BookAccessFailed:
    """A read failed, or the effect of a write is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResponseReceived:
    """The platform has taken the order, or refused it for good.

    Attributes:
        order_id: The order.
        endpoint_id: The endpoint that it starts or stops; empty if refused.
    """

    order_id: str
    endpoint_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcomeUnknown:
    """Whether the order took effect is unknown."""

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
    """Action: check the lease, and as the last step send the order."""

    order: EndpointOrder
    fencing: int


class OrderCore(Core):
    """Decides the orders of one failure domain while its lease is held.

    Args:
        domain: The failure domain; part of order ids.
    """

    def __init__(self, domain: str):
        self.domain = domain
        self._fencing = 0
        self._book: OrderBook | None = None
        self._version = 0
        self._writing: OrderBook | None = None
        self._is_loading = False
        self._sent_s: dict[str, float] = {}
        self._answers: dict[str, str] = {}
        self._answered_s: dict[str, float] = {}
        self._sizers: dict[str, PoolSizer] = {}

    @property
    def next_wakeup_s(self) -> float | None:
        """None: the shell ticks at its own interval."""
        return None

    @property
    def pending(self) -> tuple[EndpointOrder, ...]:
        """The orders in the book that may not have taken effect yet."""
        return self._book.pending if self._book else ()

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one order event; returns order actions."""
        match event:
            case OrderTick():
                return self._on_tick(event, now_s)
            case BookLoaded():
                return self._on_loaded(event)
            case BookWritten():
                return self._on_written(event, now_s)
            case BookWriteRefused() | BookAccessFailed():
                self._forget()
                return []
            case OrderResponseReceived():
                self._answers[event.order_id] = event.endpoint_id
                return []
            case OrderOutcomeUnknown():
                return []
        raise TypeError(f"not an order event: {event!r}")

    def _forget(self) -> None:
        """Starts over with reading the book; what it says is in doubt."""
        self._book = None
        self._writing = None
        self._is_loading = False
        self._sent_s.clear()

    def _on_tick(self, event: OrderTick, now_s: float) -> list[object]:
        if event.fencing != self._fencing:
            self._forget()
            self._answers.clear()
            self._fencing = event.fencing
        for demand in event.demands:
            sizer = self._sizers.setdefault(demand.pool, PoolSizer())
            sizer.observe(demand, now_s)
        if not self._fencing or self._is_loading or self._writing:
            return []
        if self._book is None:
            self._is_loading = True
            return [LoadBook()]
        pending = self._unsettled(event.demands, now_s)
        new = self._new_orders(event.demands, pending, now_s)
        if new or pending != self._book.pending:
            number = self._book.next_number + len(new)
            return [self._write((*pending, *new), number)]
        return self._send_pending(now_s)

    def _unsettled(self, demands, now_s: float) -> tuple[EndpointOrder, ...]:
        """Returns the orders whose effect isn't seen in the list yet.

        An order that was taken counts until the platform's lagging list
        shows it, so that nothing is ordered twice meanwhile.
        """
        seen = {s.endpoint_id for d in demands for s in d.endpoints}
        gone = {
            s.endpoint_id for d in demands for s in d.endpoints if s.is_leaving
        }
        orders = [self._with_answer(order) for order in self._book.pending]
        return tuple(
            order
            for order in orders
            if not self._is_settled(order, seen, gone, now_s)
        )

    def _with_answer(self, order: EndpointOrder) -> EndpointOrder:
        started = self._answers.get(order.order_id)
        if order.kind == "stop" or not started:
            return order
        return msgspec.structs.replace(order, endpoint_id=started)

    def _is_settled(self, order: EndpointOrder, seen, gone, now_s) -> bool:
        answer = self._answers.get(order.order_id)
        if answer == "":
            return True
        if not self._is_answered(order):
            return False
        shown_s = self._answered_s.setdefault(order.order_id, now_s)
        if now_s - shown_s >= _SETTLE_S:
            return True
        if order.kind == "start":
            return order.endpoint_id in seen
        return order.endpoint_id not in seen or order.endpoint_id in gone

    def _is_answered(self, order: EndpointOrder) -> bool:
        if order.kind == "start" and order.endpoint_id:
            return True
        return order.order_id in self._answers

    def _on_loaded(self, event: BookLoaded) -> list[object]:
        if not self._is_loading:
            return []
        self._is_loading = False
        if not self._fencing or event.book.fencing > self._fencing:
            return []
        self._book = event.book
        self._version = event.version
        if event.book.fencing == self._fencing:
            return []
        return [self._write(event.book.pending, event.book.next_number)]

    def _write(self, pending, next_number: int) -> WriteBook:
        self._writing = OrderBook(
            fencing=self._fencing, next_number=next_number, pending=pending
        )
        return WriteBook(self._writing, self._version)

    def _on_written(self, event: BookWritten, now_s: float) -> list[object]:
        if self._writing is None:
            return []
        self._book = self._writing
        self._version = event.version
        self._writing = None
        return self._send_pending(now_s)

    def _send_pending(self, now_s: float) -> list[object]:
        """Sends orders that weren't sent yet, or not answered for a while."""
        actions = []
        for order in self._book.pending:
            sent_s = self._sent_s.get(order.order_id)
            if self._is_answered(order):
                continue
            if sent_s is not None and now_s - sent_s < _RESEND_S:
                continue
            self._sent_s[order.order_id] = now_s
            actions.append(SendOrder(order, self._fencing))
        return actions

    def _new_orders(self, demands, pending, now_s) -> list[EndpointOrder]:
        orders = []
        for demand in demands:
            own = [order for order in pending if order.pool == demand.pool]
            sizing = self._sizers[demand.pool].decide(
                demand,
                starting=tuple(o.cheap for o in own if o.kind == "start"),
                stopping=frozenset(
                    o.endpoint_id for o in own if o.kind == "stop"
                ),
                now_s=now_s,
            )
            orders += self._orders_of(demand.pool, sizing, len(orders))
        return orders

    def _orders_of(self, pool, sizing, taken: int) -> list[EndpointOrder]:
        kinds = [("start", True, "")] * sizing.start_cheap
        kinds += [("start", False, "")] * sizing.start_regular
        kinds += [("stop", False, name) for name in sizing.stop]
        first = self._book.next_number + taken
        return [
            EndpointOrder(
                order_id=f"{self.domain}-{first + place}",
                kind=kind,
                pool=pool,
                cheap=cheap,
                endpoint_id=endpoint_id,
            )
            for place, (kind, cheap, endpoint_id) in enumerate(kinds)
        ]
