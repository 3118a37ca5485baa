"""Keeps what lots consist of in the platform's store.

The store takes values up to a megabyte, so the prompts of a large lot are
split over several objects. They are named after the digest of all prompts
and written first; the spec's own object, created last, decides which of two
openers came first.
"""

import contextlib
import hashlib

import msgspec

from daisyhub.exceptions import (
    ErrorCode,
    PlatformConflictError,
    Refusal,
)
from daisyhub.hosting import PlatformClient
from daisyhub.rollouts import LotSpec

__all__ = ["LotSpecStore", "split_prompts"]

_PART_BYTES = 800_000
_DIGEST_CHARACTERS = 32


class _SpecRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A spec as it is stored; with parts, its own prompts are empty."""

    spec: LotSpec
    digest: str
    parts: int = 0


class LotSpecStore:
    """Creates and finds specs; specs never change.

    Args:
        client: The platform.
    """

    def __init__(self, client: PlatformClient):
        self._client = client

    async def find(self, lot_id: str) -> LotSpec | None:
        """Returns a lot's spec, or None if the lot was never opened."""
        found = await self._client.get(_spec_key(lot_id))
        if found is None:
            return None
        record = msgspec.convert(found.value, _SpecRecord)
        if not record.parts:
            return record.spec
        prompts: list[str] = []
        for number in range(record.parts):
            key = _part_key(lot_id, record.digest, number)
            part = await self._client.get(key)
            prompts += msgspec.convert(part.value, list[str])
        return msgspec.structs.replace(record.spec, prompts=tuple(prompts))

    async def create(self, spec: LotSpec) -> LotSpec:
        """Stores a spec unless there is one; returns the one stored.

        Raises:
            Refusal: One prompt is too large to be stored.
        """
        parts = split_prompts(spec.prompts)
        digest = _digest(spec)
        record = _SpecRecord(spec=spec, digest=digest)
        if len(parts) > 1:
            for number, part in enumerate(parts):
                key = _part_key(spec.lot_id, digest, number)
                await self._create(key, part, digest)
            bare = msgspec.structs.replace(spec, prompts=())
            record = _SpecRecord(spec=bare, digest=digest, parts=len(parts))
        key = _spec_key(spec.lot_id)
        await self._create(key, msgspec.to_builtins(record), digest)
        return await self.find(spec.lot_id)

    async def _create(self, key: str, value: object, digest: str) -> None:
        with contextlib.suppress(PlatformConflictError):
            await self._client.put(
                key, value, expected_version=0, write_id=digest
            )


def split_prompts(prompts: tuple[str, ...]) -> list[list[str]]:
    """Splits prompts so that each part fits an object of the store.

    Raises:
        Refusal: One prompt is too large to be stored.
    """
    parts: list[list[str]] = [[]]
    size = 0
    for prompt in prompts:
        length = len(msgspec.json.encode(prompt)) + 1
        if length > _PART_BYTES:
            raise Refusal(
                ErrorCode.BODY_TOO_LARGE,
                f"a prompt has {length} bytes, {_PART_BYTES} are allowed",
            )
        if size + length > _PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(prompt)
        size += length
    return parts


def _digest(spec: LotSpec) -> str:
    data = msgspec.json.encode(spec)
    return hashlib.sha256(data).hexdigest()[:_DIGEST_CHARACTERS]


def _spec_key(lot_id: str) -> str:
    return f"lots/{lot_id}/spec"


def _part_key(lot_id: str, digest: str, number: int) -> str:
    return f"lots/{lot_id}/prompts/{digest}/{number}"
