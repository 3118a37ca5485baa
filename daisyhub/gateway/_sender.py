"""Sends requests to endpoints; the forward core decides on attempts."""

import dataclasses
import random
import time

import anyio

from daisyhub.balancing import Endpoint, EndpointDirectory, EndpointEntry
from daisyhub.catalog import Route
from daisyhub.connections import (
    HttpClient,
    HttpResponse,
    RequestFailedError,
    RequestWithdrawnError,
    ResponseStream,
    StreamedResponse,
)
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
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

# A hedge is sent this many median latencies before the target latency, so that
# its response can meet the target. For comparison: the 99th percentile of a
# log-normal distribution with a sigma of 0.5 is 3.2 medians.
_HEDGE_LEAD_FACTOR = 2.5
# No hedge is sent before this many median latencies. About one response in ten
# takes longer; more hedges would add load where it is already high.
_MIN_HEDGE_DELAY_FACTOR = 1.9
# The endpoint's deadline is this much before the caller's, for the transfer of
# the response and a margin for a busy daemon.
_ENDPOINT_MARGIN_S = 0.03
# Delay in `Retry-After`, in median latencies: the expected time until an
# endpoint that refused has free capacity again.
_RETRY_AFTER_FACTOR = 2.0
_MIN_RETRY_AFTER_S = 0.05
# Responses with this status or a higher one give no latency sample.
_MIN_SERVER_ERROR_STATUS = 500
_DETAILS = {
    ErrorCode.DEADLINE_EXCEEDED: (
        "the deadline passed before the request was sent"
    ),
    ErrorCode.NO_ENDPOINT: "no endpoint of the route accepts requests",
    ErrorCode.OVERLOADED: "no endpoint of the route has free capacity",
    ErrorCode.ENDPOINT_FAILED: "the endpoint failed",
    ErrorCode.ENDPOINT_TIMEOUT: "the endpoint did not respond in time",
    ErrorCode.ANSWER_INCOMPLETE: "the endpoint's response was incomplete",
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendTask:
    """A request to send to an endpoint of its route.

    Attributes:
        request_id: Id that the caller sent, or id of a reward call.
        route: Route of the request.
        method: HTTP method.
        target: Path and query, sent unchanged.
        host: Value of the `Host` header.
        headers: The caller's headers.
        body: The complete body.
        account: Client account to send; empty for none.
        deadline_s: Monotonic time by which the response must be complete.
        is_streamed: Whether the response is streamed instead of buffered.
        is_background: Whether no caller waits for this response itself. A
            hedge is then sent only after the target latency.
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
    is_background: bool = False


@dataclasses.dataclass(slots=True)
class _SendState:
    """State of one request across its attempts.

    Attributes:
        task: The request.
        trace: A description of each ended attempt, for the log.
        tried: Ids of the endpoints that were tried.
    """

    task: SendTask
    trace: list[str] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)

    def record_attempt(self, endpoint_id: str) -> bool:
        """Records an attempt; returns whether it must use a new connection.

        A request that isn't idempotent can't be repeated if the endpoint has
        closed an idle connection. A second attempt at an endpoint must not use
        a connection that may be as unresponsive as the one of the first. A
        first attempt at another endpoint may reuse a connection, although the
        core's `StartAttempt.fresh` is set.
        """
        is_repeated = endpoint_id in self.tried
        self.tried.add(endpoint_id)
        return is_repeated or not self.task.route.idempotent


class Sender:
    """Sends requests to endpoints and records the results in the directory.

    Args:
        directory: Known endpoints, their latencies and loads.
        http: HTTP client with a connection pool.
        wire: Wire format of endpoints.
        metrics: Counts attempts.
        log: Receives a line about the attempts of each request.
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
        """Returns an endpoint's response; its body may still be streamed.

        Raises:
            Refusal: No endpoint returned a response. Its `ran` says whether
                the request was executed.
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
        state = _SendState(task)
        outcome = await run_attempts(
            core, lambda action: self._attempt(state, action)
        )
        is_refused = isinstance(outcome, FailRequest)
        self._log.record(
            "sent",
            id=task.request_id,
            route=task.route.name,
            account=task.account,
            pools=pools,
            usual_s=round(usual_s, 4),
            hedge_after_s=round(plan.hedge_after_s, 3),
            attempts=state.trace,
            outcome=outcome.error.label if is_refused else "answered",
            took_s=round(time.monotonic() - started_s, 4),
        )
        if is_refused:
            raise _make_refusal(outcome, usual_s)
        return _make_response(outcome.response)

    async def _attempt(
        self, state: "_SendState", action: StartAttempt
    ) -> AttemptOutcome:
        """Sends the request to one endpoint and records the result."""
        endpoint = self._directory.get(action.endpoint_id)
        if endpoint is None or endpoint.entry.is_leaving:
            # It was leaving only after it was chosen.
            return _make_failed_outcome(
                action,
                ExecutionStatus.NOT_RUN,
                was_sent=False,
                is_withdrawn=True,
            )
        sent_s = time.monotonic()
        endpoint_id = action.endpoint_id
        load = endpoint.load(sent_s)
        token = self._directory.record_sent(
            endpoint_id, state.task.route.name, sent_s
        )
        self._metrics.count("attempts", pool=endpoint.entry.pool)
        result = "cancelled"
        try:
            fresh = state.record_attempt(endpoint_id)
            response = await self._exchange(state.task, endpoint, fresh)
            result = f"status {response.status}"
        except RequestWithdrawnError as exc:
            result = str(exc)
            self._directory.record_closed(endpoint_id, token)
            return _make_failed_outcome(
                action, exc.ran, was_sent=False, is_withdrawn=True
            )
        except RequestFailedError as exc:
            result = str(exc)
            self._directory.record_failed(endpoint_id, token, time.monotonic())
            return _make_failed_outcome(
                action,
                exc.ran,
                timed_out=exc.timed_out,
                incomplete=exc.ran is ExecutionStatus.RAN,
                was_sent=exc.ran is not ExecutionStatus.NOT_RUN,
            )
        except anyio.get_cancelled_exc_class():
            now_s = time.monotonic()
            self._directory.record_abandoned(endpoint_id, token, now_s)
            raise
        finally:
            took_s = time.monotonic() - sent_s
            state.trace.append(
                f"{endpoint_id} load {load}: {result} after {took_s:.3f} s"
            )
        return await self._evaluate_response(
            action, endpoint.entry, token, response
        )

    async def _exchange(self, task: SendTask, endpoint: Endpoint, fresh: bool):
        """Returns the endpoint's response, streamed or buffered as required.

        Raises:
            RequestWithdrawnError: The endpoint was leaving once a connection
                was open.
            RequestFailedError: No complete response, or no response head of a
                stream, was received.
        """
        remaining_s = max(0.0, task.deadline_s - time.monotonic())
        entry = endpoint.entry
        headers = self._wire.request_headers(
            EndpointRequest(
                request_id=task.request_id,
                host=task.host,
                endpoint_id=entry.endpoint_id,
                account=task.account,
                remaining_s=_endpoint_timeout_s(remaining_s),
                headers=task.headers,
            )
        )
        args = (task.method, entry.address, task.target)
        kwargs = {
            "headers": headers,
            "body": task.body,
            "timeout_s": remaining_s,
            "fresh": fresh,
            "may_send": lambda: not endpoint.entry.is_leaving,
        }
        if task.is_streamed:
            return await self._http.open(*args, **kwargs)
        return await self._http.request(*args, **kwargs, may_wait=not fresh)

    async def _evaluate_response(
        self,
        action: StartAttempt,
        entry: EndpointEntry,
        token: int,
        response: HttpResponse | StreamedResponse,
    ) -> AttemptOutcome:
        """Updates the directory; returns the outcome for the core.

        The attempt failed if the endpoint states that it didn't run the
        request, or if the response would promise that to the caller although
        the endpoint doesn't state it. Any other response, an error included,
        is delivered.

        Args:
            action: The attempt.
            entry: The endpoint's entry.
            token: The directory's token of the attempt.
            response: The response, or the head of a streamed one.
        """
        now_s = time.monotonic()
        endpoint_id = action.endpoint_id
        head = self._wire.read_response_head(response.status, response.headers)
        if head.is_leaving:
            self._directory.record_leaving(entry, "request", now_s)
        self._update_load(endpoint_id, head, now_s)
        if not (head.is_not_run or head.is_promise):
            if response.status < _MIN_SERVER_ERROR_STATUS:
                self._directory.record_answered(endpoint_id, token, now_s)
            else:
                self._directory.record_closed(endpoint_id, token)
            return AttemptOutcome(AttemptCompleted(action.attempt), response)
        if isinstance(response, StreamedResponse):
            await response.drain()
        if head.is_misdirected:
            self._directory.record_failed(endpoint_id, token, now_s)
        else:
            self._directory.record_closed(endpoint_id, token)
        ran = (
            ExecutionStatus.NOT_RUN
            if head.is_not_run
            else ExecutionStatus.UNKNOWN
        )
        return _make_failed_outcome(action, ran)

    def _update_load(
        self, endpoint_id: str, head: EndpointResponseHead, now_s: float
    ) -> None:
        if head.load is not None:
            self._directory.record_load(endpoint_id, head.load, now_s)


def _choose_pools(route: Route) -> tuple[str, ...]:
    """Returns a tuple of one pool of the route, chosen randomly by weight."""
    if len(route.shares) == 1:
        return (route.shares[0].pool,)
    weights = [share.weight for share in route.shares]
    chosen = random.choices(route.shares, weights)[0]
    return (chosen.pool,)


def _hedge_after_s(task: SendTask, median_s: float) -> float:
    """Returns the hedging delay in seconds; 0 for no hedging.

    The delay is chosen so that the second attempt can meet the route's target
    latency. Only idempotent requests whose response is buffered are hedged.
    """
    if task.is_streamed or not task.route.idempotent:
        return 0.0
    if task.is_background:
        return max(task.route.target_latency_s, _HEDGE_LEAD_FACTOR * median_s)
    latest_s = task.route.target_latency_s - _HEDGE_LEAD_FACTOR * median_s
    return max(latest_s, _MIN_HEDGE_DELAY_FACTOR * median_s)


def _endpoint_timeout_s(remaining_s: float) -> float:
    """Returns the timeout to send to the endpoint, in seconds.

    An endpoint that reaches its deadline sends an error response. If that
    response arrives before the caller's deadline, the connection is reusable.
    The margin is at most a quarter of the remaining time.
    """
    return remaining_s - min(_ENDPOINT_MARGIN_S, remaining_s / 4)


def _make_failed_outcome(
    action: StartAttempt,
    ran: ExecutionStatus,
    *,
    timed_out: bool = False,
    incomplete: bool = False,
    was_sent: bool = True,
    is_withdrawn: bool = False,
) -> AttemptOutcome:
    return AttemptOutcome(
        AttemptFailed(
            attempt=action.attempt,
            ran=ran,
            timed_out=timed_out,
            incomplete=incomplete,
            was_sent=was_sent,
            is_withdrawn=is_withdrawn,
        )
    )


def _make_refusal(action: FailRequest, median_s: float) -> Refusal:
    """Returns the refusal of a request without a response to deliver.

    If the request was certainly not run, the refusal invites a retry: it has
    the code OVERLOADED (or NO_ENDPOINT) and states when to retry.
    """
    error = action.error
    if action.ran is ExecutionStatus.NOT_RUN:
        has_endpoint = error is not ErrorCode.NO_ENDPOINT
        error = ErrorCode.OVERLOADED if has_endpoint else error
    retry_after_s = None
    if action.ran is ExecutionStatus.NOT_RUN:
        retry_after_s = max(_MIN_RETRY_AFTER_S, _RETRY_AFTER_FACTOR * median_s)
    return Refusal(
        error, _DETAILS[error], ran=action.ran, retry_after_s=retry_after_s
    )


def _make_response(response: HttpResponse | StreamedResponse) -> Response:
    if isinstance(response, StreamedResponse):
        return Response(
            status=response.status,
            headers=response.headers,
            stream=ResponseStream(response),
        )
    return Response(
        status=response.status, headers=response.headers, body=response.body
    )
