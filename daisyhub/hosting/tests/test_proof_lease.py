"""Proof: at no time do two processes believe that they hold a lease.

Faults: frozen processes, lost and late answers, writes that took effect
unknown to the writer, restarts, and a slow store.
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
    LeaseWriteRefused,
    LeaseWritten,
    ReadLease,
    WriteLease,
)
from daisyhub.testing.proofs import find_failure, run_proof

TERM_S = 6.0
MARGIN_S = 1.0
PROCESSES = (0, 1)


class LeaseMachine(RuleBasedStateMachine):
    """Three processes, one store, one clock rate."""

    core_class = LeaseCore

    @initialize()
    def start(self):
        self.now_s = 1000.0
        self.record, self.version = None, 0
        self.starts = 0
        self.cores = [self.new_core(n) for n in PROCESSES]
        self.sent = {n: [] for n in PROCESSES}
        self.answers = {n: [] for n in PROCESSES}
        self.holders_by_fencing = {}

    def new_core(self, number):
        self.starts += 1
        return self.core_class(f"p{number}/{self.starts}", TERM_S, MARGIN_S)

    def feed(self, number, event):
        self.sent[number] += self.cores[number].handle(event, self.now_s)

    @rule(seconds=st.sampled_from([0.9, 2.0, 4.9, 7.1]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule(
        number=st.sampled_from(PROCESSES),
        step=st.sampled_from(
            ["turn", "turn", "turn", "late", "late"]
            + ["tick", "send", "hear", "lose", "restart", "leave", "stand_by"]
        ),
    )
    def act(self, number, step):
        """One process takes one step; most often a whole turn."""
        steps = {
            "turn": self.take_turn,
            "tick": self.tick,
            "stand_by": self.stand_by,
            "send": self.reach_store,
            "late": self.take_late_turn,
            "hear": self.hear,
            "lose": self.lose_answer,
            "restart": self.restart,
            "leave": self.release,
        }
        steps[step](number)

    def tick(self, number):
        self.feed(number, LeaseTick())

    def stand_by(self, number):
        """A tick of a process that isn't a candidate now."""
        self.feed(number, LeaseTick(is_candidate=False))

    def take_turn(self, number):
        """One process ticks and hears all answers at once."""
        while self.answers[number]:
            self.hear(number)
        self.feed(number, LeaseTick())
        while self.sent[number]:
            self.reach_store(number)
            self.hear(number)

    def take_late_turn(self, number):
        """A turn whose last answer comes late, others acting meanwhile."""
        self.feed(number, LeaseTick())
        while self.sent[number]:
            self.reach_store(number)
            for other in PROCESSES:
                if other != number:
                    self.take_turn(other)
            self.now_s += 4.9
            self.hear(number)

    def reach_store(self, number):
        if not self.sent[number]:
            return
        action = self.sent[number].pop(0)
        if isinstance(action, ReadLease):
            self.answers[number].append(LeaseRead(self.record, self.version))
            return
        assert isinstance(action, WriteLease)
        if action.expected_version != self.version:
            self.answers[number].append(LeaseWriteRefused(action.write_id))
            return
        self.version += 1
        self.record = action.record
        done = LeaseWritten(action.write_id, self.version)
        self.answers[number].append(done)

    def hear(self, number):
        if self.answers[number]:
            self.feed(number, self.answers[number].pop(0))

    def lose_answer(self, number):
        if not self.answers[number]:
            return
        lost = self.answers[number].pop(0)
        write_id = getattr(lost, "write_id", 0)
        self.feed(number, LeaseWriteFailed(write_id))

    def restart(self, number):
        self.cores[number] = self.new_core(number)
        self.sent[number] = []
        self.answers[number] = []

    def release(self, number):
        """Gives the lease up, tells the store, and starts anew."""
        self.cores[number].release()
        self.take_turn(number)
        self.restart(number)

    @invariant()
    def at_most_one_holds(self):
        held = [
            (core.holder, core.fencing_if_held(self.now_s))
            for core in getattr(self, "cores", [])
            if core.fencing_if_held(self.now_s)
        ]
        assert len(held) <= 1, held
        for holder, fencing in held:
            known = self.holders_by_fencing.setdefault(fencing, holder)
            assert known == holder, (fencing, known, holder)


class CountsFromAnswer(LeaseCore):
    """Broken: validity counts from the answer, not from the request."""

    def _on_write_done(self, event, now_s):
        self._write_sent_s = now_s
        return super()._on_write_done(event, now_s)


class TakesEarly(LeaseCore):
    """Broken: a successor doesn't wait out the term."""

    def _is_free(self, now_s):
        record = self._seen_record
        return record is None or now_s - self._seen_since_s >= TERM_S / 2


class LeaseProof(unittest.TestCase):
    def test_one_holder_at_any_time(self):
        run_proof(LeaseMachine, examples=300)

    def test_the_machine_catches_broken_leases(self):
        for broken in (CountsFromAnswer, TakesEarly):
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (LeaseMachine,), {"core_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)
