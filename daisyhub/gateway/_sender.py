"""Sends one request to endpoints as the forward core decides."""

import dataclasses
import random
import time

import anyio

from daisyhub.balancing import EndpointDirectory
from daisyhub.catalog import Route
from daisyhub.connections import (
    HttpClient,
    HttpResponse,
    RequestFailedError,
    ResponseStream,
    StreamedResponse,
)
from daisyhub.exceptions import ErrorCode, Ran, Refusal
from daisyhub.filters import (
    AttemptCompleted,
    AttemptFailed,
    AttemptOutcome,
    FailRequest,
    ForwardCore,
    ForwardPlan,
    RetryBudget,
    StartAttempt,
    run_attempts,
)
from daisyhub.gateway._wire import (
    EndpointRequest,
    EndpointResponseHead,
    EndpointWire,
)
from daisyhub.logs import DecisionLog
from daisyhub.messages import Header, Response
from daisyhub.metrics import Metrics

__all__ = ["SendTask", "Sender"]

# The time of an answer that a hedge must leave before the target, in usual
# latencies: the 99th percentile of a log-normal with spread 0.5 is 3.2 medians.
_HEDGE_LEAVES = 2.5
# Usual latencies before which no hedge is sent: about one answer in ten is
# later, and more hedges would add load where it is already high.
_HEDGE_LEAST = 1.9
# Seconds by which an endpoint's deadline is before the caller's: an answer's
# way back with a margin for a busy daemon.
_ENDPOINT_MARGIN_S = 0.03
# Usual latencies until an endpoint that refused has a free place again.
_RETRY_AFTER_FACTOR = 2.0
_LEAST_RETRY_AFTER_S = 0.05
# Answers from this status on tell nothing of the time that answers take.
_FIRST_FAULT_STATUS = 500
_DETAILS = {
    ErrorCode.DEADLINE_EXCEEDED: "the deadline passed before it was sent",
    ErrorCode.NO_ENDPOINT: "no endpoint of the route is known",
    ErrorCode.OVERLOADED: "no endpoint of the route has a free place",
    ErrorCode.ENDPOINT_FAILED: "the endpoint failed",
    ErrorCode.ENDPOINT_TIMEOUT: "the endpoint did not answer in time",
    ErrorCode.ANSWER_INCOMPLETE: "the endpoint's answer was not whole",
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendTask:
    """A request that is to reach an endpoint.

    Attributes:
        request_id: The caller's id of this attempt.
        route: Its route.
        method: HTTP method.
        target: Path and query, as sent.
        host: Host name that the caller sent.
        headers: The caller's headers.
        body: The whole body.
        account: Client account; empty if none is to be named.
        deadline_s: Monotonic time at which the answer must be there.
        is_streamed: Whether the answer is passed on as it comes.
    """

    request_id: str
    route: Route
    method: str
    target: str
    host: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    account: str = ""
    deadline_s: float
    is_streamed: bool = False


@dataclasses.dataclass(slots=True)
class _Way:
    """The way of one request.

    Attributes:
        task: The request.
        trace: A line for each ended attempt, for the log.
        tried: Endpoints that it was sent to.
    """

    task: SendTask
    trace: list[str] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)

    def needs_fresh(self, endpoint_id: str) -> bool:
        """Whether only a new connection will do; notes the attempt.

        What may run once must not meet a connection that was closed, and a
        second attempt must not meet the silence of the first.
        """
        is_again = endpoint_id in self.tried
        self.tried.add(endpoint_id)
        return is_again or not self.task.route.idempotent


