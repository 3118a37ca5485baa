"""Types of lots, as sent on the wire and kept in the store."""

from typing import Annotated

import msgspec

__all__ = [
    "AckBody",
    "EngineResponse",
    "Group",
    "LotSpec",
    "LotState",
    "MAX_GROUPS",
    "OpenBody",
    "ProgressResponse",
    "PullResponse",
    "PullBody",
    "PullRecord",
    "Sample",
    "Span",
    "has_valid_spans",
]

Count = Annotated[int, msgspec.Meta(ge=0)]
PullId = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
# With 4096 groups, one group per pull and ids of maximum length, the lot's
# object in the store is smaller than 1 MB.
MAX_GROUPS = 4096


class Span(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens from `start` to `end` (exclusive) produced by one version."""

    version: Count
    start: Count
    end: Count


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One generated sample.

    Attributes:
        index: Index of the sample in the group.
        tokens: Token ids.
        spans: Weight versions that produced the tokens, in token order.
    """

    index: int
    tokens: tuple[int, ...]
    spans: tuple[Span, ...]

    @property
    def oldest_version(self) -> int:
        """The oldest weight version in the sample."""
        return min(span.version for span in self.spans)


class Group(msgspec.Struct, frozen=True, kw_only=True):
    """All samples of one prompt; `group` is the prompt's index in the lot."""

    group: int
    samples: tuple[Sample, ...]


class EngineResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A model engine's response to a generation request."""

    tokens: tuple[int, ...]
    spans: tuple[Span, ...] = ()


class OpenBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a trainer's request to open a lot; idempotent."""

    lot_class: str
    prompts: Annotated[
        tuple[str, ...], msgspec.Meta(min_length=1, max_length=MAX_GROUPS)
    ]


class PullBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a trainer's request for complete groups.

    Attributes:
        pull_id: Id of the pull, which the trainer repeats until it receives
            groups. The groups of a pull never change.
        version: The trainer's current weight version.
        max_groups: Maximum number of groups.
        wait_s: Maximum time in seconds to wait for the first group.
        acks: Ids of earlier pulls that the trainer acknowledges.
    """

    pull_id: PullId
    version: Count
    max_groups: Annotated[int, msgspec.Meta(ge=1, le=MAX_GROUPS)] = 16
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 10.0
    acks: tuple[PullId, ...] = ()


class AckBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a trainer's acknowledgement of a pull's samples."""

    pull_id: PullId


class PullResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Complete groups; `remaining` counts those not committed to a pull."""

    pull_id: str
    groups: tuple[Group, ...]
    remaining: int


class ProgressResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to an open, acknowledge or close request.

    Attributes:
        remaining: Number of groups that aren't committed to a pull.
        open_pulls: Ids of pulls that aren't acknowledged. After a restart the
            trainer repeats those whose samples it doesn't have.
        closed: Whether the lot is closed.
    """

    remaining: int
    open_pulls: tuple[str, ...] = ()
    closed: bool = False


class LotSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Specification of a lot; immutable once the lot is open.

    Attributes:
        lot_id: Id of the lot.
        lot_class: Name of the lot class in the configuration.
        account: Client account that is billed.
        pool: Pool of the engines that generate samples.
        prompts: The prompts; group i has the samples of prompt i.
        group_size: Number of samples per group.
        max_staleness: How many weight versions a sample may lag behind the
            trainer.
        max_tokens: Maximum number of tokens per sample.
        concurrency: Maximum number of attempts that run at once.
        spare_samples: A group that misses at most this many samples gets
            second attempts for them.
        sample_timeout_s: Maximum time in seconds for one attempt.
    """

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
    """The groups that are committed to a pull.

    Attributes:
        groups: Indexes of the groups; they never change.
        commit_id: Id of the write that committed them.
        is_acked: Whether the trainer has acknowledged the samples.
    """

    groups: tuple[int, ...]
    commit_id: str = ""
    is_acked: bool = False


class LotState(msgspec.Struct, frozen=True, kw_only=True):
    """The lot's object in the store.

    Attributes:
        pulls: Records by pull id; records are never removed.
        is_closed: Whether the trainer has closed the lot.
    """

    pulls: dict[str, PullRecord] = {}
    is_closed: bool = False


def has_valid_spans(response: EngineResponse) -> bool:
    """Returns whether the spans cover all tokens without gap or overlap.

    A response without tokens isn't valid.
    """
    end = 0
    for span in response.spans:
        if span.start != end or span.end <= span.start:
            return False
        end = span.end
    return bool(response.tokens) and end == len(response.tokens)
