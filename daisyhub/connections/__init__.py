"""HTTP connections to endpoints and to the platform."""

from daisyhub.connections._client import HttpClient
from daisyhub.connections._connection import (
    RequestFailedError,
    RequestWithdrawnError,
)
from daisyhub.connections._response import (
    HttpResponse,
    ResponseStream,
    StreamedResponse,
)

__all__ = [
    "HttpClient",
    "HttpResponse",
    "RequestFailedError",
    "RequestWithdrawnError",
    "ResponseStream",
    "StreamedResponse",
]
