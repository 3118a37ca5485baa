"""Stores the specs of lots in the platform's store.

The store accepts values up to a megabyte, so the prompts of a large lot are
split over several objects. They are written first. Their keys contain the
spec's digest, so that two callers who open the same lot with different specs
write different objects. The spec's own object is created last; the caller that
creates it wins.
"""

import contextlib
import hashlib

import msgspec

from daisyhub.exceptions import (
    ErrorCode,
    ExecutionStatus,
    PlatformConflictError,
    Refusal,
)
from daisyhub.hosting import PlatformClient
from daisyhub.rollouts import LotSpec

__all__ = ["LotSpecStore", "split_prompts"]

# Leaves room below the store's limit of a megabyte.
_MAX_PART_BYTES = 800_000
_DIGEST_CHARACTERS = 32


class _SpecRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A stored spec; if `parts` isn't 0, `spec.prompts` is empty."""

    spec: LotSpec
    digest: str
    parts: int = 0


class LotSpecStore:
    """Creates and reads specs, which are immutable.

    Args:
        client: Client of the platform.
    """

    def __init__(self, client: PlatformClient):
        self._client = client

    async def find(self, lot_id: str) -> LotSpec | None:
        """Returns a lot's spec; None if the lot was never opened."""
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
        """Stores a spec unless the lot has one; returns the stored spec.

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
            spec_without_prompts = msgspec.structs.replace(spec, prompts=())
            record = _SpecRecord(
                spec=spec_without_prompts, digest=digest, parts=len(parts)
            )
        key = _spec_key(spec.lot_id)
        await self._create(key, msgspec.to_builtins(record), digest)
        return await self.find(spec.lot_id)

    async def _create(self, key: str, value: object, digest: str) -> None:
        """Creates an object; does nothing if there is one."""
        with contextlib.suppress(PlatformConflictError):
            await self._client.put(
                key, value, expected_version=0, write_id=digest
            )


def split_prompts(prompts: tuple[str, ...]) -> list[list[str]]:
    """Splits prompts into parts that each fit into one stored object.

    Raises:
        Refusal: One prompt is too large to be stored.
    """
    parts: list[list[str]] = [[]]
    size = 0
    for prompt in prompts:
        # The comma that separates prompts is included.
        length = len(msgspec.json.encode(prompt)) + 1
        if length > _MAX_PART_BYTES:
            raise Refusal(
                ErrorCode.BODY_TOO_LARGE,
                f"a prompt has {length} bytes, the limit is {_MAX_PART_BYTES}",
                ran=ExecutionStatus.NOT_RUN,
            )
        if size + length > _MAX_PART_BYTES:
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
