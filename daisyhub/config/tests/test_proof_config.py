"""Property test: accepted configurations reach all daemons, never revert.

The state machine injects these faults: concurrent operators; lost and delayed
writes; stale reads; store outages; one-way and two-way partitions; daemon
restarts; failing listeners; failed fetches and corrupted parts.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from daisyhub.config import (
    AcceptanceCore,
    ActivateSnapshot,
    AdoptionCore,
    AdoptionTick,
    ConfigHead,
    FetchFailed,
    FetchFromPeer,
    FetchParts,
    HeadReceived,
    PartsFetched,
    PeerStateFetched,
    PeerSummaryReceived,
    WithdrawnKeys,
    WithdrawnKeysReceived,
    join_sections,
)
from daisyhub.config._acceptance_types import (
    ChangeAccepted,
    ChangeInDoubt,
    ChangeRefused,
    WriteHead,
)
from daisyhub.config.tests.store_model import (
    HEAD,
    KEYS,
    ModelStore,
    Operator,
    sections_at,
    write_head,
)
from daisyhub.controllers._watch_core import (
    DeliverObject,
    DeliveryFailed,
    ObjectDelivered,
    WatchCore,
    WatchFailed,
    WatchObjects,
    WatchResponseReceived,
    WatchStarted,
)
from daisyhub.testing.proofs import find_failure, run_proof

DAEMONS = ("d0", "d1", "d2")
TEAMS = ("yard", "lab")
ENTRIES = {
    "client_accounts": lambda n: {"weight": n},
    "endpoint_pools": lambda n: {"kind": "engine", "budget": n},
}
# Faults of an operator's action, see `store_model.perform`; mostly none.
FAULTS = st.sampled_from(["", "", "", "", "lose", "late", "fail"])
# Number of writes by which a read is stale.
LAGS = st.sampled_from([0, 0, 0, 1, 3, 8])


class Daemon:
    """A daemon between two restarts."""

    def __init__(self, core_class, watch_class):
        self.core = core_class()
        self.watch_core = watch_class(("news/keys", "news/config"), 20.0)
        self.next_watch = self.watch_core.handle(WatchStarted(), 0.0)[-1]
        self.fetches = []
        self.last_version = 0
        self.last_withdrawn = frozenset()

    def feed(self, event, now_s):
        for action in self.core.handle(event, now_s):
            if isinstance(action, FetchParts | FetchFromPeer):
                self.fetches.append(action)
            elif isinstance(action, ActivateSnapshot):
                self.active_snapshot = action.snapshot


class ConfigMachine(RuleBasedStateMachine):
    """Models two teams, one store and three daemons."""

    acceptance_class = AcceptanceCore
    adoption_class = AdoptionCore
    watch_class = WatchCore

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.store = ModelStore()
        self.operators = {
            team: Operator(team, self.acceptance_class) for team in TEAMS
        }
        self.daemons = {name: self.new_daemon() for name in DAEMONS}
        self.partitions = set()
        self.late_writes = []
        self.sections_by_version = {0: {}}
        self.changes = {}
        self.accepted_ids = []
        self.refused_ids = set()
        self.key_ids = set()

    def new_daemon(self):
        return Daemon(self.adoption_class, self.watch_class)

    # Rules of the operators.

    @rule(
        team=st.sampled_from(TEAMS),
        section=st.sampled_from(sorted(ENTRIES)),
        entry=st.sampled_from("ab"),
        number=st.integers(0, 3),
        age=st.sampled_from([0, 0, 0, 1, 2]),
        faults=st.lists(st.tuples(FAULTS, LAGS), max_size=8),
        is_revert=st.sampled_from([False, False, False, True]),
        mode=st.sampled_from(["whole", "whole", "pause", "lose", "late"]),
    )
    def change(
        self, team, section, entry, number, age, faults, is_revert, mode
    ):
        """Starts a change, or finishes the team's pending one.

        The change sets the weight or budget of one entry to `number`, or
        removes the entry if `number` is 0; or it reverts to an old version.
        It is based on the version of `age` versions ago. `mode` is `whole` to
        finish it under `faults`, `pause` to stop before the update of the
        head, or the fault of that update.
        """
        operator = self.operators[team]
        if operator.core and not operator.final:
            self.finish(operator, faults)
            return
        base = max(0, len(self.sections_by_version) - 1 - age)
        sections = {
            k: dict(v) for k, v in self.sections_by_version[base].items()
        }
        target = sections.setdefault(section, {})
        target.pop(entry, None)
        if number:
            target[entry] = ENTRIES[section](number)
        requested = {section: target}
        if is_revert and base:
            requested = {"client_accounts": {}, "endpoint_pools": {}}
            requested |= self.sections_by_version[base]
            newest = len(self.sections_by_version) - 1
            operator.begin(None, newest, revert_to=base)
            base = newest
        else:
            operator.begin(requested, base)
        self.changes[operator.core.req.write_id] = (base, requested)
        if mode == "whole":
            self.finish(operator, faults)
            return
        while not operator.final and not isinstance(
            operator.next_action, WriteHead
        ):
            self.step(operator, "", 0)
        if mode != "pause":
            self.step(operator, mode, 0)

    def finish(self, operator, faults):
        for fault, lag in faults:
            self.step(operator, fault, lag)
        while not operator.final:
            self.step(operator, "", 0)

    def step(self, operator, fault, lag):
        if operator.final:
            return
        final = operator.step(self.store, fault, lag, self.late_writes)
        self.check_head()
        if final is None:
            return
        write_id = operator.core.req.write_id
        is_accepted = write_id in self.accepted_ids
        match final:
            case ChangeAccepted(head, True):
                assert is_accepted, "reported as accepted, not stored"
                assert head.write_id == write_id
            case ChangeRefused() | ChangeInDoubt(_, False):
                assert not is_accepted, "reported as refused, but stored"
                self.refused_ids.add(write_id)

    @rule()
    def late_write(self):
        """Performs the oldest delayed update of the head."""
        if self.late_writes:
            write_head(self.late_writes.pop(0), self.store)
            self.check_head()

    def check_head(self):
        """Checks that a new head is the old one plus its own change only."""
        found = self.store.current.get(HEAD)
        if found is None or found.value.version in self.sections_by_version:
            return
        head = found.value
        old = self.sections_by_version[len(self.sections_by_version) - 1]
        assert head.version == len(self.sections_by_version), (
            "a version was skipped"
        )
        assert head.write_id not in self.refused_ids, "refused, then accepted"
        new = sections_at(self.store, head)
        base_version, requested = self.changes[head.write_id]
        expected = {name: dict(entries) for name, entries in old.items()}
        base = self.sections_by_version[base_version]
        for name, entries in requested.items():
            before = base.get(name, {})
            target = expected.setdefault(name, {})
            for key in before.keys() | entries.keys():
                old_value, new_value = before.get(key), entries.get(key)
                if new_value in (old_value, target.get(key)):
                    continue
                assert target.get(key) == old_value, "overwrote another change"
                target.pop(key, None)
                if new_value is not None:
                    target[key] = new_value
        for name in expected.keys() | new.keys():
            assert expected.get(name, {}) == new.get(name, {}), name
        self.sections_by_version[head.version] = new
        assert head.write_id not in self.accepted_ids, "accepted twice"
        self.accepted_ids.append(head.write_id)

    @rule(key_id=st.sampled_from(["k1", "k2", "k3"]))
    def withdraw(self, key_id):
        found = self.store.current.get(KEYS)
        known = found.value.key_ids if found else ()
        if key_id not in known:
            record = WithdrawnKeys(key_ids=(*known, key_id))
            version = found.version if found else 0
            self.store.put(KEYS, record, version, key_id)
            self.key_ids.add(key_id)

    # Rules of the daemons.

    @rule(
        name=st.sampled_from(DAEMONS),
        lag=LAGS,
        is_down=st.sampled_from([False, False, False, True]),
        is_failing=st.sampled_from([False, False, True]),
    )
    def watch(self, name, lag, is_down=False, is_failing=False):
        """Completes a watch request; the listener may fail to process it."""
        daemon = self.daemons[name]
        event = WatchFailed()
        if not is_down and (name, "store") not in self.partitions:
            event = WatchResponseReceived(
                *self.store.watch(daemon.next_watch.after_revision, lag)
            )
        for action in daemon.watch_core.handle(event, self.now_s):
            if isinstance(action, WatchObjects):
                daemon.next_watch = action
                continue
            assert isinstance(action, DeliverObject)
            self.deliver(daemon, action, is_failing)

    def deliver(self, daemon, action, is_failing):
        if is_failing:
            failed = DeliveryFailed(action.listener, action.found)
            daemon.watch_core.handle(failed, self.now_s)
            return
        value = action.found.value
        # Listener 0 watches the withdrawn keys, listener 1 the head.
        event = HeadReceived(value) if action.listener else None
        daemon.feed(event or WithdrawnKeysReceived(value.key_ids), self.now_s)
        done = ObjectDelivered(action.listener, action.found)
        daemon.watch_core.handle(done, self.now_s)

    @rule(
        name=st.sampled_from(DAEMONS),
        outcome=st.sampled_from(["", "", "", "fail", "damaged"]),
        lag=LAGS,
    )
    def fetch(self, name, outcome, lag, is_last=False):
        daemon = self.daemons[name]
        if daemon.fetches:
            action = daemon.fetches.pop(-1 if is_last else 0)
            daemon.feed(
                self.complete_fetch(name, action, outcome, lag), self.now_s
            )

    @rule(name=st.sampled_from(DAEMONS), lag=LAGS)
    def follow_store(self, name, lag):
        """Completes two watch requests and one fetch."""
        self.watch(name, lag)
        self.watch(name, lag)
        self.fetch(name, "", lag)

    @rule(sender=st.sampled_from(DAEMONS), to=st.sampled_from(DAEMONS))
    def follow_peer(self, sender, to):
        """Delivers a heartbeat, then completes the fetch it caused."""
        self.heartbeat(sender, to)
        self.fetch(to, "", 0, is_last=True)

    def complete_fetch(self, name, action, outcome, lag):
        is_peer = isinstance(action, FetchFromPeer)
        source = action.daemon_id if is_peer else ""
        remote = source or "store"
        is_cut = self.partitions & {(name, remote), (remote, name)}
        if outcome == "fail" or is_cut:
            return FetchFailed(source)
        if not is_peer:
            state = self.store.at(lag)
            texts = {d: state[d].value for d in action.digests if d in state}
            return PartsFetched(self.damage(texts, outcome))
        core = self.daemons[source].core
        head = core.snapshot.head if core.snapshot else ConfigHead()
        texts = {
            digest: text
            for digest, text in core.active_parts.items()
            if digest not in action.known_digests
        }
        texts = self.damage(texts, outcome)
        withdrawn = tuple(core.withdrawn)
        return PeerStateFetched(source, head, texts, withdrawn)

    def damage(self, texts, outcome):
        return {d: t + " " * (outcome == "damaged") for d, t in texts.items()}

    @rule(
        sender=st.sampled_from(DAEMONS),
        to=st.sampled_from(DAEMONS),
    )
    def heartbeat(self, sender, to):
        if sender == to or (sender, to) in self.partitions:
            return
        core = self.daemons[sender].core
        event = PeerSummaryReceived(
            sender, core.version, len(core.withdrawn), core.withdrawn_digest
        )
        self.daemons[to].feed(event, self.now_s)

    @rule(
        one=st.sampled_from(DAEMONS),
        other=st.sampled_from((*DAEMONS, "store")),
        step=st.sampled_from(["cut", "heal", "restart", "time", "time"]),
    )
    def fault(self, one, other, step):
        match step:
            case "cut":
                self.partitions.add((one, other))
            case "heal":
                self.partitions.clear()
            case "restart":
                self.daemons[one] = self.new_daemon()
            case "time":
                self.now_s += 5.0
                self.daemons[one].feed(AdoptionTick(), self.now_s)

    @invariant()
    def never_reverts(self):
        for daemon in getattr(self, "daemons", {}).values():
            core = daemon.core
            assert core.version >= daemon.last_version, "reverted"
            assert core.withdrawn >= daemon.last_withdrawn, "key is back"
            daemon.last_version = core.version
            daemon.last_withdrawn = core.withdrawn
            if core.snapshot is None:
                continue
            own = join_sections(core.snapshot.head, core.active_parts)
            assert own == self.sections_by_version[core.version], (
                "mixed sections"
            )

    def teardown(self):
        """Checks that daemons converge without faults, via peers and store."""
        if not hasattr(self, "store"):
            return
        self.partitions.clear()
        # In part of the runs, peers must converge first without the store.
        if len(self.store.states) % 2:
            best = max(d.core.version for d in self.daemons.values())
            self.settle()
            for daemon in self.daemons.values():
                assert daemon.core.version >= best, "peers did not converge"
        for operator in self.operators.values():
            if operator.core:
                self.finish(operator, ())
        self.settle(use_store=True)
        newest = len(self.sections_by_version) - 1
        for daemon in self.daemons.values():
            assert daemon.core.version == newest, "did not converge"
            assert daemon.core.withdrawn == self.key_ids
        self.check_audit(newest)

    def settle(self, use_store=False):
        """Lets daemons communicate with the store only, or with peers only."""
        for _ in range(8):
            self.now_s += 10.0
            for name, daemon in self.daemons.items():
                if use_store:
                    self.watch(name, 0)
                else:
                    for sender in DAEMONS:
                        self.heartbeat(sender, name)
                daemon.feed(AdoptionTick(), self.now_s)
                for _ in range(len(DAEMONS) + 1):
                    if not daemon.fetches:
                        break
                    is_peer = isinstance(daemon.fetches[0], FetchFromPeer)
                    outcome = "fail" if is_peer == use_store else ""
                    self.fetch(name, outcome, 0)
            self.never_reverts()

    def check_audit(self, newest):
        """Checks all audit entries but the newest, which may be missing."""
        for version in range(1, newest):
            entry = self.store.current[f"audit/{version}"]
            assert entry.value.write_id == self.accepted_ids[version - 1]


class AppliesTwice(AcceptanceCore):
    """Broken: restarts after an update that may have succeeded."""

    def _resolve(self, event):
        self._proposed_head = None
        return self._on_head(event)


class LastWriterWins(AcceptanceCore):
    """Broken: uses the active head as the change's base version."""

    def _on_head(self, event):
        action = super()._on_head(event)
        self._heads[self.req.base_version] = event.head
        return action


