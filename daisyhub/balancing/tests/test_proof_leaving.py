"""Property tests: an endpoint that announced its leaving gets no requests.

Faults: lists that lag or are older than a previous one, removals and
re-insertions of an entry, peers' news that is late, repeated or about a
process that isn't listed, restarts under the same id at the same or another
address, and addresses reused under another id.
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

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    EndpointProcess,
    _leaving,
)
from daisyhub.settings import Address
from daisyhub.testing.proofs import find_failure, run_proof

IDS = ("e0", "e1", "e2")
PORTS = (1, 2, 3)
NO_IDS = frozenset()


def make_entry(process, is_leaving):
    return EndpointEntry(
        endpoint_id=process.endpoint_id,
        pool="p",
        address=process.address,
        domain="d",
        incarnation=process.incarnation,
        slots=4,
        is_leaving=is_leaving,
        versions={"m": 1},
    )


class LeavingMachine(RuleBasedStateMachine):
    """Three ids and addresses; the directories of two daemons."""

    directory_class = EndpointDirectory

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.last_incarnation = 0
        self.announced = [set(), set()]
        # Processes that each daemon's list has shown as leaving.
        self.listed = [set(), set()]
        self.news = []
        self.told = []
        self.directories = [self.make_directory(n) for n in (0, 1)]
        # All states that the list ever had, by id.
        self.history = {endpoint_id: [] for endpoint_id in IDS}
        for endpoint_id, port in zip(IDS, PORTS, strict=True):
            self.restart(endpoint_id, port)
            for number in (0, 1):
                self.read_entry(number, endpoint_id, 0)

    def make_directory(self, number):
        def on_leaving(entry, call):
            self.told.append((number, entry.process))
            self.news.append(entry.process)

        return self.directory_class(lambda _: 0.5, on_leaving=on_leaving)

    @rule(endpoint_id=st.sampled_from(IDS), port=st.sampled_from(PORTS))
    def restart(self, endpoint_id, port):
        self.last_incarnation += 1
        process = EndpointProcess(
            endpoint_id,
            self.last_incarnation,
            Address(ip="127.0.0.1", port=port),
        )
        self.history[endpoint_id].append(make_entry(process, False))

    @rule(endpoint_id=st.sampled_from(IDS))
    def list_as_leaving(self, endpoint_id):
        process = self.history[endpoint_id][-1].process
        self.history[endpoint_id].append(make_entry(process, True))

    @rule(
        number=st.sampled_from((0, 1)),
        endpoint_id=st.sampled_from(IDS),
        lag=st.sampled_from((0, 0, 1, 2)),
    )
    def read_entry(self, number, endpoint_id, lag):
        history = self.history[endpoint_id]
        entry = history[max(0, len(history) - 1 - lag)]
        directory = self.directories[number]
        directory.upsert(entry)
        seen = directory.get(endpoint_id).entry
        if entry.is_leaving:
            self.listed[number].add(entry.process)
        is_announced = entry.process in self.announced[number]
        is_listed = entry.process in self.listed[number]
        assert seen.is_leaving == (is_listed or is_announced), (
            "the entry of another process was marked, or a mark was lost"
        )

    @rule(
        number=st.sampled_from((0, 1)),
        endpoint_id=st.sampled_from(IDS),
        is_stable=st.booleans(),
    )
    def remove(self, number, endpoint_id, is_stable):
        self.now_s += 1.5
        directory = self.directories[number]
        directory.remove(endpoint_id, self.now_s, is_store_stable=is_stable)
        directory.expire(self.now_s)

    @rule(number=st.sampled_from((0, 1)), endpoint_id=st.sampled_from(IDS))
    def answer(self, number, endpoint_id):
        """A response announces the leaving, perhaps again."""
        directory = self.directories[number]
        endpoint = directory.get(endpoint_id)
        if endpoint is not None:
            directory.record_leaving(endpoint.entry, "request", self.now_s)
            self.announced[number].add(endpoint.entry.process)

    @rule(number=st.sampled_from((0, 1)), lag=st.integers(0, 4))
    def late_answer(self, number, lag):
        """A response of a process that may be gone or replaced by now."""
        entries = [e for id_ in IDS for e in self.history[id_]]
        entry = entries[lag % len(entries)]
        self.directories[number].record_leaving(entry, "run", self.now_s)
        self.announced[number].add(entry.process)

    @rule(number=st.sampled_from((0, 1)), index=st.integers(0, 5))
    def deliver_news(self, number, index):
        if not self.news:
            return
        process = self.news[index % len(self.news)]
        count = len(self.told)
        self.directories[number].mark_leaving(process, self.now_s)
        self.announced[number].add(process)
        assert len(self.told) == count, "a peer's news was passed on"

    @rule(number=st.sampled_from((0, 1)), endpoint_id=st.sampled_from(IDS))
    def report_versions(self, number, endpoint_id):
        self.directories[number].record_versions(endpoint_id, {"m": 2})

    @invariant()
    def announced_processes_get_no_requests(self):
        for number, directory in enumerate(getattr(self, "directories", ())):
            chosen = directory.choose(("p",), NO_IDS, self.now_s)
            candidates = {
                e.entry.endpoint_id: e for e in directory.in_pools(("p",))
            }
            assert (chosen is None) == (not candidates)
            for endpoint in candidates.values():
                assert endpoint.entry.process not in self.announced[number], (
                    "request for an endpoint that announced its leaving"
                )
                assert endpoint.entry.process not in self.listed[number], (
                    "request for an endpoint that was listed as leaving"
                )

    @invariant()
    def entries_of_announced_processes_are_leaving(self):
        """Also those that a request holds while it waits to be sent."""
        for number, directory in enumerate(getattr(self, "directories", ())):
            for process in self.announced[number] | self.listed[number]:
                entry = make_entry(process, False)
                assert directory.is_leaving(entry), (
                    "a leaving process was forgotten"
                )
                assert not directory.accepts(entry), (
                    "a held entry of a leaving process may be used"
                )

    @invariant()
    def processes_that_are_not_listed_get_no_requests(self):
        for directory in getattr(self, "directories", ()):
            for entry in (e for id_ in IDS for e in self.history[id_]):
                known = directory.get(entry.endpoint_id)
                is_listed = known and known.entry.process == entry.process
                assert is_listed or not directory.accepts(entry), (
                    "a held entry of a removed process may be used"
                )

    @invariant()
    def each_process_is_told_once(self):
        told = getattr(self, "told", [])
        assert len(told) == len(set(told)), "told twice"

    def teardown(self):
        """Once faults end, exactly the live endpoints get requests."""
        for number, directory in enumerate(getattr(self, "directories", ())):
            for endpoint_id in IDS:
                self.read_entry(number, endpoint_id, 0)
            live = {
                endpoint_id
                for endpoint_id in IDS
                if not self.history[endpoint_id][-1].is_leaving
                and self.history[endpoint_id][-1].process
                not in self.announced[number] | self.listed[number]
            }
            found = {e.entry.endpoint_id for e in directory.in_pools(("p",))}
            assert found == live, "candidates differ from the live endpoints"


class TrustsList(EndpointDirectory):
    """Broken: an endpoint is ready again if the list says so."""

    def upsert(self, entry):
        super().upsert(entry)
        self._endpoints[entry.endpoint_id].entry = entry


class ForgetsList(EndpointDirectory):
    """Broken: what the list said of a process isn't kept."""

    def upsert(self, entry):
        super().upsert(dataclasses.replace(entry, is_leaving=False))
        known = self._endpoints[entry.endpoint_id]
        if entry.is_leaving:
            known.entry = entry


