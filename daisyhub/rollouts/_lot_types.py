"""Typed records of lots, on the wire and in the store."""

from typing import Annotated

import msgspec

__all__ = [
    "AckBody",
    "EngineResponse",
    "Group",
    "MAX_GROUPS",
    "LotSpec",
    "LotState",
    "OpenBody",
    "ProgressResponse",
    "PullResponse",
    "PullBody",
    "PullRecord",
    "Sample",
    "Span",
    "check_spans",
]

Count = Annotated[int, msgspec.Meta(ge=0)]
PullId = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
# With one group a pull, the longest ids and these many groups, the lot's
# object in the store stays under a megabyte.
MAX_GROUPS = 4096


class Span(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens `start` to `end` (excluded) that one weight version produced."""

    version: Count
    start: Count
    end: Count


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One generated sample.

    Attributes:
        index: Its place in the group.
        tokens: Token ids.
        spans: The weight versions that produced them, in order.
    """

    index: int
    tokens: tuple[int, ...]
    spans: tuple[Span, ...]

    @property
    def oldest_version(self) -> int:
        """The oldest weight version in the sample."""
        return min(span.version for span in self.spans)


class Group(msgspec.Struct, frozen=True, kw_only=True):
    """All samples of one prompt."""

    group: int
    samples: tuple[Sample, ...]


class EngineResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A model engine's answer to a generation request."""

    tokens: tuple[int, ...]
    spans: tuple[Span, ...] = ()


class OpenBody(msgspec.Struct, frozen=True, kw_only=True):
    """A trainer opens a lot; repeating it is harmless."""

    lot_class: str
    prompts: Annotated[
        tuple[str, ...], msgspec.Meta(min_length=1, max_length=MAX_GROUPS)
    ]


class PullBody(msgspec.Struct, frozen=True, kw_only=True):
    """A trainer asks for whole groups.

    Attributes:
        pull_id: Its groups never change; the trainer repeats the id until it
            gets groups.
        version: The trainer's weight version now.
        max_groups: At most this many groups.
        wait_s: How long to wait for the first group.
        acks: Earlier pulls whose samples the trainer has taken.
    """

    pull_id: PullId
    version: Count
    max_groups: Annotated[int, msgspec.Meta(ge=1, le=MAX_GROUPS)] = 16
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 10.0
    acks: tuple[PullId, ...] = ()


class AckBody(msgspec.Struct, frozen=True, kw_only=True):
    """A trainer has taken the samples of a pull."""

    pull_id: PullId


class PullResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Whole groups; `remaining` counts those not handed over yet."""

    pull_id: str
    groups: tuple[Group, ...]
    remaining: int


class ProgressResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Answers open, ack and close.

    Attributes:
        remaining: Groups that no pull names yet.
        open_pulls: Pulls that aren't acknowledged; a trainer that restarted
            repeats those whose samples it doesn't have.
        closed: Whether the lot is closed.
    """

    remaining: int
    open_pulls: tuple[str, ...] = ()
    closed: bool = False


class LotSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What a lot consists of; never changes once it is open."""

    lot_id: str
    lot_class: str
    account: str
    pool: str
    prompts: tuple[str, ...]
    group_size: int
    max_staleness: int
    max_tokens: int
    concurrency: int
    spare_samples: int = 0
    sample_timeout_s: float = 60.0


class PullRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Groups that were committed to a pull; they never change.

    Attributes:
        groups: The groups.
        commit_id: Id of the write that first named them.
        is_acked: Whether the trainer has taken the samples.
    """

    groups: tuple[int, ...]
    commit_id: str = ""
    is_acked: bool = False


class LotState(msgspec.Struct, frozen=True, kw_only=True):
    """The lot's object in the store.

    Attributes:
        pulls: Pull id to its record; records are added, never removed.
        is_closed: Whether the trainer closed the lot.
    """

    pulls: dict[str, PullRecord] = {}
    is_closed: bool = False


def check_spans(response: EngineResponse) -> bool:
    """Whether spans cover the tokens, in order, without gap or overlap."""
    end = 0
    for span in response.spans:
        if span.start != end or span.end <= span.start:
            return False
        end = span.end
    return bool(response.tokens) and end == len(response.tokens)