class Sender:
    """Sends requests and learns from their answers.

    Args:
        directory: Endpoints.
        http: Sends over kept connections.
        wire: How endpoints are spoken to.
        metrics: Counts attempts.
        log: Where the way of each request is noted.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        http: HttpClient,
        wire: EndpointWire,
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._directory = directory
        self._http = http
        self._wire = wire
        self._metrics = metrics
        self._log = log
        self._budget = RetryBudget()

    async def send(self, task: SendTask) -> Response:
        """Returns an endpoint's whole answer, or the head of a stream.

        Raises:
            Refusal: No endpoint gave one; it tells whether the request ran.
        """
        started_s = time.monotonic()
        pools = _choose_pools(task.route)
        usual_s = self._directory.median_latency_s(task.route.name)
        plan = ForwardPlan(
            idempotent=task.route.idempotent,
            deadline_s=task.deadline_s,
            hedge_after_s=_hedge_after_s(task, usual_s),
            max_attempts=task.route.max_attempts,
        )

        def choose(excluded: frozenset[str]) -> str | None:
            return self._directory.choose(pools, excluded, time.monotonic())

        core = ForwardCore(plan, choose, self._budget)
        way = _Way(task)
        outcome = await run_attempts(
            core, lambda action: self._attempt(way, action)
        )
        is_refused = isinstance(outcome, FailRequest)
        self._log.note(
            "sent",
            id=task.request_id,
            route=task.route.name,
            account=task.account,
            pools=pools,
            usual_s=round(usual_s, 4),
            hedge_after_s=round(plan.hedge_after_s, 3),
            attempts=way.trace,
            outcome=outcome.error.label if is_refused else "answered",
            took_s=round(time.monotonic() - started_s, 4),
        )
        if is_refused:
            raise _refusal(outcome, usual_s)
        return _response(outcome.answer)

    async def _attempt(
        self, way: "_Way", action: StartAttempt
    ) -> AttemptOutcome:
        """Sends the request to one endpoint and takes its news."""
        endpoint = self._directory.get(action.endpoint_id)
        if endpoint is None:
            return _failed(action, Ran.NOT_RUN)
        sent_s = time.monotonic()
        endpoint_id = action.endpoint_id
        load = endpoint.load(sent_s)
        token = self._directory.record_sent(
            endpoint_id, way.task.route.name, sent_s
        )
        self._metrics.count("attempts", pool=endpoint.entry.pool)
        verdict = "cancelled"
        try:
            fresh = way.needs_fresh(endpoint_id)
            answer = await self._exchange(way.task, endpoint.entry, fresh)
            verdict = f"status {answer.status}"
        except RequestFailedError as exc:
            verdict = str(exc)
            self._directory.record_failed(endpoint_id, token, time.monotonic())
            return _failed(
                action,
                exc.ran,
                timed_out=exc.timed_out,
                incomplete=exc.ran is Ran.RAN,
                was_sent=exc.ran is not Ran.NOT_RUN,
            )
        except anyio.get_cancelled_exc_class():
            now_s = time.monotonic()
            self._directory.record_abandoned(endpoint_id, token, now_s)
            raise
        finally:
            took_s = time.monotonic() - sent_s
            way.trace.append(
                f"{endpoint_id} load {load}: {verdict} after {took_s:.3f} s"
            )
        return await self._judge(action, token, answer)

    async def _exchange(self, task: SendTask, entry, fresh: bool):
        remaining_s = max(0.0, task.deadline_s - time.monotonic())
        headers = self._wire.request_headers(
            EndpointRequest(
                request_id=task.request_id,
                host=task.host,
                endpoint_id=entry.endpoint_id,
                account=task.account,
                remaining_s=_endpoint_left_s(remaining_s),
                headers=task.headers,
            )
        )
        call = self._http.open if task.is_streamed else self._http.request
        return await call(
            task.method,
            entry.address,
            task.target,
            headers=headers,
            body=task.body,
            timeout_s=remaining_s,
            fresh=fresh,
        )

    async def _judge(
        self,
        action: StartAttempt,
        token: int,
        answer: HttpResponse | StreamedResponse,
    ) -> AttemptOutcome:
        now_s = time.monotonic()
        endpoint_id = action.endpoint_id
        read = self._wire.read_response_head(answer.status, answer.headers)
        self._learn(endpoint_id, read, now_s)
        if not read.is_not_run:
            if answer.status < _FIRST_FAULT_STATUS:
                self._directory.record_answered(endpoint_id, token, now_s)
            else:
                self._directory.record_closed(endpoint_id, token)
            return AttemptOutcome(AttemptCompleted(action.attempt), answer)
        if isinstance(answer, StreamedResponse):
            await answer.drain()
        if read.is_misdirected:
            self._directory.record_failed(endpoint_id, token, now_s)
        else:
            self._directory.record_closed(endpoint_id, token)
        return _failed(action, Ran.NOT_RUN)

    def _learn(
        self, endpoint_id: str, read: EndpointResponseHead, now_s: float
    ) -> None:
        if read.load is not None:
            self._directory.record_load(endpoint_id, read.load, now_s)


def _choose_pools(route: Route) -> tuple[str, ...]:
    """Returns the pool that serves this request, by the shares' weights."""
    if len(route.shares) == 1:
        return (route.shares[0].pool,)
    weights = [share.weight for share in route.shares]
    chosen = random.choices(route.shares, weights)[0]
    return (chosen.pool,)


def _hedge_after_s(task: SendTask, usual_s: float) -> float:
    """Returns when to send a second attempt, so that it meets the target."""
    if task.is_streamed or not task.route.idempotent:
        return 0.0
    latest_s = task.route.target_latency_s - _HEDGE_LEAVES * usual_s
    return max(latest_s, _HEDGE_LEAST * usual_s)


def _endpoint_left_s(remaining_s: float) -> float:
    """Returns the time for the endpoint: its own answer must come in time.

    An endpoint answers at its deadline; if that answer is still read, its
    connection can be kept.
    """
    return remaining_s - min(_ENDPOINT_MARGIN_S, remaining_s / 4)


def _failed(
    action: StartAttempt,
    ran: Ran,
    *,
    timed_out: bool = False,
    incomplete: bool = False,
    was_sent: bool = True,
) -> AttemptOutcome:
    return AttemptOutcome(
        AttemptFailed(
            attempt=action.attempt,
            ran=ran,
            timed_out=timed_out,
            incomplete=incomplete,
            was_sent=was_sent,
        )
    )


def _refusal(action: FailRequest, usual_s: float) -> Refusal:
    """Says that it did not run where that is certain."""
    error = action.error
    if action.ran is Ran.NOT_RUN:
        is_unserved = error is not ErrorCode.NO_ENDPOINT
        error = ErrorCode.OVERLOADED if is_unserved else error
    retry_after_s = None
    if action.ran is Ran.NOT_RUN:
        retry_after_s = max(_LEAST_RETRY_AFTER_S, _RETRY_AFTER_FACTOR * usual_s)
    return Refusal(
        error, _DETAILS[error], ran=action.ran, retry_after_s=retry_after_s
    )


def _response(answer: HttpResponse | StreamedResponse) -> Response:
    if isinstance(answer, StreamedResponse):
        return Response(
            status=answer.status,
            headers=answer.headers,
            stream=ResponseStream(answer),
        )
    return Response(
        status=answer.status, headers=answer.headers, body=answer.body
    )
