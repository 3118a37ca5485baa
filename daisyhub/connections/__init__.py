"""HTTP connections to endpoints and to the platform."""

from daisyhub.connections._client import (
    HttpAnswer,
    HttpClient,
    RequestFailedError,
    StreamedAnswer,
)

__all__ = [
    "HttpAnswer",
    "HttpClient",
    "RequestFailedError",
    "StreamedAnswer",
]
