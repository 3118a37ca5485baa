"""Property test: orders never exceed a pool's maximum number of endpoints.

The state machine injects these faults: a new holder at any step, paused
holders whose orders arrive late, lost responses to book writes and orders, a
lagging endpoint list, and simultaneous reclaims of all cheap endpoints.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from daisyhub.hosting import (
    BookAccessFailed,
    BookLoaded,
    BookWriteRejected,
    BookWritten,
    LoadBook,
    ObservedEndpoint,
    OrderBook,
    OrderCore,
    OrderOutcomeUnknown,
    OrderResponseReceived,
    OrderTick,
    PoolState,
    SendOrder,
    WriteBook,
)
from daisyhub.testing.proofs import find_failure, run_proof

MAX_ENDPOINTS = 5
STEPS = (
    "full_tick",
    "full_tick",
    "full_tick",
    "full_tick",
    "tick",
    "perform",
    "perform_lost",
    "kill",
)


class OrderMachine(RuleBasedStateMachine):
    """Models two processes, one order book and the platform's order API."""

    core_class = OrderCore
    checks_fencing = True

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.fencing = 0
        self.book, self.version = OrderBook(), 0
        self.cores = [self.core_class("d"), self.core_class("d")]
        self.fencing_by_process = [0, 0]
        self.actions = [[], []]
        self.live = {}
        self.leaving = set()
        self.lists = [()]
        self.accepted_orders = {}
        self.highest_fencing = 0
        self.load = 0.0

    def observed_endpoints(self):
        return tuple(
            ObservedEndpoint(
                endpoint_id=endpoint_id,
                cheap=cheap,
                is_leaving=endpoint_id in self.leaving,
                load=self.load,
            )
            for endpoint_id, cheap in sorted(self.live.items())
        )

    def pool_state(self):
        return PoolState(
            pool="p",
            endpoints=self.lists[0],
            min_endpoints=2,
            max_endpoints=MAX_ENDPOINTS,
            target_load=0.5,
            cheap_share=0.5,
        )

    @rule(load=st.sampled_from([16.0, 8.0, 0.0]))
    def change_load(self, load):
        self.load = load

    # Longer than the resend interval, or than the delays of the pool sizing.
    @rule(seconds=st.sampled_from([3.0, 70.0]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule()
    def list_catches_up(self):
        self.lists = [self.observed_endpoints()]

    @rule()
    def reclaim_cheap(self):
        self.leaving |= {e for e, cheap in self.live.items() if cheap}

    @rule()
    def leaving_end(self):
        for endpoint_id in self.leaving:
            self.live.pop(endpoint_id, None)
        self.leaving = set()

    @rule(number=st.sampled_from([0, 1]))
    def take_over(self, number):
        """Moves the lease while the other process has unfinished actions."""
        self.fencing += 1
        self.fencing_by_process[number] = self.fencing
        self.step(number, "full_tick")

    @rule(number=st.sampled_from([0, 1]), step=st.sampled_from(STEPS))
    def step(self, number, step):
        match step:
            case "full_tick":
                self.tick(number)
                while self.actions[number]:
                    self.perform(number, is_lost=False)
            case "tick":
                self.tick(number)
            case "perform":
                self.perform(number, is_lost=False)
            case "perform_lost":
                self.perform(number, is_lost=True)
            case "kill":
                self.cores[number] = self.core_class("d")
                self.actions[number] = []
                self.fencing_by_process[number] = 0

    def feed(self, number, event):
        self.actions[number] += self.cores[number].handle(event, self.now_s)

    def tick(self, number):
        self.feed(
            number,
            OrderTick(self.fencing_by_process[number], (self.pool_state(),)),
        )

    def perform(self, number, is_lost):
        if not self.actions[number]:
            return
        action = self.actions[number].pop(0)
        match action:
            case LoadBook():
                event = BookLoaded(self.book, self.version)
                self.feed(number, BookAccessFailed() if is_lost else event)
            case WriteBook():
                event = self.write_book(action)
                self.feed(number, BookAccessFailed() if is_lost else event)
            case SendOrder():
                event = self.execute_order(action)
                failed = OrderOutcomeUnknown(action.order.order_id)
                self.feed(number, failed if is_lost else event)

    def write_book(self, action):
        if action.expected_version != self.version:
            return BookWriteRejected()
        self.version += 1
        self.book = action.book
        return BookWritten(self.version)

    def execute_order(self, action):
        order = action.order
        known = self.accepted_orders.get(order.order_id)
        if known is not None:
            assert known == (order.kind, order.pool, order.cheap), known
            started = f"e-{order.order_id}"
            return OrderResponseReceived(
                order.order_id, order.endpoint_id or started
            )
        if self.checks_fencing and action.fencing < self.highest_fencing:
            return OrderResponseReceived(order.order_id, "")
        self.highest_fencing = max(self.highest_fencing, action.fencing)
        self.accepted_orders[order.order_id] = (
            order.kind,
            order.pool,
            order.cheap,
        )
        if order.kind == "stop":
            if order.endpoint_id in self.live:
                self.leaving.add(order.endpoint_id)
            return OrderResponseReceived(order.order_id, order.endpoint_id)
        started = f"e-{order.order_id}"
        self.live[started] = order.cheap
        return OrderResponseReceived(order.order_id, started)

    @invariant()
    def pool_within_maximum(self):
        assert len(getattr(self, "live", ())) <= MAX_ENDPOINTS, self.live

    def teardown(self):
        """Checks that without faults a holder reaches the target count."""
        if not hasattr(self, "live"):
            return
        self.load = 16.0
        self.leaving_end()
        self.take_over(0)
        for _ in range(60):
            self.now_s += 30.0
            self.list_catches_up()
            self.step(0, "full_tick")
        assert len(self.live) == MAX_ENDPOINTS, self.live


class UnfencedMachine(OrderMachine):
    """Models an order API that ignores fencing numbers."""

    checks_fencing = False


class DropsPendingOrders(OrderCore):
    """Broken: a new holder drops the pending orders."""

    def _on_loaded(self, event):
        empty = OrderBook(
            fencing=event.book.fencing, next_number=event.book.next_number
        )
        return super()._on_loaded(BookLoaded(empty, event.version))


class IgnoresListLag(OrderCore):
    """Broken: an order with a response counts as completed."""

    def _is_completed(self, order, listed, leaving, now_s):
        return self._has_response(order)


class OrderStateMachineTest(unittest.TestCase):
    def test_maximum_with_an_api_that_checks_fencing(self):
        run_proof(OrderMachine, examples=150)

    def test_maximum_with_an_api_that_ignores_fencing(self):
        run_proof(UnfencedMachine, examples=150)

    def test_state_machine_detects_broken_cores(self):
        for broken in (DropsPendingOrders, IgnoresListLag):
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (OrderMachine,), {"core_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)
