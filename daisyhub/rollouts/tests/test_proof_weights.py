"""Property test: one holder orders weight loads in stages, for all engines.

The lease is modelled by the guarantee that its own test checks: a fencing
number is granted only after the previous one has lapsed for a margin. Faults:
holders that freeze between the last check of the lease and the send, lost
responses, failed loads, restarts of engines, and engines that ignore fencing
numbers.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from daisyhub.rollouts import (
    EnginesListed,
    EngineView,
    OrderCompleted,
    OrderFailed,
    OrderNotSent,
    RolloutPolicy,
    VersionPublished,
    WeightCore,
    WeightTick,
)
from daisyhub.testing.proofs import find_failure, run_proof

HOLDERS = (0, 1)
TERM_S = 6.0
MARGIN_S = 1.0
MAX_CONCURRENT_LOADS = 2
# Pool "b" ignores fencing numbers.
ENGINES = ("a0", "a1", "a2", "b0", "b1")
POLICIES = {
    "a": RolloutPolicy(MAX_CONCURRENT_LOADS, True),
    "b": RolloutPolicy(MAX_CONCURRENT_LOADS, False),
}


class WeightMachine(RuleBasedStateMachine):
    """Two holders, five engines in two pools."""

    core_class = WeightCore
    rechecks_lease = True

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.cores = [self.core_class(MARGIN_S) for _ in HOLDERS]
        self.actions = {holder: [] for holder in HOLDERS}
        self.leases = dict.fromkeys(HOLDERS, (0, 0.0))
        self.granted, self.granted_until_s = 0, 0.0
        # Weight version, highest accepted fencing number, incarnation.
        self.engines = {name: [0, 0, 1] for name in ENGINES}
        self.newest = 1

    def fencing(self, holder, extra_s=0.0):
        """Returns the fencing number if the lease lasts `extra_s`, or 0."""
        number, until_s = self.leases[holder]
        return number if self.now_s + extra_s < until_s else 0

    def feed(self, holder, event):
        decided_fencing = self.fencing(holder)
        for order in self.cores[holder].handle(event, self.now_s):
            self.actions[holder].append((order, decided_fencing))
        for pool in POLICIES:
            loading = [
                o for o, _ in self.actions[holder] if o.endpoint_id[0] == pool
            ]
            assert len(loading) <= MAX_CONCURRENT_LOADS, loading

    def list_engines(self, holder):
        views = tuple(
            EngineView(name, name[0], engine[2], engine[0])
            for name, engine in self.engines.items()
        )
        self.feed(holder, EnginesListed(views, POLICIES))
        self.feed(holder, VersionPublished("a", self.newest))
        self.feed(holder, VersionPublished("b", self.newest))

    @rule(holder=st.sampled_from(HOLDERS))
    def take_turn(self, holder):
        """Renews or acquires the lease if allowed, then ticks the core."""
        is_own = self.leases[holder][0] == self.granted
        if is_own or self.now_s >= self.granted_until_s + MARGIN_S:
            self.granted += not is_own or not self.granted
            self.granted_until_s = self.now_s + TERM_S - MARGIN_S
            self.leases[holder] = (self.granted, self.granted_until_s)
        self.list_engines(holder)
        self.feed(holder, WeightTick(bool(self.fencing(holder))))

    @rule(seconds=st.sampled_from([0.5, 3.0, 6.5]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule()
    def publish(self):
        self.newest += 1

    @rule(name=st.sampled_from(ENGINES))
    def restart_engine(self, name):
        self.engines[name] = [0, 0, self.engines[name][2] + 1]

    @rule(
        holder=st.sampled_from(HOLDERS),
        freeze_s=st.sampled_from([0.0, 0.0, 1.8, 9.0]),
        outcome=st.sampled_from(["done", "done", "lost", "failed"]),
        wait_s=st.sampled_from([0.0, 0.0, 4.6]),
        index=st.integers(0, 3),
    )
    def send(self, holder, freeze_s, outcome, wait_s=0.0, index=0):
        """Waits, checks the lease, freezes and sends; the other holder acts."""
        if not self.actions[holder]:
            return
        self.now_s += wait_s
        index %= len(self.actions[holder])
        order, decided_fencing = self.actions[holder].pop(index)
        number = decided_fencing
        if self.rechecks_lease:
            number = self.fencing(holder, order.extra_margin_s)
        if not number:
            self.feed(holder, OrderNotSent(order.attempt))
            return
        if freeze_s:
            self.now_s += freeze_s
            self.take_turn(1 - holder)
        is_done = self.execute_order(
            order, number, freeze_s, outcome != "failed"
        )
        if is_done and outcome == "done":
            self.feed(holder, OrderCompleted(order.attempt))
        else:
            self.feed(holder, OrderFailed(order.attempt))

    def execute_order(self, order, number, freeze_s, should_load):
        """Executes an order at its engine; checks the sender's lease."""
        version, highest, incarnation = self.engines[order.endpoint_id]
        checks_fencing = order.endpoint_id[0] == "a"
        if checks_fencing and number < highest:
            return False
        # The margin of the lease and the extra margin cover a short freeze.
        is_covered = freeze_s < 2 * MARGIN_S and not checks_fencing
        if is_covered or not freeze_s:
            assert number == self.granted, (
                "order of a stale holder",
                order,
                number,
            )
        if should_load:
            highest = max(highest, number)
            version = max(version, order.version)
            self.engines[order.endpoint_id] = [version, highest, incarnation]
        return should_load

    def teardown(self):
        """Ends all faults; then all engines must load the newest weights."""
        if not hasattr(self, "cores"):
            return
        self.now_s += 2 * TERM_S
        for _ in range(40):
            self.now_s += 1.0
            self.take_turn(0)
            while self.actions[0]:
                self.send(0, 0.0, "done")
        versions = {engine[0] for engine in self.engines.values()}
        assert versions == {self.newest}, versions


class IgnoresExtraMargin(WeightCore):
    """Broken: no extra margin for engines that ignore fencing numbers."""

    def __init__(self, extra_margin_s):
        super().__init__(0.0)


class NeverRetries(WeightCore):
    """Broken: a failed load isn't retried."""

    def _on_failed(self, event, now_s):
        pass


class WeightProof(unittest.TestCase):
    def test_orders_come_from_one_holder_and_reach_all_engines(self):
        run_proof(WeightMachine, examples=300)

    def test_broken_weight_cores_are_detected(self):
        broken = [
            {"core_class": IgnoresExtraMargin},
            {"core_class": NeverRetries},
        ]
        # The third one reads the fencing number at the decision, not the send.
        for change in [*broken, {"rechecks_lease": False}]:
            with self.subTest(str(change)):
                machine = type("Machine", (WeightMachine,), change)
                self.assertIsInstance(find_failure(machine), AssertionError)
