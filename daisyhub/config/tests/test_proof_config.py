"""Proof: an accepted configuration spreads everywhere and never reverts.

Faults: operators race; store answers are lost, late, or those of an old
state; the store is down; parties are cut off, one way too; daemons restart;
listeners fail; fetches fail or bring damaged content.
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
from daisyhub.config.tests.config_world import (
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
FAULTS = st.sampled_from(["", "", "", "", "lose", "late", "fail"])
LAGS = st.sampled_from([0, 0, 0, 1, 3, 8])


class Daemon:
    """One life of a daemon."""

    def __init__(self, core_class, news_class):
        self.core = core_class()
        self.news = news_class(("news/keys", "news/config"), 20.0)
        self.watch = self.news.handle(WatchStarted(), 0.0)[-1]
        self.fetches = []
        self.seen_version = 0
        self.seen_withdrawn = frozenset()

    def feed(self, event, now_s):
        for action in self.core.handle(event, now_s):
            if isinstance(action, FetchParts | FetchFromPeer):
                self.fetches.append(action)
            elif isinstance(action, ActivateSnapshot):
                self.in_force = action.snapshot


class ConfigMachine(RuleBasedStateMachine):
    """Two teams, one store, three daemons."""

    acceptance_class = AcceptanceCore
    adoption_class = AdoptionCore
    news_class = WatchCore

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.store = ModelStore()
        self.operators = {
            team: Operator(team, self.acceptance_class) for team in TEAMS
        }
        self.daemons = {name: self.new_daemon() for name in DAEMONS}
        self.cut = set()
        self.late = []
        self.truth = {0: {}}
        self.requests = {}
        self.accepted = []
        self.refused = set()
        self.key_ids = set()

    def new_daemon(self):
        return Daemon(self.adoption_class, self.news_class)

    # Operators.

    @rule(
        team=st.sampled_from(TEAMS),
        section=st.sampled_from(sorted(ENTRIES)),
        entry=st.sampled_from("ab"),
        number=st.integers(0, 3),
        back=st.sampled_from([0, 0, 0, 1, 2]),
        faults=st.lists(st.tuples(FAULTS, LAGS), max_size=8),
        is_revert=st.sampled_from([False, False, False, True]),
        mode=st.sampled_from(["whole", "whole", "pause", "lose", "late"]),
    )
    def change(
        self, team, section, entry, number, back, faults, is_revert, mode
    ):
        """A team starts a change, perhaps from an old version."""
        operator = self.operators[team]
        if operator.core and not operator.final:
            self.finish(operator, faults)
            return
        base = max(0, len(self.truth) - 1 - back)
        sections = {k: dict(v) for k, v in self.truth[base].items()}
        target = sections.setdefault(section, {})
        target.pop(entry, None)
        if number:
            target[entry] = ENTRIES[section](number)
        wanted = {section: target}
        if is_revert and base:
            wanted = {"client_accounts": {}, "endpoint_pools": {}}
            wanted |= self.truth[base]
            base_of = len(self.truth) - 1
            operator.begin(None, base_of, revert_to=base)
            base = base_of
        else:
            operator.begin(wanted, base)
        self.requests[operator.core.req.write_id] = (base, wanted)
        if mode == "whole":
            self.finish(operator, faults)
            return
        # Comes to the head's update, and is held up there.
        while not operator.final and not isinstance(operator.todo, WriteHead):
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
        final = operator.step(self.store, fault, lag, self.late)
        self.check_head()
        if final is None:
            return
        write_id = operator.core.req.write_id
        is_in = write_id in self.accepted
        match final:
            case ChangeAccepted(head, True):
                assert is_in, "accepted but not in force"
                assert head.write_id == write_id
            case ChangeRefused() | ChangeInDoubt(_, False):
                assert not is_in, "refused but in force"
                self.refused.add(write_id)

    @rule()
    def late_write(self):
        if self.late:
            write_head(self.late.pop(0), self.store)
            self.check_head()

    def check_head(self):
        """A new head is the old one plus its team's own change."""
        found = self.store.now.get(HEAD)
        if found is None or found.value.version in self.truth:
            return
        head = found.value
        old = self.truth[len(self.truth) - 1]
        assert head.version == len(self.truth), "a version was skipped"
        assert head.write_id not in self.refused, "refused, then accepted"
        new = sections_at(self.store, head)
        base_version, wanted = self.requests[head.write_id]
        expected = {name: dict(entries) for name, entries in old.items()}
        base = self.truth[base_version]
        for name, entries in wanted.items():
            before = base.get(name, {})
            target = expected.setdefault(name, {})
            for key in before.keys() | entries.keys():
                was, want = before.get(key), entries.get(key)
                if want in (was, target.get(key)):
                    continue
                assert target.get(key) == was, "overwrote another's change"
                target.pop(key, None)
                if want is not None:
                    target[key] = want
        for name in expected.keys() | new.keys():
            assert expected.get(name, {}) == new.get(name, {}), name
        self.truth[head.version] = new
        assert head.write_id not in self.accepted, "accepted twice"
        self.accepted.append(head.write_id)

    @rule(key_id=st.sampled_from(["k1", "k2", "k3"]))
    def withdraw(self, key_id):
        found = self.store.now.get(KEYS)
        known = found.value.key_ids if found else ()
        if key_id not in known:
            record = WithdrawnKeys(key_ids=(*known, key_id))
            version = found.version if found else 0
            self.store.put(KEYS, record, version, key_id)
            self.key_ids.add(key_id)

    # Daemons.

    @rule(
        name=st.sampled_from(DAEMONS),
        lag=LAGS,
        is_down=st.sampled_from([False, False, False, True]),
        is_failing=st.sampled_from([False, False, True]),
    )
    def watch(self, name, lag, is_down=False, is_failing=False):
        """One watch ends; the daemon may fail to take what it brings."""
        daemon = self.daemons[name]
        event = WatchFailed()
        if not is_down and (name, "store") not in self.cut:
            event = WatchResponseReceived(
                *self.store.watch(daemon.watch.after_revision, lag)
            )
        for action in daemon.news.handle(event, self.now_s):
            if isinstance(action, WatchObjects):
                daemon.watch = action
                continue
            assert isinstance(action, DeliverObject)
            self.deliver(daemon, action, is_failing)

    def deliver(self, daemon, action, is_failing):
        if is_failing:
            failed = DeliveryFailed(action.listener, action.found)
            daemon.news.handle(failed, self.now_s)
            return
        value = action.found.value
        heard = HeadReceived(value) if action.listener else None
        daemon.feed(heard or WithdrawnKeysReceived(value.key_ids), self.now_s)
        done = ObjectDelivered(action.listener, action.found)
        daemon.news.handle(done, self.now_s)

    @rule(
        name=st.sampled_from(DAEMONS),
        how=st.sampled_from(["", "", "", "fail", "damaged"]),
        lag=LAGS,
    )
    def fetch(self, name, how, lag, is_last=False):
        daemon = self.daemons[name]
        if daemon.fetches:
            action = daemon.fetches.pop(-1 if is_last else 0)
            daemon.feed(self.answer(name, action, how, lag), self.now_s)

    @rule(name=st.sampled_from(DAEMONS), lag=LAGS)
    def follow_store(self, name, lag):
        """A whole turn: hears a state of the store, and fetches."""
        self.watch(name, lag)
        self.watch(name, lag)
        self.fetch(name, "", lag)

    @rule(sender=st.sampled_from(DAEMONS), to=st.sampled_from(DAEMONS))
    def follow_peer(self, sender, to):
        """A whole turn: hears a peer, and fetches from it first."""
        self.heartbeat(sender, to)
        self.fetch(to, "", 0, is_last=True)

    def answer(self, name, action, how, lag):
        is_peer = isinstance(action, FetchFromPeer)
        source = action.daemon_id if is_peer else ""
        other = source or "store"
        is_cut = self.cut & {(name, other), (other, name)}
        if how == "fail" or is_cut:
            return FetchFailed(source)
        if not is_peer:
            old = self.store.at(lag)
            texts = {d: old[d].value for d in action.digests if d in old}
            return PartsFetched(self.damage(texts, how))
        core = self.daemons[source].core
        head = core.snapshot.head if core.snapshot else ConfigHead()
        texts = {
            digest: text
            for digest, text in core.active_parts.items()
            if digest not in action.known_digests
        }
        texts = self.damage(texts, how)
        withdrawn = tuple(core.withdrawn)
        return PeerStateFetched(source, head, texts, withdrawn)

    def damage(self, texts, how):
        return {d: t + " " * (how == "damaged") for d, t in texts.items()}

    @rule(
        sender=st.sampled_from(DAEMONS),
        to=st.sampled_from(DAEMONS),
    )
    def heartbeat(self, sender, to):
        if sender == to or (sender, to) in self.cut:
            return
        core = self.daemons[sender].core
        heard = PeerSummaryReceived(
            sender, core.version, len(core.withdrawn), core.withdrawn_digest
        )
        self.daemons[to].feed(heard, self.now_s)

    @rule(
        one=st.sampled_from(DAEMONS),
        other=st.sampled_from((*DAEMONS, "store")),
        step=st.sampled_from(["cut", "heal", "restart", "time", "time"]),
    )
    def fault(self, one, other, step):
        match step:
            case "cut":
                self.cut.add((one, other))
            case "heal":
                self.cut.clear()
            case "restart":
                self.daemons[one] = self.new_daemon()
            case "time":
                self.now_s += 5.0
                self.daemons[one].feed(AdoptionTick(), self.now_s)

    @invariant()
    def never_reverts(self):
        for daemon in getattr(self, "daemons", {}).values():
            core = daemon.core
            assert core.version >= daemon.seen_version, "reverted"
            assert core.withdrawn >= daemon.seen_withdrawn, "key is back"
            daemon.seen_version = core.version
            daemon.seen_withdrawn = core.withdrawn
            if core.snapshot is None:
                continue
            own = join_sections(core.snapshot.head, core.active_parts)
            assert own == self.truth[core.version], "mixed sections"

    def teardown(self):
        """Once faults end, peers alone agree, and so do all with the store."""
        if not hasattr(self, "store"):
            return
        self.cut.clear()
        if len(self.store.states) % 2:
            best = max(d.core.version for d in self.daemons.values())
            self.settle()
            for daemon in self.daemons.values():
                assert daemon.core.version >= best, "peers did not converge"
        for operator in self.operators.values():
            if operator.core:
                self.finish(operator, ())
        self.settle(use_store=True)
        newest = len(self.truth) - 1
        for daemon in self.daemons.values():
            assert daemon.core.version == newest, "did not converge"
            assert daemon.core.withdrawn == self.key_ids
        self.check_audit(newest)

    def settle(self, use_store=False):
        """Lets daemons hear the store alone, or their peers alone."""
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
                    how = "fail" if is_peer == use_store else ""
                    self.fetch(name, how, 0)
            self.never_reverts()

    def check_audit(self, newest):
        for version in range(1, newest):
            entry = self.store.now[f"audit/{version}"]
            assert entry.value.write_id == self.accepted[version - 1]


