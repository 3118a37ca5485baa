"""Counts usage of served requests."""

from daisyhub.accounting import UsageCounters
from daisyhub.base import Filter, Handler
from daisyhub.clocks import wall_time_s
from daisyhub.messages import Request, Response

__all__ = ["AccountFilter"]


class AccountFilter(Filter):
    """Counts each whole answer for the account of its key."""

    name = "account"

    def __init__(self, counters: UsageCounters):
        self._counters = counters

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Counts after the answer; a refusal isn't counted."""
        resp = await call_next(req)
        if req.account:
            self._counters.add(req.account, resp.tokens, wall_time_s())
        return resp
