"""Accepts or refuses one change of the configuration.

The head is updated conditionally. If the response to an update is lost, the
identical update is sent again. If the store then rejects it, the stored head,
or the audit entry of the proposed version if the head is newer, identifies the
change that created the proposed version. A change is therefore never accepted
twice, and never reported as refused after it took effect.
"""

from collections.abc import Callable

from daisyhub.base import Core
from daisyhub.config._acceptance_types import (
    AuditRead,
    AuditWritten,
    ChangeAccepted,
    ChangeInDoubt,
    ChangeRefused,
    ChangeRequest,
    ChangeStarted,
    HeadRead,
    HeadWriteRejected,
    HeadWritten,
    PartsRead,
    PartsWritten,
    ReadAudit,
    ReadHead,
    ReadParts,
    RefusalWritten,
    StoreFailed,
    WriteAudit,
    WriteHead,
    WriteParts,
    WriteRefusal,
)
from daisyhub.config._merge import changed_sections, merge_sections
from daisyhub.config._parts import (
    Sections,
    join_sections,
    split_sections,
)
from daisyhub.config._records import ConfigHead, RefusedChange
from daisyhub.exceptions import ConfigConflictError, DaisyhubError

__all__ = ["AcceptanceCore"]

# Per change; the delays of all retries add up to about 7 s.
_MAX_RETRIES = 12
# Bounds the audit entries that are read to name the teams of a conflict.
_MAX_VERSIONS_EXPLAINED = 200
_INITIAL_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 1.0


