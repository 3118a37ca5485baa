"""Endpoint state and load balancing."""

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
    "DRAIN_PREFIX",
    "DrainOrder",
    "Endpoint",
    "EndpointDirectory",
    "EndpointEntry",
    "EndpointState",
    "EndpointTable",
    "EndpointUpdate",
    "LeastLoaded",
    "RoundRobin",
]
