"""Records of the configuration in the platform's store."""

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
    """Section name and content digest (SHA-256, hex) of one of its parts."""

    name: str
    digest: str


class ConfigHead(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration in force.

    Attributes:
        version: Rises by one with each accepted change.
        sections: References to the parts of each section, in order.
        author: Who made the change.
        team: The team whose sections were changed.
        changed: Names of the changed sections.
        at_s: Wall-clock time of the change, seconds since the epoch.
        write_id: Unique id of the change.
        base_version: The version that the team started from.
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
        author: Who tried it.
        team: The author's team.
        at_s: Wall-clock time, seconds since the epoch.
        base_version: The version that the team started from.
        head_version: The version that was in force.
        sections: Names of the sections that it would have changed.
        reason: Why it was refused.
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
    """The audit entry of a key's withdrawal."""

    key_id: str
    author: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """A head with the document that it names.

    Attributes:
        head: The head.
        contents: Part digest to the part's JSON text.
        document: The checked document.
    """

    head: ConfigHead
    contents: dict[str, str]
    document: Document
