"""Configuration in the platform's store: one head, sections by digest.

The head names a version and, for each section, the digest of its content.
Section objects never change, so a daemon fetches only sections whose digest
is new to it. Only the head is moved, by conditional update.
"""

import dataclasses
import hashlib
import json
import uuid

import msgspec

from daisyhub.config._document import SECTION_NAMES, Document
from daisyhub.exceptions import ConfigConflictError, PlatformConflictError

__all__ = [
    "ConfigHead",
    "ConfigStore",
    "SectionRef",
    "Snapshot",
    "WithdrawnKeys",
]

HEAD_KEY = "news/config"
WITHDRAWN_KEY = "news/keys"
SECTION_PREFIX = "config/section/"
AUDIT_PREFIX = "audit/"


class SectionRef(msgspec.Struct, frozen=True, kw_only=True):
    """Name and content digest (SHA-256, hex) of a section."""

    name: str
    digest: str


class ConfigHead(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration in force.

    Attributes:
        version: Rises by one with each accepted change.
        sections: One reference for each section.
        author: Who made the change.
        team: The team whose sections were changed.
        changed: Names of the changed sections.
        at_s: Wall-clock time of the change, seconds since the epoch.
        write_id: Unique id of the change.
    """

    version: int = 0
    sections: tuple[SectionRef, ...] = ()
    author: str = ""
    team: str = ""
    changed: tuple[str, ...] = ()
    at_s: float = 0.0
    write_id: str = ""


class WithdrawnKeys(msgspec.Struct, frozen=True, kw_only=True):
    """Key ids that are no longer valid; the set only grows."""

    key_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """A head with the document that it names.

    Attributes:
        head: The head.
        contents: Section digest to the section's JSON text.
        document: The checked document.
    """

    head: ConfigHead
    contents: dict[str, str]
    document: Document


def section_text(value: object) -> str:
    """Returns the canonical JSON text of a section."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def digest_of(text: str) -> str:
    """Returns the SHA-256 of a section's text, hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def document_of(head: ConfigHead, contents: dict[str, str]) -> Document:
    """Builds the document of a head that was checked before it was stored."""
    raw = {ref.name: json.loads(contents[ref.digest]) for ref in head.sections}
    return msgspec.convert(raw, Document)


class ConfigStore:
    """Reads and changes the configuration through a platform client."""

    def __init__(self, client):
        self._client = client

    async def read_head(self) -> tuple[ConfigHead, int]:
        """Returns the head and its object version; version 0 if absent."""
        found = await self._client.get(HEAD_KEY)
        if found is None:
            return ConfigHead(), 0
        return msgspec.convert(found.value, ConfigHead), found.version

    async def read_contents(
        self, head: ConfigHead, known: dict[str, str]
    ) -> dict[str, str]:
        """Returns the texts of a head's sections, fetching unknown ones."""
        contents = {}
        for ref in head.sections:
            if ref.digest in known:
                contents[ref.digest] = known[ref.digest]
                continue
            found = await self._client.get(SECTION_PREFIX + ref.digest)
            if found is None:
                raise PlatformConflictError(SECTION_PREFIX + ref.digest, 0)
            contents[ref.digest] = found.value
        return contents

    async def apply(
        self,
        sections: dict[str, object],
        *,
        base_version: int,
        author: str,
        team: str,
        at_s: float,
    ) -> ConfigHead:
        """Replaces whole sections on top of `base_version`.

        Args:
            sections: Section name to its new plain JSON value.
            base_version: The version that the team started from.
            author: Who makes the change.
            team: The author's team.
            at_s: Wall-clock time, seconds since the epoch.

        Raises:
            ConfigConflictError: A section was changed since `base_version`,
                or belongs to another team.
        """
        while True:
            head, object_version = await self.read_head()
            await self._record_audit(head)
            await self._check_owners(head, sections, team)
            self._check_base(head, sections, base_version)
            new_head = self._next_head(head, sections, author, team, at_s)
            if not new_head.changed:
                return head
            for name in new_head.changed:
                await self._write_section(section_text(sections[name]))
            try:
                await self._client.put(
                    HEAD_KEY,
                    msgspec.to_builtins(new_head),
                    expected_version=object_version,
                    write_id=new_head.write_id,
                )
            except PlatformConflictError:
                continue
            await self._record_audit(new_head)
            return new_head

    async def withdraw_key(self, key_id: str) -> None:
        """Adds a key id to the withdrawn set."""
        while True:
            found = await self._client.get(WITHDRAWN_KEY)
            known = ()
            if found is not None:
                known = msgspec.convert(found.value, WithdrawnKeys).key_ids
            if key_id in known:
                return
            record = WithdrawnKeys(key_ids=(*known, key_id))
            try:
                await self._client.put(
                    WITHDRAWN_KEY,
                    msgspec.to_builtins(record),
                    expected_version=found.version if found else 0,
                    write_id=uuid.uuid4().hex,
                )
            except PlatformConflictError:
                continue
            return

    async def read_audit(self) -> list[ConfigHead]:
        """Returns every accepted change, oldest first."""
        head, _ = await self.read_head()
        await self._record_audit(head)
        entries = await self._client.list(AUDIT_PREFIX)
        found = [msgspec.convert(entry.value, ConfigHead) for entry in entries]
        return sorted(found, key=lambda entry: entry.version)

    async def _write_section(self, text: str) -> None:
        key = SECTION_PREFIX + digest_of(text)
        try:
            await self._client.put(
                key, text, expected_version=0, write_id=uuid.uuid4().hex
            )
        except PlatformConflictError:
            return  # The same content is already there.

    async def _record_audit(self, head: ConfigHead) -> None:
        """Creates the audit entry of a head unless it is there.

        Whoever moves the head next creates the entry that a failed process
        left out, so that every accepted change has exactly one.
        """
        if head.version == 0:
            return
        try:
            await self._client.put(
                f"{AUDIT_PREFIX}{head.version:012d}",
                msgspec.to_builtins(head),
                expected_version=0,
                write_id=head.write_id,
            )
        except PlatformConflictError:
            return

    async def _check_owners(self, head, sections, team) -> None:
        digests = {ref.name: ref.digest for ref in head.sections}
        if "owners" not in digests:
            return
        found = await self._client.get(SECTION_PREFIX + digests["owners"])
        owners = json.loads(found.value)
        for name in sections:
            unchanged = digests.get(name) == digest_of(
                section_text(sections[name])
            )
            if unchanged or team in owners.get(name, [team]):
                continue
            raise ConfigConflictError(
                f"section {name!r} belongs to {owners[name]}, not to {team!r}"
            )

    def _check_base(self, head, sections, base_version) -> None:
        if head.version == base_version:
            return
        raise ConfigConflictError(
            f"version {head.version} is in force, the change of"
            f" {sorted(sections)} starts from {base_version}"
        )

    def _next_head(self, head, sections, author, team, at_s) -> ConfigHead:
        digests = {ref.name: ref.digest for ref in head.sections}
        new_digests = dict(digests)
        for name, value in sections.items():
            new_digests[name] = digest_of(section_text(value))
        changed = tuple(
            name
            for name in SECTION_NAMES
            if name in sections and digests.get(name) != new_digests[name]
        )
        refs = tuple(
            SectionRef(name=name, digest=digest)
            for name, digest in sorted(new_digests.items())
        )
        return ConfigHead(
            version=head.version + 1,
            sections=refs,
            author=author,
            team=team,
            changed=changed,
            at_s=at_s,
            write_id=uuid.uuid4().hex,
        )