class AcceptsUnlisted(EndpointDirectory):
    """Broken: an endpoint that isn't known to leave may be used."""

    def accepts(self, entry):
        return not self.is_leaving(entry)


class ForgetsWithEntry(EndpointDirectory):
    """Broken: a mark ends with the entry."""

    def remove(self, endpoint_id, now_s, *, is_store_stable):
        known = self.get(endpoint_id)
        if known is not None:
            self._leaving._marks.pop(known.entry.process, None)
        super().remove(endpoint_id, now_s, is_store_stable=is_store_stable)


class MarksById(EndpointDirectory):
    """Broken: the mark of a process also applies to the next one."""

    def mark_leaving(self, process, now_s):
        known = self.get(process.endpoint_id)
        if known is not None:
            process = known.entry.process
        return super().mark_leaving(process, now_s)


class PassesNewsOn(EndpointDirectory):
    """Broken: tells its peers what a peer told it."""

    def mark_leaving(self, process, now_s):
        is_new = super().mark_leaving(process, now_s)
        if is_new:
            self._on_leaving(make_entry(process, True), "peer")
        return is_new


class LeavingProof(unittest.TestCase):
    def test_announced_processes_get_no_requests(self):
        run_proof(LeavingMachine, examples=150)

    def test_broken_directories_are_detected(self):
        for broken in (
            TrustsList,
            ForgetsList,
            AcceptsUnlisted,
            ForgetsWithEntry,
            MarksById,
            PassesNewsOn,
        ):
            with self.subTest(broken.__name__):
                machine = type(
                    "Machine", (LeavingMachine,), {"directory_class": broken}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)


class MarksTest(unittest.TestCase):
    def make_process(self, number):
        address = Address(ip="127.0.0.1", port=1)
        return EndpointProcess(f"e{number}", number, address)

    def test_the_oldest_marks_of_unlisted_processes_go_first(self):
        listed = {self.make_process(0)}
        marks = _leaving.LeavingMarks(listed.__contains__)
        for number in range(_leaving.MAX_MARKS + 10):
            marks.add(self.make_process(number), 0.0, is_confirmed=False)
        self.assertEqual(len(marks), _leaving.MAX_MARKS)
        self.assertIn(self.make_process(0), marks)
        self.assertNotIn(self.make_process(10), marks)
        self.assertIn(self.make_process(11), marks)

    def test_the_lag_of_the_list_is_reported_once(self):
        process = self.make_process(0)
        marks = _leaving.LeavingMarks(lambda _: True)
        self.assertIsNone(marks.confirm(process, 1.0))
        marks.add(process, 2.0, is_confirmed=False)
        self.assertFalse(marks.add(process, 3.0, is_confirmed=False))
        self.assertEqual(marks.confirm(process, 4.5), 2.5)
        self.assertIsNone(marks.confirm(process, 5.0))

    def test_a_list_that_preceded_the_announcement_has_no_lag(self):
        process = self.make_process(0)
        marks = _leaving.LeavingMarks(lambda _: True)
        marks.add(process, 2.0, is_confirmed=True)
        self.assertIsNone(marks.confirm(process, 3.0))
