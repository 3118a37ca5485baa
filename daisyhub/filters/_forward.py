"""Sends requests to endpoints by decision of the forward core."""

import time

import anyio

from daisyhub.balancing import (
    EndpointState,
    EndpointTable,
    EndpointUpdate,
)
from daisyhub.base import Balancer, Filter, Handler
from daisyhub.config import Route
from daisyhub.connections import (
    HttpClient,
    HttpResponse,
    RequestFailedError,
    RequestWithdrawnError,
    ResponseStream,
    StreamedResponse,
)
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.filters._attempts import AttemptOutcome, run_attempts
from daisyhub.filters._forward_core import (
    AttemptCompleted,
    AttemptFailed,
    FailRequest,
    ForwardCore,
    ForwardPlan,
    RetryBudget,
    StartAttempt,
)
from daisyhub.filters._forwarded_headers import (
    REQUEST_HEADERS,
    RESPONSE_HEADERS,
)
from daisyhub.messages import Header, Request, Response
from daisyhub.metrics import Metrics
from daisyhub.settings import LimitSettings

__all__ = ["ForwardFilter", "parse_endpoint_headers"]

# Header of an endpoint's response to a request that it did not run.
_NOT_RUN_HEADER = (b"endpoint-ran", b"no")
_DETAILS = {
    ErrorCode.DEADLINE_EXCEEDED: (
        "the deadline passed before the request was sent"
    ),
    ErrorCode.NO_ENDPOINT: "no endpoint is live",
    ErrorCode.ENDPOINT_FAILED: "the endpoint failed",
    ErrorCode.ENDPOINT_TIMEOUT: "the endpoint did not respond in time",
    ErrorCode.ANSWER_INCOMPLETE: "the endpoint's response was incomplete",
}


