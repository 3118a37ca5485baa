"""Refuses requests of adaptive pools that can't be served in time."""

import time
from collections.abc import Callable, Iterable

from daisyhub.balancing import Endpoint, EndpointDirectory
from daisyhub.cluster import LoadNews
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway._send_task import SendTask
from daisyhub.gateway._wait_core import EndpointFigures, RequestAdmissionCore
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics

__all__ = ["RequestAdmission"]

# Age in seconds up to which stated loads are passed on; older ones would hardly
# be valid when they arrive.
_MAX_PASSED_AGE_S = 0.8
# Maximum number of endpoints without a free slot in a ping.
_MAX_PASSED_LOADS = 16


class RequestAdmission:
    """Passes the state of a route's endpoints to the core.

    Args:
        directory: Known endpoints, their loads and latencies.
        is_adaptive: Whether a pool is adaptive; see `AdaptivePools`.
        metrics: Counts refusals.
        log: Receives a line for each refusal.
        limit: Returns the measured limit of an endpoint at a time; None if it
            isn't measured.
        clock: Returns the monotonic time.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        is_adaptive: Callable[[str], bool],
        metrics: Metrics,
        log: DecisionLog,
        limit: Callable[[str, float], float | None] = lambda *_: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._directory = directory
        self._is_adaptive = is_adaptive
        self._metrics = metrics
        self._log = log
        self._limit = limit
        self._clock = clock
        self._core = RequestAdmissionCore()
        # What endpoints stated to peers, and when on this daemon's clock.
        self._passed_on: dict[str, tuple[LoadNews, float]] = {}

    def loads_for_ping(self) -> tuple[LoadNews, ...]:
        """Returns the full endpoints of adaptive pools that stated it here."""
        now_s = self._clock()
        found = [
            LoadNews(
                endpoint_id=endpoint.entry.endpoint_id,
                incarnation=endpoint.entry.incarnation,
                load=endpoint.reported_load,
                pace=endpoint.current_pace(now_s),
                age_s=now_s - endpoint.load_reported_at_s,
            )
            for endpoint in self._directory.all()
            if endpoint.reported_load >= endpoint.entry.slots
            and now_s - endpoint.load_reported_at_s <= _MAX_PASSED_AGE_S
            and self._is_adaptive(endpoint.entry.pool)
        ]
        found.sort(key=lambda news: news.age_s)
        return tuple(found[:_MAX_PASSED_LOADS])

    def record_loads(self, loads: Iterable[LoadNews]) -> None:
        """Records what endpoints stated to a peer; only listed processes."""
        now_s = self._clock()
        for news in loads:
            stated_at_s = now_s - max(0.0, news.age_s)
            known = self._passed_on.get(news.endpoint_id)
            if known is None or stated_at_s > known[1]:
                self._passed_on[news.endpoint_id] = (news, stated_at_s)
        for endpoint_id, (news, _) in list(self._passed_on.items()):
            endpoint = self._directory.get(endpoint_id)
            if (
                endpoint is None
                or endpoint.entry.incarnation != news.incarnation
            ):
                del self._passed_on[endpoint_id]

    def check(self, task: SendTask, digest: bytes) -> None:
        """Refuses a request for which no endpoint has room in time.

        Streams, and requests for which no caller waits, are passed.

        Args:
            task: The request, of which nothing was sent yet.
            digest: Digest of its content.

        Raises:
            Refusal: It can't be started before its caller leaves.
        """
        pools = [s.pool for s in task.route.shares if s.weight > 0]
        if task.is_streamed or task.is_background:
            return
        if not pools or not all(map(self._is_adaptive, pools)):
            return
        now_s = self._clock()
        endpoints = [
            self._figures(endpoint, now_s)
            for endpoint in self._directory.in_pools(pools)
        ]
        usual_s = self._directory.unloaded_latency_s(task.route.name)
        refused = self._core.decide(
            (task.account, digest),
            endpoints,
            usual_s,
            task.deadline_s - now_s,
            now_s,
        )
        if refused is None:
            return
        self._metrics.count("requests_refused_in_advance", pool=pools[0])
        self._log.record(
            "request_refused",
            id=task.request_id,
            route=task.route.name,
            account=task.account,
            pools=pools,
            wait_s=round(refused.wait_s, 3),
            remaining_s=round(refused.remaining_s, 3),
            usual_s=round(usual_s, 4),
            retry_after_s=round(refused.retry_after_s, 3),
            was_refused=refused.was_refused,
            endpoints=[
                f"{e.endpoint_id} {e.load}/{e.slots} limit {e.limit:.1f}"
                f" pace {e.pace:.2f} age {e.age_s:.2f}"
                for e in endpoints
            ],
        )
        raise Refusal(
            ErrorCode.OVERLOADED,
            f"each endpoint has room in {refused.wait_s:.2f} s at the earliest",
            ran=ExecutionStatus.NOT_RUN,
            retry_after_s=refused.retry_after_s,
        )

    def _figures(self, endpoint: Endpoint, now_s: float) -> EndpointFigures:
        entry = endpoint.entry
        slots = max(1, entry.slots)
        limit = self._limit(entry.endpoint_id, now_s)
        load, pace = endpoint.load(now_s), endpoint.current_pace(now_s)
        stated_at_s = endpoint.load_reported_at_s
        news, passed_on_at_s = self._passed_on.get(
            entry.endpoint_id, (None, stated_at_s)
        )
        if passed_on_at_s > stated_at_s:
            load = max(len(endpoint.open_requests), news.load)
            pace, stated_at_s = news.pace, passed_on_at_s
        return EndpointFigures(
            endpoint_id=entry.endpoint_id,
            load=load,
            slots=slots,
            limit=slots if limit is None else limit,
            pace=pace,
            age_s=now_s - stated_at_s,
        )
