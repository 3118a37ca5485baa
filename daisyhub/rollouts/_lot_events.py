"""Events and actions of a lot's core."""

import dataclasses
import enum

from daisyhub.rollouts._lot_types import EngineResponse, Group, LotState

__all__ = [
    "AckRequested",
    "CancelSample",
    "CloseRequested",
    "CountUsage",
    "Generate",
    "StopServing",
    "DeliverGroups",
    "LotReleased",
    "LotTick",
    "OpenRequested",
    "PullRequested",
    "ReadState",
    "RefuseCall",
    "RefusalReason",
    "SampleFailed",
    "SampleReceived",
    "StateRead",
    "StateReadFailed",
    "SendProgress",
    "StateWritten",
    "StateWriteUncertain",
    "StateWriteRejected",
    "WriteState",
]


class RefusalReason(enum.Enum):
    """Why a call ends without what it asked for."""

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
    """An engine answered attempt `attempt`; the core checks the answer."""

    attempt: int
    response: EngineResponse


@dataclasses.dataclass(frozen=True, slots=True)
class SampleFailed:
    """Attempt `attempt` produced nothing."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullRequested:
    """The trainer asks for groups.

    Attributes:
        call: Unique number of the call at this holder.
        pull_id: Id of the pull.
        version: The trainer's weight version.
        max_groups: At most this many groups.
        until_s: End of the trainer's wait.
        acks: Earlier pulls that the trainer has taken.
    """

    call: int
    pull_id: str
    version: int
    max_groups: int
    until_s: float
    acks: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequested:
    """The trainer opens the lot, again or for the first time."""

    call: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AckRequested:
    """The trainer has taken the samples of a pull."""

    call: int
    pull_id: str
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseRequested:
    """The trainer closes the lot."""

    call: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LotReleased:
    """This daemon stops serving the lot."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateRead:
    """The store's state; version 0 if there is none."""

    state: LotState
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateReadFailed:
    """The store didn't answer a read."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateWritten:
    """The write with this id took effect as `version`."""

    write_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateWriteRejected:
    """The object is at another version than this write expected."""

    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StateWriteUncertain:
    """Whether the write with this id took effect is unknown."""

    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadState:
    """Action: read the lot's object."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteState:
    """Action: write the lot's object if it is at `expected_version`."""

    write_id: str
    state: LotState
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generate:
    """Action: ask an engine for one sample of a group's prompt.

    Attributes:
        attempt: Names this attempt in the answer.
        group: The group.
        index: The sample's place in the group.
        others: Attempts for the same sample; use another engine.
    """

    attempt: int
    group: int
    index: int
    others: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CancelSample:
    """Action: give an attempt up; its answer isn't needed any more."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverGroups:
    """Action: answer the pull; without groups nothing was ready."""

    call: int
    pull_id: str
    groups: tuple[Group, ...]
    remaining: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendProgress:
    """Action: answer an open, ack or close."""

    call: int
    remaining: int
    open_pulls: tuple[str, ...]
    is_closed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseCall:
    """Action: end a call with its final answer at once."""

    call: int
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class CountUsage:
    """Action: bill these samples, by their token counts."""

    groups: tuple[int, ...]
    tokens: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopServing:
    """Action: stop serving the lot here; nothing is open any more."""
