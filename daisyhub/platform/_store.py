"""The platform's store over HTTP: one client of it for the whole daemon."""

import urllib.parse
from typing import Any

import msgspec

from daisyhub.connections import HttpClient, HttpResponse, RequestFailedError
from daisyhub.exceptions import ExecutionStatus
from daisyhub.objects import (
    HistoryGoneError,
    ObjectConflictError,
    ObjectList,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
    WatchBatch,
)
from daisyhub.settings import Address

__all__ = ["PlatformStore"]

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
# The store answers these without having done anything.
_NOT_DONE = (429, 503)
# One member of the store answers such a call alone, and may be behind.
_LATE = "serializable=1"
_NULL = msgspec.Raw(b"null")
_ANSWER_BYTES = 16 << 20
_MS_PER_S = 1000


class _Meta(msgspec.Struct, frozen=True):
    """The `metadata` of an object, as far as it is used."""

    name: str
    revision: int
    deleting: bool = False


class _Object(msgspec.Struct, frozen=True):
    metadata: _Meta
    spec: msgspec.Raw = _NULL
    status: msgspec.Raw = _NULL


class _List(msgspec.Struct, frozen=True, rename="kebab"):
    """A page; `at` is the store's revision when it was read."""

    items: tuple[_Object, ...]
    at: int
    has_more: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct, frozen=True):
    """What a watch brought; the next one goes on from `at`."""

    events: tuple[_Event, ...]
    at: int


class PlatformStore(ObjectStore):
    """Calls the store at one address.

    Args:
        address: Where it listens.
        http: Sends the calls.
        timeout_s: Longest wait for an answer, besides a watch's own wait.
    """

    def __init__(self, address: Address, http: HttpClient, timeout_s: float):
        self._address = address
        self._http = http
        self._timeout_s = timeout_s

    async def read(
        self, kind: str, name: str, *, can_be_stale: bool = False
    ) -> StoredObject | None:
        """Returns an object; see `ObjectStore.read`."""
        query = f"?{_LATE}" if can_be_stale else ""
        answer = await self._call("GET", _path(kind, name) + query)
        if answer.status == _NOT_FOUND:
            return None
        return _stored(kind, _decode(answer, _Object))

    async def list_all(self, kind: str) -> ObjectList:
        """Returns a kind; the revision is the first page's.

        Later pages may be newer than it, so that a watch from it repeats
        some changes but misses none.
        """
        items: list[StoredObject] = []
        revision = None
        after = ""
        while True:
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            answer = await self._call("GET", _path(kind) + query)
            if answer.status == _NOT_FOUND:
                return ObjectList(revision=0, items=())
            page = _decode(answer, _List)
            revision = page.at if revision is None else revision
            items += [_stored(kind, item) for item in page.items]
            if not page.has_more or not page.items:
                return ObjectList(revision=revision, items=tuple(items))
            after = page.items[-1].metadata.name

    async def watch(
        self,
        kind: str,
        *,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool = False,
    ) -> WatchBatch:
        """Waits for changes; see `ObjectStore.watch`."""
        wait_ms = int(wait_s * _MS_PER_S)
        lateness = f"&{_LATE}" if can_be_stale else ""
        answer = await self._call(
            "GET",
            f"{_path(kind)}?watch={after_revision}&wait-ms={wait_ms}{lateness}",
            timeout_s=wait_s + self._timeout_s,
        )
        if answer.status == _GONE:
            raise HistoryGoneError(f"{kind} since {after_revision}")
        batch = _decode(answer, _Events)
        return WatchBatch(
            revision=batch.at,
            changes=tuple(
                _stored(kind, event.object, event.deleted)
                for event in batch.events
            ),
        )

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        """Creates an object; see `ObjectStore.create`."""
        body = msgspec.json.encode(
            {"metadata": {"name": name}, "spec": msgspec.Raw(spec)}
        )
        answer = await self._call("POST", _path(kind), body)
        return _written(kind, name, answer)

    async def replace(
        self, kind: str, name: str, spec: bytes, *, revision: int
    ) -> StoredObject:
        """Replaces a spec; see `ObjectStore.replace`."""
        body = msgspec.json.encode(
            {
                "metadata": {"name": name, "revision": revision},
                "spec": msgspec.Raw(spec),
            }
        )
        answer = await self._call("PUT", _path(kind, name), body)
        return _written(kind, name, answer)

    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        """Replaces a status; see `ObjectStore.set_status`."""
        body = msgspec.json.encode(
            {"metadata": {"name": name}, "status": msgspec.Raw(status)}
        )
        answer = await self._call("PUT", f"{_path(kind, name)}/status", body)
        if answer.status == _NOT_FOUND:
            return None
        return _written(kind, name, answer)

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; see `ObjectStore.delete`."""
        await self._call("DELETE", _path(kind, name))

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> HttpResponse:
        is_write = method != "GET"
        headers = ((b"content-type", b"application/json"),) if body else ()
        try:
            answer = await self._http.request(
                method,
                self._address,
                target,
                headers=headers,
                body=body,
                timeout_s=timeout_s or self._timeout_s,
                max_body_bytes=_ANSWER_BYTES,
            )
        except RequestFailedError as exc:
            may_be_done = is_write and exc.ran is not ExecutionStatus.NOT_RUN
            raise ObjectStoreError(
                f"{method} {target}: {exc}", may_be_done=may_be_done
            ) from exc
        expected = (_OK, _CREATED, _NOT_FOUND, _CONFLICT, _GONE)
        if answer.status not in expected:
            raise ObjectStoreError(
                f"{method} {target}: status {answer.status}",
                may_be_done=is_write and answer.status not in _NOT_DONE,
            )
        return answer


def _path(kind: str, name: str = "") -> str:
    path = f"/v1/objects/{urllib.parse.quote(kind, safe='')}"
    return f"{path}/{urllib.parse.quote(name, safe='')}" if name else path


def _stored(kind: str, found: _Object, is_deleted=False) -> StoredObject:
    meta = found.metadata
    return StoredObject(
        kind=kind,
        name=meta.name,
        revision=meta.revision,
        is_deleted=is_deleted or meta.deleting,
        spec=bytes(found.spec),
        status=bytes(found.status),
    )


def _written(kind: str, name: str, answer: HttpResponse) -> StoredObject:
    """Reads the answer to a write; refusals carry the object as it is."""
    if answer.status == _NOT_FOUND:
        raise ObjectConflictError(f"{kind}/{name} does not exist", None)
    if answer.status == _CONFLICT:
        raise ObjectConflictError(
            f"{kind}/{name} is at another revision", _conflicting(kind, answer)
        )
    return _stored(kind, _decode(answer, _Object))


def _conflicting(kind: str, answer: HttpResponse) -> StoredObject | None:
    try:
        return _stored(kind, msgspec.json.decode(answer.body, type=_Object))
    except msgspec.DecodeError:
        # A bare refusal is allowed; whoever needs the object reads it.
        return None


def _decode(answer: HttpResponse, kind: Any) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as exc:
        raise ObjectStoreError(
            f"unreadable answer of the store: {exc}", may_be_done=True
        ) from exc
