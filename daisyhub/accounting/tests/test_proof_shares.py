"""Proof: daemons of a domain together never use more than a limit.

Faults: messages that are lost, late or doubled, restarts, cuts, and daemons
that freeze between hearing and using.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from daisyhub.accounting import (
    AskHeard,
    GrantHeard,
    SendAsk,
    ShareCore,
    ShareTick,
)
from daisyhub.testing.proofs import find_failure, run_proof

TERM_S, MARGIN_S = 4.0, 0.5
DAEMONS = ("d0", "d1", "d2")
ACCOUNT = "yard"


class ShareMachine(RuleBasedStateMachine):
    """Three daemons that lend each other parts of one account's limit."""

    core_class = ShareCore

    @initialize()
    def start(self):
        self.now_s = 100.0
        self.starts = 0
        self.mail = []
        self.cores = {name: self.new_core() for name in DAEMONS}
        self.now_s += TERM_S + MARGIN_S

    def new_core(self):
        self.starts += 1
        return self.core_class(
            self.starts, len(DAEMONS), TERM_S, MARGIN_S, self.now_s
        )

    @rule(
        name=st.sampled_from(DAEMONS),
        wanted=st.sampled_from([0, 4, 12, 30, 48]),
    )
    def tick(self, name, wanted):
        live = tuple(n for n in DAEMONS if n != name)
        event = ShareTick({ACCOUNT: wanted}, live)
        for action in self.cores[name].handle(event, self.now_s):
            self.mail.append((name, action))

    @rule(how=st.sampled_from(["all", "all", "first", "last", "twice", "drop"]))
    def deliver(self, how):
        count = len(self.mail) if how == "all" else min(1, len(self.mail))
        for _ in range(count):
            item = self.mail.pop(-1 if how == "last" else 0)
            if how == "twice":
                self.mail.append(item)
            if how != "drop":
                self.hear(*item)

    def hear(self, sender, action):
        kind = AskHeard if isinstance(action, SendAsk) else GrantHeard
        what = action.wants if kind is AskHeard else action.grants
        event = kind(sender, action.incarnation, action.stamp_s, what)
        self.cores[action.peer].handle(event, self.now_s)

    @rule(
        wants=st.permutations([0, 4, 48]),
        later=st.permutations([0, 4, 48]),
        is_heard=st.booleans(),
    )
    def take_round(self, wants, later, is_heard):
        """Asks go out and are answered, perhaps with other wants by then."""
        self.tick_all(wants)
        self.deliver("all")
        self.tick_all(later)
        if is_heard:
            self.deliver("all")
        self.now_s += 1.4

    def tick_all(self, wants):
        for name, wanted in zip(DAEMONS, wants, strict=True):
            self.tick(name, wanted)

    @rule(seconds=st.sampled_from([0.2, 1.4, 3.9, 4.2]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule(name=st.sampled_from(DAEMONS))
    def restart(self, name):
        self.cores[name] = self.new_core()

    @invariant()
    def all_together_stay_within_the_limit(self):
        quanta = [
            core.quanta(ACCOUNT, self.now_s)
            for core in getattr(self, "cores", {}).values()
        ]
        total = ShareCore(0, len(DAEMONS), 1, 1, 0).total
        assert sum(quanta) <= total, quanta
        assert all(quanta) or not quanta, "a daemon has nothing left"


class CountsFromAnswer(ShareCore):
    """Broken: a loan counts at the borrower from hearing the answer."""

    def handle(self, event, now_s):
        self._heard_s = now_s
        return super().handle(event, now_s)

    def _on_grant(self, event):
        event = GrantHeard(
            event.peer, event.incarnation, self._heard_s, event.grants
        )
        super()._on_grant(event)


class UsesAllAfterStart(ShareCore):
    """Broken: a restarted daemon uses what its last incarnation lent."""

    def quanta(self, account, now_s):
        return self._own(account, now_s) + self._borrowed_quanta(account, now_s)


class ReplacesLoans(ShareCore):
    """Broken: a smaller loan replaces one that the borrower still uses."""

    def _note_lent(self, account, ask, quanta, now_s):
        self._lent.setdefault(account, {})[ask.peer] = []
        super()._note_lent(account, ask, quanta, now_s)


class ShareProof(unittest.TestCase):
    def test_the_sum_stays_within_the_limit(self):
        run_proof(ShareMachine, examples=300)

    def test_the_machine_catches_broken_shares(self):
        for broken in (CountsFromAnswer, UsesAllAfterStart, ReplacesLoans):
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (ShareMachine,), {"core_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)

    def test_shares_follow_demand_and_come_back(self):
        machine = ShareMachine()
        machine.start()
        self.shares_after(machine, [48, 0, 0], rounds=2)
        self.assertEqual(self.shares_after(machine, [48, 0, 0]), [44, 2, 2])
        self.assertEqual(self.shares_after(machine, [0, 48, 0]), [2, 44, 2])
        self.assertEqual(self.shares_after(machine, [48, 48, 0]), [23, 23, 2])
        machine.now_s += TERM_S + MARGIN_S
        quanta = [c.quanta(ACCOUNT, machine.now_s) for c in self.cores(machine)]
        self.assertEqual(quanta, [16, 16, 16])

    def cores(self, machine):
        return [machine.cores[name] for name in DAEMONS]

    def shares_after(self, machine, wants, rounds=8):
        for _ in range(rounds):
            machine.take_round(wants, wants, True)
        return [c.quanta(ACCOUNT, machine.now_s) for c in self.cores(machine)]
