"""Property test: groups are delivered once, fresh, with correct versions.

Faults: several holders that crash, freeze and resume; writes that are lost,
late or unanswered; engines that fail, return invalid spans, respond twice
or late, and swap weights within a sample; a trainer that stops waiting, calls
another holder and advances its version; duplicates of old calls; lost
acknowledgements.
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
RECOVERY_ROUNDS = 60
# The outcome of the write is uncertain: with "lose" it takes effect, with
# "fail" it doesn't, with "delay" it may do so later.
STORE_FAULTS = ("lose", "fail", "delay")
# "swap" changes weights within a sample; "missing", "gap" and "short" return
# spans that don't cover the tokens; "twice" responds twice.
ENGINE_FAULTS = ("swap", "fail", "missing", "gap", "short", "twice")


def engine_response(versions, fault=""):
    """Returns a response whose tokens equal the versions that produced them."""
    spans = []
    for position, version in enumerate(versions):
        if spans and spans[-1].version == version:
            start = spans.pop().start
        else:
            start = position
        spans.append(Span(version=version, start=start, end=position + 1))
    if fault == "missing":
        spans = []
    elif fault == "gap":
        spans = spans[:-1] + [Span(version=9, start=99, end=100)]
    elif fault == "short":
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
        self.actions = {}
        self.frozen = set()
        for holder in HOLDERS:
            self.crash(holder)
        self.trainer_version = self.engine_version = 1
        self.calls = 0
        self.pulls = dict.fromkeys(RANKS, 1)
        self.waiting = {}
        self.old_calls = []
        self.delivered = {}
        self.billed = set()
        self.has_failed = False

    def check(self, is_met, what):
        """Asserts; records a failure so that the teardown doesn't hide it."""
        self.has_failed |= not is_met
        assert is_met, what

    def crash(self, holder):
        self.starts += 1
        self.cores[holder] = self.core_class(SPEC, f"h{self.starts}")
        self.actions[holder] = []
        self.frozen.discard(holder)

    def feed(self, holder, event):
        if self.cores[holder].is_finished:
            self.crash(holder)
        self.actions[holder] += self.cores[holder].handle(event, self.now_s)

    # Rules of the trainer and its ranks.

    @rule(
        rank=st.sampled_from(RANKS),
        holder=st.sampled_from(HOLDERS),
        fault=st.sampled_from([""] * 5 + ["idle", "freeze", *STORE_FAULTS]),
        kind=st.sampled_from([""] * 5 + [*ENGINE_FAULTS]),
        is_response_delivered=st.sampled_from([True, True, True, False]),
    )
    def request_groups(
        self, rank, holder, fault="", kind="", is_response_delivered=True
    ):
        """A rank abandons its call, if any, and sends a new one.

        Unless the fault is "idle" the holder then works on it: engines respond,
        the first one with the fault `kind`, and its write to the store gets
        the fault `fault`.
        """
        self.calls += 1
        call = PullRequested(
            call=self.calls,
            pull_id=f"{rank}-{self.pulls[rank]}",
            version=self.trainer_version,
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
        if is_response_delivered:
            self.respond_to_trainer(holder)

    @rule(pick=st.integers(0, 50))
    def receive_duplicate(self, pick):
        """A delayed call or a duplicate of a call arrives."""
        if self.old_calls:
            holder, call = self.old_calls[pick % len(self.old_calls)]
            if holder not in self.frozen:
                self.feed(holder, call)

    @rule(holder=st.sampled_from(HOLDERS), pick=st.integers(0, 20))
    def ack(self, holder, pick):
        done = sorted(set(self.delivered.values()))
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
        self.trainer_version += who != "engines"
        self.engine_version = max(
            self.trainer_version, self.engine_version + (who != "trainer")
        )

    def accept_response(self, response):
        """Checks a response, if a rank still waits for its call."""
        for rank, call in list(self.waiting.items()):
            if call.call != response.call:
                continue
            del self.waiting[rank]
            if response.groups:
                self.pulls[rank] += 1
            for group in response.groups:
                self.check_group(group, call)

    def check_group(self, group, call):
        is_new = group.group not in self.delivered
        self.check(is_new, ("delivered twice", group, self.delivered))
        self.delivered[group.group] = call.pull_id
        indexes = [sample.index for sample in group.samples]
        self.check(indexes == list(range(SPEC.group_size)), "incomplete group")
        for sample in group.samples:
            spans = sample.spans
            span_versions = [
                s.version for s in spans for _ in range(s.start, s.end)
            ]
            self.check(
                span_versions == list(sample.tokens), ("wrong versions", sample)
            )
            is_fresh = min(sample.tokens) >= call.version - STALENESS
            self.check(is_fresh, ("stale", sample, call))

    # Rules of the holders, the store and the engines.

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
            self.respond_to_trainer(holder)
        elif step == "release":
            self.feed(holder, LotReleased())
        elif step == "engine":
            self.run_generation(holder, kind)
        else:
            self.run_store_call(holder, step)

    @rule(seconds=st.sampled_from([0.25, 1.1]))
    def pass_time(self, seconds):
        self.now_s += seconds
        for holder in set(HOLDERS) - self.frozen:
            self.feed(holder, LotTick())

    @rule()
    def apply_late_write(self):
        """A delayed write with an uncertain outcome reaches the store."""
        if self.delayed:
            self.apply(self.delayed.pop(0))

    def work(self, holder, fault="", kind=""):
        """A holder works until it waits; its next write gets the fault."""
        for _ in range(12):
            while self.run_generation(holder, kind):
                kind = ""
            is_write = isinstance(self.next_store_action(holder), WriteState)
            if is_write and fault == "freeze":
                self.frozen.add(holder)
                return
            if not self.run_store_call(holder, fault if is_write else "store"):
                return
            if is_write and fault:
                return

    def next_store_action(self, holder):
        for action in self.actions[holder]:
            if isinstance(action, ReadState | WriteState):
                return action
        return None

    def pop(self, holder, *kinds):
        for action in self.actions[holder]:
            if isinstance(action, kinds):
                self.actions[holder].remove(action)
                return action
        return None

    def respond_to_trainer(self, holder):
        """Executes all actions but store calls and pending generations."""
        cancelled = {
            a.attempt
            for a in self.actions[holder]
            if isinstance(a, CancelSample)
        }
        rest = []
        for action in self.actions[holder]:
            if isinstance(action, DeliverGroups):
                self.accept_response(action)
            elif isinstance(action, RefuseCall):
                # This test acknowledges only pulls with delivered groups.
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
        self.actions[holder] = rest

    def run_generation(self, holder, kind):
        """Generates the next sample, if any, with the fault `kind`.

        Returns whether there was one.
        """
        action = self.pop(holder, Generate)
        if action is None:
            return False
        if kind == "fail":
            self.feed(holder, SampleFailed(action.attempt))
            return True
        versions = (self.engine_version,) * 2
        if kind == "swap":
            versions = (self.engine_version - 1, self.engine_version)
        response = engine_response(versions, kind)
        for _ in range(2 if kind == "twice" else 1):
            self.feed(holder, SampleReceived(action.attempt, response))
        return True

    def apply(self, write):
        """Applies a conditional write; returns whether it took effect.

        A repeat of the newest write succeeds without effect.
        """
        if write.write_id == self.write_ids.get(self.version):
            return True
        if write.expected_version != self.version:
            return False
        self.version += 1
        self.state = write.state
        self.write_ids[self.version] = write.write_id
        return True

    def run_store_call(self, holder, fault):
        """Executes the next read or write; "" and "store" mean no fault.

        Returns whether there was one.
        """
        action = self.next_store_action(holder)
        if action is None:
            return False
        self.actions[holder].remove(action)
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
        """Ends all faults and checks that every group is delivered."""
        if getattr(self, "has_failed", True):
            return
        self.frozen.clear()
        self.engine_version = max(self.engine_version, self.trainer_version)
        for number in range(RECOVERY_ROUNDS):
            if len(self.delivered) == GROUPS:
                return
            for rank in RANKS:
                if rank not in self.waiting or not number % 8:
                    self.request_groups(rank, 0)
            self.pass_time(0.25)
            for holder in HOLDERS:
                self.work(holder)
                self.respond_to_trainer(holder)
        raise AssertionError(f"only {sorted(self.delivered)} were delivered")


class DeliversUncommitted(LotCore):
    """Broken: treats a write with an uncertain outcome as successful."""

    def _on_store_failure(self, event, now_s):
        if isinstance(event, StateWriteUncertain) and self._pending_write:
            self._apply_state(self._pending_write.state, self._version)
        super()._on_store_failure(event, now_s)


class OverwritesStoredMap(LotCore):
    """Broken: overwrites the stored map after a rejected write."""

    def _on_read(self, event):
        state = event.state if self._state is None else self._state
        return super()._on_read(StateRead(state, event.version))


class ReleasesRepeatedGroups(LotCore):
    """Broken: a repeated pull without samples releases its groups."""

    def _serve_pull(self, call, now_s):
        record = self._state.pulls.get(call.pull_id)
        complete = self._slots.complete_groups
        if (
            record
            and not record.is_acked
            and set(record.groups) - set(complete)
        ):
            pulls = dict(self._state.pulls)
            del pulls[call.pull_id]
            self._state = LotState(pulls=pulls)
            self._committed_groups -= set(record.groups)
            self._slots.add_groups(record.groups)
            return []
        return super()._serve_pull(call, now_s)


class DeliversStaleRepeats(LotCore):
    """Broken: a repeated pull isn't checked for stale samples."""

    def _serve_pull(self, call, now_s):
        record = self._state.pulls.get(call.pull_id)
        if record and set(record.groups) <= set(self._slots.complete_groups):
            return [self._deliver(call, record.groups)]
        return super()._serve_pull(call, now_s)


class AcceptsInvalidSpans(LotCore):
    """Broken: accepts samples with invalid spans."""

    def _on_sample(self, event, now_s):
        slot = self._slots.slot_of(event.attempt)
        spans = event.response.spans or (Span(version=99, start=0, end=1),)
        if slot is None:
            return []
        sample = Sample(
            index=slot[1], tokens=event.response.tokens, spans=spans
        )
        return self._slots.complete_attempt(event.attempt, sample)


class RefusesWithoutRead(LotCore):
    """Broken: refuses an acknowledgement without a new read."""

    def _require_read(self, call):
        pass


class BillsEveryWrite(LotCore):
    """Broken: bills commits whose write was rejected."""

    def _pop_confirmed_usage(self):
        counted = list(self._unbilled_usage.values())
        self._unbilled_usage.clear()
        return counted


BROKEN = (
    DeliversUncommitted,
    OverwritesStoredMap,
    ReleasesRepeatedGroups,
    DeliversStaleRepeats,
    AcceptsInvalidSpans,
    RefusesWithoutRead,
    BillsEveryWrite,
)


class LotProof(unittest.TestCase):
    def test_groups_are_delivered_once_fresh_and_with_correct_versions(self):
        run_proof(LotMachine, examples=600)

    def test_broken_lot_cores_are_detected(self):
        for broken in BROKEN:
            with self.subTest(broken.__name__):
                machine = type("Machine", (LotMachine,), {"core_class": broken})
                self.assertIsInstance(find_failure(machine), AssertionError)
