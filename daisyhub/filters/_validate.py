"""Validates headers and body before a request uses other resources."""

import dataclasses

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.identity import has_key
from daisyhub.messages import Request, Response
from daisyhub.settings import LimitSettings

__all__ = ["ValidateFilter"]

_SINGLE_HEADERS = (
    b"content-length",
    b"content-type",
    b"daisyhub-timeout-ms",
    b"idempotency-key",
    b"transfer-encoding",
)
_MAX_IDEMPOTENCY_KEY_BYTES = 255


class ValidateFilter(Filter):
    """Checks header and body sizes, and reads the body.

    Args:
        limits: Maximum sizes of headers and body.
    """

    name = "validate"

    def __init__(self, limits: LimitSettings):
        self._limits = limits

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Validates the request and sets its `body`.

        Raises:
            Refusal: The headers are too large, repeated, contradictory or
                invalid, the body is too large, or it contains an API key.
        """
        size = sum(len(name) + len(value) for name, value in req.headers)
        if size > self._limits.header_bytes:
            raise Refusal(
                ErrorCode.HEADERS_TOO_LARGE,
                f"headers have {size} bytes, more than the"
                f" {self._limits.header_bytes} allowed",
                ran=ExecutionStatus.NOT_RUN,
            )
        self._check_headers(req)
        body = await req.read_body(
            self._max_body_bytes(req), deadline_s=req.deadline_s
        )
        if has_key(body):
            raise Refusal(
                ErrorCode.BODY_INVALID,
                "the body must not contain a key",
                ran=ExecutionStatus.NOT_RUN,
            )
        return await call_next(dataclasses.replace(req, body=body))

    def _check_headers(self, req: Request) -> None:
        for name in _SINGLE_HEADERS:
            if len(req.header_values(name)) > 1:
                header_name = name.decode()
                raise Refusal(
                    ErrorCode.HEADER_INVALID,
                    f"{header_name} occurs more than once",
                    ran=ExecutionStatus.NOT_RUN,
                )
        names = {name for name, _ in req.headers}
        if b"content-length" in names and b"transfer-encoding" in names:
            raise Refusal(
                ErrorCode.HEADER_INVALID,
                "content-length and transfer-encoding must not occur together",
                ran=ExecutionStatus.NOT_RUN,
            )
        for value in req.header_values(b"idempotency-key"):
            if not 0 < len(value) <= _MAX_IDEMPOTENCY_KEY_BYTES:
                raise Refusal(
                    ErrorCode.HEADER_INVALID,
                    "idempotency-key must have 1 to"
                    f" {_MAX_IDEMPOTENCY_KEY_BYTES} bytes",
                    ran=ExecutionStatus.NOT_RUN,
                )

    def _max_body_bytes(self, req: Request) -> int:
        if req.route is None:
            return self._limits.body_bytes
        return min(req.route.body_bytes, self._limits.body_bytes)
