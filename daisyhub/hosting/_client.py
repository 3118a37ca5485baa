"""Client of the platform's HTTP interface."""

import urllib.parse
from typing import Any, Literal

import anyio
import msgspec

from daisyhub.connections import HttpClient, HttpResponse, RequestFailedError
from daisyhub.exceptions import (
    PlatformConflictError,
    PlatformUnavailableError,
)
from daisyhub.hosting._orders import EndpointOrder
from daisyhub.settings import Address

__all__ = [
    "EndpointRecord",
    "OrderResponse",
    "OrderRequest",
    "PlatformClient",
    "PlatformObject",
    "UsageReport",
]

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_READ_BACK_TRIES = 3
_READ_BACK_PAUSE_S = 0.1


class PlatformObject(msgspec.Struct, frozen=True, kw_only=True):
    """A stored object.

    Attributes:
        key: Its name.
        version: Rises by one with each write; 1 after creation.
        revision: The store's revision of the last write.
        write_id: Id that the last writer chose.
        value: Any JSON value, at most one megabyte.
    """

    key: str
    version: int
    revision: int
    write_id: str
    value: Any = None


class _ObjectList(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    objects: tuple[PlatformObject, ...]


class EndpointRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the platform's lagging list of instances.

    Attributes:
        endpoint_id: Unique id.
        pool: The endpoint pool.
        ip: Its address.
        port: Its port.
        state: `live` or `leaving`.
        incarnation: Rises when an instance is started anew.
        cheap: Whether it can be reclaimed at seconds' notice.
    """

    endpoint_id: str
    pool: str
    ip: str
    port: int
    state: Literal["live", "leaving"] = "live"
    incarnation: int = 1
    cheap: bool = False


class OrderRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An order as it is sent; `fencing` is the sender's number."""

    order: EndpointOrder
    fencing: int


class OrderResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoint that an order starts or stops."""

    endpoint_id: str


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """A sealed usage window as it is reported.

    Attributes:
        failure_domain: Where the usage was counted.
        window: Start of the window, whole seconds since the epoch.
        body: The sealed figures, JSON text.
    """

    failure_domain: str
    window: int
    body: str


class PlatformClient:
    """Calls the platform; every method raises `PlatformUnavailableError`."""

    def __init__(self, address: Address, http: HttpClient, timeout_s: float):
        self._address = address
        self._http = http
        self._timeout_s = timeout_s

    async def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None if there is none."""
        answer = await self._call("GET", f"/objects/{_quote(key)}")
        if answer.status == _NOT_FOUND:
            return None
        return _decode(answer, PlatformObject)

    async def list(self, prefix: str) -> tuple[PlatformObject, ...]:
        """Returns the objects whose keys start with `prefix`, by key."""
        answer = await self._call("GET", f"/objects?prefix={_quote(prefix)}")
        return _decode(answer, _ObjectList).objects

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> tuple[int, tuple[PlatformObject, ...]]:
        """Waits for changes under a prefix.

        Returns:
            The store's revision, and the objects changed since
            `after_revision`; none if `wait_s` passed.
        """
        query = f"prefix={_quote(prefix)}&after={after_revision}&wait={wait_s}"
        answer = await self._call(
            "GET", f"/objects?{query}", timeout_s=wait_s + self._timeout_s
        )
        listed = _decode(answer, _ObjectList)
        return listed.revision, listed.objects

    async def put(
        self,
        key: str,
        value: object,
        *,
        expected_version: int,
        write_id: str,
    ) -> int:
        """Writes an object if it is at `expected_version` (0: absent).

        A lost answer is resolved by reading the write id back.

        Returns:
            The new version.

        Raises:
            PlatformConflictError: The object is at another version.
            PlatformUnavailableError: The effect could not be found out.
        """
        target = (
            f"/objects/{_quote(key)}?expected={expected_version}"
            f"&write_id={write_id}"
        )
        body = msgspec.json.encode(value)
        try:
            answer = await self._call("PUT", target, body=body)
        except PlatformUnavailableError:
            return await self._resolve_put(key, expected_version, write_id)
        if answer.status == _CONFLICT:
            # The conflict may be with this very write, repeated on the way.
            return await self._resolve_put(key, expected_version, write_id)
        return _decode(answer, PlatformObject).version

    async def _resolve_put(self, key, expected_version, write_id) -> int:
        found = await self._read_back(key)
        if found is not None and found.write_id == write_id:
            return found.version
        version = found.version if found is not None else 0
        if version == expected_version:
            raise PlatformUnavailableError(f"{key}: the write is in doubt")
        raise PlatformConflictError(key, version)

    async def _read_back(self, key: str) -> PlatformObject | None:
        for _ in range(_READ_BACK_TRIES - 1):
            try:
                return await self.get(key)
            except PlatformUnavailableError:
                await anyio.sleep(_READ_BACK_PAUSE_S)
        return await self.get(key)

    async def list_endpoints(self, domain: str) -> tuple[EndpointRecord, ...]:
        """Returns the platform's list of one failure domain's endpoints."""
        answer = await self._call("GET", f"/domains/{_quote(domain)}/endpoints")
        return _decode(answer, tuple[EndpointRecord, ...])

    async def send_order(
        self, domain: str, order: EndpointOrder, fencing: int
    ) -> str:
        """Orders an endpoint to start or stop; may be repeated.

        Returns:
            The endpoint's id, or empty if the platform refused the order.
        """
        body = msgspec.json.encode(OrderRequest(order=order, fencing=fencing))
        target = f"/domains/{_quote(domain)}/orders"
        answer = await self._call("POST", target, body=body)
        if answer.status == _CONFLICT:
            return ""
        return _decode(answer, OrderResponse).endpoint_id

    async def report_usage(self, report: UsageReport) -> None:
        """Hands over a sealed window; may be repeated."""
        body = msgspec.json.encode(report)
        answer = await self._call("POST", "/usage", body=body)
        if answer.status != _OK:
            raise PlatformUnavailableError(
                f"usage report refused with status {answer.status}"
            )

    async def _call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> HttpResponse:
        try:
            answer = await self._http.request(
                method,
                self._address,
                target,
                body=body,
                timeout_s=timeout_s or self._timeout_s,
            )
        except RequestFailedError as exc:
            raise PlatformUnavailableError(str(exc)) from exc
        if answer.status not in (_OK, _NOT_FOUND, _CONFLICT):
            raise PlatformUnavailableError(
                f"{method} {target}: status {answer.status}"
            )
        return answer


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="/")


def _decode(answer: HttpResponse, kind: Any) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as exc:
        raise PlatformUnavailableError(f"unreadable answer: {exc}") from exc
