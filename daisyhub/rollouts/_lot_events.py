"""Events and actions of `LotCore`."""

import dataclasses
import enum

from daisyhub.rollouts._lot_types import EngineResponse, Group, LotState

__all__ = [
    "AckRequested",
    "CancelSample",
    "CloseRequested",
    "CountUsage",
    "DeliverGroups",
    "Generate",
    "LotReleased",
    "LotTick",
    "OpenRequested",
    "PullRequested",
    "ReadState",
    "RefusalReason",
    "RefuseCall",
    "SampleFailed",
    "SampleReceived",
    "SendProgress",
    "StateRead",
    "StateReadFailed",
    "StateWriteRejected",
    "StateWriteUncertain",
    "StateWritten",
    "StopServing",
    "WriteState",
]


class RefusalReason(enum.Enum):
    """Why a call was refused."""

    RELEASED = "the lot moves to another daemon"
    CLOSED = "the lot is closed"
    ACKED = "the pull was acknowledged before"
    UNKNOWN_PULL = "no such pull was committed"
    PLATFORM = "the platform does not answer"


@dataclasses.dataclass(frozen=True, slots=True)
class LotTick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SampleReceived:
    """An engine responded to an attempt; the response isn't validated yet."""

    attempt: int
    response: EngineResponse


@dataclasses.dataclass(frozen=True, slots=True)
class SampleFailed:
    """An attempt failed without a sample."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullRequested:
    """The trainer requested groups.

    Attributes:
        call: Number of the call, unique at this holder.
        pull_id: Id of the pull.
        version: The trainer's weight version.
        max_groups: Maximum number of groups.
        until_s: Monotonic time at which the trainer's wait ends.
        acks: Ids of earlier pulls that the trainer acknowledges.
    """

    call: int
    pull_id: str
    version: int
    max_groups: int
    until_s: float
    acks: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequested:
    """The trainer requested to open the lot, perhaps repeatedly."""

    call: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AckRequested:
    """The trainer acknowledged the samples of a pull."""

    call: int
    pull_id: str
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseRequested:
    """The trainer requested to close the lot."""

    call: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LotReleased:
    """This daemon has to stop serving the lot."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateRead:
    """The lot's object was read; version 0 if there is none."""

    state: LotState
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateReadFailed:
    """A read of the lot's object failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateWritten:
    """The write with this id took effect; the object has this version."""

    write_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateWriteRejected:
    """The write was rejected: the object has another version."""

    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StateWriteUncertain:
    """It is unknown whether the write with this id took effect."""

    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadState:
    """Action: read the lot's object."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteState:
    """Action: write the lot's object if it has `expected_version`."""

    write_id: str
    state: LotState
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generate:
    """Action: request one sample of a group's prompt from an engine.

    Attributes:
        attempt: Number of the attempt; repeated in its outcome.
        group: Index of the group.
        index: Index of the sample in the group.
        others: Running attempts for the same sample; their engines are used
            only if there is no other.
    """

    attempt: int
    group: int
    index: int
    others: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CancelSample:
    """Action: cancel an attempt whose response isn't needed any more."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverGroups:
    """Action: respond to a pull; no groups if none was ready in time."""

    call: int
    pull_id: str
    groups: tuple[Group, ...]
    remaining: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendProgress:
    """Action: respond to an open, acknowledge or close call."""

    call: int
    remaining: int
    open_pulls: tuple[str, ...]
    is_closed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseCall:
    """Action: refuse a call."""

    call: int
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class CountUsage:
    """Action: bill samples.

    Attributes:
        groups: The groups of the samples.
        tokens: Token count of each sample.
    """

    groups: tuple[int, ...]
    tokens: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopServing:
    """Action: stop serving the lot here; no call or write is pending."""
