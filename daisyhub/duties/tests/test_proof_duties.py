"""Property tests of duties under faults.

Each fencing number belongs to one holder, and holders don't alternate. A daemon
that may be cut off takes the duty only after a challenge that nobody answered.
Faults:
lost and delayed responses, writes that take effect though the writer got no
response, processes that are frozen, killed and restarted, pings that don't
arrive, and rejections by a receiver at any moment.
"""

import dataclasses
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
    DutyRecordReceived,
    DutyTick,
    FencingRejected,
    ReadDuty,
    WriteDuty,
)
from daisyhub.testing.proofs import find_failure, run_proof

TERM_S = 3.0
DAEMONS = (0, 1, 2)


class DutyMachine(RuleBasedStateMachine):
    """Three daemons, one store, and receivers that record who acts."""

    core_class = DutyCore
    is_fencing_checked = True

    @initialize()
    def start(self):
        self.now_s = 1000.0
        self.record, self.revision = None, 0
        self.starts = 0
        self.cores = [self.new_core(n) for n in DAEMONS]
        self.pending_actions = {n: None for n in DAEMONS}
        self.delayed_writes = []
        self.holder_by_fencing = {}
        self.acts = []
        self.highest_fencing = 0
        # A daemon that was restarted or released its duty may alternate with
        # others for one term; its calls aren't recorded during that time.
        self.restarted_at_s = dict.fromkeys(DAEMONS, 0.0)
        self.changed_at_s = self.now_s
        # Takeovers by daemons that may be cut off.
        self.doubtful_writes = set()

    def new_core(self, number):
        self.starts += 1
        process = f"d{number}/{self.starts}"
        return self.core_class(process, TERM_S, self.is_fencing_checked)

    @rule(seconds=st.sampled_from([0.2, 0.2, 0.5, 1.1, 3.5]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule(
        number=st.sampled_from(DAEMONS),
        is_candidate=st.booleans(),
        is_holder_live=st.booleans(),
        has_lost_peers=st.booleans(),
        is_silence_conclusive=st.booleans(),
    )
    def tick(
        self,
        number,
        is_candidate,
        is_holder_live,
        has_lost_peers,
        is_silence_conclusive,
    ):
        if self.pending_actions[number] is not None:
            return
        tick = DutyTick(
            is_candidate=is_candidate,
            is_holder_live=is_holder_live,
            has_lost_peers=has_lost_peers,
            is_silence_conclusive=is_silence_conclusive,
        )
        actions = self.cores[number].handle(tick, self.now_s)
        if not actions:
            return
        self.pending_actions[number] = action = actions[0]
        if isinstance(action, WriteDuty):
            key = (action.record, action.revision)
            if is_silence_conclusive:
                self.doubtful_writes.discard(key)
            else:
                self.doubtful_writes.add(key)

    @rule(
        number=st.sampled_from(DAEMONS),
        result=st.sampled_from(
            ["good", "good", "good", "lost", "late", "fail"]
        ),
    )
    def reach_store(self, number, result):
        """The store processes a daemon's pending call.

        Results: "good"; "lost", the response is lost; "late", a write takes
        effect later, without a response; "fail", no effect.
        """
        action, self.pending_actions[number] = (
            self.pending_actions[number],
            None,
        )
        if action is None:
            return
        event = DutyCallFailed()
        if result == "late" and isinstance(action, WriteDuty):
            self.delayed_writes.append(action)
        if result in ("good", "lost"):
            found = self.carry_out(action)
            event = found if result == "good" else event
        self.cores[number].handle(event, self.now_s)

    @rule(number=st.sampled_from(DAEMONS), is_holder_live=st.booleans())
    def acquire_and_act(self, number, is_holder_live):
        """A daemon acquires the duty if it can, then acts."""
        for _ in range(3):
            self.tick(number, True, is_holder_live, False, True)
            self.reach_store(number, "good")
        self.act(number)

    @rule(number=st.sampled_from(DAEMONS))
    def challenge_and_acquire(self, number):
        """A daemon that hears nobody takes the duty if it can, then acts."""
        for _ in range(8):
            self.tick(number, True, False, True, False)
            self.reach_store(number, "good")
            self.now_s += 0.4
        self.act(number)

    @rule()
    def apply_delayed_write(self):
        if self.delayed_writes:
            self.carry_out(self.delayed_writes.pop(0))

    def carry_out(self, action):
        is_fresh = isinstance(action, WriteDuty) and (
            action.revision == self.revision
        )
        if is_fresh:
            self.check_takeover(action)
            self.record = action.record
            self.revision += 1
            self.changed_at_s = self.now_s
        assert isinstance(action, ReadDuty | WriteDuty)
        return DutyRecordReceived(self.record, self.revision)

    def check_takeover(self, write):
        """A holder has most of a term to answer a daemon that is in doubt."""
        is_doubtful = (write.record, write.revision) in self.doubtful_writes
        is_held = self.record is not None and self.record.holder
        if not is_doubtful or not is_held or not write.record.holder:
            return
        if write.record.holder == self.record.holder:
            return
        assert self.record.challenger, "taken without a challenge"
        waited_s = self.now_s - self.changed_at_s
        assert waited_s >= 0.6 * TERM_S, f"taken after {waited_s} s"

    @rule(number=st.sampled_from(DAEMONS))
    def restart(self, number):
        self.cores[number] = self.new_core(number)
        self.pending_actions[number] = None
        self.restarted_at_s[number] = self.now_s

    @rule(number=st.sampled_from(DAEMONS))
    def leave(self, number):
        """A daemon releases the duty; it acquires none before a restart."""
        self.cores[number].release()
        self.restarted_at_s[number] = self.now_s

    @rule(number=st.sampled_from(DAEMONS))
    def act(self, number):
        """A daemon calls a receiver with its fencing number."""
        fencing = self.cores[number].fencing_if_held(self.now_s)
        if not fencing:
            return
        if self.is_fencing_checked and fencing < self.highest_fencing:
            self.cores[number].handle(FencingRejected(), self.now_s)
            return
        self.highest_fencing = max(self.highest_fencing, fencing)
        holder = self.holder_by_fencing.setdefault(fencing, number)
        assert holder == number, f"{holder} and {number} hold {fencing}"
        is_settled = self.now_s - self.restarted_at_s[number] >= TERM_S
        if is_settled:
            self.acts.append((self.now_s, number))

    @invariant()
    def holders_do_not_alternate(self):
        """Holders never follow each other as A, B, A within one term."""
        recent = [n for at_s, n in self.acts if at_s > self.now_s - TERM_S]
        order = [n for i, n in enumerate(recent) if not i or recent[i - 1] != n]
        assert len(order) == len(set(order)), f"holders alternated: {order}"


class UncheckedMachine(DutyMachine):
    """Receivers accept every number; only the term separates holders."""

    is_fencing_checked = False

    @invariant()
    def one_holder_at_a_time(self):
        holders = [
            n for n in DAEMONS if self.cores[n].fencing_if_held(self.now_s)
        ]
        assert len(holders) <= 1, f"{holders} act at one time"


class ReusesFencingNumber(DutyCore):
    """Broken: takes over without incrementing the fencing number."""

    def _acquire(self, now_s):
        actions = super()._acquire(now_s)
        return [
            WriteDuty(
                type(a.record)(holder=a.record.holder, fencing=1), a.revision
            )
            if isinstance(a, WriteDuty)
            else a
            for a in actions
        ]


class ReacquiresImmediately(DutyCore):
    """Broken: acquires the duty again without a cooldown after losing it."""

    def _on_lost(self, now_s):
        super()._on_lost(now_s)
        self._cooldown_until_s = now_s


class SkipsPreviousTerm(DutyCore):
    """Broken: acts without waiting for the previous holder's term to end."""

    def _on_record(self, found, now_s):
        super()._on_record(found, now_s)
        self._may_act_from_s = now_s


class TakesWithoutChallenge(DutyCore):
    """Broken: takes silence for a lost holder, though it may be cut off."""

    def _acquire_if_unanswered(self, now_s):
        return self._acquire(now_s)


class IgnoresAnswer(DutyCore):
    """Broken: doesn't notice that the challenge was answered meanwhile."""

    def _acquire_if_unanswered(self, now_s):
        if self._challenge is not None:
            self._challenge = dataclasses.replace(
                self._challenge, revision=self._revision
            )
        return super()._acquire_if_unanswered(now_s)


def machine_for(core, base=DutyMachine):
    return type(core.__name__, (base,), {"core_class": core})


class DutyProof(unittest.TestCase):
    def test_checked_numbers_are_unique_and_holders_do_not_alternate(self):
        run_proof(DutyMachine, examples=200)

    def test_one_holder_at_a_time_without_fencing_checks(self):
        run_proof(UncheckedMachine, examples=200)

    def test_broken_cores_are_detected(self):
        for core in (
            ReusesFencingNumber,
            ReacquiresImmediately,
            TakesWithoutChallenge,
            IgnoresAnswer,
        ):
            with self.subTest(core.__name__):
                self.assertIsNotNone(find_failure(machine_for(core)))
        self.assertIsNotNone(
            find_failure(machine_for(SkipsPreviousTerm, UncheckedMachine))
        )


class DutyCoreTest(unittest.TestCase):
    def make_holder(self, is_fencing_checked=True):
        core = DutyCore("a/1", TERM_S, is_fencing_checked)
        tick = DutyTick(is_candidate=True, is_holder_live=False)
        self.assertEqual(core.handle(tick, 10.0), [ReadDuty()])
        core.handle(DutyRecordReceived(None, 0), 10.0)
        (write,) = core.handle(tick, 10.0)
        core.handle(DutyRecordReceived(write.record, 1), 10.0)
        return core

    def test_checked_holder_makes_no_calls_while_all_peers_are_live(self):
        core = self.make_holder()
        tick = DutyTick(is_candidate=True, is_holder_live=False)
        calls = [core.handle(tick, 10.0 + n) for n in range(100)]
        self.assertFalse(any(calls))
        self.assertEqual(core.fencing_if_held(200.0), 1)

    def test_holder_with_lost_peers_reads_its_record(self):
        core = self.make_holder()
        tick = DutyTick(
            is_candidate=True, is_holder_live=False, has_lost_peers=True
        )
        self.assertEqual(core.handle(tick, 12.0), [ReadDuty()])

    def test_higher_number_reported_by_a_peer_causes_a_read(self):
        core = self.make_holder()
        tick = DutyTick(
            is_candidate=True, is_holder_live=False, max_peer_fencing=2
        )
        self.assertEqual(core.handle(tick, 10.5), [ReadDuty()])

    def test_unchecked_holder_stops_without_a_recent_read(self):
        core = self.make_holder(is_fencing_checked=False)
        self.assertEqual(core.fencing_if_held(10.5), 1)
        self.assertEqual(core.fencing_if_held(12.5), 0)
