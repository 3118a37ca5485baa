"""Counts the usage of client accounts."""

import dataclasses

from daisyhub.accounting import UsageCounters
from daisyhub.base import Filter, Handler
from daisyhub.clocks import wall_time_s
from daisyhub.filters._observed_stream import ObservedStream
from daisyhub.messages import Request, Response

__all__ = ["AccountFilter"]


class AccountFilter(Filter):
    """Counts each complete response for the account of the request.

    Args:
        counters: Usage counters of this daemon.
    """

    name = "account"

    def __init__(self, counters: UsageCounters):
        self._counters = counters

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Counts the response, a stream once it is complete.

        Refusals, incomplete streams and requests without an account are not
        counted.
        """
        resp = await call_next(req)
        if not req.account:
            return resp
        if resp.stream is None:
            self._count(req, resp)
            return resp

        def on_end(is_complete: bool) -> None:
            if is_complete:
                self._count(req, resp)

        stream = ObservedStream(resp.stream, on_end)
        return dataclasses.replace(resp, stream=stream)

    def _count(self, req: Request, resp: Response) -> None:
        self._counters.add(req.account, resp.tokens, wall_time_s())
