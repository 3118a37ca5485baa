"""Property test: at most one process considers itself the lease holder.

The state machine injects these faults: paused processes, lost and delayed
responses, writes that take effect although their response is lost, restarts,
and a slow store.
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
    LeaseCore,
    LeaseRead,
    LeaseTick,
    LeaseWriteFailed,
    LeaseWriteRejected,
    LeaseWritten,
    ReadLease,
    WriteLease,
)
from daisyhub.testing.proofs import find_failure, run_proof

# A holder uses its lease for 5 s after a renewal; others wait for 7 s.
# The machine advances the time by 4.9 s and 7.1 s, next to these limits.
TERM_S = 6.0
MARGIN_S = 1.0
PROCESSES = (0, 1)


class LeaseMachine(RuleBasedStateMachine):
    """Models two processes and one store, on a common clock."""

    core_class = LeaseCore

    @initialize()
    def start(self):
        self.now_s = 1000.0
        self.record, self.version = None, 0
        self.start_count = 0
        self.cores = [self.new_core(n) for n in PROCESSES]
        self.requests = {n: [] for n in PROCESSES}
        self.responses = {n: [] for n in PROCESSES}
        self.holders_by_fencing = {}

    def new_core(self, number):
        self.start_count += 1
        return self.core_class(
            f"p{number}/{self.start_count}", TERM_S, MARGIN_S
        )

    def feed(self, number, event):
        self.requests[number] += self.cores[number].handle(event, self.now_s)

    @rule(seconds=st.sampled_from([0.9, 2.0, 4.9, 7.1]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule(
        number=st.sampled_from(PROCESSES),
        step=st.sampled_from(
            ["exchange", "exchange", "exchange", "late", "late"]
            + [
                "tick",
                "send",
                "receive",
                "lose",
                "restart",
                "release",
                "stand_by",
            ]
        ),
    )
    def act(self, number, step):
        """Runs one step of one process, most often a full exchange."""
        steps = {
            "exchange": self.run_exchange,
            "tick": self.tick,
            "stand_by": self.stand_by,
            "send": self.execute_request,
            "late": self.run_delayed_exchange,
            "receive": self.receive_response,
            "lose": self.lose_response,
            "restart": self.restart,
            "release": self.release,
        }
        steps[step](number)

    def tick(self, number):
        self.feed(number, LeaseTick())

    def stand_by(self, number):
        """Ticks a process that isn't a candidate."""
        self.feed(number, LeaseTick(is_candidate=False))

    def run_exchange(self, number):
        """Ticks one process and delivers all responses without delay."""
        while self.responses[number]:
            self.receive_response(number)
        self.feed(number, LeaseTick())
        while self.requests[number]:
            self.execute_request(number)
            self.receive_response(number)

    def run_delayed_exchange(self, number):
        """Runs an exchange with late responses, while other processes act."""
        self.feed(number, LeaseTick())
        while self.requests[number]:
            self.execute_request(number)
            for other in PROCESSES:
                if other != number:
                    self.run_exchange(other)
            self.now_s += 4.9
            self.receive_response(number)

    def execute_request(self, number):
        if not self.requests[number]:
            return
        action = self.requests[number].pop(0)
        if isinstance(action, ReadLease):
            self.responses[number].append(LeaseRead(self.record, self.version))
            return
        assert isinstance(action, WriteLease)
        if action.expected_version != self.version:
            self.responses[number].append(LeaseWriteRejected(action.write_id))
            return
        self.version += 1
        self.record = action.record
        done = LeaseWritten(action.write_id, self.version)
        self.responses[number].append(done)

    def receive_response(self, number):
        if self.responses[number]:
            self.feed(number, self.responses[number].pop(0))

    def lose_response(self, number):
        if not self.responses[number]:
            return
        lost = self.responses[number].pop(0)
        write_id = getattr(lost, "write_id", 0)
        self.feed(number, LeaseWriteFailed(write_id))

    def restart(self, number):
        self.cores[number] = self.new_core(number)
        self.requests[number] = []
        self.responses[number] = []

    def release(self, number):
        """Releases the lease, writes the release and restarts the process."""
        self.cores[number].release()
        self.run_exchange(number)
        self.restart(number)

    @invariant()
    def at_most_one_holder(self):
        held = [
            (core.holder, core.fencing_if_held(self.now_s))
            for core in getattr(self, "cores", [])
            if core.fencing_if_held(self.now_s)
        ]
        assert len(held) <= 1, held
        for holder, fencing in held:
            known = self.holders_by_fencing.setdefault(fencing, holder)
            assert known == holder, (fencing, known, holder)


class CountsFromResponse(LeaseCore):
    """Broken: counts validity from the response, not from the request."""

    def _on_write_done(self, event, now_s):
        self._write_sent_at_s = now_s
        return super()._on_write_done(event, now_s)


class AcquiresEarly(LeaseCore):
    """Broken: acquires the lease before the term has passed."""

    def _is_free(self, now_s):
        record = self._observed_record
        return record is None or now_s - self._observed_at_s >= TERM_S / 2


class LeaseStateMachineTest(unittest.TestCase):
    def test_at_most_one_holder_at_any_time(self):
        run_proof(LeaseMachine, examples=300)

    def test_state_machine_detects_broken_cores(self):
        for broken in (CountsFromResponse, AcquiresEarly):
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (LeaseMachine,), {"core_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)
