"""HTTP connections to endpoints and to the platform."""

from daisyhub.connections._client import (
    AnswerStream,
    HttpClient,
    HttpResponse,
    StreamedResponse,
)
from daisyhub.connections._connection import RequestFailedError

__all__ = [
    "AnswerStream",
    "HttpResponse",
    "HttpClient",
    "RequestFailedError",
    "StreamedResponse",
]
