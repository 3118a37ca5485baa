"""Outcomes of attempts, and what callers get of them."""

from daisyhub.connections import (
    HttpResponse,
    ResponseStream,
    StreamedResponse,
)
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.filters import (
    AttemptFailed,
    AttemptOutcome,
    FailRequest,
    StartAttempt,
)
from daisyhub.messages import Response

__all__ = ["make_failed_outcome", "make_refusal", "make_response"]

# Delay in `Retry-After`, in median latencies: the expected time until an
# endpoint that refused has free capacity again.
_RETRY_AFTER_FACTOR = 2.0
_MIN_RETRY_AFTER_S = 0.05
# `Retry-After` while all endpoints of a route are evacuated. An operator ends
# that, at no known time; a second keeps repeats few.
_EVACUATED_RETRY_AFTER_S = 1.0
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


def make_failed_outcome(
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


def make_refusal(
    action: FailRequest,
    median_s: float,
    room_in_s: float | None = None,
    *,
    is_evacuated: bool = False,
) -> Refusal:
    """Returns the refusal of a request without a response to deliver.

    If the request was certainly not run, the refusal invites a retry: it has
    the code OVERLOADED (or NO_ENDPOINT) and states when to retry.

    Args:
        action: The failure.
        median_s: Median latency of the route.
        room_in_s: Seconds until an endpoint that limits its rate has room; None
            if none was passed over for its limit.
        is_evacuated: Whether all endpoints of the route are in evacuated
            failure domains.
    """
    is_unsent = action.ran is ExecutionStatus.NOT_RUN
    if is_evacuated and is_unsent:
        return Refusal(
            ErrorCode.NO_ENDPOINT,
            "all endpoints of the route are in evacuated failure domains",
            ran=action.ran,
            retry_after_s=_EVACUATED_RETRY_AFTER_S,
        )
    if room_in_s is not None and action.error is ErrorCode.NO_ENDPOINT:
        return Refusal(
            ErrorCode.OVERLOADED,
            "all endpoints of the route limit their rate or are cold",
            ran=action.ran,
            retry_after_s=max(_MIN_RETRY_AFTER_S, room_in_s),
        )
    error = action.error
    if is_unsent:
        has_endpoint = error is not ErrorCode.NO_ENDPOINT
        error = ErrorCode.OVERLOADED if has_endpoint else error
    retry_after_s = None
    if is_unsent:
        retry_after_s = max(_MIN_RETRY_AFTER_S, _RETRY_AFTER_FACTOR * median_s)
    return Refusal(
        error, _DETAILS[error], ran=action.ran, retry_after_s=retry_after_s
    )


def make_response(response: HttpResponse | StreamedResponse) -> Response:
    if isinstance(response, StreamedResponse):
        return Response(
            status=response.status,
            headers=response.headers,
            stream=ResponseStream(response),
        )
    return Response(
        status=response.status,
        headers=response.headers,
        body=response.body,
        lease=response.lease,
    )
