"""Request flow from callers to endpoints on the users' platform."""

from daisyhub.gateway._app import GatewayApp
from daisyhub.gateway._body_filter import BodyFilter
from daisyhub.gateway._head_recorder import HeadRecorder
from daisyhub.gateway._key_filter import KeyFilter
from daisyhub.gateway._relay_server import RelayHandler, RelayWire
from daisyhub.gateway._relays import PeerRelays
from daisyhub.gateway._request_admission import RequestAdmission
from daisyhub.gateway._route_filter import FindRouteFilter
from daisyhub.gateway._send_filter import SendFilter
from daisyhub.gateway._send_task import SendTask
from daisyhub.gateway._sender import Sender
from daisyhub.gateway._shutdown_filter import ShutdownFilter
from daisyhub.gateway._wire import (
    CallerWire,
    EndpointRequest,
    EndpointResponseHead,
    EndpointWire,
)

__all__ = [
    "BodyFilter",
    "CallerWire",
    "EndpointResponseHead",
    "EndpointWire",
    "FindRouteFilter",
    "GatewayApp",
    "HeadRecorder",
    "KeyFilter",
    "PeerRelays",
    "RequestAdmission",
    "RelayHandler",
    "RelayWire",
    "SendFilter",
    "SendTask",
    "Sender",
    "ShutdownFilter",
    "EndpointRequest",
]
