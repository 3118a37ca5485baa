"""One exchange on an open connection.

Decides whether a request is still sent, how it is framed, and whether a
response may be taken for the response to it: its request id and its framing
must fit.
"""

from collections.abc import AsyncIterator, Callable, Collection

import httpcore

from daisyhub.connections._body_parts import read_parts
from daisyhub.connections._connection import (
    Connection,
    RequestFailedError,
    RequestWithdrawnError,
)
from daisyhub.exceptions import ExecutionStatus
from daisyhub.memory import MemoryBudget, MemoryClaim, MemoryLease
from daisyhub.messages import Header
from daisyhub.settings import Address

__all__ = [
    "NoRoomError",
    "check_may_send",
    "exchange_heads",
    "find_request_id",
    "lower_names",
    "read_body",
]

_REQUEST_ID_HEADER = b"daisyhub-request-id"
# Size of the parts in which a large body is sent, in bytes.
_PART_BYTES = 1 << 16
_NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE"})
_NO_BODY_STATUSES = frozenset({204, 304})
# The statuses that a final response may have.
_FINAL_STATUSES = range(200, 600)
_HTTP_1 = b"HTTP/1."


async def check_may_send(
    may_send: Callable[[], bool], conn: Connection, address: Address
) -> None:
    """Closes the connection and raises an error if nothing may be sent.

    Raises:
        RequestWithdrawnError: `may_send` returned False.
    """
    if may_send():
        return
    await conn.aclose()
    raise RequestWithdrawnError(
        f"the request to {address} was withdrawn before it was sent",
        ran=ExecutionStatus.NOT_RUN,
    )


async def exchange_heads(
    conn: Connection,
    method: str,
    address: Address,
    target: str,
    headers: tuple[Header, ...],
    body: bytes,
) -> httpcore.Response:
    """Sends a request; returns once the response's head is received.

    Raises:
        RequestFailedError: The response fails `_check_status_line`,
            `_check_request_id` or `_check_framing`.
    """
    req = _build_request(method, address, target, headers, body)
    response = await conn.http.handle_async_request(req)
    _check_status_line(response)
    conn.has_response_head = True
    request_id = find_request_id(headers)
    _check_request_id(response, request_id, conn.carried_ids)
    if request_id:
        conn.record_request(request_id, response.status)
    _check_framing(response, method)
    return response


class NoRoomError(RequestFailedError):
    """The memory of the process has no room for a response."""

    code = "no_room"


async def read_body(
    conn: Connection,
    response: httpcore.Response,
    max_bytes: int,
    memory: MemoryBudget,
) -> tuple[bytes, MemoryLease | None]:
    """Returns the complete body of a response.

    Args:
        conn: The connection.
        response: The response.
        max_bytes: Maximum size.
        memory: Memory of the process for such bodies.

    Returns:
        The body, and its lease; None if it is too small to count.

    Raises:
        NoRoomError: There is no room for the body.
        RequestFailedError: The body is larger than `max_bytes`.
    """
    # Without the abort, an evicted body would stay until its server sends more.
    claim = memory.open(conn.abort)
    lease = MemoryLease(claim)
    try:
        await claim.reserve(min(_stated_length(response), max_bytes))
        body = await _collect(conn, max_bytes, claim)
    except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
        if claim.is_evicted:
            raise _make_no_room_error() from exc
        raise
    # After `aclose`, httpcore's connection is idle, or closed if the server
    # ends it. `end_exchange` comes first, so that this close isn't a reset.
    conn.end_exchange()
    await response.aclose()
    if not body:
        # A response to HEAD states the length of a body that it lacks.
        lease.release()
    return body, lease if claim.held else None


def _stated_length(response: httpcore.Response) -> int:
    """Returns the length that a response states; 0 if it states none."""
    for name, value in response.headers:
        if name.lower() == b"content-length" and value.isdigit():
            return int(value)
    return 0


