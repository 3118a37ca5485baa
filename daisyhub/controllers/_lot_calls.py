"""Translates trainers' calls on a lot for its core, and the core's responses.

Decides with which error a call ends that the core refused or never ended, and
whether its effect may have taken place.
"""

import time

import msgspec

from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.peers import LotCallRequest, LotCallResponse
from daisyhub.rollouts import (
    AckBody,
    AckRequested,
    CloseRequested,
    DeliverGroups,
    OpenRequested,
    ProgressResponse,
    PullBody,
    PullRequested,
    PullResponse,
    RefusalReason,
    RefuseCall,
    SendProgress,
)

__all__ = ["decode_body", "make_event", "make_response"]

_RETRY_AFTER_S = 1.0
_CALL_TIMEOUT_S = 5.0
_OK = 200
_ERROR_CODES = {
    RefusalReason.RELEASED: ErrorCode.LOT_ELSEWHERE,
    RefusalReason.PLATFORM: ErrorCode.PLATFORM_UNAVAILABLE,
    RefusalReason.CLOSED: ErrorCode.LOT_CONFLICT,
    RefusalReason.ACKED: ErrorCode.LOT_CONFLICT,
    RefusalReason.UNKNOWN_PULL: ErrorCode.LOT_CONFLICT,
}
# Reasons with which a call ends while a write of its effect may be under way.
_UNKNOWN_OUTCOMES = (RefusalReason.RELEASED, RefusalReason.PLATFORM)


def make_event(call: LotCallRequest, number: int) -> object:
    """Returns the core's event for a trainer's call.

    Raises:
        Refusal: The verb is unknown or the body is invalid.
    """
    until_s = time.monotonic() + _CALL_TIMEOUT_S
    match call.verb:
        case "open":
            return OpenRequested(call=number, until_s=until_s)
        case "close":
            return CloseRequested(call=number, until_s=until_s)
        case "ack":
            body = decode_body(call.body, AckBody)
            return AckRequested(
                call=number, pull_id=body.pull_id, until_s=until_s
            )
        case "pull":
            body = decode_body(call.body, PullBody)
            return PullRequested(
                call=number,
                pull_id=body.pull_id,
                version=body.version,
                max_groups=body.max_groups,
                until_s=time.monotonic() + body.wait_s,
                acks=body.acks,
            )
    raise Refusal(
        ErrorCode.ROUTE_UNKNOWN,
        f"unknown verb {call.verb!r}",
        ran=ExecutionStatus.NOT_RUN,
    )


def make_response(action: object) -> LotCallResponse:
    """Returns the response for the trainer.

    Raises:
        Refusal: The call was refused, or the server stopped before the call
            ended.
    """
    match action:
        case DeliverGroups():
            return _json_response(
                PullResponse(
                    pull_id=action.pull_id,
                    groups=action.groups,
                    remaining=action.remaining,
                )
            )
        case SendProgress():
            return _json_response(
                ProgressResponse(
                    remaining=action.remaining,
                    open_pulls=action.open_pulls,
                    closed=action.is_closed,
                )
            )
    reason = RefusalReason.RELEASED
    if isinstance(action, RefuseCall):
        reason = action.reason
    error = _ERROR_CODES[reason]
    is_final = error is ErrorCode.LOT_CONFLICT
    raise Refusal(
        error,
        reason.value,
        ran=ExecutionStatus.UNKNOWN
        if reason in _UNKNOWN_OUTCOMES
        else ExecutionStatus.NOT_RUN,
        retry_after_s=None if is_final else _RETRY_AFTER_S,
    )


def decode_body(body: bytes, body_type: type):
    """Decodes a trainer's JSON body as a `body_type`.

    Raises:
        Refusal: The body is invalid.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise Refusal(
            ErrorCode.BODY_INVALID, str(exc), ran=ExecutionStatus.NOT_RUN
        ) from exc


def _json_response(value: object) -> LotCallResponse:
    return LotCallResponse(status=_OK, body=msgspec.json.encode(value))
