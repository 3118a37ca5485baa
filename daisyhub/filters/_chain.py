"""Builds one handler out of filters."""

import functools
from collections.abc import Sequence

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.messages import Request, Response

__all__ = ["build_chain"]


async def _end_of_chain(req: Request) -> Response:
    raise Refusal(ErrorCode.ROUTE_UNKNOWN, f"nothing serves {req.path}")


def build_chain(filters: Sequence[Filter]) -> Handler:
    """Returns a handler that passes a request through all filters in order."""
    handler = _end_of_chain
    for step in reversed(filters):
        handler = functools.partial(step.handle, call_next=handler)
    return handler