async def _collect(
    conn: Connection, max_bytes: int, claim: MemoryClaim
) -> bytes:
    """Returns a body, which its claim counts; see `read_body`."""
    body = bytearray()
    async for part in read_parts(conn):
        claim.add(len(part))
        if claim.is_evicted:
            raise _make_no_room_error()
        body += part
        if len(body) > max_bytes:
            raise RequestFailedError(
                f"the response exceeds {max_bytes} bytes",
                ran=ExecutionStatus.RAN,
            )
    claim.pin()
    # The copy doesn't count: no other is made at the same time.
    return bytes(body)


def _make_no_room_error() -> NoRoomError:
    return NoRoomError(
        "there is no room for the response, as other large bodies are held",
        ran=ExecutionStatus.RAN,
    )


def _build_request(
    method: str,
    address: Address,
    target: str,
    headers: tuple[Header, ...],
    body: bytes,
) -> httpcore.Request:
    added = []
    if all(name != b"host" for name, _ in headers):
        added.append((b"host", str(address).encode()))
    if body or method not in _NO_BODY_METHODS:
        added.append((b"content-length", str(len(body)).encode()))
    return httpcore.Request(
        method,
        httpcore.URL(
            scheme=b"http",
            host=address.ip.encode(),
            port=address.port,
            target=target.encode(),
        ),
        headers=[*added, *headers],
        content=body if len(body) <= _PART_BYTES else _BodyParts(body),
    )


class _BodyParts:
    """A large body in parts.

    httpcore and the transport copy whatever they are given at a time, until
    the server has received it.
    """

    def __init__(self, body: bytes):
        self._body = body

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for start in range(0, len(self._body), _PART_BYTES):
            yield self._body[start : start + _PART_BYTES]


def find_request_id(headers: tuple[Header, ...]) -> bytes | None:
    """Returns the id in the headers of a request, or None."""
    for name, value in headers:
        if name == _REQUEST_ID_HEADER:
            return value
    return None


def _check_status_line(response: httpcore.Response) -> None:
    """Rejects what isn't a response of HTTP/1.

    Nothing can be concluded from it, nor whether the request was executed.
    h11 rejects statuses below 200 of final responses itself, such as 000.

    Raises:
        RequestFailedError: The status or the version isn't one.
    """
    version = response.extensions.get("http_version", b"")
    if response.status in _FINAL_STATUSES and version.startswith(_HTTP_1):
        return
    raise RequestFailedError(
        f"{version.decode('latin-1')} {response.status} is no response of "
        "HTTP/1 with a status from 200 to 599",
        ran=ExecutionStatus.UNKNOWN,
    )


def _check_request_id(
    response: httpcore.Response,
    request_id: bytes | None,
    earlier_ids: Collection[bytes],
) -> None:
    """Rejects a response that echoes the id of another request.

    Args:
        response: The response.
        request_id: The id that was sent, if any.
        earlier_ids: Ids of earlier requests on the connection.

    Raises:
        RequestFailedError: The response belongs to another request.
    """
    for name, value in response.headers:
        if name.lower() != _REQUEST_ID_HEADER or value == request_id:
            continue
        # A server may choose the id of a request that was sent without one.
        if request_id is not None or value in earlier_ids:
            raise RequestFailedError(
                "the response has the request id of another request",
                ran=ExecutionStatus.UNKNOWN,
            )


def _check_framing(response: httpcore.Response, method: str) -> None:
    """Rejects a response whose end can't be told from a lost connection."""
    if method == "HEAD" or response.status in _NO_BODY_STATUSES:
        return
    names = {name.lower() for name, _ in response.headers}
    if b"content-length" in names or b"transfer-encoding" in names:
        return
    raise RequestFailedError(
        "the response has neither Content-Length nor Transfer-Encoding",
        ran=ExecutionStatus.RAN,
    )


def lower_names(headers) -> tuple[Header, ...]:
    """Returns header fields with their names in lower case."""
    return tuple((name.lower(), value) for name, value in headers)
