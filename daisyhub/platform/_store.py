"""HTTP client for the platform's object store; a daemon has one."""

import urllib.parse
from collections.abc import Callable

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
from daisyhub.platform._store_pages import read_batch, read_object, read_page
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
_MAX_RESPONSE_BYTES = 16 << 20
_MS_PER_S = 1000


class PlatformStore(ObjectStore):
    """Sends requests to the store at one address.

    Args:
        address: Address of the store.
        http: HTTP client.
        timeout_s: Response timeout in seconds; a watch's own wait is added.
        on_unreadable: Called with the kind and the reason if an object of a
            list or a watch is left out, as its name or revision can't be read.
    """

    def __init__(
        self,
        address: Address,
        http: HttpClient,
        timeout_s: float,
        on_unreadable: Callable[[str, str], None] = lambda *_: None,
    ):
        self._address = address
        self._http = http
        self._timeout_s = timeout_s
        self._on_unreadable = on_unreadable

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
        return _read_object(kind, response)

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
            try:
                page = read_page(kind, response.body, self._report(kind))
            except ValueError as exc:
                raise _invalid_response(exc) from exc
            revision = page.revision if revision is None else revision
            items += page.items
            if not page.has_more or not page.items:
                return ObjectList(revision=revision, items=tuple(items))
            after = page.items[-1].name

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
        try:
            return read_batch(kind, response.body, self._report(kind))
        except ValueError as exc:
            raise _invalid_response(exc) from exc

    def _report(self, kind: str) -> Callable[[str], None]:
        return lambda reason: self._on_unreadable(kind, reason)

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
    return _read_object(kind, response, is_write=True)


def _decode_conflicting_object(
    kind: str, response: HttpResponse
) -> StoredObject | None:
    try:
        return read_object(kind, response.body)
    except ValueError:
        # The response need not contain the object; a caller that needs it
        # reads it from the store.
        return None


def _read_object(
    kind: str, response: HttpResponse, *, is_write: bool = False
) -> StoredObject:
    try:
        return read_object(kind, response.body)
    except ValueError as exc:
        raise _invalid_response(exc, is_write=is_write) from exc


def _invalid_response(
    exc: ValueError, *, is_write: bool = False
) -> ObjectStoreError:
    return ObjectStoreError(
        f"invalid response from the store: {exc}", may_be_done=is_write
    )
