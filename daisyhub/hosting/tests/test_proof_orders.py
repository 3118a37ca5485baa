"""Proof: orders of two holders never exceed a pool's budget.

Faults: take-overs at any step, frozen holders whose orders arrive late, book
writes and orders whose answers are lost, a lagging endpoint list, and cheap
endpoints that are reclaimed all at once.
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
    BookWriteRefused,
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

BUDGET = 5
STEPS = ("turn", "turn", "turn", "turn", "tick", "act", "act_lost", "kill")


class OrderMachine(RuleBasedStateMachine):
    """Two processes, one book, one ordering interface."""

    core_class = OrderCore
    checks_fencing = True

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.fencing = 0
        self.book, self.version = OrderBook(), 0
        self.cores = [self.core_class("d"), self.core_class("d")]
        self.held = [0, 0]
        self.actions = [[], []]
        self.live = {}
        self.leaving = set()
        self.lists = [()]
        self.taken = {}
        self.highest_fencing = 0
        self.load = 0.0

    def sights(self):
        return tuple(
            ObservedEndpoint(
                endpoint_id=endpoint_id,
                cheap=cheap,
                is_leaving=endpoint_id in self.leaving,
                load=self.load,
            )
            for endpoint_id, cheap in sorted(self.live.items())
        )

    def demand(self):
        return PoolState(
            pool="p",
            endpoints=self.lists[0],
            min_endpoints=2,
            max_endpoints=BUDGET,
            target_load=0.5,
            cheap_share=0.5,
        )

    @rule(load=st.sampled_from([16.0, 8.0, 0.0]))
    def change_load(self, load):
        self.load = load

    @rule(seconds=st.sampled_from([3.0, 70.0]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule()
    def list_catches_up(self):
        self.lists = [self.sights()]

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
        """The lease moves; the other still has actions in hand."""
        self.fencing += 1
        self.held[number] = self.fencing
        self.step(number, "turn")

    @rule(number=st.sampled_from([0, 1]), step=st.sampled_from(STEPS))
    def step(self, number, step):
        match step:
            case "turn":
                self.tick(number)
                while self.actions[number]:
                    self.act(number, lost=False)
            case "tick":
                self.tick(number)
            case "act":
                self.act(number, lost=False)
            case "act_lost":
                self.act(number, lost=True)
            case "kill":
                self.cores[number] = self.core_class("d")
                self.actions[number] = []
                self.held[number] = 0

    def feed(self, number, event):
        self.actions[number] += self.cores[number].handle(event, self.now_s)

    def tick(self, number):
        self.feed(number, OrderTick(self.held[number], (self.demand(),)))

    def act(self, number, lost):
        if not self.actions[number]:
            return
        action = self.actions[number].pop(0)
        match action:
            case LoadBook():
                event = BookLoaded(self.book, self.version)
                self.feed(number, BookAccessFailed() if lost else event)
            case WriteBook():
                event = self.write(action)
                self.feed(number, BookAccessFailed() if lost else event)
            case SendOrder():
                event = self.order(action)
                failed = OrderOutcomeUnknown(action.order.order_id)
                self.feed(number, failed if lost else event)

    def write(self, action):
        if action.expected_version != self.version:
            return BookWriteRefused()
        self.version += 1
        self.book = action.book
        return BookWritten(self.version)

    def order(self, action):
        order = action.order
        known = self.taken.get(order.order_id)
        if known is not None:
            assert known == (order.kind, order.pool, order.cheap), known
            started = f"e-{order.order_id}"
            return OrderResponseReceived(
                order.order_id, order.endpoint_id or started
            )
        if self.checks_fencing and action.fencing < self.highest_fencing:
            return OrderResponseReceived(order.order_id, "")
        self.highest_fencing = max(self.highest_fencing, action.fencing)
        self.taken[order.order_id] = (order.kind, order.pool, order.cheap)
        if order.kind == "stop":
            if order.endpoint_id in self.live:
                self.leaving.add(order.endpoint_id)
            return OrderResponseReceived(order.order_id, order.endpoint_id)
        started = f"e-{order.order_id}"
        self.live[started] = order.cheap
        return OrderResponseReceived(order.order_id, started)

    @invariant()
    def the_budget_holds(self):
        assert len(getattr(self, "live", ())) <= BUDGET, self.live

    def teardown(self):
        """Once faults end, one holder reaches what the load calls for."""
        if not hasattr(self, "live"):
            return
        self.load = 16.0
        self.leaving_end()
        self.take_over(0)
        for _ in range(60):
            self.now_s += 30.0
            self.list_catches_up()
            self.step(0, "turn")
        assert len(self.live) == BUDGET, self.live


class UnfencedMachine(OrderMachine):
    """The interface ignores fencing numbers."""

    checks_fencing = False


class ForgetsPending(OrderCore):
    """Broken: a new holder starts with an empty book."""

    def _on_loaded(self, event):
        empty = OrderBook(
            fencing=event.book.fencing, next_number=event.book.next_number
        )
        return super()._on_loaded(BookLoaded(empty, event.version))


class TrustsTheList(OrderCore):
    """Broken: an order that was answered no longer counts."""

    def _is_settled(self, order, seen, gone, now_s):
        return self._is_answered(order)


class OrderProof(unittest.TestCase):
    def test_the_budget_holds_at_an_interface_that_checks_fencing(self):
        run_proof(OrderMachine, examples=150)

    def test_the_budget_holds_at_an_interface_that_ignores_fencing(self):
        run_proof(UnfencedMachine, examples=150)

    def test_the_machine_catches_broken_cores(self):
        for broken in (ForgetsPending, TrustsTheList):
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (OrderMachine,), {"core_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)
