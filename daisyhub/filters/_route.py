"""Finds the route of a request by host, path prefix and method."""

import dataclasses
import re
from collections.abc import Callable

from daisyhub.base import Filter, Handler
from daisyhub.config import Document, Route
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.messages import Request, Response

__all__ = ["RouteFilter", "RouteTable"]

LOTS_PREFIX = "/v1/lots"
_UNCONFIGURED_RETRY_DELAY_S = 1.0
# Longer than the maximum wait of a pull, and than the timeout of a call that is
# forwarded to the lot's holder.
_LOT_CALL_TIMEOUT_S = 75.0
# Dot segments, empty segments, backslashes, semicolons, spaces, control
# characters, encoded slashes, dots and percent signs, and invalid escapes:
# everything that an endpoint might resolve outside the route's prefix.
_AMBIGUOUS_PATH = re.compile(
    r"//|/\.{1,2}(?:/|;|$)|%2f|%5c|%2e|%25|%[01][0-9a-f]|%7f|[\\;\x00-\x20\x7f]"
    r"|%(?![0-9a-f]{2})",
    re.IGNORECASE,
)


class RouteTable:
    """Looks up the routes of one configuration by host and path segments.

    Args:
        document: The configuration document.
    """

    def __init__(self, document: Document):
        self._routes: dict[tuple[str, str], list[Route]] = {}
        for route in document.routes.values():
            prefix = route.path_prefix.rstrip("/")
            self._routes.setdefault((route.host, prefix), []).append(route)

    def find(self, host: str, path: str, method: str) -> Route:
        """Returns the route with the longest matching path prefix.

        Routes of the given host precede routes for any host.

        Raises:
            Refusal: No route matches the path, or no route with the longest
                matching prefix allows the method.
        """
        for known_host in (host, ""):
            prefix = path.rstrip("/")
            while True:
                routes = self._routes.get((known_host, prefix))
                if routes is not None:
                    return self._select_method(routes, method)
                if not prefix:
                    break
                prefix = prefix.rpartition("/")[0]
        raise Refusal(
            ErrorCode.ROUTE_UNKNOWN,
            "no route matches the path",
            ran=ExecutionStatus.NOT_RUN,
        )

    def _select_method(self, routes: list[Route], method: str) -> Route:
        for route in routes:
            if method in route.methods:
                return route
        raise Refusal(
            ErrorCode.METHOD_NOT_ALLOWED,
            f"the route does not allow {method}",
            ran=ExecutionStatus.NOT_RUN,
        )


class RouteFilter(Filter):
    """Sets the route and the deadline, and checks access to the route.

    Args:
        get_table: Returns the active route table; None before the first
            configuration.
    """

    name = "route"

    def __init__(self, get_table: Callable[[], RouteTable | None]):
        self._get_table = get_table

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Sets `route` and `deadline_s`; lot calls get no route.

        Raises:
            Refusal: The path is ambiguous, there is no configuration, no
                route matches or allows the method, the key is missing, or the
                account may not use the route.
        """
        if not req.path.startswith("/") or _AMBIGUOUS_PATH.search(req.path):
            raise Refusal(
                ErrorCode.PATH_INVALID,
                "the path is ambiguous",
                ran=ExecutionStatus.NOT_RUN,
            )
        table = self._get_table()
        if table is None:
            raise Refusal(
                ErrorCode.NO_CONFIGURATION,
                "no configuration has been received yet",
                ran=ExecutionStatus.NOT_RUN,
                retry_after_s=_UNCONFIGURED_RETRY_DELAY_S,
            )
        if req.path.startswith(LOTS_PREFIX + "/"):
            self._check_key(req)
            deadline_s = _limit_deadline(req, _LOT_CALL_TIMEOUT_S)
            return await call_next(
                dataclasses.replace(req, deadline_s=deadline_s)
            )
        route = table.find(req.host, req.path, req.method)
        if route.access == "open":
            # Requests on open routes run without an account, even with a key.
            req = dataclasses.replace(req, account="", key_id="")
        else:
            self._check_key(req)
        if route.accounts and req.account not in route.accounts:
            raise Refusal(
                ErrorCode.ACCOUNT_FORBIDDEN,
                "the account may not use the route",
                ran=ExecutionStatus.NOT_RUN,
            )
        return await call_next(
            dataclasses.replace(
                req,
                route=route,
                deadline_s=_limit_deadline(req, route.timeout_s),
            )
        )

    def _check_key(self, req: Request) -> None:
        if not req.account:
            raise Refusal(
                ErrorCode.KEY_MISSING,
                "the route requires a key",
                ran=ExecutionStatus.NOT_RUN,
            )


def _limit_deadline(req: Request, timeout_s: float) -> float:
    """Returns the deadline, at most `timeout_s` after the arrival."""
    return min(req.deadline_s, req.started_s + timeout_s)
