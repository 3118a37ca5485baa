"""Configuration records in the platform's store."""

import dataclasses

import msgspec

from daisyhub.config._document import Document

__all__ = [
    "ConfigHead",
    "RefusedChange",
    "SectionRef",
    "Snapshot",
    "WithdrawnKey",
    "WithdrawnKeys",
]


class SectionRef(msgspec.Struct, frozen=True, kw_only=True):
    """Reference to one part of a section.

    Attributes:
        name: Name of the section.
        digest: SHA-256 digest of the part's text, in hex.
    """

    name: str
    digest: str


class ConfigHead(msgspec.Struct, frozen=True, kw_only=True):
    """A version of the configuration; the latest one is active.

    Attributes:
        version: Incremented by each accepted change; 0 before the first.
        sections: References to the parts of all sections, sorted by section
            name and by the entry names within the parts.
        author: The person who submitted the change.
        team: The author's team.
        changed: Names of the changed sections.
        at_s: Wall-clock time of the change, seconds since the epoch.
        write_id: Unique id of the change.
        base_version: The version that the team edited.
    """

    version: int = 0
    sections: tuple[SectionRef, ...] = ()
    author: str = ""
    team: str = ""
    changed: tuple[str, ...] = ()
    at_s: float = 0.0
    write_id: str = ""
    base_version: int = 0

    @property
    def digests(self) -> set[str]:
        """Digests of all parts."""
        return {ref.digest for ref in self.sections}


class RefusedChange(msgspec.Struct, frozen=True, kw_only=True):
    """The audit entry of a change that was refused.

    Attributes:
        write_id: Unique id of the change.
        author: The person who submitted the change.
        team: The author's team.
        at_s: Wall-clock time, seconds since the epoch.
        base_version: The version that the team edited.
        head_version: The version that was active.
        sections: Names of the submitted sections; empty for a revert.
        reason: Error message of the refusal.
    """

    write_id: str
    author: str
    team: str
    at_s: float
    base_version: int
    head_version: int
    sections: tuple[str, ...]
    reason: str


class WithdrawnKeys(msgspec.Struct, frozen=True, kw_only=True):
    """Key ids that are no longer valid; the set only grows."""

    key_ids: tuple[str, ...] = ()


class WithdrawnKey(msgspec.Struct, frozen=True, kw_only=True):
    """The audit entry of a key's withdrawal.

    Attributes:
        key_id: The withdrawn key id.
        author: The person who withdrew the key.
        at_s: Wall-clock time, seconds since the epoch.
    """

    key_id: str
    author: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """A head with its document.

    Attributes:
        head: The head.
        contents: JSON texts of the head's parts, by digest.
        document: The document, decoded from the parts.
    """

    head: ConfigHead
    contents: dict[str, str]
    document: Document
