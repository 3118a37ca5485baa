"""What callers and endpoints say, apart from how a platform spells it."""

import abc
import dataclasses

from daisyhub.messages import BodyReader, Header, Request, Response

__all__ = [
    "CallerWire",
    "EndpointResponseHead",
    "EndpointWire",
    "EndpointRequest",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRequest:
    """A request as it goes to an endpoint.

    Attributes:
        request_id: The caller's id of this attempt.
        host: Host name that the caller sent.
        endpoint_id: The endpoint that must serve it.
        account: Client account of the key; empty if none is to be named.
        remaining_s: Seconds that the caller still waits.
        headers: The caller's headers.
        resume_after: Number of the last event at hand, to go on behind it.
    """

    request_id: str
    host: str
    endpoint_id: str
    account: str = ""
    remaining_s: float
    headers: tuple[Header, ...] = ()
    resume_after: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointResponseHead:
    """What an answer's head says besides its status.

    Attributes:
        is_not_run: Whether the endpoint states that it did not run it.
        is_misdirected: Whether another endpoint has the address now.
        load: Requests in hand there, running and waiting; None if not told.
        proof: The endpoint's proof that the answer is its own; may be empty.
        weight_version: Version of the weights that it starts with; 0 if not
            told.
    """

    is_not_run: bool = False
    is_misdirected: bool = False
    load: int | None = None
    proof: str = ""
    weight_version: int = 0


class CallerWire(abc.ABC):
    """How callers speak."""

    @abc.abstractmethod
    def read_request(
        self, scope: dict, read_body: BodyReader, now_s: float
    ) -> Request:
        """Returns the request.

        Args:
            scope: The ASGI scope.
            read_body: Reads the body.
            now_s: Monotonic time of arrival.

        Raises:
            Refusal: The request can't be read.
        """

    @abc.abstractmethod
    def response_headers(self, resp: Response) -> tuple[Header, ...]:
        """Returns the headers that a caller gets of an endpoint's answer."""


class EndpointWire(abc.ABC):
    """How endpoints are spoken to."""

    @abc.abstractmethod
    def request_headers(self, req: EndpointRequest) -> tuple[Header, ...]:
        """Returns the headers of a request, the host included."""

    @abc.abstractmethod
    def read_response_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> EndpointResponseHead:
        """Reads the head of an answer."""
