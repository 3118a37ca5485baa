"""Decides how one change of the configuration is accepted or refused.

The head is moved by conditional update. A write whose answer is lost is sent
again, word for word, until the store tells which version the head has; the
audit entry of that version then says whose change it is. So a change is never
accepted twice, and never reported as refused after it took effect.
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
    HeadWriteRefused,
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

_MOST_TRIES = 12
_MOST_EXPLAINED = 200
_PAUSE_S = 0.01
_MOST_PAUSE_S = 1.0


class AcceptanceCore(Core):
    """Carries one change through; one action is open at a time.

    Args:
        req: The change.
        check: Raises `DocumentError` if merged sections aren't a document.
    """

    def __init__(self, req: ChangeRequest, check: Callable[[Sections], object]):
        self.req = req
        self.check = check
        self._head = ConfigHead()
        self._object_version = 0
        self._heads = {0: ConfigHead()}
        self._contents: dict[str, str] = {}
        self._sent: ConfigHead | None = None
        self._last: object = None
        self._refusal: DaisyhubError | None = None
        self._tries = 0
        self._is_head_sent = False
        self._pause_s = 0.0

    @property
    def pause_s(self) -> float:
        """How long to wait before the action that was returned last."""
        return self._pause_s

    @property
    def next_wakeup_s(self) -> float | None:
        """Never: the caller bounds each action's time."""
        return None

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event; returns the next action, or a final one."""
        self._pause_s = 0.0
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
                action = WriteHead(self._sent, self._object_version)
            case HeadWritten():
                action = WriteAudit(self._sent)
            case HeadWriteRefused():
                action = self._retry(ReadHead())
            case AuditWritten():
                action = self._on_audit_written()
            case RefusalWritten():
                action = ChangeRefused(self._refusal)
            case StoreFailed():
                action = self._on_failure(event)
            case _:
                raise TypeError(f"not an acceptance event: {event!r}")
        self._last = action
        return [action]

    def _on_head(self, event: HeadRead) -> object:
        if self._sent is not None:
            return self._resolve(event)
        self._head = event.head
        self._object_version = event.object_version
        self._heads[event.head.version] = event.head
        if event.head.version:
            # Whoever moves the head next completes the audit trail first.
            return WriteAudit(event.head)
        return self._prepare()

    def _resolve(self, event: HeadRead) -> object:
        """Finds out whose change the version became."""
        if event.head.version < self._sent.version:
            return self._retry(ReadHead())  # A replica lags.
        if event.head.version > self._sent.version:
            return ReadAudit(self._sent.version)
        if event.head.write_id == self.req.write_id:
            return WriteAudit(self._sent)
        return self._start_again()

    def _start_again(self) -> object:
        self._sent = None
        return self._retry(ReadHead())

    def _on_audit(self, event: AuditRead) -> object:
        if event.head is None:
            return self._on_missing_audit(event)
        if self._sent is None:
            self._heads[event.version] = event.head
            return self._prepare()
        if event.head.write_id == self.req.write_id:
            return ChangeAccepted(self._sent)
        return self._start_again()

    def _on_missing_audit(self, event: AuditRead) -> object:
        if self._sent is None and event.version > self._head.version:
            return self._refuse(
                ConfigConflictError(f"there is no version {event.version}")
            )
        return self._retry(ReadAudit(event.version))

    def _on_audit_written(self) -> object:
        if self._sent is not None:
            return ChangeAccepted(self._sent)
        return self._prepare()

    def _on_failure(self, event: StoreFailed) -> object:
        if isinstance(self._last, WriteRefusal):
            return ChangeRefused(self._refusal)
        if self._is_accepted():
            # The next change writes the audit entry.
            return ChangeAccepted(self._sent)
        return self._retry(self._last, event.reason)

    def _is_accepted(self) -> bool:
        return self._sent is not None and isinstance(self._last, WriteAudit)

    def _retry(self, action: object, reason: str = "others write") -> object:
        self._tries += 1
        if self._tries > _MOST_TRIES:
            return ChangeInDoubt(reason, self._is_head_sent)
        self._pause_s = min(_MOST_PAUSE_S, _PAUSE_S * 2**self._tries)
        return action

    def _prepare(self) -> object:
        """Merges and writes once all that the merge needs is known."""
        versions = [self.req.base_version, self.req.revert_to]
        unknown = [v for v in versions if v not in self._heads]
        if unknown:
            return ReadAudit(unknown[0])
        needed = set(self._head.digests)
        for version in versions:
            needed |= self._heads[version].digests
        missing = tuple(sorted(needed - self._contents.keys()))
        if missing and isinstance(self._last, ReadParts):
            return self._retry(ReadParts(missing), "parts are missing")
        if missing:
            return ReadParts(missing)
        return self._decide()

    def _decide(self) -> object:
        head = self._sections_of(self._head)
        base = self._sections_of(self._heads[self.req.base_version])
        result = merge_sections(base, head, self._wanted(head))
        if result.conflicts:
            return self._explain(result.conflicts)
        changed = changed_sections(head, result.sections)
        if not changed:
            return ChangeAccepted(self._head, is_new=False)
        try:
            self._check_owners(head, changed)
            self.check(result.sections)
            refs, contents = split_sections(result.sections)
        except DaisyhubError as exc:
            return self._refuse(exc)
        self._sent = self._next_head(refs, changed)
        new = contents.keys() - self._head.digests
        self._contents |= contents
        return WriteParts({digest: contents[digest] for digest in sorted(new)})

    def _sections_of(self, head: ConfigHead) -> Sections:
        return join_sections(head, self._contents)

    def _wanted(self, head: Sections) -> Sections:
        if not self.req.revert_to:
            return self.req.sections
        wanted = self._sections_of(self._heads[self.req.revert_to])
        return {name: {} for name in head} | wanted

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

    def _explain(self, conflicts: tuple[tuple[str, str], ...]) -> object:
        """Reads which teams changed the sections since, then refuses."""
        first = max(self.req.base_version, self._head.version - _MOST_EXPLAINED)
        versions = range(self._head.version, first, -1)
        for version in versions:
            if version not in self._heads:
                return ReadAudit(version)
        parts = []
        for section in dict.fromkeys(place for place, _ in conflicts):
            teams: dict[str, int] = {}
            for version in versions:
                entry = self._heads[version]
                if section in entry.changed:
                    teams.setdefault(entry.team, version)
            names = [name for place, name in conflicts if place == section]
            changes = [f"{t!r} in version {v}" for t, v in teams.items()]
            parts.append(
                f"section {section!r}, changed since by team"
                f" {', '.join(changes)}: {', '.join(names)}"
            )
        return self._refuse(
            ConfigConflictError(
                f"team {self.req.team!r} started from version"
                f" {self.req.base_version}, and the same entries were changed"
                f" since: {'; '.join(parts)}"
            )
        )

    def _check_owners(self, head: Sections, changed: tuple[str, ...]) -> None:
        owners = head.get("owners", {})
        for name in changed:
            if name in owners and self.req.team not in owners[name]:
                allowed = ", ".join(map(repr, owners[name]))
                raise ConfigConflictError(
                    f"section {name!r} belongs to team {allowed},"
                    f" not to {self.req.team!r}"
                )

    def _refuse(self, error: DaisyhubError) -> object:
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
