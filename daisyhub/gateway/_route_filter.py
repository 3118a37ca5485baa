"""Finds the route of a request in the active manifest."""

import dataclasses
from collections.abc import Callable

from daisyhub.base import Filter, Handler
from daisyhub.catalog import ManifestController
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway._body_filter import without_promise
from daisyhub.messages import Request, Response

__all__ = ["FindRouteFilter"]

# Sent as `Retry-After` while no manifest is loaded; a starting daemon lists the
# store within this time.
_NO_MANIFEST_RETRY_AFTER_S = 0.3
# Limit of a body that is read while no manifest states one; above the limits of
# manifests.
_MAX_BODY_BYTES = 16 << 20


class FindRouteFilter(Filter):
    """Sets the route and limits the deadline to the route's timeout.

    Args:
        manifests: Provides the active manifest.
        may_be_lot: Whether a body may be a lot that a daemon has stored.
    """

    name = "find_route"

    def __init__(
        self,
        manifests: ManifestController,
        may_be_lot: Callable[[bytes], bool],
    ):
        self._manifests = manifests
        self._may_be_lot = may_be_lot

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Refuses requests that match no route.

        Calls about lots need no route.
        """
        manifest = self._manifests.manifest
        if manifest is None:
            raise await self._refusal_without_manifest(req)
        if req.lot_call is not None:
            return await call_next(req)
        route = manifest.find_route(req.host, req.path)
        if route is None:
            raise Refusal(
                ErrorCode.ROUTE_UNKNOWN,
                f"no route of manifest {manifest.version} serves "
                f"{req.host}{req.path}",
                ran=ExecutionStatus.NOT_RUN,
            )
        deadline_s = min(req.deadline_s, req.started_s + route.timeout_s)
        return await call_next(
            dataclasses.replace(req, route=route, deadline_s=deadline_s)
        )

    async def _refusal_without_manifest(self, req: Request) -> Refusal:
        """Returns the refusal of a request while no manifest is loaded.

        Another daemon may have stored a lot that is submitted again here.
        """
        try:
            body = await req.read_body(_MAX_BODY_BYTES)
        except Refusal as exc:
            return without_promise(exc)
        if self._may_be_lot(body):
            return Refusal(
                ErrorCode.LOT_UNCONFIRMED,
                "no manifest has been loaded yet; the lot may be stored",
                ran=ExecutionStatus.UNKNOWN,
                retry_after_s=_NO_MANIFEST_RETRY_AFTER_S,
            )
        return Refusal(
            ErrorCode.NO_CONFIGURATION,
            "no manifest has been loaded yet",
            ran=ExecutionStatus.NOT_RUN,
            retry_after_s=_NO_MANIFEST_RETRY_AFTER_S,
        )
