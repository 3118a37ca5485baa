"""Serves trainer calls on lots."""

import math
import re
from collections.abc import Awaitable, Callable

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.messages import Request, Response
from daisyhub.peers import LotCallRequest, LotCallResponse

__all__ = ["LotsFilter"]

_LOT_PATH = re.compile(
    r"/v1/lots/([A-Za-z0-9][A-Za-z0-9._-]{0,127})(?:/(pull|ack|close))?"
)
_JSON = (b"content-type", b"application/json")


class LotsFilter(Filter):
    """Converts `POST /v1/lots/...` requests to lot calls and serves them.

    Args:
        serve: Serves the call locally or at the daemon that holds the lot.
    """

    name = "lots"

    def __init__(
        self, serve: Callable[[LotCallRequest], Awaitable[LotCallResponse]]
    ):
        self._serve = serve

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Serves a lot call; passes requests that have a route on.

        Raises:
            Refusal: The path is not that of a lot call, or the method is not
                POST.
        """
        if req.route is not None:
            return await call_next(req)
        match = _LOT_PATH.fullmatch(req.path)
        if match is None:
            raise Refusal(
                ErrorCode.ROUTE_UNKNOWN,
                "the path is not that of a lot call",
                ran=ExecutionStatus.NOT_RUN,
            )
        if req.method != "POST":
            raise Refusal(
                ErrorCode.METHOD_NOT_ALLOWED,
                "lot calls allow only POST",
                ran=ExecutionStatus.NOT_RUN,
            )
        call = LotCallRequest(
            lot_id=match.group(1),
            verb=match.group(2) or "open",
            account=req.account,
            body=req.body,
        )
        response = await self._serve(call)
        headers = [_JSON]
        if response.retry_after_s is not None:
            seconds = max(1, math.ceil(response.retry_after_s))
            headers.append((b"retry-after", str(seconds).encode()))
        return Response(
            status=response.status, headers=tuple(headers), body=response.body
        )
