"""The request, events and actions of `AcceptanceCore`."""

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
    "HeadWriteRejected",
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
    """A change of the configuration that a team submits.

    Attributes:
        sections: The new content of each submitted section, complete; None
            to restore an earlier version.
        base_version: The version that the team edited.
        revert_to: The version to restore; 0 for none.
        author: The person who submits the change.
        team: The author's team.
        at_s: Wall-clock time, seconds since the epoch.
        write_id: Unique id of the change, also used for its write of the head.
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
    """Event: the caller started the change."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """Event: the store returned a head, possibly a stale one.

    Attributes:
        head: The head; that of version 0 if none is stored.
        object_version: Version of the head's object; 0 if none is stored.
    """

    head: ConfigHead
    object_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRead:
    """Event: an audit entry was read; `head` is None if it is absent."""

    version: int
    head: ConfigHead | None


@dataclasses.dataclass(frozen=True, slots=True)
class PartsRead:
    """Event: parts were read; `contents` omits missing digests."""

    contents: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PartsWritten:
    """Event: all parts are stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class AuditWritten:
    """Event: the audit entry of a version is stored."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWritten:
    """Event: this change updated the head."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWriteRejected:
    """Event: the head object isn't at the expected version."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalWritten:
    """Event: the refusal is stored in the audit trail."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """Event: the last action failed; it may have taken effect."""

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
    """Action: create the parts that don't exist."""

    contents: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAudit:
    """Action: create the audit entry of a head unless it exists."""

    head: ConfigHead


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHead:
    """Action: update the head if its object is at `expected_version`."""

    head: ConfigHead
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefusal:
    """Action: record a refusal in the audit trail."""

    record: RefusedChange


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """Final: `head` contains the change; `is_new` if the change created it.

    Otherwise `head` is the current head, which already had the content.
    """

    head: ConfigHead
    is_new: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefused:
    """Final: the change was refused and has no effect."""

    error: DaisyhubError


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInDoubt:
    """Final: the retries are used up.

    Attributes:
        reason: Why the last retry was needed.
        is_sent: Whether an update of the head was sent, so that the change
            may have taken effect or may still do so.
    """

    reason: str
    is_sent: bool
