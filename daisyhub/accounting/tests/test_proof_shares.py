"""Property test: daemons of a failure domain never exceed a limit together.

Faults: lost, late and duplicate messages, restarts, network partitions, and
daemons that freeze between receiving a grant and using it.
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

from daisyhub.accounting import (
    LoanGranted,
    LoanRequested,
    SendLoanRequest,
    ShareCore,
    ShareTick,
)
from daisyhub.testing.proofs import find_failure, run_proof

TERM_S, MARGIN_S = 4.0, 0.5
DAEMONS = ("d0", "d1", "d2")
ACCOUNT = "yard"


class ShareMachine(RuleBasedStateMachine):
    """Three daemons that lend each other quanta of one account's limit."""

    core_class = ShareCore

    @initialize()
    def start(self):
        self.now_s = 100.0
        self.start_count = 0
        self.in_flight = []
        self.cores, self.incarnations = {}, {}
        for name in DAEMONS:
            self.restart(name)
        self.now_s += TERM_S + MARGIN_S

    @rule(
        name=st.sampled_from(DAEMONS),
        wanted=st.sampled_from([0, 4, 12, 30, 48]),
    )
    def tick(self, name, wanted):
        live = tuple(n for n in DAEMONS if n != name)
        event = ShareTick({ACCOUNT: wanted}, live)
        for action in self.cores[name].handle(event, self.now_s):
            self.in_flight.append((name, self.incarnations[name], action))

    @rule(
        mode=st.sampled_from(["all", "all", "first", "last", "twice", "drop"])
    )
    def deliver(self, mode):
        """Delivers or drops messages in flight; "last" reorders them."""
        count = (
            len(self.in_flight)
            if mode == "all"
            else min(1, len(self.in_flight))
        )
        for _ in range(count):
            item = self.in_flight.pop(-1 if mode == "last" else 0)
            if mode == "twice":
                self.in_flight.append(item)
            if mode != "drop":
                self.receive(*item)

    def receive(self, sender, incarnation, action):
        stamp = (action.incarnation, action.stamp_s)
        if isinstance(action, SendLoanRequest):
            event = LoanRequested(sender, *stamp, action.wants)
        else:
            event = LoanGranted(sender, incarnation, *stamp, action.grants)
        self.cores[action.peer].handle(event, self.now_s)

    @rule(
        wants=st.permutations([0, 4, 48]),
        later=st.permutations([0, 4, 48]),
        is_delivered=st.booleans(),
    )
    def exchange_loans(self, wants, later, is_delivered):
        """Sends loan requests and grants; demand may change in between."""
        self.tick_all(wants)
        self.deliver("all")
        self.tick_all(later)
        if is_delivered:
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
        self.start_count += 1
        self.incarnations[name] = self.start_count
        self.cores[name] = self.core_class(
            self.start_count, len(DAEMONS), TERM_S, MARGIN_S, self.now_s
        )

    @invariant()
    def sum_stays_within_limit(self):
        quanta = [
            core.quanta(ACCOUNT, self.now_s)
            for core in getattr(self, "cores", {}).values()
        ]
        total = ShareCore(0, len(DAEMONS), 1, 1, 0).total
        assert sum(quanta) <= total, quanta
        assert all(quanta) or not quanta, "a daemon has no quanta left"


class CountsFromGrant(ShareCore):
    """Broken: the borrower counts the term from the arrival of the grant."""

    def handle(self, event, now_s):
        self._received_s = now_s
        return super().handle(event, now_s)

    def _on_grant(self, event):
        super()._on_grant(dataclasses.replace(event, stamp_s=self._received_s))


class IgnoresRestart(ShareCore):
    """Broken: a restarted daemon uses quanta its last incarnation lent."""

    def _is_restricted(self, now_s):
        return False


class KeepsLoansOfRestartedLender(ShareCore):
    """Broken: a borrower confirms a lender's restart but keeps its loans."""

    def _record_incarnation(self, peer, incarnation):
        known = self._incarnations.get(peer, 0)
        self._incarnations[peer] = max(known, incarnation)


class ReplacesLoans(ShareCore):
    """Broken: a new loan replaces one that the borrower may still use."""

    def _record_loan(self, account, request, quanta, now_s):
        self._lent.setdefault(account, {})[request.peer] = []
        super()._record_loan(account, request, quanta, now_s)


BROKEN = (
    CountsFromGrant,
    IgnoresRestart,
    KeepsLoansOfRestartedLender,
    ReplacesLoans,
)


class ShareProof(unittest.TestCase):
    def test_total_usage_stays_within_the_limit(self):
        run_proof(ShareMachine, examples=300)

    def test_broken_share_cores_are_detected(self):
        for broken in BROKEN:
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (ShareMachine,), {"core_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)

    def test_shares_follow_demand_and_return_after_the_term(self):
        machine = ShareMachine()
        machine.start()
        self.quanta_after(machine, [48, 0, 0], rounds=2)
        self.assertEqual(self.quanta_after(machine, [48, 0, 0]), [44, 2, 2])
        self.assertEqual(self.quanta_after(machine, [0, 48, 0]), [2, 44, 2])
        self.assertEqual(self.quanta_after(machine, [48, 48, 0]), [23, 23, 2])
        machine.now_s += TERM_S + MARGIN_S
        quanta = [c.quanta(ACCOUNT, machine.now_s) for c in self.cores(machine)]
        self.assertEqual(quanta, [16, 16, 16])

    def test_a_restarted_daemon_gets_its_share_once_all_peers_confirm(self):
        machine = ShareMachine()
        machine.start()
        machine.restart("d0")
        core = machine.cores["d0"]
        self.assertEqual(core.quanta(ACCOUNT, machine.now_s), 2)
        machine.exchange_loans([0, 0, 0], [0, 0, 0], True)
        self.assertEqual(core.quanta(ACCOUNT, machine.now_s), 16)

    def cores(self, machine):
        return [machine.cores[name] for name in DAEMONS]

    def quanta_after(self, machine, wants, rounds=8):
        for _ in range(rounds):
            machine.exchange_loans(wants, wants, True)
        return [c.quanta(ACCOUNT, machine.now_s) for c in self.cores(machine)]
