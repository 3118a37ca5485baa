"""Stores the configuration on the platform: one head and immutable parts.

The head contains a version and, for each section, the digests of its parts.
Parts are immutable, so a daemon fetches only parts whose digests it lacks.
Only the head is updated, conditionally. `AcceptanceCore` decides; this module
performs its actions.
"""

import json
import uuid
from collections.abc import Iterable

import anyio
import msgspec

from daisyhub.config._acceptance import AcceptanceCore
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
from daisyhub.config._document import check_config
from daisyhub.config._parts import Sections, join_sections
from daisyhub.config._records import (
    ConfigHead,
    RefusedChange,
    WithdrawnKey,
    WithdrawnKeys,
)
from daisyhub.exceptions import (
    PlatformConflictError,
    PlatformUnavailableError,
)

__all__ = ["ConfigStore"]

# Daemons watch all objects under `news/`.
HEAD_KEY = "news/config"
WITHDRAWN_KEY = "news/keys"
PART_PREFIX = "config/part/"
AUDIT_PREFIX = "audit/version/"
REFUSED_PREFIX = "audit/refused/"
WITHDRAWN_PREFIX = "audit/key/"
_MAX_WITHDRAW_ATTEMPTS = 20
_RETRY_DELAY_S = 0.05


class ConfigStore:
    """Reads and changes the configuration through a `PlatformClient`."""

    def __init__(self, client):
        self._client = client

    async def read_head(self) -> tuple[ConfigHead, int]:
        """Returns the head and its object version, which is 0 if absent."""
        found = await self._client.get(HEAD_KEY)
        if found is None:
            return ConfigHead(), 0
        return msgspec.convert(found.value, ConfigHead), found.version

    async def read_version(self, version: int) -> ConfigHead | None:
        """Returns the head of a version, or None if the version is unknown."""
        if version == 0:
            return ConfigHead()
        found = await self._client.get(_audit_key(version))
        if found is not None:
            return msgspec.convert(found.value, ConfigHead)
        # The entry may be missing while the version is the current one.
        head, _ = await self.read_head()
        return head if head.version == version else None

    async def read_parts(self, digests: Iterable[str]) -> dict[str, str]:
        """Returns the texts of parts by digest; missing parts are omitted."""
        contents = {}
        for digest in digests:
            found = await self._client.get(PART_PREFIX + digest)
            if found is not None and isinstance(found.value, str):
                contents[digest] = found.value
        return contents

    async def read_sections(self, head: ConfigHead) -> Sections:
        """Returns a head's sections.

        Raises:
            PartsError: A part is missing or damaged.
        """
        return join_sections(head, await self.read_parts(sorted(head.digests)))

    async def apply(
        self,
        sections: Sections | None,
        *,
        base_version: int,
        author: str,
        team: str,
        at_s: float,
        revert_to: int = 0,
    ) -> ConfigHead:
        """Merges a team's change of whole sections into the head.

        Args:
            sections: Entries by section name; None with `revert_to`.
            base_version: The version that the team edited.
            author: The person who submits the change.
            team: The author's team.
            at_s: Wall-clock time, seconds since the epoch.
            revert_to: The version to restore; 0 for none.

        Returns:
            The new head, or the current one if nothing changed.

        Raises:
            ConfigConflictError: The same entries were changed since
                `base_version`, a section belongs to another team, or
                `base_version` or `revert_to` doesn't exist.
            DocumentError: The merged document is invalid.
            PartsError: An entry is too large, or a stored part is damaged.
            PlatformUnavailableError: The message says whether the change
                may have taken effect.
        """
        req = ChangeRequest(
            sections=sections,
            base_version=base_version,
            revert_to=revert_to,
            author=author,
            team=team,
            at_s=at_s,
            write_id=uuid.uuid4().hex,
        )
        core = AcceptanceCore(req, _check_sections)
        action = core.handle(ChangeStarted(), 0.0)[0]
        while True:
            match action:
                case ChangeAccepted():
                    return action.head
                case ChangeRefused():
                    raise action.error
                case ChangeInDoubt():
                    raise PlatformUnavailableError(
                        _in_doubt_message(action, req)
                    )
            await anyio.sleep(core.delay_s)
            event = await self._perform(action)
            action = core.handle(event, 0.0)[0]

    async def _perform(self, action: object) -> object:
        """Performs an action; returns the event that reports its outcome."""
        try:
            return await self._perform_or_raise(action)
        except PlatformUnavailableError as exc:
            return StoreFailed(str(exc))

    async def _perform_or_raise(self, action: object) -> object:
        match action:
            case ReadHead():
                return HeadRead(*await self.read_head())
            case ReadAudit(version):
                found = await self._client.get(_audit_key(version))
                if found is None:
                    return AuditRead(version, None)
                head = msgspec.convert(found.value, ConfigHead)
                return AuditRead(version, head)
            case ReadParts(digests):
                return PartsRead(await self.read_parts(digests))
            case WriteParts(contents):
                for digest, text in contents.items():
                    await self._create(PART_PREFIX + digest, text)
                return PartsWritten()
            case WriteAudit(head):
                await self._create_audit(head)
                return AuditWritten(head.version)
            case WriteHead(head, expected_version):
                return await self._write_head(head, expected_version)
            case WriteRefusal(record):
                key = REFUSED_PREFIX + record.write_id
                await self._create(key, msgspec.to_builtins(record))
                return RefusalWritten()
        raise TypeError(f"not an acceptance action: {action!r}")

    async def _write_head(self, head, expected_version) -> object:
        try:
            await self._client.put(
                HEAD_KEY,
                msgspec.to_builtins(head),
                expected_version=expected_version,
                write_id=head.write_id,
            )
        except PlatformConflictError:
            return HeadWriteRejected()
        return HeadWritten()

    async def _create(self, key: str, value: object) -> None:
        """Creates an object unless it exists."""
        try:
            await self._client.put(
                key, value, expected_version=0, write_id=uuid.uuid4().hex
            )
        except PlatformConflictError:
            return

    async def _create_audit(self, head: ConfigHead) -> None:
        """Creates the audit entry of a head unless it exists.

        A process may fail after it updated the head and before it created
        the entry. Later writers and readers of the audit trail create it, so
        that every accepted change has exactly one entry.
        """
        if head.version:
            key = _audit_key(head.version)
            await self._create(key, msgspec.to_builtins(head))

    async def withdraw_key(
        self, key_id: str, *, author: str = "", at_s: float = 0.0
    ) -> None:
        """Adds a key id to the withdrawn set and records who withdrew it.

        Args:
            key_id: The key id; no error if it is withdrawn already.
            author: The person who withdraws the key.
            at_s: Wall-clock time, seconds since the epoch.

        Raises:
            PlatformUnavailableError: The key may or may not be withdrawn.
        """
        for _ in range(_MAX_WITHDRAW_ATTEMPTS):
            if await self._try_withdraw(key_id):
                entry = WithdrawnKey(key_id=key_id, author=author, at_s=at_s)
                await self._create(
                    WITHDRAWN_PREFIX + key_id, msgspec.to_builtins(entry)
                )
                return
            await anyio.sleep(_RETRY_DELAY_S)
        raise PlatformUnavailableError(
            f"key {key_id}: {_MAX_WITHDRAW_ATTEMPTS} attempts to withdraw it"
            " conflicted with concurrent writes"
        )

    async def _try_withdraw(self, key_id: str) -> bool:
        """Returns whether the key id is withdrawn; False after a conflict."""
        known, version = await self.read_withdrawn()
        if key_id in known:
            return True
        record = WithdrawnKeys(key_ids=(*known, key_id))
        try:
            await self._client.put(
                WITHDRAWN_KEY,
                msgspec.to_builtins(record),
                expected_version=version,
                write_id=uuid.uuid4().hex,
            )
        except PlatformConflictError:
            return False
        return True

    async def read_withdrawn(self) -> tuple[tuple[str, ...], int]:
        """Returns the withdrawn key ids and their object's version.

        The version is 0 if the object is absent.
        """
        found = await self._client.get(WITHDRAWN_KEY)
        if found is None:
            return (), 0
        return msgspec.convert(
            found.value, WithdrawnKeys
        ).key_ids, found.version

    async def read_audit(self) -> list[ConfigHead]:
        """Returns every accepted change, oldest first."""
        head, _ = await self.read_head()
        await self._create_audit(head)
        found = await self._read_all(AUDIT_PREFIX, ConfigHead)
        return sorted(found, key=lambda entry: entry.version)

    async def read_refused(self) -> list[RefusedChange]:
        """Returns every refused change, oldest first."""
        found = await self._read_all(REFUSED_PREFIX, RefusedChange)
        return sorted(found, key=lambda entry: entry.at_s)

    async def read_withdrawals(self) -> list[WithdrawnKey]:
        """Returns every key withdrawal, oldest first."""
        found = await self._read_all(WITHDRAWN_PREFIX, WithdrawnKey)
        return sorted(found, key=lambda entry: entry.at_s)

    async def _read_all(self, prefix: str, kind: type) -> list:
        entries = await self._client.list(prefix)
        return [msgspec.convert(entry.value, kind) for entry in entries]


def _audit_key(version: int) -> str:
    return f"{AUDIT_PREFIX}{version:012d}"


def _check_sections(sections: Sections) -> None:
    check_config(json.dumps(sections, indent=1), "merged document")


def _in_doubt_message(action: ChangeInDoubt, req: ChangeRequest) -> str:
    if not action.is_sent:
        return f"the change has no effect: {action.reason}"
    return (
        f"the change may have taken effect: {action.reason};"
        f" search `daisyhub audit` for the write id {req.write_id}"
    )
