"""Storage of the items of lots, in several objects each: its parts."""

import collections
from collections.abc import AsyncIterator

from daisyhub.json_texts import decode_json
from daisyhub.lots._parts import Part, part_name
from daisyhub.lots._types import ItemSpec, LotHead
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)

__all__ = ["ItemStore", "read_immutable"]

_ITEMS_KIND = "lot-items"
# Maximum number of lots whose items are cached after a create or a read: those
# of a few steps.
_MAX_CACHED_LOTS = 6
# Maximum size of a lot that is cached, in bytes.
_MAX_CACHED_LOT_BYTES = 1 << 20
# Memory of an item beside its bodies, in bytes.
_ITEM_OVERHEAD = 1024

_Items = tuple[ItemSpec, ...]


class ItemStore:
    """Reads and writes the parts of lots.

    Unless stated otherwise, methods raise `ObjectStoreError` if the store gave
    no usable response, and `msgspec.DecodeError` if a part has another schema.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: ObjectStore):
        self._store = store
        self._cache: collections.OrderedDict[str, list[_Items]] = (
            collections.OrderedDict()
        )

    async def create(self, name: str, content: bytes) -> None:
        """Creates a part; without a head, a failure is always not done."""
        try:
            await self._store.create(_ITEMS_KIND, name, content)
        except ObjectConflictError:
            # The same lot was submitted before, or also to another daemon.
            # Creating the head decides which of them is accepted.
            return
        except ObjectStoreError as exc:
            raise ObjectStoreError(str(exc), may_be_done=False) from exc

    async def has_part(self, head: LotHead, number: int) -> bool:
        """Whether a part is stored now."""
        name = part_name(head, number)
        return await self._store.read(_ITEMS_KIND, name) is not None

    async def part(self, head: LotHead, number: int) -> _Items:
        """Returns the items of a part.

        Raises:
            ObjectStoreError: The store failed, or the part doesn't exist.
            msgspec.DecodeError: The part has another schema.
        """
        cached = self._cache.get(head.lot_id)
        if cached is not None:
            return cached[number]
        name = part_name(head, number)
        found = await read_immutable(self._store, _ITEMS_KIND, name)
        if found is None:
            raise ObjectStoreError(
                f"lot part {name} does not exist", may_be_done=False
            )
        return decode_json(found.spec, type=Part).items

    async def parts(self, head: LotHead) -> AsyncIterator[_Items]:
        """Yields the items of each part, in the order of the lot."""
        read = []
        is_small = _is_small(head)
        for number in range(head.parts):
            items = await self.part(head, number)
            if is_small:
                read.append(items)
            yield items
        if is_small:
            self.cache(head, read)

    async def item(
        self, head: LotHead, item_id: str, part: int | None = None
    ) -> ItemSpec | None:
        """Returns an item of a lot, or None if the lot has no such item.

        Args:
            head: The lot.
            item_id: The item.
            part: The part that has it; None if that is unknown.
        """
        numbers = range(head.parts) if part is None else [part]
        for number in numbers:
            for item in await self.part(head, number):
                if item.item_id == item_id:
                    return item
        return None

    async def delete(self, head: LotHead) -> None:
        """Deletes all parts of a lot."""
        for number in range(head.parts):
            await self._store.delete(_ITEMS_KIND, part_name(head, number))

    def cache(self, head: LotHead, parts: list[_Items]) -> None:
        """Keeps the items of a small lot for the next reads."""
        if not _is_small(head):
            return
        self._cache[head.lot_id] = parts
        while len(self._cache) > _MAX_CACHED_LOTS:
            self._cache.popitem(last=False)


async def read_immutable(
    store: ObjectStore, kind: str, name: str
) -> StoredObject | None:
    """Reads an object whose spec never changes.

    A read that may be stale is cheaper, and its result is valid if it finds the
    object. Only a miss is repeated as a current read.
    """
    found = await store.read(kind, name, can_be_stale=True)
    return found or await store.read(kind, name)


def _is_small(head: LotHead) -> bool:
    size = head.stored_bytes + head.total * _ITEM_OVERHEAD
    return size <= _MAX_CACHED_LOT_BYTES
