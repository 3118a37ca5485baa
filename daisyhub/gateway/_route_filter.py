"""Finds the route of a request in the manifest in force."""

import dataclasses

from daisyhub.base import Filter, Handler
from daisyhub.catalog import ManifestController
from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.messages import Request, Response

__all__ = ["FindRouteFilter"]

# Seconds after which a caller may find a manifest here; a starting daemon
# lists the store within this time.
_NO_MANIFEST_RETRY_S = 0.3


class FindRouteFilter(Filter):
    """Sets the route, and bounds the deadline by the route's time-out.

    Args:
        manifests: Holds the manifest in force.
    """

    name = "find_route"

    def __init__(self, manifests: ManifestController):
        self._manifests = manifests

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Refuses what no route serves; calls about lots need no route."""
        manifest = self._manifests.manifest
        if manifest is None:
            raise Refusal(
                ErrorCode.NO_CONFIGURATION,
                "no manifest is known yet",
                retry_after_s=_NO_MANIFEST_RETRY_S,
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
