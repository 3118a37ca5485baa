"""Property test: fair shares, one decision per request, full use of the limit.

The oracle keeps its own counts of waiting and admitted requests, independent of
the tags, heaps and token buckets of the core.
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

CONCURRENCY_LIMIT = 3
MAX_WAITING = 2 * CONCURRENCY_LIMIT
WEIGHTS = {"large": 4, "yard": 1, "archive": 1, "limited": 2}
RATE, BURST = 2.0, 3
SHORT_PATIENCE_S = 0.001


class AdmissionMachine(RuleBasedStateMachine):
    """Callers of four accounts send requests to one daemon."""

    core_class = AdmissionCore

    @initialize()
    def start(self):
        self.core = self.core_class(CONCURRENCY_LIMIT)
        self.now_s = 0.0
        self.request_count = 0
        # Arrivals by request id.
        self.undecided = {}
        self.waiting = {}
        self.in_service = {}
        # For each pair of accounts, admissions of either since both have had
        # waiting requests.
        self.served_by_pair = {}
        # Tokens of the account `limited` that were taken and not refilled yet.
        self.used_tokens = 0
        self.concurrency_limit = CONCURRENCY_LIMIT
        self.max_waiting = MAX_WAITING

    def feed(self, event):
        before = list(self.waiting.values())
        for action in self.core.handle(event, self.now_s):
            arrival = self.undecided.pop(action.request_id, None)
            assert arrival is not None, "second decision, or unknown request"
            self.waiting.pop(action.request_id, None)
            if isinstance(action, AdmitRequest):
                self.in_service[action.request_id] = arrival
                self.count_service(arrival.account)
                continue
            assert action.retry_after_s > 0
            self.check_refusal(event, arrival, action, before)
        self.drop_ended_pairs()

    def check_refusal(self, event, arrival, action, before):
        if arrival.account == "limited":
            # A refused request takes no token, or returns it.
            self.used_tokens = max(0.0, self.used_tokens - 1)
        if action.error is ErrorCode.RATE_LIMITED:
            assert arrival.account == "limited"
            assert self.used_tokens + 1 > BURST, "refused within its burst"
            return
        if arrival.deadline_s <= self.now_s:
            return
        assert isinstance(event, RequestArrived), "refused before its deadline"
        patience_s = arrival.deadline_s - self.now_s
        if arrival is event and patience_s < 2 * SHORT_PATIENCE_S:
            return
        # The queues are full: the shed account must exceed its fair share.
        queued = [a.account for a in [*before, event]]
        weights = sum(WEIGHTS[name] for name in set(queued))
        queue_size = self.concurrency_limit * 2
        share = queue_size * WEIGHTS[arrival.account] / weights
        assert len(queued) > queue_size, "refused though the queue is not full"
        assert queued.count(arrival.account) > share, "shed within its share"

    def count_service(self, account):
        """Counts admissions of two accounts that both have waiting requests.

        By weight, their numbers may differ by one request of each account.
        """
        names = {a.account for a in self.waiting.values()}
        for other in names - {account}:
            pair = tuple(sorted((account, other)))
            served = self.served_by_pair.setdefault(
                pair, dict.fromkeys(pair, 0)
            )
            served[account] += 1
            shares = [served[name] / WEIGHTS[name] for name in pair]
            bound = sum(1 / WEIGHTS[name] for name in pair)
            assert abs(shares[0] - shares[1]) <= bound + 1e-9, served

    def drop_ended_pairs(self):
        names = {a.account for a in self.waiting.values()}
        for pair in [p for p in self.served_by_pair if not names >= set(p)]:
            del self.served_by_pair[pair]

    @rule(
        account=st.sampled_from(list(WEIGHTS)),
        count=st.sampled_from([1, 1, 4]),
        patience_s=st.sampled_from([SHORT_PATIENCE_S, 3.0, 100.0, 100.0]),
    )
    def arrive(self, account, count, patience_s):
        for _ in range(count):
            self.request_count += 1
            event = RequestArrived(
                request_id=f"r{self.request_count}",
                account=account,
                weight=WEIGHTS[account],
                rate=RATE if account == "limited" else 0,
                burst=BURST,
                deadline_s=self.now_s + patience_s,
            )
            self.undecided[event.request_id] = event
            self.used_tokens += account == "limited"
            self.feed(event)
            if event.request_id in self.undecided:
                self.waiting[event.request_id] = event

    @rule(count=st.integers(1, MAX_WAITING))
    def depart(self, count):
        for _ in range(count):
            if not self.in_service:
                return
            request_id = next(iter(self.in_service))
            del self.in_service[request_id]
            self.feed(RequestDeparted(request_id, 0.05))

    @rule(concurrency_limit=st.sampled_from([1, CONCURRENCY_LIMIT]))
    def change_concurrency_limit(self, concurrency_limit):
        self.concurrency_limit = concurrency_limit
        self.max_waiting = max(self.max_waiting, len(self.waiting))
        self.feed(ConcurrencyLimitChanged(concurrency_limit))

    @rule(nth=st.integers(0, MAX_WAITING))
    def abandon(self, nth):
        if nth < len(self.waiting):
            request_id = list(self.waiting)[nth]
            del self.waiting[request_id], self.undecided[request_id]
            self.feed(RequestAbandoned(request_id))

    @rule(seconds=st.sampled_from([0.2, 3.5]))
    def pass_time(self, seconds):
        """Time passes; the core gets a tick at each of its wake-up times."""
        until_s = self.now_s + seconds
        while (wakeup_s := self.core.next_wakeup_s) and wakeup_s <= until_s:
            self.now_s = wakeup_s
            self.feed(AdmissionTick())
            assert self.core.next_wakeup_s != wakeup_s, (
                "the tick did not change the wake-up time"
            )
        self.now_s = until_s
        refilled = self.used_tokens - seconds * RATE
        self.used_tokens = max(0.0, refilled)

    @invariant()
    def no_request_waits_needlessly_or_beyond_its_deadline(self):
        if not hasattr(self, "core"):
            return
        assert len(self.in_service) <= CONCURRENCY_LIMIT
        # After the limit was lowered, the queue may be too long for a while.
        self.max_waiting = max(
            self.concurrency_limit * 2, min(self.max_waiting, len(self.waiting))
        )
        assert self.core.waiting_count == len(self.waiting) <= self.max_waiting
        assert (
            not self.waiting or len(self.in_service) >= self.concurrency_limit
        )
        for arrival in self.waiting.values():
            assert arrival.deadline_s > self.now_s, (
                "no decision by the deadline"
            )
        assert self.used_tokens <= BURST + 1e-9, "more than the account's rate"


class ShedsArriving(AdmissionCore):
    """Broken: the newest request is shed, whatever its account."""

    def _shed_most_overloaded(self):
        return self._shed_waiting(next(reversed(self._waiting)))


class ShedsAtNextEvent(AdmissionCore):
    """Broken: expired requests are shed only at the next event."""

    next_wakeup_s = None


class ServesInOrder(AdmissionCore):
    """Broken: the oldest request is served first."""

    def _admit_next(self):
        account = next(iter(self._waiting.values()))
        self._start_tags.set(account.name, -1.0)
        return super()._admit_next()


class IgnoresDepartures(AdmissionCore):
    """Broken: a waiting request isn't admitted when another ends."""

    def _on_departed(self, event):
        self._in_service.discard(event.request_id)
        return []


BROKEN = (ShedsArriving, ShedsAtNextEvent, ServesInOrder, IgnoresDepartures)


class AdmissionProof(unittest.TestCase):
    def test_shares_decisions_and_concurrency_limit(self):
        run_proof(AdmissionMachine, examples=400)

    def test_the_machine_catches_broken_admission(self):
        for broken in BROKEN:
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (AdmissionMachine,), {"core_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)

    def test_idle_accounts_are_evicted(self):
        core = AdmissionCore(CONCURRENCY_LIMIT)
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
        self.assertLess(core.account_count, 10)

    def test_concurrency_limit_follows_endpoint_capacity(self):
        self.assertEqual(compute_concurrency_limit(None, 2, 512), 512)
        self.assertEqual(compute_concurrency_limit(4, 2, 512), 4)
        self.assertEqual(compute_concurrency_limit(4, 28, 512), 2)
        self.assertEqual(compute_concurrency_limit(10_000, 2, 512), 512)
