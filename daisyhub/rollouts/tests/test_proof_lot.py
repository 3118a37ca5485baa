"""Proof: groups are delivered once, fresh, and with their true versions.

Faults: holders that crash, freeze and wake up, several at a time; writes that
are lost, late or unanswered; engines that fail, lie, answer twice or late and
swap weights in a sample; a trainer that gives up waiting, asks elsewhere and
advances; duplicates of old calls and lost acknowledgements.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from daisyhub.rollouts import (
    AckRequested,
    CancelSample,
    CountUsage,
    DeliverGroups,
    EngineResponse,
    Generate,
    LotCore,
    LotReleased,
    LotSpec,
    LotState,
    LotTick,
    PullRequested,
    ReadState,
    RefusalReason,
    RefuseCall,
    Sample,
    SampleFailed,
    SampleReceived,
    Span,
    StateRead,
    StateReadFailed,
    StateWriteRejected,
    StateWriteUncertain,
    StateWritten,
    WriteState,
)
from daisyhub.testing.proofs import find_failure, run_proof

HOLDERS = (0, 1, 2)
RANKS = (0, 1)
GROUPS = 4
STALENESS = 1
SPEC = LotSpec(
    lot_id="lot",
    lot_class="c",
    account="a",
    pool="p",
    prompts=("x",) * GROUPS,
    group_size=2,
    max_staleness=STALENESS,
    max_tokens=4,
    concurrency=3,
    spare_samples=1,
)
WAIT_S = 1.0
HEAL_ROUNDS = 60
STORE_FAULTS = ("lose", "fail", "delay")
ENGINE_FAULTS = ("swap", "fail", "missing", "gap", "short", "twice")


def engine_answer(versions, lie=""):
    """Returns an answer whose tokens are the versions that made them."""
    spans = []
    for place, version in enumerate(versions):
        if spans and spans[-1].version == version:
            start = spans.pop().start
        else:
            start = place
        spans.append(Span(version=version, start=start, end=place + 1))
    if lie == "missing":
        spans = []
    elif lie == "gap":
        spans = spans[:-1] + [Span(version=9, start=99, end=100)]
    elif lie == "short":
        versions = (*versions, versions[-1] + 1)
    return EngineResponse(tokens=tuple(versions), spans=tuple(spans))


class LotMachine(RuleBasedStateMachine):
    """Three holders, one store, engines, and a trainer with two ranks."""

    core_class = LotCore

    @initialize()
    def start(self):
        self.now_s = 100.0
        self.state, self.version = LotState(), 0
        self.write_ids = {0: ""}
        self.delayed = []
        self.starts = 0
        self.cores = {}
        self.out = {}
        self.frozen = set()
        for holder in HOLDERS:
            self.crash(holder)
        self.trainer = self.engines = 1
        self.calls = 0
        self.pulls = dict.fromkeys(RANKS, 1)
        self.waiting = {}
        self.old_calls = []
        self.taken = {}
        self.billed = set()
        self.has_failed = False

    def check(self, is_met, what):
        """Notes a failure, so that the teardown doesn't hide it."""
        self.has_failed |= not is_met
        assert is_met, what

    def crash(self, holder):
        self.starts += 1
        self.cores[holder] = self.core_class(SPEC, f"h{self.starts}")
        self.out[holder] = []
        self.frozen.discard(holder)

    def feed(self, holder, event):
        if self.cores[holder].is_over:
            self.crash(holder)
        self.out[holder] += self.cores[holder].handle(event, self.now_s)

    # What the trainer and its ranks do.

    @rule(
        rank=st.sampled_from(RANKS),
        holder=st.sampled_from(HOLDERS),
        fault=st.sampled_from([""] * 5 + ["idle", "freeze", *STORE_FAULTS]),
        kind=st.sampled_from([""] * 5 + [*ENGINE_FAULTS]),
        is_heard=st.sampled_from([True, True, True, False]),
    )
    def ask(self, rank, holder, fault="", kind="", is_heard=True):
        """A rank gives up its call, if any, and asks again.

        Most often the holder works on it: engines answer, one of them with
        a fault, and its write to the store meets a fault.
        """
        self.calls += 1
        call = PullRequested(
            call=self.calls,
            pull_id=f"{rank}-{self.pulls[rank]}",
            version=self.trainer,
            max_groups=2,
            until_s=self.now_s + WAIT_S,
        )
        self.waiting[rank] = call
        self.old_calls.append((holder, call))
        if holder in self.frozen:
            return
        self.feed(holder, call)
        if fault != "idle":
            self.work(holder, fault, kind)
        if is_heard:
            self.answer_trainer(holder)

    @rule(pick=st.integers(0, 50))
    def hear_duplicate(self, pick):
        """A call that the network held back arrives (again)."""
        if self.old_calls:
            holder, call = self.old_calls[pick % len(self.old_calls)]
            if holder not in self.frozen:
                self.feed(holder, call)

    @rule(holder=st.sampled_from(HOLDERS), pick=st.integers(0, 20))
    def ack(self, holder, pick):
        done = sorted(set(self.taken.values()))
        if done and holder not in self.frozen:
            self.calls += 1
            pull_id = done[pick % len(done)]
            until_s = self.now_s + WAIT_S
            event = AckRequested(
                call=self.calls, pull_id=pull_id, until_s=until_s
            )
            self.feed(holder, event)

    @rule(who=st.sampled_from(["trainer", "engines", "both"]))
    def advance(self, who):
        self.trainer += who != "engines"
        self.engines = max(self.trainer, self.engines + (who != "trainer"))

    def take(self, response):
        """The oracle: what a rank takes from the call it waits for."""
        for rank, call in list(self.waiting.items()):
            if call.call != response.call:
                continue
            del self.waiting[rank]
            if response.groups:
                self.pulls[rank] += 1
            for group in response.groups:
                self.check_group(group, call)

    def check_group(self, group, call):
        is_new = group.group not in self.taken
        self.check(is_new, ("doubled", group, self.taken))
        self.taken[group.group] = call.pull_id
        indexes = [sample.index for sample in group.samples]
        self.check(indexes == list(range(SPEC.group_size)), "not whole")
        for sample in group.samples:
            spans = sample.spans
            named = [s.version for s in spans for _ in range(s.start, s.end)]
            self.check(named == list(sample.tokens), ("untrue", sample))
            is_fresh = min(sample.tokens) >= call.version - STALENESS
            self.check(is_fresh, ("stale", sample, call))

    # What holders, store and engines do.

    @rule(
        holder=st.sampled_from(HOLDERS),
        step=st.sampled_from(
            ["work", "work", "answer", "store", "crash", "freeze", "thaw"]
            + ["thaw", "thaw", "release", "engine", *STORE_FAULTS]
        ),
        kind=st.sampled_from(["", "", *ENGINE_FAULTS]),
    )
    def act(self, holder, step, kind):
        if step == "crash":
            self.crash(holder)
        elif step == "thaw":
            self.frozen.discard(holder)
        elif holder in self.frozen:
            return
        elif step == "freeze":
            self.frozen.add(holder)
        elif step == "work":
            self.work(holder)
        elif step == "answer":
            self.answer_trainer(holder)
        elif step == "release":
            self.feed(holder, LotReleased())
        elif step == "engine":
            self.reach_engine(holder, kind)
        else:
            self.reach_store(holder, step)

    @rule(seconds=st.sampled_from([0.25, 1.1]))
    def pass_time(self, seconds):
        self.now_s += seconds
        for holder in set(HOLDERS) - self.frozen:
            self.feed(holder, LotTick())

    @rule()
    def hear_late_write(self):
        """A write whose sender gave up on the answer reaches the store."""
        if self.delayed:
            self.apply(self.delayed.pop(0))

    def work(self, holder, fault="", kind=""):
        """A holder works until it waits; its next write meets the fault."""
        for _ in range(12):
            while self.reach_engine(holder, kind):
                kind = ""
            is_write = isinstance(self.next_store_action(holder), WriteState)
            if is_write and fault == "freeze":
                self.frozen.add(holder)
                return
            if not self.reach_store(holder, fault if is_write else "store"):
                return
            if is_write and fault:
                return

    def next_store_action(self, holder):
        for action in self.out[holder]:
            if isinstance(action, ReadState | WriteState):
                return action
        return None

    def pop(self, holder, *kinds):
        for action in self.out[holder]:
            if isinstance(action, kinds):
                self.out[holder].remove(action)
                return action
        return None

    def answer_trainer(self, holder):
        cancelled = {
            a.attempt for a in self.out[holder] if isinstance(a, CancelSample)
        }
        rest = []
        for action in self.out[holder]:
            if isinstance(action, DeliverGroups):
                self.take(action)
            elif isinstance(action, RefuseCall):
                # Only pulls that were taken are acknowledged here.
                is_known = action.reason is not RefusalReason.UNKNOWN_PULL
                self.check(is_known, ("acknowledgement refused", action))
            elif isinstance(action, CountUsage):
                is_new = not self.billed & set(action.groups)
                self.check(is_new, ("billed twice", action))
                self.billed |= set(action.groups)
            elif isinstance(action, ReadState | WriteState) or (
                isinstance(action, Generate) and action.attempt not in cancelled
            ):
                rest.append(action)
        self.out[holder] = rest

    def reach_engine(self, holder, kind):
        action = self.pop(holder, Generate)
        if action is None:
            return False
        if kind == "fail":
            self.feed(holder, SampleFailed(action.attempt))
            return True
        versions = (self.engines,) * 2
        if kind == "swap":
            versions = (self.engines - 1, self.engines)
        response = engine_answer(versions, kind)
        for _ in range(2 if kind == "twice" else 1):
            self.feed(holder, SampleReceived(action.attempt, response))
        return True

    def apply(self, write):
        if write.write_id == self.write_ids.get(self.version):
            return True
        if write.expected_version != self.version:
            return False
        self.version += 1
        self.state = write.state
        self.write_ids[self.version] = write.write_id
        return True

    def reach_store(self, holder, fault):
        action = self.next_store_action(holder)
        if action is None:
            return False
        self.out[holder].remove(action)
        if isinstance(action, ReadState):
            event = StateReadFailed()
            if fault in ("", "store"):
                event = StateRead(self.state, self.version)
        elif fault in ("", "store"):
            event = StateWriteRejected(action.write_id)
            if self.apply(action):
                event = StateWritten(action.write_id, self.version)
        else:
            event = StateWriteUncertain(action.write_id)
            if fault == "lose":
                self.apply(action)
            elif fault == "delay":
                self.delayed.append(action)
        self.feed(holder, event)
        return True

    def teardown(self):
        """All faults end; then every group must arrive."""
        if getattr(self, "has_failed", True):
            return
        self.frozen.clear()
        self.engines = max(self.engines, self.trainer)
        for number in range(HEAL_ROUNDS):
            if len(self.taken) == GROUPS:
                return
            for rank in RANKS:
                if rank not in self.waiting or not number % 8:
                    self.ask(rank, 0)
            self.pass_time(0.25)
            for holder in HOLDERS:
                self.work(holder)
                self.answer_trainer(holder)
        raise AssertionError(f"only {sorted(self.taken)} arrived")


