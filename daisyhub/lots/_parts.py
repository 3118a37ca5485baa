"""The objects in which a lot's items are stored, and their names."""

import hashlib
from collections.abc import Iterator

import msgspec

from daisyhub.lots._types import ItemSpec, LotHead, LotSpec

__all__ = [
    "Part",
    "digest_parts",
    "encode_parts",
    "part_name",
    "split_into_parts",
]

# Maximum size in bytes of a part with several items. The platform's values may
# have a megabyte, and contents grow by a third when encoded in JSON.
_MAX_PART_BYTES = 500_000
# Size in bytes of the digest that tells submissions with one id apart.
_DIGEST_BYTES = 8


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive items of a lot, stored in one object."""

    items: tuple[ItemSpec, ...]


def split_into_parts(items: tuple[ItemSpec, ...]) -> Iterator[list[ItemSpec]]:
    """Yields consecutive items that fit into one part each."""
    part: list[ItemSpec] = []
    size = 0
    for item in items:
        reward_bytes = len(item.reward.body) if item.reward else 0
        item_bytes = len(item.body) + reward_bytes + len(str(item.headers))
        if part and size + item_bytes > _MAX_PART_BYTES:
            yield part
            part, size = [], 0
        part.append(item)
        size += item_bytes
    if part:
        yield part


def digest_parts(parts: list[bytes]) -> str:
    """Returns a digest that tells submissions with one id apart."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(part)
    return digest.hexdigest()


def encode_parts(spec: LotSpec) -> tuple[LotHead, list[bytes]]:
    """Returns the head that names a lot's parts, and their contents."""
    parts = [
        msgspec.json.encode(Part(items=tuple(items)), order="deterministic")
        for items in split_into_parts(spec.items)
    ]
    head = msgspec.structs.replace(
        spec.head,
        parts=len(parts),
        parts_digest=digest_parts(parts),
        stored_bytes=sum(map(len, parts)),
    )
    return head, parts


def part_name(head: LotHead, number: int) -> str:
    """Returns a part's name, which lots with other items don't share."""
    if not head.parts_digest:
        return f"{head.lot_id}.{number}"
    return f"{head.lot_id}.{head.parts_digest}.{number}"
