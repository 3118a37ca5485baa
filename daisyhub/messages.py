"""The request and the answer as they pass through the filter chain."""

import dataclasses
import typing
from collections.abc import AsyncIterator, Awaitable, Callable

if typing.TYPE_CHECKING:
    from daisyhub.config import Route

__all__ = ["Header", "Request", "Response"]

Header = tuple[bytes, bytes]
BodyReader = Callable[[int], Awaitable[bytes]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A caller's request.

    Attributes:
        request_id: Unique id, in every log line and error answer.
        method: HTTP method in capitals.
        path: Raw path without the query, still percent-encoded.
        query: Raw query without the question mark.
        host: Host name in lower case without the port.
        headers: Names in lower case, in order of arrival.
        read_body: Reads the whole body, at most the given number of bytes.
        started_s: Monotonic time of arrival, seconds.
        deadline_s: Monotonic time after which no answer is wanted.
        account: Client account of the key; empty on open routes.
        key_id: Public part of the key; empty on open routes.
        route: The route found; None before the route filter.
        body: The body, once validated.
        key: The caller's key, where a filter checks it against plain keys.
        lot_call: A typed call about a lot, where the caller's wire names one.
    """

    request_id: str
    method: str
    path: str = dataclasses.field(repr=False)
    query: str = dataclasses.field(repr=False)
    host: str
    headers: tuple[Header, ...] = dataclasses.field(repr=False)
    read_body: BodyReader = dataclasses.field(repr=False)
    started_s: float
    deadline_s: float
    account: str = ""
    key_id: str = ""
    route: "Route | None" = None
    body: bytes = dataclasses.field(default=b"", repr=False)
    key: str = dataclasses.field(default="", repr=False)
    lot_call: object | None = None

    def header_values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, `name` in lower case."""
        return [value for key, value in self.headers if key == name]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """An answer for the caller: either `body` or `stream` carries content.

    Attributes:
        status: HTTP status.
        headers: Names in lower case.
        body: The whole content, if it was buffered.
        stream: The content in chunks, if it is passed through.
        tokens: Tokens generated for this answer, for usage accounting.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    tokens: int = 0

    def header_values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, `name` in lower case."""
        return [value for key, value in self.headers if key == name]
