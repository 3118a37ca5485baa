"""Finds the route of a request in the active manifest."""

import dataclasses

from daisyhub.base import Filter, Handler
from daisyhub.catalog import ManifestController
from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.messages import Request, Response

__all__ = ["FindRouteFilter"]

# Sent as `Retry-After` while no manifest is loaded; a starting daemon lists the
# store within this time.
_NO_MANIFEST_RETRY_AFTER_S = 0.3


class FindRouteFilter(Filter):
    """Sets the route and limits the deadline to the route's timeout.

    Args:
        manifests: Provides the active manifest.
    """

    name = "find_route"

    def __init__(self, manifests: ManifestController):
        self._manifests = manifests

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Refuses requests that match no route.

        Calls about lots need no route.
        """
        manifest = self._manifests.manifest
        if manifest is None:
            raise Refusal(
                ErrorCode.NO_CONFIGURATION,
                "no manifest has been loaded yet",
                retry_after_s=_NO_MANIFEST_RETRY_AFTER_S,
            )
        if req.lot_call is not None:
            return await call_next(req)
        route = manifest.find_route(req.host, req.path)
        if route is None:
            raise Refusal(
                ErrorCode.ROUTE_UNKNOWN,
                f"no route of manifest {manifest.version} serves "
                f"{req.host}{req.path}",
            )
        deadline_s = min(req.deadline_s, req.started_s + route.timeout_s)
        return await call_next(
            dataclasses.replace(req, route=route, deadline_s=deadline_s)
        )
