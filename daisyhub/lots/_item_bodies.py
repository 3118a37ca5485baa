"""Bodies of items, which may be in the store only."""

import dataclasses

import msgspec

from daisyhub.lots._types import ItemSpec

__all__ = ["ItemPlace", "bodies_size", "without_bodies"]


@dataclasses.dataclass(frozen=True, slots=True)
class ItemPlace:
    """Where an item's bodies are.

    Attributes:
        part: Number of the part of its lot that contains them.
        size: Their size in bytes.
        digest: Digest of the request's body; see `digest_body`.
        is_read: Whether the item's spec has them.
    """

    part: int
    size: int
    digest: bytes = b""
    is_read: bool = True


def bodies_size(spec: ItemSpec) -> int:
    """Returns the size of an item's bodies, in bytes."""
    return len(spec.body) + (len(spec.reward.body) if spec.reward else 0)


def without_bodies(spec: ItemSpec) -> ItemSpec:
    """Returns an item's spec with empty bodies."""
    if not bodies_size(spec):
        return spec
    reward = spec.reward and msgspec.structs.replace(spec.reward, body=b"")
    return msgspec.structs.replace(spec, body=b"", reward=reward)
