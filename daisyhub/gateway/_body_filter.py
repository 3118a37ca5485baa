"""Reads the body of a request within the manifest's limits."""

import dataclasses

from daisyhub.base import Filter, Handler
from daisyhub.catalog import ManifestController, RouteKind
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.json_texts import estimate_decoded_bytes
from daisyhub.messages import Request, Response

__all__ = ["BodyFilter", "without_promise"]

# A lot is held as its body, its decoded items, and what is written to the
# store, encoded and as a message.
_LOT_COPIES = 4
# Time in which a lot must have been received if its trainer states none, in
# seconds: 32 MB over a link of 5 Mbit/s.
_LOT_TIMEOUT_S = 60.0


class BodyFilter(Filter):
    """Limits the size of headers and body, and reads the complete body.

    Args:
        manifests: Provides the active manifest.
    """

    name = "body"

    def __init__(self, manifests: ManifestController):
        self._manifests = manifests

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Refuses requests that are larger than the manifest allows.

        Without its body, a lot that was submitted before, and may be stored,
        can't be told from a new one.
        """
        limits = self._manifests.manifest.limits
        size = sum(len(name) + len(value) for name, value in req.headers)
        if size > limits.header_bytes:
            raise Refusal(
                ErrorCode.HEADERS_TOO_LARGE,
                f"headers of {size} bytes exceed {limits.header_bytes} bytes",
                ran=ExecutionStatus.NOT_RUN,
            )
        try:
            body = await req.read_body(
                limits.body_bytes,
                copies=_count_copies(req),
                deadline_s=_read_deadline_s(req),
                weigh=estimate_decoded_bytes if _is_lot(req) else None,
            )
        except Refusal as exc:
            raise without_promise(exc) if _may_be_lot(req) else exc from None
        return await call_next(dataclasses.replace(req, body=body))


def _may_be_lot(req: Request) -> bool:
    """Whether a request whose body wasn't read may submit a lot.

    An earlier manifest may have had a route for lots at the path.
    """
    if _is_lot(req):
        return True
    content_types = req.header_values(b"content-type")
    return req.method == "POST" and any(b"json" in t for t in content_types)


def without_promise(exc: Refusal) -> Refusal:
    """Returns a refusal that doesn't say that a lot has not run."""
    if not exc.error.promises_not_run:
        return exc
    return Refusal(
        ErrorCode.LOT_UNCONFIRMED,
        f"the lot wasn't read, but may be stored: {exc.detail}",
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=exc.retry_after_s,
    )


def _is_lot(req: Request) -> bool:
    return req.route is not None and req.route.kind is RouteKind.ROLLOUT


def _read_deadline_s(req: Request) -> float:
    """Returns until when a body is read.

    A lot may be stored after its route's timeout, which is meant for answers:
    its trainer sends it for as long as it needs.
    """
    if not _is_lot(req):
        return req.deadline_s
    if req.stated_deadline_s is not None:
        return req.stated_deadline_s
    return req.started_s + _LOT_TIMEOUT_S


def _count_copies(req: Request) -> int:
    """Returns how many times a body is held until its request is answered."""
    return _LOT_COPIES if _is_lot(req) else 1
