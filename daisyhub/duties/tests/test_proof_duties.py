"""Proof: numbers are one holder's, and holders don't take turns.

Faults: lost and late answers, writes that take effect unknown to the writer,
processes that are frozen, killed and started anew, daemons that don't hear
each other, a receiver's refusal at any moment.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from daisyhub.duties import (
    DutyCallFailed,
    DutyCore,
    DutyFound,
    DutyTick,
    FencingRejected,
    ReadDuty,
    WriteDuty,
)
from daisyhub.testing.proofs import find_failure, run_proof

TERM_S = 3.0
DAEMONS = (0, 1, 2)


class DutyMachine(RuleBasedStateMachine):
    """Three daemons, one store, receivers that note who acts."""

    core_class = DutyCore
    is_checked = True

    @initialize()
    def start(self):
        self.now_s = 1000.0
        self.record, self.revision = None, 0
        self.starts = 0
        self.cores = [self.new_core(n) for n in DAEMONS]
        self.waiting = {n: None for n in DAEMONS}
        self.late = []
        self.holder_of = {}
        self.acts = []
        self.highest = 0
        # A daemon that was started or stopped is out of touch for a while;
        # the order of its acts isn't judged then.
        self.touched_s = dict.fromkeys(DAEMONS, 0.0)

    def new_core(self, number):
        self.starts += 1
        process = f"d{number}/{self.starts}"
        return self.core_class(process, TERM_S, self.is_checked)

    @rule(seconds=st.sampled_from([0.2, 0.2, 0.5, 1.1, 3.5]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule(
        number=st.sampled_from(DAEMONS),
        is_first=st.booleans(),
        hears=st.booleans(),
        has_lost_peers=st.booleans(),
    )
    def tick(self, number, is_first, hears, has_lost_peers):
        if self.waiting[number] is not None:
            return
        tick = DutyTick(
            is_first=is_first,
            is_holder_live=hears,
            has_lost_peers=has_lost_peers,
        )
        actions = self.cores[number].handle(tick, self.now_s)
        if actions:
            self.waiting[number] = actions[0]

    @rule(
        number=st.sampled_from(DAEMONS),
        fate=st.sampled_from(["good", "good", "good", "lost", "late", "fail"]),
    )
    def reach_store(self, number, fate):
        action, self.waiting[number] = self.waiting[number], None
        if action is None:
            return
        event = DutyCallFailed()
        if fate == "late" and isinstance(action, WriteDuty):
            self.late.append(action)
        if fate in ("good", "lost"):
            found = self.carry_out(action)
            event = found if fate == "good" else event
        self.cores[number].handle(event, self.now_s)

    @rule(number=st.sampled_from(DAEMONS), hears=st.booleans())
    def take_turn(self, number, hears):
        """A daemon does all that it can at one time, then acts."""
        for _ in range(3):
            self.tick(number, True, hears, False)
            self.reach_store(number, "good")
        self.act(number)

    @rule()
    def late_write_lands(self):
        if self.late:
            self.carry_out(self.late.pop(0))

    def carry_out(self, action):
        is_fresh = isinstance(action, WriteDuty) and (
            action.revision == self.revision
        )
        if is_fresh:
            self.record = action.record
            self.revision += 1
        assert isinstance(action, ReadDuty | WriteDuty)
        return DutyFound(self.record, self.revision)

    @rule(number=st.sampled_from(DAEMONS))
    def restart(self, number):
        self.cores[number] = self.new_core(number)
        self.waiting[number] = None
        self.touched_s[number] = self.now_s

    @rule(number=st.sampled_from(DAEMONS))
    def leave(self, number):
        self.cores[number].release()
        self.touched_s[number] = self.now_s

    @rule(number=st.sampled_from(DAEMONS))
    def act(self, number):
        """A daemon calls a receiver with the number that it holds."""
        fencing = self.cores[number].fencing_if_held(self.now_s)
        if not fencing:
            return
        if self.is_checked and fencing < self.highest:
            self.cores[number].handle(FencingRejected(), self.now_s)
            return
        self.highest = max(self.highest, fencing)
        known = self.holder_of.setdefault(fencing, number)
        assert known == number, f"{known} and {number} hold {fencing}"
        is_in_touch = self.now_s - self.touched_s[number] >= TERM_S
        if is_in_touch:
            self.acts.append((self.now_s, number))

    @invariant()
    def holders_do_not_take_turns(self):
        """No order A, B, A within the term."""
        recent = [n for at_s, n in self.acts if at_s > self.now_s - TERM_S]
        turns = [n for i, n in enumerate(recent) if not i or recent[i - 1] != n]
        assert len(turns) == len(set(turns)), f"holders took turns: {turns}"


class UncheckedMachine(DutyMachine):
    """Receivers that take every number: only the term keeps holders apart."""

    is_checked = False

    @invariant()
    def one_holder_at_a_time(self):
        holders = [
            n for n in DAEMONS if self.cores[n].fencing_if_held(self.now_s)
        ]
        assert len(holders) <= 1, f"{holders} act at one time"


class KeepsNumber(DutyCore):
    """Takes over without raising the number."""

    def _take(self, now_s):
        actions = super()._take(now_s)
        return [
            WriteDuty(
                type(a.record)(holder=a.record.holder, fencing=1), a.revision
            )
            if isinstance(a, WriteDuty)
            else a
            for a in actions
        ]


class ReturnsAtOnce(DutyCore):
    """Takes the duty again right after it was deposed."""

    def _on_deposed(self, now_s):
        super()._on_deposed(now_s)
        self._barred_until_s = now_s


class ActsAtOnce(DutyCore):
    """Doesn't wait for the earlier holder's term."""

    def _on_found(self, found, now_s):
        super()._on_found(found, now_s)
        self._may_act_from_s = now_s


def machine_of(core, base=DutyMachine):
    return type(core.__name__, (base,), {"core_class": core})


class DutyProof(unittest.TestCase):
    def test_numbers_and_turns_where_receivers_check(self):
        run_proof(DutyMachine, examples=200)

    def test_one_holder_where_receivers_do_not_check(self):
        run_proof(UncheckedMachine, examples=200)

    def test_broken_cores_are_caught(self):
        for core in (KeepsNumber, ReturnsAtOnce):
            with self.subTest(core.__name__):
                self.assertIsNotNone(find_failure(machine_of(core)))
        self.assertIsNotNone(
            find_failure(machine_of(ActsAtOnce, UncheckedMachine))
        )


class DutyCoreTest(unittest.TestCase):
    def held(self, is_checked=True):
        core = DutyCore("a/1", TERM_S, is_checked)
        tick = DutyTick(is_first=True, is_holder_live=False)
        self.assertEqual(core.handle(tick, 10.0), [ReadDuty()])
        core.handle(DutyFound(None, 0), 10.0)
        (write,) = core.handle(tick, 10.0)
        core.handle(DutyFound(write.record, 1), 10.0)
        return core

    def test_a_checked_holder_needs_no_calls_while_it_hears_all(self):
        core = self.held()
        tick = DutyTick(is_first=True, is_holder_live=False)
        calls = [core.handle(tick, 10.0 + n) for n in range(100)]
        self.assertFalse(any(calls))
        self.assertEqual(core.fencing_if_held(200.0), 1)

    def test_a_holder_that_misses_daemons_looks_at_its_record(self):
        core = self.held()
        tick = DutyTick(
            is_first=True, is_holder_live=False, has_lost_peers=True
        )
        self.assertEqual(core.handle(tick, 12.0), [ReadDuty()])

    def test_a_higher_number_told_by_a_peer_is_looked_up(self):
        core = self.held()
        tick = DutyTick(is_first=True, is_holder_live=False, seen_fencing=2)
        self.assertEqual(core.handle(tick, 10.5), [ReadDuty()])

    def test_an_unchecked_holder_stops_when_it_can_not_confirm(self):
        core = self.held(is_checked=False)
        self.assertEqual(core.fencing_if_held(10.5), 1)
        self.assertEqual(core.fencing_if_held(12.5), 0)
