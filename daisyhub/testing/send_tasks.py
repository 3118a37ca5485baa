"""Routes and requests for tests of what is sent to endpoints."""

import time

from daisyhub.catalog import PoolShare, Route, RouteKind
from daisyhub.gateway import SendTask

__all__ = ["make_route", "make_send_task"]


def make_route(kind: RouteKind = RouteKind.SAFE, max_attempts: int = 2):
    """Returns a route to the pool `p`."""
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        shares=(PoolShare("p", 1.0),),
        timeout_s=60.0,
        target_latency_s=5.0,
        max_attempts=max_attempts,
    )


def make_send_task(
    kind: RouteKind = RouteKind.SAFE,
    max_attempts: int = 2,
    deadline_in_s: float = 5.0,
    **fields,
) -> SendTask:
    """Returns a request on such a route.

    Args:
        kind: Kind of the route; a streaming one makes the request streamed.
        max_attempts: Maximum number of endpoints that it may reach.
        deadline_in_s: Seconds from now until its deadline.
        **fields: Further fields of the task.
    """
    return SendTask(
        request_id="q",
        route=make_route(kind, max_attempts),
        method="POST",
        target="/x",
        host="h",
        body=b"b",
        deadline_s=time.monotonic() + deadline_in_s,
        is_streamed=kind is RouteKind.STREAMING,
        **fields,
    )