class AppliesAgain(AcceptanceCore):
    """Broken: a conditional update that was refused starts all over."""

    def _resolve(self, event):
        self._sent = None
        return self._on_head(event)


class LastWriterWins(AcceptanceCore):
    """Broken: what is in force counts as what the team started from."""

    def _on_head(self, event):
        action = super()._on_head(event)
        self._heads[self.req.base_version] = event.head
        return action


class AdoptsLower(AdoptionCore):
    """Broken: whatever a fetch brings is put in force."""

    def _adopt(self, name, head, contents, now_s):
        if head.version < self.version:
            self.snapshot = None
        return super()._adopt(name, head, contents, now_s)


class ReplacesWithdrawn(AdoptionCore):
    """Broken: the set heard last replaces the one known."""

    def _withdraw(self, key_ids):
        self.withdrawn = frozenset(key_ids)
        return []


class ForgetsFailures(WatchCore):
    """Broken: what a listener could not take is skipped."""

    def _on_delivery_failed(self, event, now_s):
        pass


class NeverRetries(AdoptionCore):
    """Broken: a failed fetch is never tried again."""

    def _on_failure(self, name, now_s):
        self._source(name).is_busy = True
        return []


class ConfigProof(unittest.TestCase):
    def test_accepted_configuration_spreads_and_never_reverts(self):
        run_proof(ConfigMachine, examples=150)

    def test_the_machine_catches_broken_cores(self):
        broken = {
            AppliesAgain: "acceptance_class",
            LastWriterWins: "acceptance_class",
            AdoptsLower: "adoption_class",
            NeverRetries: "adoption_class",
            ReplacesWithdrawn: "adoption_class",
            ForgetsFailures: "news_class",
        }
        for kind, place in broken.items():
            with self.subTest(kind.__name__):
                machine = type("Machine", (ConfigMachine,), {place: kind})
                self.assertIsInstance(find_failure(machine), AssertionError)
