"""Endpoints: what is known of them, and which one gets a request."""

from daisyhub.balancing._balancers import (
    LeastLoaded,
    RoundRobin,
)
from daisyhub.balancing._directory import (
    Endpoint,
    EndpointDirectory,
    EndpointEntry,
)
from daisyhub.balancing._endpoint_table import (
    DRAIN_PREFIX,
    DrainOrder,
    EndpointState,
    EndpointTable,
    EndpointUpdate,
)

__all__ = [
    "Endpoint",
    "EndpointDirectory",
    "EndpointEntry",
    "DRAIN_PREFIX",
    "DrainOrder",
    "EndpointUpdate",
    "EndpointState",
    "EndpointTable",
    "LeastLoaded",
    "RoundRobin",
]
