"""Connects the decisions about overload with the daemon's other parts."""

import itertools
import time
from collections.abc import Callable

from daisyhub.balancing import AdaptivePools, EndpointDirectory
from daisyhub.cluster import (
    BacklogNews,
    BacklogTable,
    Ping,
    PoolBacklog,
)
from daisyhub.gateway import RequestAdmission
from daisyhub.logs import DecisionLog
from daisyhub.lots import LotAdmission, LotHolder, LotStore
from daisyhub.metrics import Metrics

__all__ = ["AdmissionParts"]


class AdmissionParts:
    """Refusal of requests and lots of adaptive pools that come too late.

    Args:
        duty: Name of the duty for lots.
        directory: Known endpoints.
        pools: The adaptive pools.
        metrics: Counts refusals.
        log: Log of refusals.
        limit: Returns the measured limit of an endpoint at a time; None if it
            isn't measured.

    Attributes:
        requests: Decides about requests.
    """

    def __init__(
        self,
        duty: str,
        directory: EndpointDirectory,
        pools: AdaptivePools,
        metrics: Metrics,
        log: DecisionLog,
        limit: Callable[[str, float], float | None] = lambda *_: None,
    ):
        self._duty = duty
        self._pools = pools
        self._metrics = metrics
        self._log = log
        self._table = BacklogTable()
        self._numbers = itertools.count(1)
        self.requests = RequestAdmission(
            directory, pools.is_adaptive, metrics, log, limit
        )

    def make_lot_admission(self, lots: LotStore) -> LotAdmission:
        """Returns what decides about lots."""
        return LotAdmission(lots, self._find, self._metrics, self._log)

    def _find(self, pool: str, now_s: float) -> PoolBacklog | None:
        if not self._pools.is_adaptive(pool):
            return None
        return self._table.find(pool, now_s)

    def news_for_ping(self, holder: LotHolder) -> BacklogNews | None:
        """Returns the newest figures, computed here while lots run here.

        None without current ones, or without adaptive pools.
        """
        if not self._pools.has_any():
            return None
        now_s = time.monotonic()
        if holder.term:
            own = BacklogNews(
                fencing=holder.term,
                number=next(self._numbers),
                age_s=0.0,
                pools=holder.backlogs(),
            )
            self._table.record(own, now_s)
        return self._table.news(now_s)

    def receive(self, _, message: object) -> None:
        """Records what a peer's ping says of adaptive pools and holders."""
        if not isinstance(message, Ping):
            return
        self._pools.add_stated(message.adaptive_pools)
        self._table.record_holder(message.duties.get(self._duty, 0))
        for news in message.holders:
            if news.duty == self._duty:
                self._table.record_holder(news.fencing)
        self.requests.record_loads(message.loads)
        if message.backlog is not None:
            self._table.record(message.backlog, time.monotonic())