class HandsOverUncommitted(LotCore):
    """Broken: takes a write for done before its effect is known."""

    def _on_store_trouble(self, event, now_s):
        if isinstance(event, StateWriteUncertain) and self._write:
            self._adopt(self._write.state, self._version)
        super()._on_store_trouble(event, now_s)


class KeepsOwnMap(LotCore):
    """Broken: after a refused write it puts its own map over the stored."""

    def _on_read(self, event):
        state = event.state if self._state is None else self._state
        return super()._on_read(StateRead(state, event.version))


class FreesRepeatedGroups(LotCore):
    """Broken: a repeat whose samples are gone frees the pull's groups."""

    def _serve_pull(self, call, now_s):
        record = self._state.pulls.get(call.pull_id)
        whole = self._slots.whole_groups
        if record and not record.is_acked and set(record.groups) - set(whole):
            pulls = dict(self._state.pulls)
            del pulls[call.pull_id]
            self._state = LotState(pulls=pulls)
            self._owned -= set(record.groups)
            self._slots.want(record.groups)
            return []
        return super()._serve_pull(call, now_s)


class RepeatsStaleSamples(LotCore):
    """Broken: a repeat isn't checked against its own version."""

    def _serve_pull(self, call, now_s):
        record = self._state.pulls.get(call.pull_id)
        if record and set(record.groups) <= set(self._slots.whole_groups):
            return [self._hand_over(call, record.groups)]
        return super()._serve_pull(call, now_s)