class ForwardFilter(Filter):
    """Forwards requests with a route; the last filter of the chain.

    Args:
        table: Endpoints of this failure domain.
        balancer: Chooses an endpoint among the candidates.
        client: Sends requests to endpoints.
        limits: Maximum sizes of responses.
        metrics: Counts attempts.
    """

    name = "forward"

    def __init__(
        self,
        table: EndpointTable,
        balancer: Balancer,
        client: HttpClient,
        limits: LimitSettings,
        metrics: Metrics,
    ):
        self._table = table
        self._balancer = balancer
        self._client = client
        self._limits = limits
        self._metrics = metrics
        self._budget = RetryBudget()

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Forwards the request; passes requests without a route on.

        Raises:
            Refusal: No endpoint returned a complete response in time.
        """
        if req.route is None:
            return await call_next(req)
        plan = ForwardPlan(
            idempotent=req.route.idempotent,
            deadline_s=req.deadline_s,
            hedge_after_s=_hedge_after_s(req),
        )
        core = ForwardCore(plan, self._make_chooser(req.route), self._budget)
        outcome = await run_attempts(
            core, lambda action: self._attempt(req, action)
        )
        if isinstance(outcome, FailRequest):
            raise _make_refusal(outcome)
        return _make_response(outcome.response)

    def _make_chooser(self, route: Route):
        def choose(excluded: frozenset[str]) -> str | None:
            now_s = time.monotonic()
            states = self._table.candidates(route.pool, now_s, excluded)
            return self._balancer.choose(states)

        return choose

    async def _attempt(
        self, req: Request, action: StartAttempt
    ) -> AttemptOutcome:
        """Sends the request to one endpoint and applies its reported state."""
        state = self._table.get(action.endpoint_id)
        if state is None:
            return _make_failed_outcome(action, ExecutionStatus.NOT_RUN)
        self._table.record_sent(state.endpoint_id)
        self._metrics.count("attempts", pool=state.pool)
        failed = True
        try:
            response = await self._send(req, state, fresh=action.fresh)
            failed = False
        except RequestWithdrawnError as exc:
            failed = False
            return _make_failed_outcome(
                action, exc.ran, was_sent=False, is_withdrawn=True
            )
        except RequestFailedError as exc:
            self._client.drop_idle_connections(state.address)
            return _make_failed_outcome(
                action,
                exc.ran,
                timed_out=exc.timed_out,
                # RAN means that the head of the response was received.
                incomplete=exc.ran is ExecutionStatus.RAN,
            )
        except anyio.get_cancelled_exc_class():
            # A cancellation does not count as a failure of the endpoint.
            failed = False
            raise
        finally:
            self._table.record_done(
                state.endpoint_id, failed=failed, now_s=time.monotonic()
            )
        self._table.apply_update(
            parse_endpoint_headers(state, response.headers)
        )
        if _NOT_RUN_HEADER in response.headers:
            if isinstance(response, StreamedResponse):
                await response.aclose()
            return _make_failed_outcome(action, ExecutionStatus.NOT_RUN)
        return AttemptOutcome(AttemptCompleted(action.attempt), response)

    async def _send(
        self, req: Request, state: EndpointState, *, fresh: bool
    ) -> HttpResponse | StreamedResponse:
        target = f"{req.path}?{req.query}" if req.query else req.path

        def may_send() -> bool:
            return self._table.may_send_to(state)

        timeout_s = max(0.0, req.deadline_s - time.monotonic())
        if req.route.answer == "stream":
            return await self._client.open(
                req.method,
                state.address,
                target,
                headers=_endpoint_headers(req),
                body=req.body,
                timeout_s=timeout_s,
                fresh=fresh,
                may_send=may_send,
            )
        return await self._client.request(
            req.method,
            state.address,
            target,
            headers=_endpoint_headers(req),
            body=req.body,
            timeout_s=timeout_s,
            max_body_bytes=self._limits.answer_bytes,
            fresh=fresh,
            may_send=may_send,
        )


def _hedge_after_s(req: Request) -> float:
    """Returns the hedging delay in seconds; 0 for no hedging.

    Only idempotent requests whose response is not streamed are hedged.
    """
    if not req.route.idempotent or req.route.answer == "stream":
        return 0.0
    return req.route.hedge_after_s


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


def _make_refusal(action: FailRequest) -> Refusal:
    return Refusal(
        action.error,
        _DETAILS[action.error],
        ran=action.ran,
        retry_after_s=action.retry_after_s,
    )


def _endpoint_headers(req: Request) -> tuple[Header, ...]:
    """Returns the headers to send; the caller's key is never among them."""
    headers = [item for item in req.headers if item[0] in REQUEST_HEADERS]
    headers.append((b"daisyhub-request-id", req.request_id.encode()))
    if req.account:
        headers.append((b"daisyhub-account", req.account.encode()))
    return tuple(headers)


def _make_response(response: HttpResponse | StreamedResponse) -> Response:
    headers = tuple(
        item for item in response.headers if item[0] in RESPONSE_HEADERS
    )
    tokens = _parse_int_header(response.headers, b"endpoint-tokens", 0)
    if isinstance(response, StreamedResponse):
        return Response(
            status=response.status,
            headers=headers,
            stream=ResponseStream(response),
            tokens=tokens,
        )
    return Response(
        status=response.status,
        headers=headers,
        body=response.body,
        tokens=tokens,
        lease=response.lease,
    )


def _parse_int_header(
    headers: tuple[Header, ...], name: bytes, default: int
) -> int:
    """Returns the value of a header; `default` if absent or not a number."""
    for key, value in headers:
        if key == name and value.isdigit():
            return int(value)
    return default


def parse_endpoint_headers(
    state: EndpointState, headers: tuple[Header, ...]
) -> EndpointUpdate:
    """Returns the state that an endpoint reports in response headers.

    Values that are absent or not a number count as not reported.
    """
    return EndpointUpdate(
        endpoint_id=state.endpoint_id,
        incarnation=state.incarnation,
        is_leaving=(b"endpoint-state", b"leaving") in headers,
        load=_parse_int_header(headers, b"endpoint-load", -1),
        weight_version=_parse_int_header(
            headers, b"endpoint-weight-version", -1
        ),
        capacity=_parse_int_header(headers, b"endpoint-capacity", 0),
    )
