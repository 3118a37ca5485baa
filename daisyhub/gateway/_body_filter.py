"""Reads the body of a request within the manifest's limits."""

import dataclasses

from daisyhub.base import Filter, Handler
from daisyhub.catalog import ManifestController
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.messages import Request, Response

__all__ = ["BodyFilter"]


class BodyFilter(Filter):
    """Limits the size of headers and body, and reads the complete body.

    Args:
        manifests: Provides the active manifest.
    """

    name = "body"

    def __init__(self, manifests: ManifestController):
        self._manifests = manifests

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Refuses requests that are larger than the manifest allows."""
        limits = self._manifests.manifest.limits
        size = sum(len(name) + len(value) for name, value in req.headers)
        if size > limits.header_bytes:
            raise Refusal(
                ErrorCode.HEADERS_TOO_LARGE,
                f"headers of {size} bytes exceed {limits.header_bytes} bytes",
                ran=ExecutionStatus.NOT_RUN,
            )
        body = await req.read_body(limits.body_bytes)
        return await call_next(dataclasses.replace(req, body=body))
