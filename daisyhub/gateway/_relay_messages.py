"""What a daemon says to a peer that sends a request for it, and is told.

The peer listens for HTTP requests of other daemons. The body of a request is a
`RelayedRequest` in MessagePack; the response is that of the endpoint, streamed
as it arrives, with a header that says what became of the request.
"""

import dataclasses

import msgspec

from daisyhub.balancing import Release
from daisyhub.catalog import Route
from daisyhub.exceptions import ExecutionStatus
from daisyhub.json_texts import decode_json
from daisyhub.messages import Header, Response

__all__ = [
    "RELAY_PATH",
    "RelayResult",
    "RelayedRequest",
    "decode_request",
    "encode_request",
    "read_result",
    "with_result",
]

RELAY_PATH = "/relay"
_RESULT_HEADER = b"x-relay-result"


class RelayedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that another daemon accepted from its caller.

    Keys and accounts were checked there, and its route was chosen there.

    Attributes:
        sender: The daemon that accepted it.
        request_id: Id that the caller sent, or id of a reward call.
        route: Its route.
        method: HTTP method.
        target: Path and query.
        host: Value of the `Host` header.
        headers: The caller's headers.
        body: The complete body.
        account: Client account; empty for none.
        remaining_s: Seconds until the response must be complete.
        is_streamed: Whether the response is streamed instead of buffered.
        is_background: Whether no caller waits for this response itself.
        release: The release that must serve it; None for any.
    """

    sender: str
    request_id: str
    route: Route
    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    account: str
    remaining_s: float
    is_streamed: bool
    is_background: bool
    release: Release | None


class RelayResult(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a relayed request.

    Attributes:
        is_answered: Whether the response is an endpoint's.
        ran: Whether an endpoint ran the request.
        was_sent: Whether it was sent to an endpoint.
        detail: Description for the log.
        release: The release that answers; None if unknown.
    """

    is_answered: bool
    ran: ExecutionStatus
    was_sent: bool = True
    detail: str = ""
    release: Release | None = None


def encode_request(request: RelayedRequest) -> bytes:
    """Returns a request as MessagePack."""
    return msgspec.msgpack.encode(request)


def decode_request(data: bytes) -> RelayedRequest:
    """Decodes a request.

    Raises:
        ValueError: The bytes are no valid request.
    """
    try:
        return msgspec.msgpack.decode(data, type=RelayedRequest)
    except msgspec.DecodeError as exc:
        raise ValueError(str(exc)) from exc


def with_result(resp: Response, result: RelayResult) -> Response:
    """Returns a response with the header that states a result."""
    header = (_RESULT_HEADER, msgspec.json.encode(result))
    return dataclasses.replace(resp, headers=(*resp.headers, header))


def read_result(
    headers: tuple[Header, ...],
) -> tuple[RelayResult, tuple[Header, ...]]:
    """Returns the result that a peer states, and the endpoint's headers.

    Raises:
        ValueError: The response states no valid result.
    """
    stated = [value for name, value in headers if name == _RESULT_HEADER]
    rest = tuple(h for h in headers if h[0] != _RESULT_HEADER)
    if len(stated) != 1:
        raise ValueError("the response of the peer states no result")
    try:
        return decode_json(stated[0], type=RelayResult), rest
    except msgspec.DecodeError as exc:
        raise ValueError(str(exc)) from exc