class AcceptanceCore(Core):
    """Applies one change to the head, with one pending action at a time.

    Args:
        req: The change.
        check: Raises `DocumentError` if the merged sections are invalid.
    """

    def __init__(self, req: ChangeRequest, check: Callable[[Sections], object]):
        self.req = req
        self.check = check
        self._head = ConfigHead()
        self._object_version = 0
        self._heads = {0: ConfigHead()}
        self._contents: dict[str, str] = {}
        self._proposed_head: ConfigHead | None = None
        self._last_action: object = None
        self._refusal: DaisyhubError | None = None
        self._retries = 0
        self._is_head_sent = False
        self._delay_s = 0.0

    @property
    def delay_s(self) -> float:
        """Seconds to wait before performing the last returned action."""
        return self._delay_s

    @property
    def next_wakeup_s(self) -> float | None:
        """None: no tick is needed; the caller limits each action's time."""
        return None

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; returns the next action or the final result."""
        self._delay_s = 0.0
        match event:
            case ChangeStarted():
                action = ReadHead()
            case HeadRead():
                action = self._on_head(event)
            case AuditRead():
                action = self._on_audit(event)
            case PartsRead():
                self._contents |= event.contents
                action = self._prepare()
            case PartsWritten():
                self._is_head_sent = True
                action = WriteHead(self._proposed_head, self._object_version)
            case HeadWritten():
                action = WriteAudit(self._proposed_head)
            case HeadWriteRejected():
                action = self._retry(ReadHead())
            case AuditWritten():
                action = self._on_audit_written()
            case RefusalWritten():
                action = ChangeRefused(self._refusal)
            case StoreFailed():
                action = self._on_failure(event)
            case _:
                raise TypeError(f"not an acceptance event: {event!r}")
        self._last_action = action
        return [action]

    def _on_head(self, event: HeadRead) -> object:
        if self._proposed_head is not None:
            return self._resolve(event)
        self._head = event.head
        self._object_version = event.object_version
        self._heads[event.head.version] = event.head
        if event.head.version:
            # The previous writer may have failed before it wrote this entry.
            return WriteAudit(event.head)
        return self._prepare()

    def _resolve(self, event: HeadRead) -> object:
        """Determines whether this change created the proposed version."""
        if event.head.version < self._proposed_head.version:
            return self._retry(ReadHead())  # A lagging replica answered.
        if event.head.version > self._proposed_head.version:
            return ReadAudit(self._proposed_head.version)
        if event.head.write_id == self.req.write_id:
            return WriteAudit(self._proposed_head)
        return self._restart()

    def _restart(self) -> object:
        """Starts over from the current head: another change updated it."""
        self._proposed_head = None
        return self._retry(ReadHead())

    def _on_audit(self, event: AuditRead) -> object:
        """Continues with an entry that the merge or `_resolve` requested."""
        if event.head is None:
            return self._on_missing_audit(event)
        if self._proposed_head is None:
            self._heads[event.version] = event.head
            return self._prepare()
        if event.head.write_id == self.req.write_id:
            return ChangeAccepted(self._proposed_head)
        return self._restart()

    def _on_missing_audit(self, event: AuditRead) -> object:
        if self._proposed_head is None and event.version > self._head.version:
            return self._refuse(
                ConfigConflictError(
                    f"version {event.version} does not exist;"
                    f" the current version is {self._head.version}"
                )
            )
        return self._retry(ReadAudit(event.version))

    def _on_audit_written(self) -> object:
        if self._proposed_head is not None:
            return ChangeAccepted(self._proposed_head)
        return self._prepare()

    def _on_failure(self, event: StoreFailed) -> object:
        if isinstance(self._last_action, WriteRefusal):
            return ChangeRefused(self._refusal)
        if self._is_accepted():
            # The next change creates the missing audit entry.
            return ChangeAccepted(self._proposed_head)
        return self._retry(self._last_action, event.reason)

    def _is_accepted(self) -> bool:
        return self._proposed_head is not None and isinstance(
            self._last_action, WriteAudit
        )

    def _retry(
        self, action: object, reason: str = "concurrent writes"
    ) -> object:
        self._retries += 1
        if self._retries > _MAX_RETRIES:
            return ChangeInDoubt(reason, self._is_head_sent)
        self._delay_s = min(
            _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**self._retries
        )
        return action

    def _prepare(self) -> object:
        """Reads what the merge needs and is missing, then merges."""
        versions = [self.req.base_version, self.req.revert_to]
        unknown = [v for v in versions if v not in self._heads]
        if unknown:
            return ReadAudit(unknown[0])
        needed = set(self._head.digests)
        for version in versions:
            needed |= self._heads[version].digests
        missing = tuple(sorted(needed - self._contents.keys()))
        if missing and isinstance(self._last_action, ReadParts):
            return self._retry(ReadParts(missing), "parts are missing")
        if missing:
            return ReadParts(missing)
        return self._merge()

    def _merge(self) -> object:
        head = self._join_parts(self._head)
        base = self._join_parts(self._heads[self.req.base_version])
        result = merge_sections(base, head, self._requested_sections(head))
        if result.conflicts:
            return self._refuse_conflicts(result.conflicts)
        changed = changed_sections(head, result.sections)
        if not changed:
            return ChangeAccepted(self._head, is_new=False)
        try:
            self._check_owners(head, changed)
            self.check(result.sections)
            refs, contents = split_sections(result.sections)
        except DaisyhubError as exc:
            return self._refuse(exc)
        self._proposed_head = self._next_head(refs, changed)
        new = contents.keys() - self._head.digests
        self._contents |= contents
        return WriteParts({digest: contents[digest] for digest in sorted(new)})

    def _join_parts(self, head: ConfigHead) -> Sections:
        return join_sections(head, self._contents)

    def _requested_sections(self, head: Sections) -> Sections:
        if not self.req.revert_to:
            return self.req.sections
        restored = self._join_parts(self._heads[self.req.revert_to])
        return {name: {} for name in head} | restored

    def _next_head(self, refs, changed: tuple[str, ...]) -> ConfigHead:
        return ConfigHead(
            version=self._head.version + 1,
            sections=refs,
            author=self.req.author,
            team=self.req.team,
            changed=changed,
            at_s=self.req.at_s,
            write_id=self.req.write_id,
            base_version=self.req.base_version,
        )

    def _refuse_conflicts(
        self, conflicts: tuple[tuple[str, str], ...]
    ) -> object:
        """Refuses a change, naming the teams that made conflicting changes.

        Until the audit entries of the versions since the base are known,
        returns the action that reads the next one.
        """
        first = max(
            self.req.base_version, self._head.version - _MAX_VERSIONS_EXPLAINED
        )
        versions = range(self._head.version, first, -1)
        for version in versions:
            if version not in self._heads:
                return ReadAudit(version)
        descriptions = []
        for section in dict.fromkeys(section for section, _ in conflicts):
            teams: dict[str, int] = {}
            for version in versions:
                entry = self._heads[version]
                if section in entry.changed:
                    teams.setdefault(entry.team, version)
            names = [name for other, name in conflicts if other == section]
            changes = [f"{t!r} in version {v}" for t, v in teams.items()]
            descriptions.append(
                f"section {section!r}, changed since by team"
                f" {', '.join(changes)}: {', '.join(names)}"
            )
        return self._refuse(
            ConfigConflictError(
                f"team {self.req.team!r} started from version"
                f" {self.req.base_version}, and the same entries were changed"
                f" since: {'; '.join(descriptions)}"
            )
        )

    def _check_owners(self, head: Sections, changed: tuple[str, ...]) -> None:
        """Checks the changed sections against the owners in the current head.

        Raises:
            ConfigConflictError: A section belongs to other teams.
        """
        owners = head.get("owners", {})
        for name in changed:
            if name in owners and self.req.team not in owners[name]:
                allowed = ", ".join(map(repr, owners[name]))
                raise ConfigConflictError(
                    f"section {name!r} belongs to team {allowed},"
                    f" not to {self.req.team!r}"
                )

    def _refuse(self, error: DaisyhubError) -> object:
        """Records the refusal; `ChangeRefused` follows once it is stored."""
        self._refusal = error
        sections = self.req.sections or {}
        return WriteRefusal(
            RefusedChange(
                write_id=self.req.write_id,
                author=self.req.author,
                team=self.req.team,
                at_s=self.req.at_s,
                base_version=self.req.base_version,
                head_version=self._head.version,
                sections=tuple(sorted(sections)),
                reason=str(error),
            )
        )
