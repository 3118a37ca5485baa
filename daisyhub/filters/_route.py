"""Finds the route of a request by host, path prefix and method."""

import dataclasses
import re
from collections.abc import Callable

from daisyhub.base import Filter, Handler
from daisyhub.config import Document, Route
from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.messages import Request, Response

__all__ = ["RouteFilter", "RouteTable"]

LOTS_PREFIX = "/v1/lots"
_RETRY_UNCONFIGURED_S = 1.0
_LOT_CALL_TIMEOUT_S = 75.0
# Dot segments, empty segments, encoded slashes, dots and controls: whatever
# an endpoint might resolve to a path outside the route's prefix.
_PATH_TRICKS = re.compile(
    r"//|/\.{1,2}(?:/|;|$)|%2f|%5c|%2e|%25|%[01][0-9a-f]|%7f|[\\;\x00-\x20\x7f]"
    r"|%(?![0-9a-f]{2})",
    re.IGNORECASE,
)


class RouteTable:
    """Routes of one configuration, found by whole path segments."""

    def __init__(self, document: Document):
        self._routes: dict[tuple[str, str], list[Route]] = {}
        for route in document.routes.values():
            prefix = route.path_prefix.rstrip("/")
            self._routes.setdefault((route.host, prefix), []).append(route)

    def find(self, host: str, path: str, method: str) -> Route:
        """Returns the route with the host given and the longest prefix.

        Raises:
            Refusal: No route has the path, or none of them the method.
        """
        for known_host in (host, ""):
            prefix = path.rstrip("/")
            while True:
                routes = self._routes.get((known_host, prefix))
                if routes is not None:
                    return self._with_method(routes, method)
                if not prefix:
                    break
                prefix = prefix.rpartition("/")[0]
        raise Refusal(ErrorCode.ROUTE_UNKNOWN, "no route has this path")

    def _with_method(self, routes: list[Route], method: str) -> Route:
        for route in routes:
            if method in route.methods:
                return route
        raise Refusal(
            ErrorCode.METHOD_NOT_ALLOWED, f"the route does not take {method}"
        )


class RouteFilter(Filter):
    """Sets `route`, and refuses accounts that may not use it.

    Args:
        get_table: Returns the table in force, or None before the first
            configuration.
    """

    name = "route"

    def __init__(self, get_table: Callable[[], RouteTable | None]):
        self._get_table = get_table

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Finds the route; trainers' calls have none."""
        if not req.path.startswith("/") or _PATH_TRICKS.search(req.path):
            raise Refusal(ErrorCode.PATH_INVALID, "the path is ambiguous")
        table = self._get_table()
        if table is None:
            raise Refusal(
                ErrorCode.NO_CONFIGURATION,
                "no configuration was heard yet",
                retry_after_s=_RETRY_UNCONFIGURED_S,
            )
        if req.path.startswith(LOTS_PREFIX + "/"):
            self._check_key(req)
            deadline_s = _bounded(req, _LOT_CALL_TIMEOUT_S)
            return await call_next(
                dataclasses.replace(req, deadline_s=deadline_s)
            )
        route = table.find(req.host, req.path, req.method)
        if route.access == "open":
            # An open route runs under no account, whatever key came along.
            req = dataclasses.replace(req, account="", key_id="")
        else:
            self._check_key(req)
        if route.accounts and req.account not in route.accounts:
            raise Refusal(
                ErrorCode.ACCOUNT_FORBIDDEN, "the account may not use the route"
            )
        return await call_next(
            dataclasses.replace(
                req, route=route, deadline_s=_bounded(req, route.timeout_s)
            )
        )

    def _check_key(self, req: Request) -> None:
        if not req.account:
            raise Refusal(ErrorCode.KEY_MISSING, "the route needs a key")


def _bounded(req: Request, timeout_s: float) -> float:
    """Returns the deadline, moved forward to a time-out."""
    return min(req.deadline_s, req.started_s + timeout_s)
