"""Requests and responses as passed through the filter chain."""

import dataclasses
import typing
from collections.abc import AsyncIterator, Awaitable, Callable

from daisyhub.memory import MemoryLease

if typing.TYPE_CHECKING:
    from daisyhub.config import Route

__all__ = ["Header", "Request", "Response", "Resumption"]

Header = tuple[bytes, bytes]
BodyReader = Callable[..., Awaitable[bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """What a caller says of a stream that its request goes on with.

    Attributes:
        first_request_id: Id of the request that brought the stream's first
            event; empty if the caller names none.
        after: The last event that the caller has.
    """

    first_request_id: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request of a caller.

    Attributes:
        request_id: Unique id, included in log lines and error responses.
        method: HTTP method in upper case.
        path: Raw path without the query, still percent-encoded.
        query: Raw query without the question mark.
        host: Host name; `CallersApp` passes it in lower case without the port.
        headers: Headers in order of arrival, names in lower case.
        read_body: Returns the whole body; raises `Refusal` if it has more than
            the given number of bytes or is incomplete. See
            `serving.RequestBody.read`.
        started_s: Time of arrival, monotonic seconds.
        deadline_s: Time by which the caller needs the response, monotonic
            seconds.
        stated_deadline_s: The deadline that the caller stated, whatever its
            route allows, monotonic seconds; None if it stated none.
        account: Client account of the key; empty on open routes except those
            for lots, and for keys without an account.
        key_id: Public part of the key; empty on open routes.
        route: The matching route; None before the route filter.
        body: The body; empty before the filter that reads it.
        key: The caller's key, if a filter compares it with plain keys; empty
            otherwise.
        lot_call: Call of the lot interface if the `CallerWire` decoded one;
            None otherwise.
        has_accounts: Whether the manifest states accounts. Otherwise all
            callers are equal.
        resumption: The stream that the request goes on with; None if it
            begins anew.
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
    stated_deadline_s: float | None = None
    account: str = ""
    key_id: str = ""
    route: "Route | None" = None
    body: bytes = dataclasses.field(default=b"", repr=False)
    key: str = dataclasses.field(default="", repr=False)
    lot_call: object | None = None
    has_accounts: bool = True
    resumption: Resumption | None = None

    def header_values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, `name` in lower case."""
        return [value for key, value in self.headers if key == name]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A response for the caller, with content in either `body` or `stream`.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: The complete content, if it was buffered.
        stream: The chunks of the content, if it is streamed; None if it was
            buffered.
        tokens: Tokens generated for this response, for usage accounting.
        lease: Counts a large `body` until it is sent.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    tokens: int = 0
    lease: MemoryLease | None = None

    def header_values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, `name` in lower case."""
        return [value for key, value in self.headers if key == name]
