"""Counts usage of served requests."""

import dataclasses

from daisyhub.accounting import UsageCounters
from daisyhub.base import Filter, Handler
from daisyhub.clocks import wall_time_s
from daisyhub.filters._stream_end import StreamEnd
from daisyhub.messages import Request, Response

__all__ = ["AccountFilter"]


class AccountFilter(Filter):
    """Counts each whole answer for the account of its key."""

    name = "account"

    def __init__(self, counters: UsageCounters):
        self._counters = counters

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Counts after the answer, a stream at its end; no refusal."""
        resp = await call_next(req)
        if not req.account:
            return resp
        if resp.stream is None:
            self._count(req, resp)
            return resp

        def on_end(is_whole: bool) -> None:
            if is_whole:
                self._count(req, resp)

        stream = StreamEnd(resp.stream, on_end)
        return dataclasses.replace(resp, stream=stream)

    def _count(self, req: Request, resp: Response) -> None:
        self._counters.add(req.account, resp.tokens, wall_time_s())
