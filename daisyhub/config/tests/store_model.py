"""In-memory models of the store and of operators, for the state machine."""

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
    """Keeps every past state, so that reads can return stale data."""

    def __init__(self):
        self.states = [{}]

    @property
    def current(self):
        return self.states[-1]

    def at(self, lag):
        """Returns the state of `lag` writes ago, or the first one."""
        return self.states[max(0, len(self.states) - 1 - lag)]

    def put(self, key, value, expected, write_id):
        """Writes conditionally; returns whether this write has taken effect."""
        known = self.current.get(key)
        if (known.version if known else 0) != expected:
            return known is not None and known.write_id == write_id
        entry = PlatformObject(
            key=key,
            version=expected + 1,
            revision=len(self.states),
            write_id=write_id,
            value=value,
        )
        self.states.append({**self.current, key: entry})
        return True

    def watch(self, after, lag):
        """Returns (revision, objects under `news/` changed after `after`)."""
        revision = max(0, len(self.states) - 1 - lag)
        found = [o for k, o in self.at(lag).items() if k.startswith("news/")]
        return revision, tuple(o for o in found if o.revision > after)


class Operator:
    """Submits one change at a time on behalf of a team."""

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
        self.next_action = self.core.handle(acceptance.ChangeStarted(), 0.0)[0]

    def step(self, store, fault, lag, late):
        """Performs one action; returns the final result, or None."""
        event = perform(self.next_action, store, lag, fault, late)
        self.next_action = self.core.handle(event, 0.0)[0]
        finals = (
            acceptance.ChangeAccepted,
            acceptance.ChangeRefused,
            acceptance.ChangeInDoubt,
        )
        self.final = (
            self.next_action if isinstance(self.next_action, finals) else None
        )
        return self.final


def perform(action, store, lag, fault, late):
    """Performs an acceptance action under a fault.

    Args:
        action: The action.
        store: The store.
        lag: By how many states a read is stale.
        fault: `fail` drops the action, `lose` drops the response, `late`
            delays the update of the head; empty for none.
        late: Collects the delayed updates.
    """
    if fault == "fail":
        return acceptance.StoreFailed("down")
    if fault == "late" and isinstance(action, acceptance.WriteHead):
        late.append(action)
        return acceptance.StoreFailed("no response")
    event = _perform_without_fault(action, store, lag)
    return acceptance.StoreFailed("no response") if fault == "lose" else event


def write_head(action, store):
    head = action.head
    return store.put(HEAD, head, action.expected_version, head.write_id)


def _perform_without_fault(action, store, lag):
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
            return acceptance.HeadWriteRejected()
        case acceptance.WriteRefusal(record):
            store.put(f"refused/{record.write_id}", record, 0, "")
            return acceptance.RefusalWritten()
    return _read(action, store.at(lag))


def _read(action, state):
    match action:
        case acceptance.ReadHead():
            found = state.get(HEAD)
            if found is None:
                return acceptance.HeadRead(ConfigHead(), 0)
            return acceptance.HeadRead(found.value, found.version)
        case acceptance.ReadAudit(version):
            found = state.get(f"audit/{version}")
            return acceptance.AuditRead(version, found and found.value)
    assert isinstance(action, acceptance.ReadParts)
    found = {d: state[d].value for d in action.digests if d in state}
    return acceptance.PartsRead(found)


def sections_at(store, head):
    """Returns the sections of a head in the store's current state."""
    texts = {d: store.current[d].value for d in head.digests}
    return join_sections(head, texts)
