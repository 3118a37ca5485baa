"""HTTP client for the platform's object store; a daemon has one."""

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
# The only status of which the platform states that nothing was done. It says
# no such thing of 429.
_NOT_DONE = 503
_THROTTLED = 429
# Lets a single store member serve the read, whose data may be stale.
_STALE_READ_PARAM = "serializable=1"
_NULL = msgspec.Raw(b"null")
_MAX_RESPONSE_BYTES = 16 << 20
_MS_PER_S = 1000


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


class _ListPage(msgspec.Struct, frozen=True, rename="kebab"):
    """A page; `at` is the store's revision when the page was read."""

    items: tuple[_Object, ...]
    at: int
    has_more: bool = False


class _WatchEvent(msgspec.Struct, frozen=True):
    object: _Object
    deleted: bool = False


class _WatchResponse(msgspec.Struct, frozen=True):
    """Result of a watch; the next watch continues from revision `at`."""

    events: tuple[_WatchEvent, ...]
    at: int


class PlatformStore(ObjectStore):
    """Sends requests to the store at one address.

    Args:
        address: Address of the store.
        http: HTTP client.
        timeout_s: Response timeout in seconds; a watch's own wait is added.
    """

    def __init__(self, address: Address, http: HttpClient, timeout_s: float):
        self._address = address
        self._http = http
        self._timeout_s = timeout_s

    async def read(
        self, kind: str, name: str, *, can_be_stale: bool = False
    ) -> StoredObject | None:
        """Returns an object; see `ObjectStore.read`."""
        query = f"?{_STALE_READ_PARAM}" if can_be_stale else ""
        response = await self._call(
            "GET",
            _object_path(kind, name) + query,
            expected_statuses=(_OK, _NOT_FOUND),
        )
        if response.status == _NOT_FOUND:
            return None
        return _to_stored_object(kind, _decode(response, _Object))

    async def list_all(self, kind: str) -> ObjectList:
        """Returns all objects of a kind, with the first page's revision.

        Later pages may be newer. A watch from the first page's revision
        therefore repeats some changes but misses none.
        """
        items: list[StoredObject] = []
        revision = None
        after = ""
        while True:
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            response = await self._call(
                "GET",
                _object_path(kind) + query,
                expected_statuses=(_OK, _NOT_FOUND),
            )
            if response.status == _NOT_FOUND:
                return ObjectList(revision=0, items=())
            page = _decode(response, _ListPage)
            revision = page.at if revision is None else revision
            items += [_to_stored_object(kind, item) for item in page.items]
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
        stale_read = f"&{_STALE_READ_PARAM}" if can_be_stale else ""
        response = await self._call(
            "GET",
            f"{_object_path(kind)}?watch={after_revision}"
            f"&wait-ms={wait_ms}{stale_read}",
            expected_statuses=(_OK, _GONE),
            timeout_s=wait_s + self._timeout_s,
        )
        if response.status == _GONE:
            raise HistoryGoneError(
                f"no history of {kind} since revision {after_revision}"
            )
        batch = _decode(response, _WatchResponse)
        return WatchBatch(
            revision=batch.at,
            changes=tuple(
                _to_stored_object(kind, event.object, event.deleted)
                for event in batch.events
            ),
        )

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        """Creates an object; see `ObjectStore.create`."""
        body = msgspec.json.encode(
            {"metadata": {"name": name}, "spec": msgspec.Raw(spec)}
        )
        response = await self._call(
            "POST",
            _object_path(kind),
            body,
            expected_statuses=(_OK, _CREATED, _CONFLICT),
        )
        return _decode_write_response(kind, name, response)

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
        response = await self._call(
            "PUT",
            _object_path(kind, name),
            body,
            expected_statuses=(_OK, _CREATED, _NOT_FOUND, _CONFLICT),
        )
        return _decode_write_response(kind, name, response)

    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        """Replaces a status; see `ObjectStore.set_status`."""
        body = msgspec.json.encode(
            {"metadata": {"name": name}, "status": msgspec.Raw(status)}
        )
        response = await self._call(
            "PUT",
            f"{_object_path(kind, name)}/status",
            body,
            expected_statuses=(_OK, _CREATED, _NOT_FOUND),
        )
        if response.status == _NOT_FOUND:
            return None
        return _decode_write_response(kind, name, response)

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; see `ObjectStore.delete`."""
        await self._call(
            "DELETE",
            _object_path(kind, name),
            expected_statuses=(_OK, _NOT_FOUND),
        )

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        expected_statuses: tuple[int, ...],
        timeout_s: float | None = None,
    ) -> HttpResponse:
        """Makes a call.

        Args:
            method: HTTP method.
            target: Path and query.
            body: Body of the request.
            expected_statuses: Statuses of a response that the caller handles.
            timeout_s: Response timeout in seconds; None for the default.

        Raises:
            ObjectStoreError: There is no response, or it has another status.
        """
        is_write = method != "GET"
        headers = ((b"content-type", b"application/json"),) if body else ()
        try:
            response = await self._http.request(
                method,
                self._address,
                target,
                headers=headers,
                body=body,
                timeout_s=timeout_s or self._timeout_s,
                max_body_bytes=_MAX_RESPONSE_BYTES,
            )
        except RequestFailedError as exc:
            may_be_done = is_write and exc.ran is not ExecutionStatus.NOT_RUN
            raise ObjectStoreError(
                f"{method} {target}: {exc}", may_be_done=may_be_done
            ) from exc
        if response.status not in expected_statuses:
            raise ObjectStoreError(
                f"{method} {target}: status {response.status}",
                may_be_done=is_write and response.status != _NOT_DONE,
                is_throttled=response.status == _THROTTLED,
            )
        return response


def _object_path(kind: str, name: str = "") -> str:
    path = f"/v1/objects/{urllib.parse.quote(kind, safe='')}"
    return f"{path}/{urllib.parse.quote(name, safe='')}" if name else path


def _to_stored_object(
    kind: str, encoded: _Object, is_deleted=False
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


def _decode_write_response(
    kind: str, name: str, response: HttpResponse
) -> StoredObject:
    """Decodes the response to a write.

    Raises:
        ObjectConflictError: The object doesn't exist or has another revision;
            with the current object, if the response contains it.
    """
    if response.status == _NOT_FOUND:
        raise ObjectConflictError(f"{kind}/{name} does not exist", None)
    if response.status == _CONFLICT:
        raise ObjectConflictError(
            f"{kind}/{name} has another revision",
            _decode_conflicting_object(kind, response),
        )
    return _to_stored_object(kind, _decode(response, _Object, is_write=True))


def _decode_conflicting_object(
    kind: str, response: HttpResponse
) -> StoredObject | None:
    try:
        return _to_stored_object(
            kind, msgspec.json.decode(response.body, type=_Object)
        )
    except msgspec.DecodeError:
        # The response need not contain the object; a caller that needs it
        # reads it from the store.
        return None


def _decode(
    response: HttpResponse, response_type: Any, *, is_write: bool = False
) -> Any:
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except msgspec.DecodeError as exc:
        raise ObjectStoreError(
            f"invalid response from the store: {exc}", may_be_done=is_write
        ) from exc