class AdoptsLowerVersion(AdoptionCore):
    """Broken: activates fetched heads whatever their version."""

    def _adopt(self, source_id, head, contents, now_s):
        if head.version < self.version:
            self.snapshot = None
        return super()._adopt(source_id, head, contents, now_s)


class ReplacesWithdrawnKeys(AdoptionCore):
    """Broken: replaces the set of withdrawn keys instead of extending it."""

    def _withdraw(self, key_ids):
        self.withdrawn = frozenset(key_ids)
        return []


class SkipsFailedDeliveries(WatchCore):
    """Broken: drops objects that a listener failed to process."""

    def _on_delivery_failed(self, event, now_s):
        pass


class NeverRetries(AdoptionCore):
    """Broken: never retries a failed fetch."""

    def _on_failure(self, source_id, now_s):
        self._get_source(source_id).is_fetching = True
        return []


class ConfigStateMachineTest(unittest.TestCase):
    def test_accepted_configuration_converges_and_never_reverts(self):
        run_proof(ConfigMachine, examples=150)

    def test_state_machine_detects_broken_cores(self):
        broken = {
            AppliesTwice: "acceptance_class",
            LastWriterWins: "acceptance_class",
            AdoptsLowerVersion: "adoption_class",
            NeverRetries: "adoption_class",
            ReplacesWithdrawnKeys: "adoption_class",
            SkipsFailedDeliveries: "watch_class",
        }
        for core_class, attribute in broken.items():
            with self.subTest(core_class.__name__):
                machine = type(
                    "Machine", (ConfigMachine,), {attribute: core_class}
                )
                self.assertIsInstance(find_failure(machine), AssertionError)
