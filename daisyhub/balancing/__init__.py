"""Endpoint state and load balancing.

`EndpointTable` and a balancer serve `daisyhub.daemon`, whose daemons send to
endpoints of their own failure domain. `EndpointDirectory` serves
`daisyhub.platform`, whose daemons send to endpoints of all failure domains.
"""

from daisyhub.balancing._balancers import (
    LeastLoaded,
    RoundRobin,
)
from daisyhub.balancing._directory import EndpointDirectory
from daisyhub.balancing._endpoint import Endpoint, EndpointEntry
from daisyhub.balancing._endpoint_table import (
    DRAIN_PREFIX,
    DrainOrder,
    EndpointState,
    EndpointTable,
    EndpointUpdate,
)
from daisyhub.balancing._leaving import (
    EndpointProcess,
    LeavingMark,
    digest_marks,
)

__all__ = [
    "DRAIN_PREFIX",
    "DrainOrder",
    "Endpoint",
    "EndpointDirectory",
    "EndpointEntry",
    "EndpointProcess",
    "EndpointState",
    "EndpointTable",
    "EndpointUpdate",
    "LeastLoaded",
    "LeavingMark",
    "RoundRobin",
    "digest_marks",
]
