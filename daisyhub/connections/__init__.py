"""HTTP connections to endpoints and to the platform."""

from daisyhub.connections._client import (
    AnswerStream,
    HttpAnswer,
    HttpClient,
    StreamedAnswer,
)
from daisyhub.connections._connection import RequestFailedError

__all__ = [
    "AnswerStream",
    "HttpAnswer",
    "HttpClient",
    "RequestFailedError",
    "StreamedAnswer",
]
