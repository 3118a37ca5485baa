"""Property tests: an endpoint known to be leaving gets no new requests.

Faults: lists that lag, are older than a previous one or lack entries for a
short time; updates that are late, duplicated, reordered or about an unknown
incarnation; restarts of endpoints; daemons that can't read the list. Requests
are open throughout.
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
# Below and above the time after which an absent endpoint gets no requests.
SHORT_ABSENCE_S = 4.0
LONG_ABSENCE_S = 6.0


class EndpointMachine(RuleBasedStateMachine):
    """Three endpoints and the tables of two daemons."""

    table_class = EndpointTable

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.tables = [self.table_class() for _ in TABLES]
        self.current_state = dict.fromkeys(IDS, (1, False))
        self.list_history = [dict(self.current_state)]
        self.updates = []
        self.left_incarnations = [{} for _ in TABLES]
        self.open = [[] for _ in TABLES]
        self.missing_since_s = {}
        for number in TABLES:
            self.read_list(number, 0, None, False)

    def set_state(self, endpoint_id, incarnation, is_leaving):
        self.current_state[endpoint_id] = (incarnation, is_leaving)
        self.list_history.append(dict(self.current_state))

    @rule(
        endpoint_id=st.sampled_from(IDS),
        step=st.sampled_from(["leave", "leave", "restart"]),
    )
    def change_endpoint(self, endpoint_id, step):
        incarnation, _ = self.current_state[endpoint_id]
        if step == "leave":
            self.set_state(endpoint_id, incarnation, True)
        else:
            self.set_state(endpoint_id, incarnation + 1, False)

    @rule(
        number=st.sampled_from(TABLES),
        lag=st.sampled_from([0, 0, 1, 2, 4]),
        missing=st.sampled_from([None, None, *IDS]),
        is_empty=st.sampled_from([False, False, False, True]),
    )
    def read_list(self, number, lag, missing, is_empty):
        """A daemon reads the list, `lag` changes late and perhaps partial."""
        old = self.list_history[max(0, len(self.list_history) - 1 - lag)]
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
        before = self.candidate_ids(number)
        for record in records:
            self.record_left(number, record)
            self.missing_since_s.pop((number, record.endpoint_id), None)
        if missing and not is_empty:
            self.missing_since_s.setdefault((number, missing), self.now_s)
        self.tables[number].apply_list(records, self.now_s)
        missing_from_s = self.missing_since_s.get((number, missing), self.now_s)
        if missing in before and self.now_s - missing_from_s <= SHORT_ABSENCE_S:
            assert missing in self.candidate_ids(number), (
                "removed after a short absence"
            )
        if is_empty:
            assert before == self.candidate_ids(number), (
                "an empty list changed the candidates"
            )

    def candidate_ids(self, number):
        found = self.tables[number].candidates("p", self.now_s)
        return {state.endpoint_id for state in found}

    def record_left(self, number, record):
        """Records which incarnation this daemon knows to have left."""
        left_incarnation = record.incarnation - (record.state != "leaving")
        left_incarnations = self.left_incarnations[number]
        left_incarnations[record.endpoint_id] = max(
            left_incarnations.get(record.endpoint_id, 0), left_incarnation
        )

    @rule(endpoint_id=st.sampled_from(IDS), lag=st.sampled_from([0, 0, 1, 3]))
    def report_update(self, endpoint_id, lag):
        """A peer reports the current or an earlier state of an endpoint."""
        state = self.list_history[max(0, len(self.list_history) - 1 - lag)][
            endpoint_id
        ]
        self.updates.append(
            EndpointUpdate(
                endpoint_id=endpoint_id,
                incarnation=state[0],
                is_leaving=state[1],
                load=1.0,
            )
        )

    @rule(number=st.sampled_from(TABLES), index=st.integers(0, 5))
    def deliver_update(self, number, index):
        """Updates arrive late, in any order, and possibly more than once."""
        if not self.updates:
            return
        update = self.updates[index % len(self.updates)]
        left_incarnation = update.incarnation - (not update.is_leaving)
        left_incarnations = self.left_incarnations[number]
        left_incarnations[update.endpoint_id] = max(
            left_incarnations.get(update.endpoint_id, 0), left_incarnation
        )
        self.tables[number].apply_update(update)

    @rule(
        number=st.sampled_from(TABLES),
        step=st.sampled_from(["send", "send", "done", "fail", "time"]),
    )
    def work(self, number, step):
        table, open_ids = self.tables[number], self.open[number]
        if step == "time":
            self.now_s += SHORT_ABSENCE_S
        elif step == "send":
            for state in table.candidates("p", self.now_s)[:1]:
                table.record_sent(state.endpoint_id)
                open_ids.append(state.endpoint_id)
        elif open_ids:
            failed = step == "fail"
            table.record_done(open_ids.pop(), failed=failed, now_s=self.now_s)

    @invariant()
    def leaving_endpoints_get_no_work(self):
        for number in TABLES if hasattr(self, "tables") else ():
            for state in self.tables[number].candidates("p", self.now_s):
                left_incarnation = self.left_incarnations[number].get(
                    state.endpoint_id, 0
                )
                assert state.incarnation > left_incarnation, (
                    "request for a leaving endpoint"
                )
            for endpoint_id in set(self.open[number]):
                count = self.open[number].count(endpoint_id)
                state = self.tables[number].get(endpoint_id)
                counted = state.own_requests if state else 0
                assert counted == count, "open requests were lost"

    def teardown(self):
        """Once faults end, exactly the live endpoints get requests."""
        live = {
            i for i, (_, leaves) in self.current_state.items() if not leaves
        }
        for number in TABLES:
            self.read_list(number, 0, None, False)
            self.now_s += LONG_ABSENCE_S
            assert self.candidate_ids(number) == live, (
                "candidates differ from the live endpoints"
            )
            # An endpoint that stays absent from the list gets no requests.
            for _ in range(2):
                self.read_list(number, 0, IDS[0], False)
                self.now_s += LONG_ABSENCE_S
            assert self.candidate_ids(number) == live - {IDS[0]}


class DropsImmediately(EndpointTable):
    """Broken: removes an absent entry at once, with its open requests."""

    def _mark_absent(self, state, now_s):
        del self._endpoints[state.endpoint_id]


class IgnoresUnknownIncarnations(EndpointTable):
    """Broken: drops updates about an incarnation that isn't known yet."""

    def apply_update(self, update):
        known = self.get(update.endpoint_id)
        if known is None or known.incarnation != update.incarnation:
            return False
        return super().apply_update(update)


class TrustsList(EndpointTable):
    """Broken: an endpoint is live again if the list says so."""

    def _apply_record(self, record):
        super()._apply_record(record)
        state = self._endpoints[record.endpoint_id]
        if state.incarnation == record.incarnation:
            state.is_leaving = record.state == "leaving"


class EndpointProof(unittest.TestCase):
    def test_leaving_endpoints_get_no_new_requests(self):
        run_proof(EndpointMachine, examples=150)

    def test_broken_tables_are_detected(self):
        for broken in (
            DropsImmediately,
            IgnoresUnknownIncarnations,
            TrustsList,
        ):
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (EndpointMachine,), {"table_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)
