"""Storage of lots and results in the platform's store.

A lot's items are stored in several objects, its parts, which are written before
its head and named after their content, so that submissions of other items under
the same id share none. Creating the head accepts the lot and resolves the race
between daemons that receive the same lot. Results are stored in immutable
chunks, each named after its first position. Creating a chunk decides which
results occupy its positions, so that any number of daemons may run one lot
without listing an item twice.
"""

import math
import time

import anyio
import msgspec

from daisyhub.json_texts import decode_json
from daisyhub.lots._item_store import ItemStore, read_immutable
from daisyhub.lots._parts import encode_parts, part_name, split_into_parts
from daisyhub.lots._repeats import check_repeat
from daisyhub.lots._run_states import Progress
from daisyhub.lots._types import ItemResult, LotHead, LotSpec
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)

__all__ = [
    "LOTS_KIND",
    "LotStatus",
    "LotStore",
    "decode_head",
]

LOTS_KIND = "lots"
_RESULTS_KIND = "lot-results"
_PROGRESS_KIND = "lot-progress"
# Bytes after which a read of several chunks stops; the first chunk isn't
# counted. A response may have a megabyte, and the chunks are read one after the
# other within a caller's second.
_READ_LIMIT_BYTES = 200_000
# Seconds within which the reads after a failed submission must end: one call's
# usual timeout. Callers leave after about a second.
_RESOLVE_TIMEOUT_S = 0.7


class LotStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Mutable status of a lot.

    Attributes:
        is_ended: Whether a caller ended it.
    """

    is_ended: bool = False


class _Chunk(msgspec.Struct, frozen=True, kw_only=True):
    results: tuple[ItemResult, ...]


def _decode_chunk(found: StoredObject) -> tuple[ItemResult, ...]:
    return decode_json(found.spec, type=_Chunk).results


def decode_head(found: StoredObject) -> tuple[LotHead, LotStatus]:
    """Decodes a lot's head and status from its object.

    Raises:
        msgspec.DecodeError: The object has another schema.
    """
    head = decode_json(found.spec, type=LotHead)
    status = decode_json(found.status, type=LotStatus | None)
    return head, status or LotStatus()


def _decode_repeat(
    found: StoredObject, head: LotHead
) -> tuple[LotHead, LotStatus]:
    """Decodes the stored object of a lot that is submitted again.

    Raises:
        LotConflictError: It is another lot's.
        msgspec.DecodeError: The object has another schema.
    """
    stored, status = decode_head(found)
    check_repeat(stored, head)
    return stored, status


class LotStore:
    """Reads and writes lots.

    Unless stated otherwise, methods raise `ObjectStoreError` if the store gave
    no usable response, and `msgspec.DecodeError` if an object that they read
    has another schema.

    Args:
        store: The platform's store.

    Attributes:
        items: The items of lots.
    """

    def __init__(self, store: ObjectStore):
        self._store = store
        self.items = ItemStore(store)

    async def accept(
        self, spec: LotSpec, until_s: float = math.inf
    ) -> tuple[LotHead, LotStatus]:
        """Stores a lot.

        Args:
            spec: The lot.
            until_s: Monotonic time after which no create of the head is sent:
                its caller may have been answered elsewhere.

        Returns:
            The stored head and its status: this lot's, or those of an earlier
            submission of the same lot, which may have ended.

        Raises:
            LotConflictError: A lot of another account or with other content
                has this id.
            ObjectStoreError: The lot isn't stored, or that is unknown.
                `may_be_done` is unset only if no submission of this lot can
                have sent a create of the head.
        """
        head, parts = encode_parts(spec)
        content = msgspec.json.encode(head)
        try:
            for number, part in enumerate(parts):
                await self.items.create(part_name(head, number), part)
            _check_time(until_s)
            await self._store.create(LOTS_KIND, head.lot_id, content)
        except ObjectConflictError as exc:
            if exc.found is not None:
                return _decode_repeat(exc.found, head)
            failure = ObjectStoreError(str(exc), may_be_done=True)
        except ObjectStoreError as exc:
            failure = exc
        else:
            items = [tuple(part) for part in split_into_parts(spec.items)]
            self.items.cache(head, items)
            return head, LotStatus()
        return await self._resolve_failure(failure, head)

    async def _resolve_failure(
        self, failure: ObjectStoreError, head: LotHead
    ) -> tuple[LotHead, LotStatus]:
        """Returns what is stored of a lot although accepting it failed.

        An earlier submission may have stored it, or a create of unknown
        outcome.

        Raises:
            LotConflictError: It is another lot's.
            ObjectStoreError: There is none, or it can't be read.
        """
        try:
            with anyio.fail_after(_RESOLVE_TIMEOUT_S):
                found = await self._store.read(LOTS_KIND, head.lot_id)
                if found is not None:
                    return _decode_repeat(found, head)
                may_be_done = (
                    failure.may_be_done or await self._may_head_be_sent(head)
                )
        except (ObjectStoreError, TimeoutError, msgspec.DecodeError) as exc:
            reason = str(exc) or f"no result in {_RESOLVE_TIMEOUT_S} s"
            raise ObjectStoreError(
                f"{failure}; reading the lot failed: {reason}",
                may_be_done=True,
            ) from exc
        raise ObjectStoreError(
            str(failure), may_be_done=may_be_done
        ) from failure

    async def is_absent(self, spec: LotSpec) -> bool:
        """Whether it is certain that nothing of a lot is stored."""
        try:
            head, _ = encode_parts(spec)
            with anyio.fail_after(_RESOLVE_TIMEOUT_S):
                if await self._store.read(LOTS_KIND, head.lot_id) is not None:
                    return False
                return not await self.items.has_part(head, 0)
        except (ObjectStoreError, TimeoutError):
            return False

    async def _may_head_be_sent(self, head: LotHead) -> bool:
        """Whether any daemon may have sent a create of the head.

        A daemon sends it only after the last part is known to be stored.
        """
        return await self.items.has_part(head, head.parts - 1)

    async def head(self, lot_id: str) -> tuple[LotHead, LotStatus] | None:
        """Returns a lot's head and status, or None if there is none.

        The status may be seconds old.
        """
        found = await read_immutable(self._store, LOTS_KIND, lot_id)
        return None if found is None else decode_head(found)

    async def spec(self, head: LotHead) -> LotSpec:
        """Returns a lot with its items.

        Raises:
            ObjectStoreError: The store failed, or a part doesn't exist.
            msgspec.DecodeError: A part has another schema.
        """
        parts = [part async for part in self.items.parts(head)]
        items = tuple(item for part in parts for item in part)
        return LotSpec(head=head, items=items)

    async def chunk(
        self, lot_id: str, first: int
    ) -> tuple[ItemResult, ...] | None:
        """Returns the results of the chunk that starts at a position.

        None if no chunk starts there.
        """
        name = _chunk_name(lot_id, first)
        found = await read_immutable(self._store, _RESULTS_KIND, name)
        return None if found is None else _decode_chunk(found)

    async def results(self, lot_id: str, first: int) -> list[ItemResult]:
        """Returns results from a position on, at least one chunk if stored.

        Further chunks are added until `_READ_LIMIT_BYTES` is reached or a
        read that may return stale data, and so is cheaper, finds none.
        """
        results = list(await self.chunk(lot_id, first) or ())
        size = 0
        while results and size < _READ_LIMIT_BYTES:
            name = _chunk_name(lot_id, first + len(results))
            found = await self._store.read(
                _RESULTS_KIND, name, can_be_stale=True
            )
            if found is None:
                break
            results += _decode_chunk(found)
            size += len(found.spec)
        return results

    async def write_chunk(
        self, lot_id: str, first: int, results: tuple[ItemResult, ...]
    ) -> tuple[ItemResult, ...]:
        """Creates a chunk; returns the results that are stored there.

        These are another daemon's if it created its chunk first.
        """
        content = msgspec.json.encode(_Chunk(results=results))
        name = _chunk_name(lot_id, first)
        try:
            await self._store.create(_RESULTS_KIND, name, content)
        except ObjectConflictError as exc:
            if exc.found is not None:
                return decode_json(exc.found.spec, type=_Chunk).results
            existing = await self.chunk(lot_id, first)
            if existing is None:
                raise ObjectStoreError(
                    f"result chunk {name} was deleted", may_be_done=True
                ) from exc
            return existing
        return results

    async def save_progress(
        self, lot_id: str, progress: dict[str, Progress], revision: int
    ) -> int:
        """Stores the text of unfinished items for the next holder.

        Args:
            lot_id: The lot.
            progress: Text by item id.
            revision: The revision that the last call returned; 0 for the
                first call.

        Returns:
            The revision to pass to the next call.

        Raises:
            ObjectStoreError: The store gave no usable response.
            ObjectConflictError: The object was changed since `revision`.
        """
        content = msgspec.json.encode(progress)
        try:
            if not revision:
                found = await self._store.create(
                    _PROGRESS_KIND, lot_id, content
                )
                return found.revision
        except ObjectConflictError as exc:
            # An earlier holder's object exists. If it was deleted since, the
            # next call creates it again.
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
        """Returns the text that an earlier holder stored, by item id."""
        found = await self._store.read(_PROGRESS_KIND, lot_id)
        if found is None:
            return {}
        return decode_json(found.spec, type=dict[str, Progress])

    async def end(self, lot_id: str) -> bool:
        """Marks a lot as ended; returns False if it doesn't exist."""
        content = msgspec.json.encode(LotStatus(is_ended=True))
        found = await self._store.set_status(LOTS_KIND, lot_id, content)
        return found is not None

    async def delete(self, head: LotHead, chunk_positions: list[int]) -> None:
        """Deletes all objects of a lot, its items first and the head last.

        Without its items, a lot that is deleted in part can't be run again by
        a holder that misses the results.

        Args:
            head: The lot.
            chunk_positions: Positions of the first results of its chunks.
        """
        await self.items.delete(head)
        await self._store.delete(_PROGRESS_KIND, head.lot_id)
        for first in reversed(chunk_positions):
            name = _chunk_name(head.lot_id, first)
            await self._store.delete(_RESULTS_KIND, name)
        await self._store.delete(LOTS_KIND, head.lot_id)


def _check_time(until_s: float) -> None:
    late_s = time.monotonic() - until_s
    if late_s >= 0:
        raise ObjectStoreError(
            f"the submission is {late_s:.3f} s too old", may_be_done=False
        )


def _chunk_name(lot_id: str, first: int) -> str:
    return f"{lot_id}.{first:06d}"
