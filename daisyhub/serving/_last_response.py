"""The response that a connection ends with when its client is refused."""

from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from daisyhub.exceptions import Refusal
from daisyhub.problems import problem_response

__all__ = ["encode_last_response"]


def encode_last_response(refusal: Refusal) -> bytes:
    """Returns the bytes of a refusal after which the connection closes."""
    resp = problem_response(refusal, "")
    headers = (
        *resp.headers,
        (b"content-length", str(len(resp.body)).encode()),
        (b"connection", b"close"),
    )
    lines = [b"%s: %s\r\n" % header for header in headers]
    return b"".join([STATUS_LINE[resp.status], *lines, b"\r\n", resp.body])
