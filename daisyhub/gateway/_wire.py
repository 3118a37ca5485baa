"""Interfaces for the wire formats of callers and endpoints."""

import abc
import dataclasses

from daisyhub.balancing import EndpointLoad
from daisyhub.messages import BodyReader, Header, Request, Response

__all__ = [
    "CallerWire",
    "EndpointResponseHead",
    "EndpointWire",
    "EndpointRequest",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRequest:
    """A request to one endpoint, except for method, path and body.

    Attributes:
        request_id: Id that the caller sent, or id of a lot's item.
        host: Value of the `Host` header.
        endpoint_id: The endpoint that must serve the request.
        account: Client account to send; empty for none.
        remaining_s: Seconds until the endpoint must have responded.
        headers: Headers of the caller or of a lot's item.
        resume_after: Number of the last event received, after which a stream
            resumes; 0 for a stream from the start.
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
    """What the head of a response states besides its status.

    Attributes:
        is_not_run: Whether the endpoint states that it didn't run the request.
        is_misdirected: Whether another endpoint has the address now.
        is_promise: Whether callers take the status as a promise that their
            request was not run.
        load: Its load; None if not stated.
        load_error: Why the statement of its load, or a part of it, can't be
            read; empty if it can.
        cold_left_s: Seconds for which it states to be cold; None if not stated,
            or if the statement can't be read.
        cold_error: Why that statement can't be read; empty if it can.
        proof: Proof that the response is the endpoint's own; may be empty.
        weight_version: Version of the weights at the start of the response; 0
            if not stated.
        is_leaving: Whether the endpoint announces that it is leaving.
        rate_limit: Requests a second that the endpoint accepts from all daemons
            together; infinite if it states no limit, None if the response says
            nothing about that.
    """

    is_not_run: bool = False
    is_misdirected: bool = False
    is_promise: bool = False
    load: EndpointLoad | None = None
    load_error: str = ""
    cold_left_s: float | None = None
    cold_error: str = ""
    proof: str = ""
    weight_version: int = 0
    is_leaving: bool = False
    rate_limit: float | None = None


class CallerWire(abc.ABC):
    """Wire format of callers' requests and of the responses to them."""

    @abc.abstractmethod
    def read_request(
        self, scope: dict, read_body: BodyReader, now_s: float
    ) -> Request:
        """Returns the request.

        Args:
            scope: The ASGI scope.
            read_body: Reads the body when a filter needs it.
            now_s: Monotonic time of arrival.

        Raises:
            Refusal: The request is invalid.
        """

    @abc.abstractmethod
    def response_headers(self, resp: Response) -> tuple[Header, ...]:
        """Returns the headers of a response that are sent to the caller."""


class EndpointWire(abc.ABC):
    """Wire format of requests to endpoints and of their responses."""

    @abc.abstractmethod
    def request_headers(self, req: EndpointRequest) -> tuple[Header, ...]:
        """Returns the headers of a request, `Host` included."""

    @abc.abstractmethod
    def read_response_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> EndpointResponseHead:
        """Parses the head of a response."""
