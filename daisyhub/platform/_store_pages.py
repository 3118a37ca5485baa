"""Decodes the objects, lists and batches of changes that the store returns.

Usually a whole response is decoded at once. If that fails, since an object of
another writer is nested too deeply or has a string that is no Unicode, each
object is decoded on its own, and its `spec` and `status` are left as they are
to whoever reads them.
"""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from daisyhub.json_texts import decode_json, split_array, split_object
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.objects import StoredObject, WatchBatch

__all__ = [
    "ListPage",
    "UnreadableObjects",
    "read_batch",
    "read_object",
    "read_page",
]

# Told the reason for which an object is left out.
Report = Callable[[str], None]

_NULL = msgspec.Raw(b"null")
# Reasons that are remembered, so that each is logged once.
_MAX_REASONS = 100


class _Metadata(msgspec.Struct, frozen=True):
    """The fields of an object's `metadata` that are used.

    `deleting` means that the object is marked for deletion.
    """

    name: str
    revision: int
    deleting: bool = False


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    spec: msgspec.Raw = _NULL
    status: msgspec.Raw = _NULL


class _Page(msgspec.Struct, frozen=True, rename="kebab"):
    items: tuple[_Object, ...]
    at: int
    has_more: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    deleted: bool = False


class _Batch(msgspec.Struct, frozen=True):
    events: tuple[_Event, ...]
    at: int


class ListPage(msgspec.Struct, frozen=True):
    """A page of a list.

    Attributes:
        items: Its objects, without those that have no readable name.
        revision: The store's revision when it was read.
        has_more: Whether the list goes on.
    """

    items: tuple[StoredObject, ...]
    revision: int
    has_more: bool


class UnreadableObjects:
    """Counts objects without a readable name; logs each reason once.

    Args:
        metrics: Counts them.
        log: Logs them.
    """

    def __init__(self, metrics: Metrics, log: DecisionLog):
        self._metrics = metrics
        self._log = log
        self._logged: set[tuple[str, str]] = set()

    def record(self, kind: str, reason: str) -> None:
        """Records that an object of a kind was left out of a response."""
        self._metrics.count("entries_unreadable", kind=kind)
        if (kind, reason) in self._logged:
            return
        if len(self._logged) < _MAX_REASONS:
            self._logged.add((kind, reason))
            self._log.record("object_unreadable", kind=kind, reason=reason)


def read_object(kind: str, body: bytes) -> StoredObject:
    """Decodes an object.

    Raises:
        ValueError: It has no readable name or revision.
    """
    try:
        return _to_stored(kind, decode_json(body, type=_Object))
    except msgspec.DecodeError:
        return _read_apart(kind, body)


def read_page(kind: str, body: bytes, report: Report) -> ListPage:
    """Decodes a page of a list.

    Args:
        kind: Kind of the objects.
        body: The response.
        report: Told of each object that is left out.

    Raises:
        ValueError: The response is no page.
    """
    try:
        page = decode_json(body, type=_Page)
    except msgspec.DecodeError:
        members = split_object(body)
        return ListPage(
            items=tuple(_read_each(kind, _take(members, "items"), report)),
            revision=decode_json(_take(members, "at"), type=int),
            has_more=decode_json(members.get("has-more", b"false"), type=bool),
        )
    return ListPage(
        items=tuple(_to_stored(kind, item) for item in page.items),
        revision=page.at,
        has_more=page.has_more,
    )


def read_batch(kind: str, body: bytes, report: Report) -> WatchBatch:
    """Decodes the changes that a watch returns; see `read_page`."""
    try:
        batch = decode_json(body, type=_Batch)
    except msgspec.DecodeError:
        members = split_object(body)
        changes = _read_events(kind, _take(members, "events"), report)
        return WatchBatch(
            revision=decode_json(_take(members, "at"), type=int),
            changes=tuple(changes),
        )
    return WatchBatch(
        revision=batch.at,
        changes=tuple(
            _to_stored(kind, event.object, event.deleted)
            for event in batch.events
        ),
    )


def _read_each(
    kind: str, items: bytes, report: Report
) -> Iterator[StoredObject]:
    for text in split_array(items):
        try:
            yield _read_apart(kind, text)
        except ValueError as exc:
            report(str(exc))


def _read_events(
    kind: str, events: bytes, report: Report
) -> Iterator[StoredObject]:
    for text in split_array(events):
        try:
            event = split_object(text)
            is_deleted = decode_json(event.get("deleted", b"false"), type=bool)
            yield _read_apart(kind, _take(event, "object"), is_deleted)
        except ValueError as exc:
            report(str(exc))


def _read_apart(
    kind: str, text: bytes, is_deleted: bool = False
) -> StoredObject:
    """Decodes an object's metadata only."""
    members = split_object(text)
    metadata = split_object(_take(members, "metadata"))
    known = {
        name: decode_json(metadata[name])
        for name in ("name", "revision", "deleting")
        if name in metadata
    }
    return _to_stored(
        kind,
        _Object(
            msgspec.convert(known, _Metadata),
            msgspec.Raw(members.get("spec", b"null")),
            msgspec.Raw(members.get("status", b"null")),
        ),
        is_deleted,
    )


def _take(members: dict[str, bytes], name: str) -> Any:
    if name not in members:
        raise ValueError(f"{name!r} is missing")
    return members[name]


def _to_stored(
    kind: str, encoded: _Object, is_deleted: bool = False
) -> StoredObject:
    meta = encoded.metadata
    return StoredObject(
        kind=kind,
        name=meta.name,
        revision=meta.revision,
        is_deleted=is_deleted or meta.deleting,
        spec=bytes(encoded.spec),
        status=bytes(encoded.status),
    )
