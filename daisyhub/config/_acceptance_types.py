"""The change, the events and the actions of `AcceptanceCore`."""

import dataclasses

from daisyhub.config._parts import Sections
from daisyhub.config._records import ConfigHead, RefusedChange
from daisyhub.exceptions import DaisyhubError

__all__ = [
    "AuditRead",
    "AuditWritten",
    "ChangeStarted",
    "ChangeAccepted",
    "ChangeInDoubt",
    "ChangeRefused",
    "ChangeRequest",
    "HeadRead",
    "HeadWriteRefused",
    "HeadWritten",
    "PartsRead",
    "PartsWritten",
    "ReadAudit",
    "ReadHead",
    "ReadParts",
    "RefusalWritten",
    "StoreFailed",
    "WriteAudit",
    "WriteHead",
    "WriteParts",
    "WriteRefusal",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRequest:
    """A team's change.

    Attributes:
        sections: The sections that the team gives, whole; None to put an
            earlier version's sections in force again.
        base_version: The version that the team started from.
        revert_to: The version to put in force again; 0 for none.
        author: Who makes the change.
        team: The author's team.
        at_s: Wall-clock time, seconds since the epoch.
        write_id: Unique id of the change.
    """

    sections: Sections | None
    base_version: int
    revert_to: int = 0
    author: str
    team: str
    at_s: float
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeStarted:
    """Event: start."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """Event: the head as the store told it, perhaps an earlier one."""

    head: ConfigHead
    object_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRead:
    """Event: the audit entry of a version; None if it isn't there (yet)."""

    version: int
    head: ConfigHead | None


@dataclasses.dataclass(frozen=True, slots=True)
class PartsRead:
    """Event: texts by digest; missing ones are left out."""

    contents: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PartsWritten:
    """Event: all parts are in the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class AuditWritten:
    """Event: the audit entry of a version is in the store."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWritten:
    """Event: the head was moved by this change."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWriteRefused:
    """Event: the head is at another version than expected."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalWritten:
    """Event: the refusal is in the audit trail."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """Event: the last action has no known effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Action: read the head."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAudit:
    """Action: read the audit entry of a version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadParts:
    """Action: read parts by digest."""

    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteParts:
    """Action: create parts that aren't there."""

    contents: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAudit:
    """Action: create the audit entry of a head unless it is there."""

    head: ConfigHead


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHead:
    """Action: move the head if its object is at `expected_version`."""

    head: ConfigHead
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefusal:
    """Action: note a refusal in the audit trail."""

    record: RefusedChange


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """Final: the head that is in force, and whether the change moved it."""

    head: ConfigHead
    is_new: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefused:
    """Final: the change has no effect."""

    error: DaisyhubError


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInDoubt:
    """Final: the store doesn't answer; `is_sent` if the head may move."""

    reason: str
    is_sent: bool
