"""Error responses as problem details (`application/problem+json`)."""

import math

import msgspec

from daisyhub.exceptions import Refusal
from daisyhub.messages import Response

__all__ = ["problem_body", "problem_response"]


class ProblemDetails(msgspec.Struct, frozen=True, kw_only=True):
    """The body of an error response.

    Attributes:
        type: URN of the code.
        title: The code with spaces instead of underscores.
        status: HTTP status.
        code: Stable code.
        detail: One sentence for the caller.
        request_id: Id of the request.
        ran: Whether an endpoint executed the request: `not_run`, `unknown` or
            `ran`.
    """

    type: str
    title: str
    status: int
    code: str
    detail: str
    request_id: str
    ran: str


def problem_body(exc: Refusal, request_id: str) -> bytes:
    """Returns the JSON body of the response to a refusal."""
    problem = ProblemDetails(
        type=f"urn:daisyhub:{exc.code}",
        title=exc.code.replace("_", " "),
        status=exc.error.status,
        code=exc.code,
        detail=exc.detail,
        request_id=request_id,
        ran=exc.ran.value,
    )
    return msgspec.json.encode(problem)


def problem_response(exc: Refusal, request_id: str) -> Response:
    """Returns the response to a refusal, with `Retry-After` if suggested."""
    headers = [(b"content-type", b"application/problem+json")]
    if exc.retry_after_s is not None:
        seconds = max(1, math.ceil(exc.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return Response(
        status=exc.error.status,
        headers=tuple(headers),
        body=problem_body(exc, request_id),
    )
