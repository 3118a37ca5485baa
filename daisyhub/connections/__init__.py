"""HTTP connections to endpoints and to the platform."""

from daisyhub.connections._client import (
    HttpAnswer,
    HttpClient,
    StreamedAnswer,
)
from daisyhub.connections._connection import RequestFailedError

__all__ = [
    "HttpAnswer",
    "HttpClient",
    "RequestFailedError",
    "StreamedAnswer",
]
