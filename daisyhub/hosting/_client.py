"""Client of the HTTP API of the product's own platform."""

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
_READ_BACK_ATTEMPTS = 3
_READ_BACK_DELAY_S = 0.1


class PlatformObject(msgspec.Struct, frozen=True, kw_only=True):
    """An object in the platform's store.

    Attributes:
        key: Unique key.
        version: 1 after creation, incremented by each write.
        revision: The store's revision of the last write.
        write_id: Id of the last write, chosen by its writer.
        value: Any JSON value of at most one megabyte.
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
    """An entry of the platform's endpoint list, which may be out of date.

    Attributes:
        endpoint_id: Unique id.
        pool: The endpoint pool.
        ip: IP address.
        port: TCP port.
        state: `live`, or `leaving` before it stops.
        incarnation: Increases when the endpoint restarts.
        cheap: Whether the platform may reclaim it at a few seconds' notice.
    """

    endpoint_id: str
    pool: str
    ip: str
    port: int
    state: Literal["live", "leaving"] = "live"
    incarnation: int = 1
    cheap: bool = False


class OrderRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an order request; `fencing` is the sender's fencing number."""

    order: EndpointOrder
    fencing: int


class OrderResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the response: the endpoint that the order starts or stops."""

    endpoint_id: str


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """A report of one sealed usage window.

    Attributes:
        failure_domain: The failure domain in which usage was counted.
        window: Start of the window, whole seconds since the epoch.
        body: The sealed counts, as JSON text.
    """

    failure_domain: str
    window: int
    body: str


class PlatformClient:
    """Calls the platform.

    All methods may raise `PlatformUnavailableError`: the platform is
    unreachable, or its response is an error or invalid.

    Args:
        address: Address of the platform.
        http: Sends the requests.
        timeout_s: Timeout of a request, in seconds.
    """

    def __init__(self, address: Address, http: HttpClient, timeout_s: float):
        self._address = address
        self._http = http
        self._timeout_s = timeout_s

    async def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None if there is none."""
        response = await self._call("GET", f"/objects/{_quote(key)}")
        if response.status == _NOT_FOUND:
            return None
        return _decode(response, PlatformObject)

    async def list(self, prefix: str) -> tuple[PlatformObject, ...]:
        """Returns the objects whose keys start with `prefix`, sorted by key."""
        response = await self._call("GET", f"/objects?prefix={_quote(prefix)}")
        return _decode(response, _ObjectList).objects

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> tuple[int, tuple[PlatformObject, ...]]:
        """Waits up to `wait_s` seconds for changes under a prefix.

        Returns:
            The store's revision and the objects changed after
            `after_revision`; no objects if the wait timed out.
        """
        query = f"prefix={_quote(prefix)}&after={after_revision}&wait={wait_s}"
        response = await self._call(
            "GET", f"/objects?{query}", timeout_s=wait_s + self._timeout_s
        )
        listed = _decode(response, _ObjectList)
        return listed.revision, listed.objects

    async def put(
        self,
        key: str,
        value: object,
        *,
        expected_version: int,
        write_id: str,
    ) -> int:
        """Writes an object if it is at `expected_version` (0 if absent).

        If the response is lost, the object is read back, and its write id
        shows whether the write took effect.

        Returns:
            The new version.

        Raises:
            PlatformConflictError: The object is at another version.
            PlatformUnavailableError: The outcome is unknown.
        """
        target = (
            f"/objects/{_quote(key)}?expected={expected_version}"
            f"&write_id={write_id}"
        )
        body = msgspec.json.encode(value)
        try:
            response = await self._call("PUT", target, body=body)
        except PlatformUnavailableError:
            return await self._resolve_put(key, expected_version, write_id)
        if response.status == _CONFLICT:
            # The conflict may be with this same write if it was sent twice.
            return await self._resolve_put(key, expected_version, write_id)
        return _decode(response, PlatformObject).version

    async def _resolve_put(self, key, expected_version, write_id) -> int:
        """Determines the outcome of a write from the stored object.

        An object that is still at `expected_version` leaves it unknown: the
        write may take effect later.
        """
        found = await self._read_back(key)
        if found is not None and found.write_id == write_id:
            return found.version
        version = found.version if found is not None else 0
        if version == expected_version:
            raise PlatformUnavailableError(
                f"object {key!r}: the outcome of the write is unknown"
            )
        raise PlatformConflictError(key, version)

    async def _read_back(self, key: str) -> PlatformObject | None:
        for _ in range(_READ_BACK_ATTEMPTS - 1):
            try:
                return await self.get(key)
            except PlatformUnavailableError:
                await anyio.sleep(_READ_BACK_DELAY_S)
        return await self.get(key)

    async def list_endpoints(self, domain: str) -> tuple[EndpointRecord, ...]:
        """Returns the platform's endpoint list of a failure domain."""
        response = await self._call(
            "GET", f"/domains/{_quote(domain)}/endpoints"
        )
        return _decode(response, tuple[EndpointRecord, ...])

    async def send_order(
        self, domain: str, order: EndpointOrder, fencing: int
    ) -> str:
        """Orders an endpoint to start or stop; idempotent.

        Returns:
            The endpoint's id, or an empty string if the platform refused the
            order permanently.
        """
        body = msgspec.json.encode(OrderRequest(order=order, fencing=fencing))
        target = f"/domains/{_quote(domain)}/orders"
        response = await self._call("POST", target, body=body)
        if response.status == _CONFLICT:
            return ""
        return _decode(response, OrderResponse).endpoint_id

    async def report_usage(self, report: UsageReport) -> None:
        """Reports a sealed window; idempotent."""
        body = msgspec.json.encode(report)
        response = await self._call("POST", "/usage", body=body)
        if response.status != _OK:
            raise PlatformUnavailableError(
                f"usage report refused with status {response.status}"
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
            response = await self._http.request(
                method,
                self._address,
                target,
                body=body,
                timeout_s=timeout_s or self._timeout_s,
            )
        except RequestFailedError as exc:
            raise PlatformUnavailableError(str(exc)) from exc
        if response.status not in (_OK, _NOT_FOUND, _CONFLICT):
            raise PlatformUnavailableError(
                f"{method} {target}: status {response.status}"
            )
        return response


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="/")


def _decode(response: HttpResponse, kind: Any) -> Any:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as exc:
        raise PlatformUnavailableError(f"invalid response: {exc}") from exc
