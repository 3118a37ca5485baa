"""HTTP servers and ASGI applications for callers and operators."""

from daisyhub.serving._callers_app import CallersApp, OpenStreams
from daisyhub.serving._connection_table import (
    ConnectionTable,
    EvictableConnection,
)
from daisyhub.serving._limits import (
    ConnectionLimits,
    ListenerLimits,
    count_links,
    count_sockets,
)
from daisyhub.serving._operators_app import OperatorsApp
from daisyhub.serving._protocol import LEASE
from daisyhub.serving._request_body import RequestBody
from daisyhub.serving._server import HttpServer

__all__ = [
    "LEASE",
    "CallersApp",
    "ConnectionLimits",
    "ConnectionTable",
    "EvictableConnection",
    "HttpServer",
    "ListenerLimits",
    "OpenStreams",
    "OperatorsApp",
    "RequestBody",
    "count_links",
    "count_sockets",
]
