"""Measures latency and refusals by route, account class and account."""

import dataclasses
import time
from collections.abc import Callable

from daisyhub.base import Filter, Handler
from daisyhub.config import ClientAccount, Document
from daisyhub.exceptions import Refusal
from daisyhub.filters._observed_stream import ObservedStream
from daisyhub.messages import Request, Response
from daisyhub.metrics import Metrics

__all__ = ["MeasureFilter"]

_LOTS_ROUTE = "/v1/lots"  # Label of lot calls, which have no route.
_OPEN = "open"
_SMALL = "small"
_LARGE = "large"


class MeasureFilter(Filter):
    """Records metrics and passes request and response on unchanged.

    It must follow the filters that set the account and the route. The account
    class is `small` for accounts of weight 1, `large` for heavier accounts,
    and `open` for requests without an account.

    Args:
        metrics: The metrics to record to.
        get_document: Returns the active configuration document.
    """

    name = "measure"

    def __init__(self, metrics: Metrics, get_document: Callable[[], Document]):
        self._metrics = metrics
        self._get_document = get_document

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Records the response or refusal, a stream once it is complete.

        Incomplete streams are not recorded.
        """
        try:
            resp = await call_next(req)
        except Refusal as exc:
            self._record_refusal(req, exc)
            raise
        if resp.stream is None:
            self._record_response(req, resp)
            return resp

        def on_end(is_complete: bool) -> None:
            if is_complete:
                self._record_response(req, resp)

        stream = ObservedStream(resp.stream, on_end)
        return dataclasses.replace(resp, stream=stream)

    def _account_class(self, req: Request) -> str:
        if not req.account:
            return _OPEN
        accounts = self._get_document().client_accounts
        account = accounts.get(req.account, ClientAccount())
        return _LARGE if account.weight > 1 else _SMALL

    def _record_refusal(self, req: Request, exc: Refusal) -> None:
        route = _route_label(req)
        self._metrics.count("route_refusals", route=route, code=exc.code)
        self._metrics.accounts.record_refused(req.account, time.monotonic())

    def _record_response(self, req: Request, resp: Response) -> None:
        now_s = time.monotonic()
        elapsed_s = now_s - req.started_s
        self._metrics.observe_s(
            "route_latency",
            elapsed_s,
            route=_route_label(req),
            account_class=self._account_class(req),
        )
        if req.route is None:
            # A pull waits for samples, so its duration is not service time.
            return
        self._metrics.count("served", pool=req.route.pool)
        self._metrics.count("served_tokens", resp.tokens, pool=req.route.pool)
        self._metrics.accounts.record_served(req.account, elapsed_s, now_s)


def _route_label(req: Request) -> str:
    if req.route is None:
        return _LOTS_ROUTE
    return req.route.host + req.route.path_prefix
