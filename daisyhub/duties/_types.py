"""Record, events and actions of a duty."""

import dataclasses

import msgspec

__all__ = [
    "DutyCallFailed",
    "DutyRecord",
    "DutyRecordReceived",
    "DutyTick",
    "FencingRejected",
    "ReadDuty",
    "WriteDuty",
]


class DutyRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The stored record of a duty.

    Attributes:
        holder: Process that holds the duty, `daemon id/incarnation`; empty
            after a release.
        fencing: Fencing number; increases with every change of holder.
        challenger: Process that asks whether the holder is alive; empty once
            the holder has answered.
    """

    holder: str
    fencing: int
    challenger: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DutyTick:
    """A periodic tick, with the state of the peers.

    Attributes:
        is_candidate: Whether this daemon should take the duty if it is free.
        is_holder_live: Whether pings of the recorded holder's process arrive.
        has_lost_peers: Whether a known peer no longer sends pings.
        max_peer_fencing: Highest fencing number that peers report for this
            duty; 0 if none does.
        is_silence_conclusive: Whether the holder is lost if no pings of it
            arrive. Otherwise this daemon may be cut off.
        is_challenged: Whether a peer reports that it challenges the holder.
    """

    is_candidate: bool
    is_holder_live: bool
    has_lost_peers: bool = False
    max_peer_fencing: int = 0
    is_silence_conclusive: bool = True
    is_challenged: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DutyRecordReceived:
    """A read, a write or a write conflict returned the current record.

    Attributes:
        record: The current record; None if there is none.
        revision: Its revision; 0 if there is no record.
    """

    record: DutyRecord | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutyCallFailed:
    """A read or a write failed or returned an invalid record."""


@dataclasses.dataclass(frozen=True, slots=True)
class FencingRejected:
    """A receiver rejected the fencing number: it has received a higher one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDuty:
    """Action: read the record."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteDuty:
    """Action: write the record if it is at `revision`; 0 creates it."""

    record: DutyRecord
    revision: int