class TrustsSpans(LotCore):
    """Broken: takes whatever spans an engine names."""

    def _on_ready(self, event, now_s):
        place = self._slots.slot_of(event.attempt)
        spans = event.response.spans or (Span(version=99, start=0, end=1),)
        if place is None:
            return []
        sample = Sample(
            index=place[1], tokens=event.response.tokens, spans=spans
        )
        return self._slots.finish(event.attempt, sample)


class RefusesUnread(LotCore):
    """Broken: refuses an acknowledgement by what was read before it."""

    def _read_first(self, call):
        pass


class BillsEveryWrite(LotCore):
    """Broken: bills a commit that another holder's write prevented."""

    def _bill(self):
        counted = list(self._unbilled.values())
        self._unbilled.clear()
        return counted


BROKEN = (
    HandsOverUncommitted,
    KeepsOwnMap,
    FreesRepeatedGroups,
    RepeatsStaleSamples,
    TrustsSpans,
    RefusesUnread,
    BillsEveryWrite,
)


class LotProof(unittest.TestCase):
    def test_groups_come_once_fresh_and_with_true_versions(self):
        run_proof(LotMachine, examples=600)

    def test_the_machine_catches_broken_lots(self):
        for broken in BROKEN:
            with self.subTest(broken.__name__):
                machine = type("Machine", (LotMachine,), {"core_class": broken})
                self.assertIsInstance(find_failure(machine), AssertionError)
