"""Submitted lots and their listed results."""

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
        request_id: Its request id.
        host: Host name that selects its route.
        path: Its path.
        body: Its body.
    """

    request_id: str
    host: str
    path: str
    body: bytes


class ItemSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One sample to generate.

    Attributes:
        item_id: Its id, also the id of its request.
        path: Path of its request.
        headers: Headers of its request, names in lower case.
        body: Body of its request.
        group: Its group; items of one group share their prompt.
        tokens: Number of prompt tokens plus the maximum of output tokens.
        length_hint: Number of output tokens that the caller expects; 0 if
            unknown.
        reward: The call that scores the text; None if texts aren't scored.
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
    """A lot's metadata, without its items.

    The lot is accepted when its head is stored.

    Attributes:
        lot_id: Its id.
        account: Client account that submitted it.
        host: Host name that selects the items' routes.
        path: Path to which it was submitted.
        step: The trainer's step.
        model: The model to sample.
        oldest_version: Oldest weight version that may generate its tokens.
        wanted_groups: Number of groups that the trainer waits for.
        total: Number of items.
        parts: Number of objects that contain the items.
        parts_digest: Digest of the items, part of the names of these objects;
            empty if the names contain none.
        stored_bytes: Size of these objects; 0 in heads of older versions.
        accepted_s: Time of its acceptance on the cluster's clock, in seconds
            since 1970.
        due_s: Seconds from its acceptance until its results are due.
        max_wait_s: Seconds from its acceptance until items that still need a
            run are given up.
        max_attempts: Number of engine failures after which an item is given
            up.
        is_single_version: Whether each text must come from a single version.
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
    parts_digest: str = ""
    stored_bytes: int = 0
    accepted_s: float = 0.0
    due_s: float = 0.0
    max_wait_s: float = 0.0
    max_attempts: int = 1
    is_single_version: bool = False


class LotSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A lot with its items."""

    head: LotHead
    items: tuple[ItemSpec, ...]


class ResultState:
    """Final states of an item."""

    COMPLETED = "completed"
    GIVEN_UP = "given_up"


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """A listed result; it never changes.

    Attributes:
        item_id: The item.
        state: A value of `ResultState`.
        text: The data of all events, joined by line feeds.
        versions: Weight versions that generated events of the text, in
            ascending order.
        score: Proof in the response of the reward call; empty without a
            call.
    """

    item_id: str
    state: str
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""
