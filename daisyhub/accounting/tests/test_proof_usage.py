"""Property test: usage is reported once, with final figures, and none is lost.

Faults: kills, two lease holders at once, actions that are executed long after
the decision, lost responses, writes that take effect late, platform outages,
lost, late and duplicate copies, network partitions, and wall clocks that jump.
"""

import types
import unittest

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from daisyhub.accounting import (
    CallFailed,
    EmptyStore,
    FlushCore,
    FlushTick,
    Ledger,
    LedgerRead,
    LedgerWriteRejected,
    LedgerWritten,
    ListedStore,
    ListParts,
    PartsListed,
    PartStore,
    ReadLedger,
    ReadStore,
    ReportAccepted,
    SealCore,
    SealedParts,
    SealedWindow,
    SealTick,
    SendReport,
    StoreEmptied,
    StoreRead,
    StoreWriteRejected,
    StoreWritten,
    UsageCounters,
    WriteLedger,
    WriteStore,
)
from daisyhub.testing.proofs import find_failure, run_proof

WINDOW_S = 10.0
GRACE_S = 2.0
DAEMONS = ("d0", "d1", "d2")
MAX_STARTS = 6
RECOVERY_TURNS = 12
FAULTY_CALLS = (
    WriteLedger,
    WriteStore,
    SendReport,
    ReadLedger,
    ListParts,
    EmptyStore,
)


class Oracle:
    """Plain sums of served, lost, sealed and reported usage."""

    def __init__(self):
        self.served = {}
        self.lost = {}
        self.sealed = {}
        self.sums = {}
        self.reported = {}

    def on_sealed(self, ledger):
        for report in ledger.unreported:
            known = self.sealed.get(report.window)
            assert known in (None, report.body), "a window was sealed twice"
            if known is None:
                self.sealed[report.window] = report.body
                self.add_window(
                    msgspec.json.decode(report.body, type=SealedWindow)
                )

    def add_window(self, window):
        for count in window.counts:
            add(self.sums, count.account, count.requests, count.tokens)
            sealed = self.sums[count.account]
            served = self.served[count.account]
            assert sealed[0] <= served[0], "more was sealed than served"
            assert sealed[1] <= served[1], "more was sealed than served"

    def on_report(self, action):
        known = self.reported.setdefault(action.window, action.body)
        assert known == action.body, (
            "a window was reported with different figures"
        )
        sealed = self.sealed.get(action.window)
        assert sealed == action.body, "reported without being sealed"

    def check_end(self):
        assert self.reported == self.sealed, "a sealed window isn't reported"
        sums = dict(self.sums)
        for requests, tokens, account in self.lost.values():
            add(sums, account, requests, tokens)
        assert sums == self.served, (sums, self.served, self.lost)


def add(sums, account, requests, tokens):
    old = sums.get(account, (0, 0))
    sums[account] = (old[0] + requests, old[1] + tokens)


