"""Measures what callers get, by route, account class and account."""

import dataclasses
import time
from collections.abc import Callable

from daisyhub.base import Filter, Handler
from daisyhub.config import ClientAccount, Document
from daisyhub.exceptions import Refusal
from daisyhub.filters._stream_end import StreamEnd
from daisyhub.messages import Request, Response
from daisyhub.metrics import Metrics

__all__ = ["MeasureFilter"]

_LOTS_ROUTE = "/v1/lots"
_OPEN = "open"
_SMALL = "small"
_LARGE = "large"


class MeasureFilter(Filter):
    """Records latency, refusals and service; changes nothing.

    It stands behind the filters that find the account and the route. An
    account of weight 1 is of the class `small`, others are `large`.

    Args:
        metrics: Where to record.
        get_document: Returns the document in force.
    """

    name = "measure"

    def __init__(self, metrics: Metrics, get_document: Callable[[], Document]):
        self._metrics = metrics
        self._get_document = get_document

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Records how the request ended; a stream at its end."""
        try:
            resp = await call_next(req)
        except Refusal as exc:
            self._record_refusal(req, exc)
            raise
        if resp.stream is None:
            self._record_answer(req, resp)
            return resp

        def on_end(is_whole: bool) -> None:
            if is_whole:
                self._record_answer(req, resp)

        stream = StreamEnd(resp.stream, on_end)
        return dataclasses.replace(resp, stream=stream)

    def _class_of(self, req: Request) -> str:
        if not req.account:
            return _OPEN
        accounts = self._get_document().client_accounts
        account = accounts.get(req.account, ClientAccount())
        return _LARGE if account.weight > 1 else _SMALL

    def _record_refusal(self, req: Request, exc: Refusal) -> None:
        route = _route_label(req)
        self._metrics.count("route_refusals", route=route, code=exc.code)
        self._metrics.accounts.add_refused(req.account, time.monotonic())

    def _record_answer(self, req: Request, resp: Response) -> None:
        now_s = time.monotonic()
        took_s = now_s - req.started_s
        self._metrics.observe_s(
            "route_latency",
            took_s,
            route=_route_label(req),
            account_class=self._class_of(req),
        )
        if req.route is None:
            # A pull waits for samples; its time tells nothing of service.
            return
        self._metrics.count("served", pool=req.route.pool)
        self._metrics.count("served_tokens", resp.tokens, pool=req.route.pool)
        self._metrics.accounts.add_served(req.account, took_s, now_s)


def _route_label(req: Request) -> str:
    if req.route is None:
        return _LOTS_ROUTE
    return req.route.host + req.route.path_prefix
