"""Proof: a leaving endpoint gets no new work once that is heard.

Faults: lists that lag, are older than an earlier one or lack entries for a
moment; news late, doubled, reordered or of an unknown incarnation; endpoints
started anew; daemons cut off from the list; requests open all the while.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from daisyhub.balancing import EndpointTable, EndpointUpdate
from daisyhub.hosting import EndpointRecord
from daisyhub.testing.proofs import find_failure, run_proof

IDS = ("e0", "e1", "e2")
TABLES = (0, 1)
MOMENT_S = 4.0
SETTLE_S = 6.0


class EndpointMachine(RuleBasedStateMachine):
    """Three endpoints, the tables of two daemons."""

    table_class = EndpointTable

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.tables = [self.table_class() for _ in TABLES]
        self.truth = dict.fromkeys(IDS, (1, False))
        self.lists = [dict(self.truth)]
        self.news = []
        self.heard = [{} for _ in TABLES]
        self.open = [[] for _ in TABLES]
        self.missing_s = {}
        for number in TABLES:
            self.read_list(number, 0, None, False)

    def change(self, endpoint_id, incarnation, is_leaving):
        self.truth[endpoint_id] = (incarnation, is_leaving)
        self.lists.append(dict(self.truth))

    @rule(
        endpoint_id=st.sampled_from(IDS),
        step=st.sampled_from(["leave", "leave", "start anew"]),
    )
    def act(self, endpoint_id, step):
        incarnation, _ = self.truth[endpoint_id]
        if step == "leave":
            self.change(endpoint_id, incarnation, True)
        else:
            self.change(endpoint_id, incarnation + 1, False)

    @rule(
        number=st.sampled_from(TABLES),
        lag=st.sampled_from([0, 0, 1, 2, 4]),
        missing=st.sampled_from([None, None, *IDS]),
        is_empty=st.sampled_from([False, False, False, True]),
    )
    def read_list(self, number, lag, missing, is_empty):
        old = self.lists[max(0, len(self.lists) - 1 - lag)]
        records = [
            EndpointRecord(
                endpoint_id=endpoint_id,
                pool="p",
                ip="127.0.0.1",
                port=1000,
                state="leaving" if is_leaving else "live",
                incarnation=incarnation,
            )
            for endpoint_id, (incarnation, is_leaving) in old.items()
            if endpoint_id != missing and not is_empty
        ]
        before = self.ids(number)
        for record in records:
            self.hear(number, record)
            self.missing_s.pop((number, record.endpoint_id), None)
        if missing and not is_empty:
            self.missing_s.setdefault((number, missing), self.now_s)
        self.tables[number].apply_list(records, self.now_s)
        since_s = self.missing_s.get((number, missing), self.now_s)
        if missing in before and self.now_s - since_s <= MOMENT_S:
            assert missing in self.ids(number), "dropped after a moment"
        if is_empty:
            assert before == self.ids(number), "an empty list tells nothing"

    def ids(self, number):
        found = self.tables[number].candidates("p", self.now_s)
        return {state.endpoint_id for state in found}

    def hear(self, number, record):
        gone = record.incarnation - (record.state != "leaving")
        heard = self.heard[number]
        heard[record.endpoint_id] = max(heard.get(record.endpoint_id, 0), gone)

    @rule(endpoint_id=st.sampled_from(IDS), lag=st.sampled_from([0, 0, 1, 3]))
    def tell(self, endpoint_id, lag):
        """A peer notes news of what an endpoint answered, now or before."""
        state = self.lists[max(0, len(self.lists) - 1 - lag)][endpoint_id]
        self.news.append(
            EndpointUpdate(
                endpoint_id=endpoint_id,
                incarnation=state[0],
                is_leaving=state[1],
                load=1.0,
            )
        )

    @rule(number=st.sampled_from(TABLES), index=st.integers(0, 5))
    def take_news(self, number, index):
        """News comes late, in any order, and may come again."""
        if not self.news:
            return
        news = self.news[index % len(self.news)]
        gone = news.incarnation - (not news.is_leaving)
        heard = self.heard[number]
        heard[news.endpoint_id] = max(heard.get(news.endpoint_id, 0), gone)
        self.tables[number].apply_update(news)

    @rule(
        number=st.sampled_from(TABLES),
        step=st.sampled_from(["send", "send", "done", "fail", "time"]),
    )
    def work(self, number, step):
        table, open_ids = self.tables[number], self.open[number]
        if step == "time":
            self.now_s += MOMENT_S
        elif step == "send":
            for state in table.candidates("p", self.now_s)[:1]:
                table.record_sent(state.endpoint_id)
                open_ids.append(state.endpoint_id)
        elif open_ids:
            failed = step == "fail"
            table.record_done(open_ids.pop(), failed=failed, now_s=self.now_s)

    @invariant()
    def gives_no_work_to_the_leaving(self):
        for number in TABLES if hasattr(self, "tables") else ():
            for state in self.tables[number].candidates("p", self.now_s):
                gone = self.heard[number].get(state.endpoint_id, 0)
                assert state.incarnation > gone, "work for the leaving"
            for endpoint_id in set(self.open[number]):
                count = self.open[number].count(endpoint_id)
                state = self.tables[number].get(endpoint_id)
                counted = state.own_requests if state else 0
                assert counted == count, "open requests forgotten"

    def teardown(self):
        """Once faults end, exactly the live endpoints get work."""
        live = {i for i, (_, leaves) in self.truth.items() if not leaves}
        for number in TABLES:
            self.read_list(number, 0, None, False)
            self.now_s += SETTLE_S
            assert self.ids(number) == live, "not the live endpoints"
            # One that is gone from the list for good gets no work either.
            for _ in range(2):
                self.read_list(number, 0, IDS[0], False)
                self.now_s += SETTLE_S
            assert self.ids(number) == live - {IDS[0]}


class DropsAtOnce(EndpointTable):
    """Broken: an entry that the list lacks is dropped with its counts."""

    def _note_absent(self, state, now_s):
        del self._endpoints[state.endpoint_id]


class IgnoresUnknown(EndpointTable):
    """Broken: news of an incarnation that isn't known yet is dropped."""

    def apply_update(self, news):
        known = self.get(news.endpoint_id)
        if known is None or known.incarnation != news.incarnation:
            return False
        return super().apply_update(news)


class TrustsList(EndpointTable):
    """Broken: what the list calls live is live."""

    def _adopt_record(self, record):
        super()._adopt_record(record)
        state = self._endpoints[record.endpoint_id]
        if state.incarnation == record.incarnation:
            state.is_leaving = record.state == "leaving"


class EndpointProof(unittest.TestCase):
    def test_leaving_endpoints_get_no_new_work(self):
        run_proof(EndpointMachine, examples=150)

    def test_the_machine_catches_broken_tables(self):
        for broken in (DropsAtOnce, IgnoresUnknown, TrustsList):
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (EndpointMachine,), {"table_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)
