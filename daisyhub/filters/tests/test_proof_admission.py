"""Proof: fair shares, one verdict for each arrival, no idle place.

The oracle keeps its own counts of what waits and what is served; it knows
nothing of tags, heaps and buckets' refills.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from daisyhub.exceptions import ErrorCode
from daisyhub.filters import (
    AdmissionCore,
    AdmissionTick,
    AdmitRequest,
    ConcurrencyLimitChanged,
    RequestAbandoned,
    RequestArrived,
    RequestDeparted,
    compute_concurrency_limit,
)
from daisyhub.testing.proofs import find_failure, run_proof

PLACES = 3
ROOM = 2 * PLACES
WEIGHTS = {"large": 4, "yard": 1, "archive": 1, "limited": 2}
RATE, BURST = 2.0, 3
NO_TIME_S = 0.001


class AdmissionMachine(RuleBasedStateMachine):
    """Callers of four accounts before one daemon."""

    core_class = AdmissionCore

    @initialize()
    def start(self):
        self.core = self.core_class(PLACES)
        self.now_s = 0.0
        self.number = 0
        self.open = {}
        self.waiting = {}
        self.in_service = {}
        self.served_while = {}
        self.accepted = 0
        self.concurrency_limit = PLACES
        self.room = ROOM

    def feed(self, event):
        before = list(self.waiting.values())
        for action in self.core.handle(event, self.now_s):
            arrival = self.open.pop(action.request_id, None)
            assert arrival is not None, "two verdicts, or one for nobody"
            self.waiting.pop(action.request_id, None)
            if isinstance(action, AdmitRequest):
                self.in_service[action.request_id] = arrival
                self.count_service(arrival.account)
                continue
            assert action.retry_after_s > 0
            self.check_refusal(event, arrival, action, before)
        self.forget_pairs()

    def check_refusal(self, event, arrival, action, before):
        if arrival.account == "limited":
            self.accepted = max(0.0, self.accepted - 1)
        if action.error is ErrorCode.RATE_LIMITED:
            assert arrival.account == "limited"
            assert self.accepted + 1 > BURST, "refused within its burst"
            return
        if arrival.deadline_s <= self.now_s:
            return
        assert isinstance(event, RequestArrived), "refused before its deadline"
        patience_s = arrival.deadline_s - self.now_s
        if arrival is event and patience_s < 2 * NO_TIME_S:
            return
        # The queues are full: the victim's queue exceeds its fair part.
        queued = [a.account for a in [*before, event]]
        weights = sum(WEIGHTS[name] for name in set(queued))
        room = self.concurrency_limit * 2
        share = room * WEIGHTS[arrival.account] / weights
        assert len(queued) > room, "refused though there is room"
        assert queued.count(arrival.account) > share, "shed within its share"

    def count_service(self, account):
        """Counts services by pairs of accounts that both kept waiting."""
        names = {a.account for a in self.waiting.values()}
        for other in names - {account}:
            pair = tuple(sorted((account, other)))
            served = self.served_while.setdefault(pair, dict.fromkeys(pair, 0))
            served[account] += 1
            shares = [served[name] / WEIGHTS[name] for name in pair]
            bound = sum(1 / WEIGHTS[name] for name in pair)
            assert abs(shares[0] - shares[1]) <= bound + 1e-9, served

    def forget_pairs(self):
        names = {a.account for a in self.waiting.values()}
        for pair in [p for p in self.served_while if not names >= set(p)]:
            del self.served_while[pair]

    @rule(
        account=st.sampled_from(list(WEIGHTS)),
        count=st.sampled_from([1, 1, 4]),
        patience_s=st.sampled_from([NO_TIME_S, 3.0, 100.0, 100.0]),
    )
    def arrive(self, account, count, patience_s):
        for _ in range(count):
            self.number += 1
            event = RequestArrived(
                request_id=f"r{self.number}",
                account=account,
                weight=WEIGHTS[account],
                rate=RATE if account == "limited" else 0,
                burst=BURST,
                deadline_s=self.now_s + patience_s,
            )
            self.open[event.request_id] = event
            self.accepted += account == "limited"
            self.feed(event)
            if event.request_id in self.open:
                self.waiting[event.request_id] = event

    @rule(count=st.integers(1, ROOM))
    def depart(self, count):
        for _ in range(count):
            if not self.in_service:
                return
            request_id = next(iter(self.in_service))
            del self.in_service[request_id]
            self.feed(RequestDeparted(request_id, 0.05))

    @rule(concurrency_limit=st.sampled_from([1, PLACES]))
    def change_places(self, concurrency_limit):
        self.concurrency_limit = concurrency_limit
        self.room = max(self.room, len(self.waiting))
        self.feed(ConcurrencyLimitChanged(concurrency_limit))

    @rule(nth=st.integers(0, ROOM))
    def give_up(self, nth):
        if nth < len(self.waiting):
            request_id = list(self.waiting)[nth]
            del self.waiting[request_id], self.open[request_id]
            self.feed(RequestAbandoned(request_id))

    @rule(seconds=st.sampled_from([0.2, 3.5]))
    def pass_time(self, seconds):
        """Time goes by; the shell ticks at each wake-up asked for."""
        until_s = self.now_s + seconds
        while (wakeup_s := self.core.next_wakeup_s) and wakeup_s <= until_s:
            self.now_s = wakeup_s
            self.feed(AdmissionTick())
            assert self.core.next_wakeup_s != wakeup_s, "woken for nothing"
        self.now_s = until_s
        refilled = self.accepted - seconds * RATE
        self.accepted = max(0.0, refilled)

    @invariant()
    def nothing_waits_beside_a_free_place_or_beyond_its_deadline(self):
        if not hasattr(self, "core"):
            return
        assert len(self.in_service) <= PLACES
        # After places were taken away, the queue may be longer for a while.
        self.room = max(
            self.concurrency_limit * 2, min(self.room, len(self.waiting))
        )
        assert self.core.waiting_count == len(self.waiting) <= self.room
        assert (
            not self.waiting or len(self.in_service) >= self.concurrency_limit
        )
        for arrival in self.waiting.values():
            assert arrival.deadline_s > self.now_s, "no answer in time"
        assert self.accepted <= BURST + 1e-9, "more than the account's rate"


class ShedsArriving(AdmissionCore):
    """Broken: the request that comes last is refused, whoever sends it."""

    def _shed_most_overloaded(self):
        return self._shed_waiting(next(reversed(self._waiting)))


class NoticesAtDeparture(AdmissionCore):
    """Broken: a deadline is noticed at the next event only."""

    next_wakeup_s = None


class ServesInOrder(AdmissionCore):
    """Broken: the oldest request is served first."""

    def _admit_next(self):
        account = next(iter(self._waiting.values()))
        self._start_tags.set(account.name, -1.0)
        return super()._admit_next()


class LeavesPlacesFree(AdmissionCore):
    """Broken: a waiting request isn't admitted when another ends."""

    def _on_depart(self, event):
        self._in_service.discard(event.request_id)
        return []


BROKEN = (ShedsArriving, NoticesAtDeparture, ServesInOrder, LeavesPlacesFree)


class AdmissionProof(unittest.TestCase):
    def test_shares_verdicts_and_places(self):
        run_proof(AdmissionMachine, examples=400)

    def test_the_machine_catches_broken_admission(self):
        for broken in BROKEN:
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (AdmissionMachine,), {"core_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)

    def test_idle_accounts_are_forgotten(self):
        core = AdmissionCore(PLACES)
        for number in range(10_000):
            event = RequestArrived(
                request_id=f"r{number}",
                account=f"a{number}",
                weight=1,
                rate=1000.0,
                burst=1,
                deadline_s=1e9,
            )
            core.handle(event, float(number))
            core.handle(RequestDeparted(event.request_id, 0.01), float(number))
        self.assertLess(core.known_accounts, 10)

    def test_places_follow_what_the_endpoints_can_serve(self):
        self.assertEqual(compute_concurrency_limit(None, 2, 512), 512)
        self.assertEqual(compute_concurrency_limit(4, 2, 512), 4)
        self.assertEqual(compute_concurrency_limit(4, 28, 512), 2)
        self.assertEqual(compute_concurrency_limit(10_000, 2, 512), 512)
