"""HTTP connections to endpoints and to the platform."""

from daisyhub.connections._client import (
    HttpClient,
    HttpResponse,
    ResponseStream,
    StreamedResponse,
)
from daisyhub.connections._connection import (
    RequestFailedError,
    RequestWithdrawnError,
)

__all__ = [
    "HttpClient",
    "HttpResponse",
    "RequestFailedError",
    "RequestWithdrawnError",
    "ResponseStream",
    "StreamedResponse",
]
