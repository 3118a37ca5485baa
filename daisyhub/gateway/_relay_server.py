"""Serves the requests that peers send through this daemon."""

import time

from daisyhub.cluster import ReachMonitor
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway._relay_messages import (
    RelayedRequest,
    RelayResult,
    decode_request,
    with_result,
)
from daisyhub.gateway._send_task import SendTask
from daisyhub.gateway._sender import Sender
from daisyhub.gateway._wire import CallerWire
from daisyhub.logs import DecisionLog
from daisyhub.messages import BodyReader, Header, Request, Response
from daisyhub.metrics import Metrics

__all__ = ["RelayHandler", "RelayWire"]

# Largest relayed request, in bytes: the largest body that a manifest allows,
# and the headers.
_MAX_BYTES = 1 << 26
# A relayed body is held as a message and decoded.
_COPIES = 2
# Time in which a peer must have sent a request, in seconds. The request's own
# deadline is known once it is read.
_READ_TIMEOUT_S = 10.0
# Status of a response that isn't an endpoint's; its header says more.
_NOT_ANSWERED_STATUS = 502


class RelayWire(CallerWire):
    """Wire format of peers' requests.

    Args:
        caller_wire: Wire format of callers, which tells the headers of a
            response that are passed on.
    """

    def __init__(self, caller_wire: CallerWire):
        self._caller_wire = caller_wire

    def read_request(
        self, scope: dict, read_body: BodyReader, now_s: float
    ) -> Request:
        """Returns a request whose body tells all; see `CallerWire`."""
        return Request(
            request_id="",
            method=scope["method"],
            path=scope["path"],
            query="",
            host="",
            headers=(),
            read_body=read_body,
            started_s=now_s,
            deadline_s=now_s,
        )

    def response_headers(self, resp: Response) -> tuple[Header, ...]:
        """Returns the headers to pass on; see `CallerWire`."""
        return self._caller_wire.response_headers(resp)


class RelayHandler:
    """Sends a peer's request to an endpoint.

    Usage is counted where the caller came in; limits and requests under which
    endpoints end are judged here, where the request is sent.

    Args:
        sender: Sends requests to endpoints.
        reach: Tells whether this daemon reaches endpoints.
        metrics: Counts relayed requests.
        log: Log of refused ones.
    """

    def __init__(
        self,
        sender: Sender,
        reach: ReachMonitor,
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._sender = sender
        self._reach = reach
        self._metrics = metrics
        self._log = log

    async def __call__(self, req: Request) -> Response:
        """Returns the endpoint's response, or why there is none."""
        try:
            body = await req.read_body(
                _MAX_BYTES,
                copies=_COPIES,
                deadline_s=req.started_s + _READ_TIMEOUT_S,
            )
            relayed = decode_request(body)
        except ValueError as exc:
            raise Refusal(
                ErrorCode.BODY_INVALID, str(exc), ran=ExecutionStatus.NOT_RUN
            ) from exc
        self._metrics.count("relayed_requests", sender=relayed.sender)
        if self._reach.is_cut_off:
            return self._refuse(
                relayed,
                RelayResult(
                    is_answered=False,
                    ran=ExecutionStatus.NOT_RUN,
                    was_sent=False,
                    detail="the peer is cut off, too",
                ),
            )
        task = _make_task(relayed)
        try:
            resp, release = await self._sender.relay(task, relayed.release)
        except Refusal as exc:
            is_not_run = exc.ran is ExecutionStatus.NOT_RUN
            return self._refuse(
                relayed,
                RelayResult(
                    is_answered=False,
                    ran=exc.ran,
                    was_sent=not is_not_run,
                    detail=exc.code,
                ),
            )
        result = RelayResult(
            is_answered=True, ran=ExecutionStatus.RAN, release=release
        )
        return with_result(resp, result)

    def _refuse(self, relayed: RelayedRequest, result: RelayResult) -> Response:
        self._log.record(
            "relay_refused",
            id=relayed.request_id,
            sender=relayed.sender,
            ran=result.ran.value,
            reason=result.detail,
        )
        return with_result(Response(status=_NOT_ANSWERED_STATUS), result)


def _make_task(relayed: RelayedRequest) -> SendTask:
    return SendTask(
        request_id=relayed.request_id,
        route=relayed.route,
        method=relayed.method,
        target=relayed.target,
        host=relayed.host,
        headers=relayed.headers,
        body=relayed.body,
        account=relayed.account,
        deadline_s=time.monotonic() + relayed.remaining_s,
        is_streamed=relayed.is_streamed,
        is_background=relayed.is_background,
        is_relayed=True,
    )