class UsageMachine(RuleBasedStateMachine):
    """Three daemons of one failure domain, and the platform."""

    flush_class = FlushCore
    seal_class = SealCore

    @initialize()
    def start(self):
        self.now_s = 1000.0
        self.ledger, self.ledger_version = Ledger(), 0
        self.stores = {name: (PartStore(), 0) for name in DAEMONS}
        self.oracle = Oracle()
        self.in_flight, self.late_writes, self.pending_actions = [], [], {}
        self.fencing, self.cut_off = 0, set()
        self.starts = dict.fromkeys(DAEMONS, 0)
        self.daemons = {}
        for name in DAEMONS:
            self.start_daemon(name)

    def start_daemon(self, name):
        self.starts[name] += 1
        counters = UsageCounters(name, self.starts[name], WINDOW_S)
        self.daemons[name] = types.SimpleNamespace(
            counters=counters,
            flush=self.flush_class(counters, 1.0),
            seal=self.seal_class("busan", WINDOW_S, GRACE_S, 1.0),
            fencing=0,
            offset_s=0.0,
        )

    def live(self, name):
        """Returns the incarnations of the live peers known to `name`."""
        seen = {n: self.starts[n] for n in DAEMONS if n != name}
        return {} if name in self.cut_off else seen

    @rule(name=st.sampled_from(DAEMONS))
    def toggle_connection(self, name):
        self.cut_off ^= {name}

    @rule(
        name=st.sampled_from(DAEMONS),
        account=st.sampled_from(["yard", "archive"]),
        copies=st.sampled_from(["sent", "sent", "kept"]),
    )
    def serve(self, name, account, copies):
        """Serves a request; the counts stay local if `copies` is "kept"."""
        daemon = self.daemons[name]
        wall_s = self.now_s + daemon.offset_s
        daemon.counters.add(account, 7, wall_s)
        add(self.oracle.served, account, 1, 7)
        if copies == "sent":
            self.send_copies(name)

    def send_copies(self, name):
        counters = self.daemons[name].counters
        for peer, usage in counters.tick(self.live(name)).items():
            self.in_flight.append((peer, name, self.starts[name], usage))

    @rule(mode=st.sampled_from(["once", "once", "twice", "all", "drop"]))
    def deliver(self, mode):
        """Delivers copies in flight, or drops the oldest."""
        if mode == "drop" and self.in_flight:
            self.in_flight.pop(0)
            self.record_lost()
        while self.in_flight and mode != "drop":
            item = self.in_flight.pop(0)
            self.receive(*item)
            if mode == "twice":
                self.in_flight.append(item)
            if mode != "all":
                break

    def receive(self, peer, sender, incarnation, usage):
        counters = self.daemons[peer].counters
        if usage.parts:
            counters.keep_copies(sender, usage.parts)
        if usage.acked_number:
            counters.on_copies_acknowledged(
                sender, incarnation, usage.acked_epoch, usage.acked_number
            )

    @rule(seconds=st.sampled_from([1.1, 4.0, 13.0, 25.0]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule(
        name=st.sampled_from(DAEMONS),
        kind=st.sampled_from(["flush", "both", "both"]),
        fault=st.sampled_from(["none", "lose", "outage", "late", "stall"]),
        call=st.sampled_from(FAULTY_CALLS),
    )
    def take_turn(self, name, kind, fault, call):
        """Lets a window end and a daemon act.

        The daemon's first call of the type `call` gets the fault; `execute` and
        `feed` say what each fault does.
        """
        self.now_s += WINDOW_S + GRACE_S
        self.run_core(name, "flush", fault, call)
        if kind == "both":
            self.take_lease(name)
            self.run_core(name, "seal", fault, call)

    @rule(
        names=st.permutations(DAEMONS),
        call=st.sampled_from([WriteLedger, SendReport, EmptyStore]),
    )
    def freeze_holder(self, names, call):
        """A holder freezes before a call, another acts, the first resumes."""
        frozen, other = names[:2]
        self.serve(other, "archive", "kept")
        if call is EmptyStore:
            self.run_core(other, "flush")
            self.cut_off |= {frozen}
        self.take_turn(frozen, "both", "stall", call)
        self.serve(other, "yard", "kept")
        kind = "flush" if call is EmptyStore else "both"
        self.take_turn(other, kind, "none", call)
        self.wake(frozen, "seal")

    def take_lease(self, name):
        """Takes the lease; the previous holder isn't notified and may act."""
        if self.daemons[name].fencing != self.fencing or not self.fencing:
            self.fencing += 1
            self.daemons[name].fencing = self.fencing

    def run_core(self, name, kind, fault="none", call=None):
        if (name, kind) in self.pending_actions:
            return
        daemon = self.daemons[name]
        wall_s = self.now_s + daemon.offset_s
        running = frozenset({name, *self.live(name)})
        event = SealTick(wall_s, daemon.fencing, running)
        if kind == "flush":
            event = FlushTick(wall_s, self.live(name))
        self.feed(name, kind, event, fault, call)

    def feed(self, name, kind, event, fault="none", call=None):
        """Feeds an event to a core and executes the actions that follow.

        The fault "stall" freezes the daemon before the call, until `wake`.
        """
        core = getattr(self.daemons[name], kind)
        actions = core.handle(event, self.now_s)
        while actions:
            call_fault = "none"
            if type(actions[0]) is call:
                call_fault, call = fault, None
            if call_fault == "stall":
                self.pending_actions[name, kind] = actions[0]
                return
            event = self.execute(name, actions[0], call_fault)
            actions = core.handle(event, self.now_s)

    @rule(
        name=st.sampled_from(DAEMONS), kind=st.sampled_from(["flush", "seal"])
    )
    def wake(self, name, kind):
        """A frozen daemon resumes and executes its pending action."""
        action = self.pending_actions.pop((name, kind), None)
        if action is not None:
            event = self.execute(name, action, "none")
            self.feed(name, kind, event)

    def execute(self, name, action, fault):
        """Executes an action with a fault and returns the resulting event.

        "lose" loses the response, "outage" the request; "late" delays a write
        until `late_write_arrives`.
        """
        writes = WriteStore | WriteLedger | EmptyStore
        if fault == "late" and isinstance(action, writes):
            self.late_writes.append((name, action))
        if fault in ("late", "outage"):
            return CallFailed()
        event = self.apply(name, action)
        return CallFailed() if fault == "lose" else event

    def apply(self, name, action):
        match action:
            case ReadLedger():
                return LedgerRead(self.ledger, self.ledger_version)
            case ReadStore():
                return StoreRead(*self.stores[name])
            case ListParts():
                return PartsListed(self.listed())
            case EmptyStore():
                self.write_store(
                    action.daemon_id,
                    WriteStore(PartStore(), action.expected_version),
                )
                return StoreEmptied()
            case WriteStore():
                return self.write_store(name, action)
            case WriteLedger():
                return self.write_ledger(action)
            case SendReport():
                self.oracle.on_report(action)
                return ReportAccepted(action.window)
        raise AssertionError(action)

    def listed(self):
        return tuple(
            ListedStore(daemon_id=name, store=store, version=version)
            for name, (store, version) in self.stores.items()
        )

    def write_store(self, name, action):
        # Only broken cores write with None, which matches every version.
        version = self.stores[name][1]
        if action.expected_version not in (version, None):
            return StoreWriteRejected()
        self.stores[name] = (action.store, version + 1)
        return StoreWritten(version + 1)

    def write_ledger(self, action):
        if action.expected_version not in (self.ledger_version, None):
            return LedgerWriteRejected()
        self.ledger_version += 1
        self.ledger = action.ledger
        self.oracle.on_sealed(self.ledger)
        return LedgerWritten(self.ledger_version)

    @rule()
    def late_write_arrives(self):
        """The oldest delayed write arrives; its condition is still checked."""
        if self.late_writes:
            self.apply(*self.late_writes.pop(0))
            self.record_lost()

    @rule(name=st.sampled_from(DAEMONS), at=st.sampled_from(["any", "flush"]))
    def kill(self, name, at):
        """Kills and restarts a daemon at any time or between two flushes."""
        if at == "any":
            self.restart(name)
            return
        self.serve(name, "yard", "kept")
        self.take_turn(name, "flush", "none", None)
        self.restart(name)
        self.serve(name, "yard", "kept")
        self.take_turn(name, "flush", "none", None)

    def restart(self, name):
        if self.starts[name] >= MAX_STARTS:
            return
        counters = self.daemons[name].counters
        counters.cut_parts()
        gone = counters.own_parts() + counters.orphaned_parts({})
        self.pending_actions.pop((name, "flush"), None)
        self.pending_actions.pop((name, "seal"), None)
        self.start_daemon(name)
        self.record_lost(gone)

    @rule(
        name=st.sampled_from(DAEMONS),
        offset_s=st.sampled_from([-3.0, 3.0, -500.0, 500.0, 0.0]),
    )
    def jump_clock(self, name, offset_s):
        self.daemons[name].offset_s = offset_s

    def record_lost(self, gone=()):
        """Records parts as lost that only a killed daemon had."""
        self.gone = {
            **getattr(self, "gone", {}),
            **{part.part_id: part for part in gone},
        }
        sealed_parts, existing_part_ids = (
            SealedParts(self.ledger),
            self.existing_part_ids(),
        )
        for part_id, part in self.gone.items():
            if part_id not in existing_part_ids and part not in sealed_parts:
                for c in part.counts:
                    key = (part_id, c.account)
                    self.oracle.lost[key] = (c.requests, c.tokens, c.account)

    def existing_part_ids(self):
        """Returns the ids of parts that exist anywhere but in the ledger."""
        found = []
        for daemon in self.daemons.values():
            found += (
                daemon.counters.own_parts() + daemon.counters.orphaned_parts({})
            )
        for store, _ in self.stores.values():
            found += store.parts
        for _, _, _, usage in self.in_flight:
            found += usage.parts
        for _, action in self.late_writes:
            found += getattr(action, "store", PartStore()).parts
        for action in self.pending_actions.values():
            found += getattr(action, "store", PartStore()).parts
        return {part.part_id for part in found}

    def teardown(self):
        """Ends all faults and checks that all remaining usage is reported."""
        if not hasattr(self, "oracle"):
            return
        while self.late_writes:
            self.late_write_arrives()
        for name, kind in list(self.pending_actions):
            self.wake(name, kind)
        self.deliver("all")
        self.cut_off.clear()
        self.take_lease("d0")
        for daemon in self.daemons.values():
            daemon.offset_s = 0.0
        for _ in range(RECOVERY_TURNS):
            self.now_s += WINDOW_S
            for name in DAEMONS:
                self.run_core(name, "flush")
            self.now_s += GRACE_S
            self.run_core("d0", "seal")
        self.oracle.check_end()


class ResealsParts(SealCore):
    """Broken: sealing ignores which parts are sealed."""

    def _on_parts(self, event, now_s):
        self._ledger = msgspec.structs.replace(self._ledger, marks=())
        return super()._on_parts(event, now_s)


class IgnoresLedgerVersion(SealCore):
    """Broken: the ledger is written without checking its version."""

    def _on_parts(self, event, now_s):
        return [
            WriteLedger(a.ledger, None, a.fencing)
            if isinstance(a, WriteLedger)
            else a
            for a in super()._on_parts(event, now_s)
        ]


class ReportsUnconfirmed(SealCore):
    """Broken: reports windows whose ledger write may have failed."""

    def _on_failed(self, now_s):
        self._is_call_pending = False
        self._ledger, self._pending_ledger = self._pending_ledger, None
        return []


class OverwritesEarlierEpoch(FlushCore):
    """Broken: a restarted daemon ignores the stored parts of its object."""

    def handle(self, event, now_s):
        if isinstance(event, StoreRead):
            event = StoreRead(PartStore(), event.version)
        return super().handle(event, now_s)


class EmptiesUnsealed(SealCore):
    """Broken: empties the objects of stopped daemons before sealing."""

    def _sealed_stores(self, event):
        return [
            EmptyStore(listed.daemon_id, None)
            for listed in event.stores
            if listed.daemon_id not in self._running_daemons
        ]


class IgnoresOrphans(FlushCore):
    """Broken: parts of dead daemons aren't flushed by their peers."""

    def handle(self, event, now_s):
        self._orphaned_parts = []
        return super().handle(event, now_s)


class UsageProof(unittest.TestCase):
    def test_windows_are_reported_once_and_no_usage_is_lost(self):
        run_proof(UsageMachine, examples=150)

    def test_broken_cores_are_detected(self):
        broken_cores = {
            "seal_class": (
                ResealsParts,
                IgnoresLedgerVersion,
                ReportsUnconfirmed,
                EmptiesUnsealed,
            ),
            "flush_class": (OverwritesEarlierEpoch, IgnoresOrphans),
        }
        for part, classes in broken_cores.items():
            for broken in classes:
                with self.subTest(broken.__name__):
                    machine = type("Machine", (UsageMachine,), {part: broken})
                    found = find_failure(machine)
                    self.assertIsInstance(found, AssertionError)
