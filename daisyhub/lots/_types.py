"""Lots as they are handed in, and results as they are listed."""

import msgspec

__all__ = [
    "ItemResult",
    "ItemSpec",
    "LotHead",
    "LotSpec",
    "ResultState",
    "RewardSpec",
]


class RewardSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The call that scores an item's text.

    Attributes:
        request_id: Its id.
        host: Host name that selects its route.
        path: Its path.
        body: Its content.
    """

    request_id: str
    host: str
    path: str
    body: bytes


class ItemSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One sample to generate.

    Attributes:
        item_id: Its id, which its request carries.
        path: Path of its request.
        headers: Headers of its request, names in lower case.
        body: Content of its request.
        group: Items of one group share their prompt.
        tokens: Prompt tokens and the most output tokens together.
        length_hint: Output tokens that the caller expects; 0 if not told.
        reward: Scores the text; None where texts aren't scored.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    group: str
    tokens: int = 0
    length_hint: int = 0
    reward: RewardSpec | None = None


class LotHead(msgspec.Struct, frozen=True, kw_only=True):
    """A lot without its items; its object is the lot's acceptance.

    Attributes:
        lot_id: Its id.
        account: Client account that handed it in.
        host: Host name that selects the items' routes.
        path: Path under which it was handed in.
        step: The trainer's step.
        model: The model to sample.
        oldest_version: Oldest weight version that may generate its tokens.
        wanted_groups: Groups that the trainer waits for.
        total: Number of items.
        parts: Number of objects that hold the items.
        accepted_s: True time of its acceptance, seconds since 1970.
        due_s: Seconds from then to when its results are due.
        max_wait_s: Seconds from then until items may be given up.
        max_attempts: Failures of an item after which it may be given up.
        is_single_version: Whether a text must come from one version.
    """

    lot_id: str
    account: str
    host: str
    path: str
    step: int
    model: str
    oldest_version: int
    wanted_groups: int
    total: int
    parts: int = 0
    accepted_s: float = 0.0
    due_s: float = 0.0
    max_wait_s: float = 0.0
    max_attempts: int = 1
    is_single_version: bool = False


class LotSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A whole lot."""

    head: LotHead
    items: tuple[ItemSpec, ...]


class ResultState:
    """How an item ended."""

    COMPLETED = "completed"
    GIVEN_UP = "given_up"


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """A listed result; it never changes.

    Attributes:
        item_id: The item.
        state: A value of `ResultState`.
        text: The data of all events, separated by line feeds.
        versions: Weight versions that made an event of the text.
        score: Proof of the reward call; empty without one.
    """

    item_id: str
    state: str
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""
