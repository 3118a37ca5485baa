"""A model of the store, for the proof of the configuration."""

from daisyhub.config import (
    AcceptanceCore,
    ChangeRequest,
    ConfigHead,
    join_sections,
)
from daisyhub.config import (
    _acceptance_types as acceptance,
)
from daisyhub.hosting import PlatformObject

HEAD, KEYS = "news/config", "news/keys"


class ModelStore:
    """Every state that it ever had; reads may be answered from an old one."""

    def __init__(self):
        self.states = [{}]

    @property
    def now(self):
        return self.states[-1]

    def at(self, lag):
        return self.states[max(0, len(self.states) - 1 - lag)]

    def put(self, key, value, expected, write_id):
        """Returns whether the object is at what this write makes of it."""
        known = self.now.get(key)
        if (known.version if known else 0) != expected:
            return known is not None and known.write_id == write_id
        entry = PlatformObject(
            key=key,
            version=expected + 1,
            revision=len(self.states),
            write_id=write_id,
            value=value,
        )
        self.states.append({**self.now, key: entry})
        return True

    def watch(self, after, lag):
        """Returns (revision, objects under `news/` changed since)."""
        revision = max(0, len(self.states) - 1 - lag)
        news = [o for k, o in self.at(lag).items() if k.startswith("news/")]
        return revision, tuple(o for o in news if o.revision > after)


class Operator:
    """One team's change in progress."""

    def __init__(self, team, core_class=AcceptanceCore):
        self.team = team
        self.core_class = core_class
        self.core = None
        self.count = 0
        self.final = None

    def begin(self, sections, base_version, revert_to=0):
        self.count += 1
        req = ChangeRequest(
            sections=sections,
            base_version=base_version,
            revert_to=revert_to,
            author=self.team,
            team=self.team,
            at_s=0.0,
            write_id=f"{self.team}.{self.count}",
        )
        self.core = self.core_class(req, lambda _: None)
        self.final = None
        self.todo = self.core.handle(acceptance.ChangeStarted(), 0.0)[0]

    def step(self, store, fault, lag, late):
        """Carries one action out; returns the final action, or None."""
        event = perform(self.todo, store, lag, fault, late)
        self.todo = self.core.handle(event, 0.0)[0]
        finals = (
            acceptance.ChangeAccepted,
            acceptance.ChangeRefused,
            acceptance.ChangeInDoubt,
        )
        self.final = self.todo if isinstance(self.todo, finals) else None
        return self.final


def perform(action, store, lag, fault, late):
    """Carries an acceptance action out; faults: fail, lose, late."""
    if fault == "fail":
        return acceptance.StoreFailed("down")
    if fault == "late" and isinstance(action, acceptance.WriteHead):
        late.append(action)
        return acceptance.StoreFailed("no answer")
    event = _perform(action, store, lag)
    return acceptance.StoreFailed("no answer") if fault == "lose" else event


def write_head(action, store):
    head = action.head
    return store.put(HEAD, head, action.expected_version, head.write_id)


def _perform(action, store, lag):
    match action:
        case acceptance.WriteParts(contents):
            for digest, text in contents.items():
                store.put(digest, text, 0, "")
            return acceptance.PartsWritten()
        case acceptance.WriteAudit(head):
            store.put(f"audit/{head.version}", head, 0, head.write_id)
            return acceptance.AuditWritten(head.version)
        case acceptance.WriteHead():
            if write_head(action, store):
                return acceptance.HeadWritten()
            return acceptance.HeadWriteRefused()
        case acceptance.WriteRefusal(record):
            store.put(f"refused/{record.write_id}", record, 0, "")
            return acceptance.RefusalWritten()
    return _read(action, store.at(lag))


def _read(action, old):
    match action:
        case acceptance.ReadHead():
            found = old.get(HEAD)
            if found is None:
                return acceptance.HeadRead(ConfigHead(), 0)
            return acceptance.HeadRead(found.value, found.version)
        case acceptance.ReadAudit(version):
            found = old.get(f"audit/{version}")
            return acceptance.AuditRead(version, found and found.value)
    assert isinstance(action, acceptance.ReadParts)
    found = {d: old[d].value for d in action.digests if d in old}
    return acceptance.PartsRead(found)


def sections_at(store, head):
    """Returns the sections of a head in the store's true state."""
    texts = {d: store.now[d].value for d in head.digests}
    return join_sections(head, texts)
