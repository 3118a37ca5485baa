"""Lots and results in the platform's store.

A lot's items lie in parts, written before its head: the create of the head is
the lot's acceptance, and decides between daemons that are handed the same lot.
Results lie in chunks that never change, each named after its first position.
The create of a chunk decides what stands at its positions, so that any number
of daemons may run one lot without listing an item twice.
"""

import collections

import msgspec

from daisyhub.lots._run_types import Progress
from daisyhub.lots._types import ItemResult, ItemSpec, LotHead, LotSpec
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)

__all__ = ["LOTS_KIND", "LotStatus", "LotStore", "decode_head"]

LOTS_KIND = "lots"
_ITEMS_KIND = "lot-items"
_RESULTS_KIND = "lot-results"
_PROGRESS_KIND = "lot-progress"
# Bytes of one object; the platform's values hold a megabyte, and content is a
# third larger in JSON than its bytes.
_MAX_PART_BYTES = 500_000
# Bytes of chunks after which a read of a lot stops: an answer may have a
# megabyte, and the reads come one after the other within a caller's second.
_READ_LIMIT_BYTES = 200_000
# Lots whose items are kept after a create or a read; a few steps' worth.
_MAX_CACHED_LOTS = 6


class LotStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What happened to a lot since its acceptance."""

    is_ended: bool = False


class _Part(msgspec.Struct, frozen=True, kw_only=True):
    items: tuple[ItemSpec, ...]


class _Chunk(msgspec.Struct, frozen=True, kw_only=True):
    results: tuple[ItemResult, ...]


def _decode_chunk(found: StoredObject) -> tuple[ItemResult, ...]:
    return msgspec.json.decode(found.spec, type=_Chunk).results


def decode_head(found: StoredObject) -> tuple[LotHead, LotStatus]:
    """Reads a lot's object.

    Raises:
        msgspec.DecodeError: It has another form.
    """
    head = msgspec.json.decode(found.spec, type=LotHead)
    status = msgspec.json.decode(found.status, type=LotStatus | None)
    return head, status or LotStatus()


class LotStore:
    """Reads and writes lots.

    Args:
        store: Where they lie.
    """

    def __init__(self, store: ObjectStore):
        self._store = store
        self._cache: collections.OrderedDict[str, LotSpec] = (
            collections.OrderedDict()
        )

    async def accept(self, spec: LotSpec) -> LotHead:
        """Stores a lot; returns the head that stands, this one or another's.

        Raises:
            ObjectStoreError: It isn't stored, or that is not known.
        """
        parts = list(_split_into_parts(spec.items))
        head = msgspec.structs.replace(spec.head, parts=len(parts))
        for number, items in enumerate(parts):
            name = _part_name(head.lot_id, number)
            await self._create_part(name, items)
        content = msgspec.json.encode(head)
        try:
            await self._store.create(LOTS_KIND, head.lot_id, content)
        except ObjectConflictError as exc:
            found = exc.found or await self._read_existing(head.lot_id)
            return decode_head(found)[0]
        except ObjectStoreError as exc:
            if not exc.may_be_done:
                raise
            return await self._confirm_create(head, exc)
        self._cache_lot(LotSpec(head=head, items=spec.items))
        return head

    async def _create_part(self, name: str, items: list[ItemSpec]) -> None:
        """Stores a part; nothing runs before the head stands."""
        content = msgspec.json.encode(_Part(items=tuple(items)))
        try:
            await self._store.create(_ITEMS_KIND, name, content)
        except ObjectConflictError:
            # The same lot, handed in at another daemon as well.
            return
        except ObjectStoreError as exc:
            raise ObjectStoreError(str(exc), may_be_done=False) from exc

    async def _confirm_create(
        self, head: LotHead, failure: ObjectStoreError
    ) -> LotHead:
        """Reads back a create whose answer was lost."""
        found = await self._store.read(LOTS_KIND, head.lot_id)
        if found is None:
            raise failure
        return decode_head(found)[0]

    async def _read_existing(self, lot_id: str) -> StoredObject:
        found = await self._store.read(LOTS_KIND, lot_id)
        if found is None:
            raise ObjectStoreError(f"lot {lot_id} is gone", may_be_done=True)
        return found

    async def head(self, lot_id: str) -> tuple[LotHead, LotStatus] | None:
        """Returns a lot's head and status, or None if there is none.

        The status may be seconds old.
        """
        found = await self._read_immutable(LOTS_KIND, lot_id)
        return None if found is None else decode_head(found)

    async def items(self, head: LotHead) -> LotSpec:
        """Returns a whole lot."""
        kept = self._cache.get(head.lot_id)
        if kept is not None:
            return kept
        items: list[ItemSpec] = []
        for number in range(head.parts):
            name = _part_name(head.lot_id, number)
            found = await self._read_immutable(_ITEMS_KIND, name)
            if found is None:
                raise ObjectStoreError(f"{name} is gone", may_be_done=False)
            items += msgspec.json.decode(found.spec, type=_Part).items
        spec = LotSpec(head=head, items=tuple(items))
        self._cache_lot(spec)
        return spec

    async def chunk(
        self, lot_id: str, first: int
    ) -> tuple[ItemResult, ...] | None:
        """Returns the results from a position on, None if none stand there."""
        name = _chunk_name(lot_id, first)
        found = await self._read_immutable(_RESULTS_KIND, name)
        return None if found is None else _decode_chunk(found)

    async def chunks(self, lot_id: str, first: int) -> list[ItemResult]:
        """Returns results from a position on, one at least if one stands.

        Further chunks are added up to a size, as far as the cheap reads know
        them.
        """
        results = list(await self.chunk(lot_id, first) or ())
        size = 0
        while results and size < _READ_LIMIT_BYTES:
            name = _chunk_name(lot_id, first + len(results))
            found = await self._store.read(
                _RESULTS_KIND, name, may_be_late=True
            )
            if found is None:
                break
            results += _decode_chunk(found)
            size += len(found.spec)
        return results

    async def _read_immutable(
        self, kind: str, name: str
    ) -> StoredObject | None:
        """Reads an object whose spec never changes.

        An answer that may be late is right if it has the object, and cheap;
        only one that lacks it is asked for again.
        """
        found = await self._store.read(kind, name, may_be_late=True)
        return found or await self._store.read(kind, name)

    async def write_chunk(
        self, lot_id: str, first: int, results: tuple[ItemResult, ...]
    ) -> tuple[ItemResult, ...]:
        """Lists results from a position on; returns what stands there."""
        content = msgspec.json.encode(_Chunk(results=results))
        name = _chunk_name(lot_id, first)
        try:
            await self._store.create(_RESULTS_KIND, name, content)
        except ObjectConflictError as exc:
            if exc.found is not None:
                return msgspec.json.decode(exc.found.spec, type=_Chunk).results
            standing = await self.chunk(lot_id, first)
            if standing is None:
                raise ObjectStoreError(
                    f"{name} is gone", may_be_done=True
                ) from exc
            return standing
        return results

    async def save_progress(
        self, lot_id: str, progress: dict[str, Progress], revision: int
    ) -> int:
        """Keeps the text of unfinished items for the next holder.

        Args:
            lot_id: The lot.
            progress: Text by item.
            revision: What the last call returned, 0 at first.

        Returns:
            The revision to give to the next call.
        """
        content = msgspec.json.encode(progress)
        try:
            if not revision:
                found = await self._store.create(
                    _PROGRESS_KIND, lot_id, content
                )
                return found.revision
        except ObjectConflictError as exc:
            # An earlier holder's; without the object the next call reads it.
            found = exc.found
            if found is None:
                found = await self._store.read(_PROGRESS_KIND, lot_id)
            if found is None:
                return 0
            revision = found.revision
        found = await self._store.replace(
            _PROGRESS_KIND, lot_id, content, revision=revision
        )
        return found.revision

    async def progress(self, lot_id: str) -> dict[str, Progress]:
        """Returns the text that an earlier holder kept."""
        found = await self._store.read(_PROGRESS_KIND, lot_id)
        if found is None:
            return {}
        return msgspec.json.decode(found.spec, type=dict[str, Progress])

    async def end(self, lot_id: str) -> bool:
        """Ends a lot; returns False if there is none."""
        content = msgspec.json.encode(LotStatus(is_ended=True))
        found = await self._store.set_status(LOTS_KIND, lot_id, content)
        return found is not None

    async def delete(self, head: LotHead, chunks: list[int]) -> None:
        """Deletes a lot with all its objects, the head last."""
        for first in chunks:
            name = _chunk_name(head.lot_id, first)
            await self._store.delete(_RESULTS_KIND, name)
        await self._store.delete(_PROGRESS_KIND, head.lot_id)
        for number in range(head.parts):
            name = _part_name(head.lot_id, number)
            await self._store.delete(_ITEMS_KIND, name)
        await self._store.delete(LOTS_KIND, head.lot_id)

    def _cache_lot(self, spec: LotSpec) -> None:
        self._cache[spec.head.lot_id] = spec
        while len(self._cache) > _MAX_CACHED_LOTS:
            self._cache.popitem(last=False)


def _split_into_parts(items: tuple[ItemSpec, ...]):
    """Yields runs of items that fit into one object each."""
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


def _part_name(lot_id: str, number: int) -> str:
    return f"{lot_id}.{number}"


def _chunk_name(lot_id: str, first: int) -> str:
    return f"{lot_id}.{first:06d}"
