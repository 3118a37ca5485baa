"""Combines filters into one request handler."""

import functools
from collections.abc import Sequence

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.messages import Request, Response

__all__ = ["build_chain"]


async def _end_of_chain(req: Request) -> Response:
    raise Refusal(
        ErrorCode.ROUTE_UNKNOWN,
        f"no filter handles {req.path}",
        ran=ExecutionStatus.NOT_RUN,
    )


def build_chain(filters: Sequence[Filter]) -> Handler:
    """Returns a handler that passes each request through all filters in order.

    A request that no filter answers is refused with `ROUTE_UNKNOWN`.
    """
    handler = _end_of_chain
    for request_filter in reversed(filters):
        handler = functools.partial(request_filter.handle, call_next=handler)
    return handler
