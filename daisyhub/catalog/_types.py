"""Types of the manifest's content, independent of the stored format."""

import dataclasses
import enum
import functools

from daisyhub.exceptions import DaisyhubError

__all__ = [
    "Account",
    "CallerLimits",
    "Manifest",
    "ManifestError",
    "Pool",
    "PoolScaling",
    "PoolShare",
    "Route",
    "RouteKind",
]


class ManifestError(DaisyhubError):
    """The manifest is invalid; the active one is kept."""

    code = "manifest_invalid"


class RouteKind(enum.Enum):
    """Whether requests may be repeated, and how responses are delivered."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"
    ROLLOUT = "rollout"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolShare:
    """A share of a route's traffic.

    Attributes:
        pool: Name of the pool that serves the share.
        weight: Weight relative to the route's other shares.
    """

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps requests with a host and path prefix to pools.

    Attributes:
        name: Name of the route.
        host: Host name of the requests.
        path_prefix: Prefix of the path; the longest match of a host wins.
        kind: Whether requests may be repeated, and how responses come.
        shares: Pools that serve the route.
        timeout_s: Maximum time to respond to a client, in seconds.
        target_latency_s: Target time to respond, in seconds.
        priority: Priority; 0 is the highest.
        max_attempts: Maximum number of endpoints to which one client request
            may be sent.
        is_open: Whether no key is required.
        is_resumable: Whether a stream may be resumed at another endpoint.
        due_s: Seconds from the acceptance of a lot until its results are due.
        max_wait_s: Seconds after which an item of a lot may be abandoned.
        is_single_version: Whether one weight version must generate a sample.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[PoolShare, ...]
    timeout_s: float
    target_latency_s: float
    priority: int = 0
    max_attempts: int = 1
    is_open: bool = False
    is_resumable: bool = False
    due_s: float = 0.0
    max_wait_s: float = 0.0
    is_single_version: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind in (RouteKind.SAFE, RouteKind.ROLLOUT)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolScaling:
    """Limits and prices for ordering endpoints of a pool.

    Attributes:
        min_endpoints: Minimum number of endpoints in a failure domain.
        max_endpoints: Maximum number of endpoints in a failure domain,
            including cheap ones.
        boot_s: Seconds from an order until the endpoint serves requests.
        cheap_price: Price of a cheap endpoint relative to a regular one.
        domain_prices: Price of a regular endpoint by failure domain.
    """

    min_endpoints: int
    max_endpoints: int
    boot_s: float
    cheap_price: float
    domain_prices: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A set of endpoints that serve the same routes.

    Attributes:
        name: Name of the pool.
        max_connections: Maximum number of connections to one endpoint in total.
        models: Models that the engines serve; empty for plain services.
        scaling: Limits for ordering endpoints; None if they can't be ordered.
    """

    name: str
    max_connections: int
    models: tuple[str, ...] = ()
    scaling: PoolScaling | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on requests and connections of clients.

    Attributes:
        header_bytes: Maximum total size of header names and values, in bytes.
        body_bytes: Maximum size of a body, in bytes.
        idle_s: Seconds after which an idle connection is closed.
    """

    header_bytes: int = 16384
    body_bytes: int = 1 << 25
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account.

    Attributes:
        name: Name of the account.
        keys: Valid API keys of the account.
        priority: Overrides the priority of routes; None to keep it.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Manifest:
    """One version of the configuration that operators declare.

    Attributes:
        version: Increases with each manifest.
        routes: All routes.
        pools: Pools by name.
        accounts: All accounts; None if keys aren't used.
        limits: Limits on requests and connections of clients.
    """

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    accounts: tuple[Account, ...] | None
    limits: CallerLimits

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        """Routes by host in lower case, sorted by longest prefix first."""
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host.lower(), []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        return found

    @functools.cached_property
    def _accounts_by_key(self) -> dict[str, Account]:
        return {
            key: account
            for account in self.accounts or ()
            for key in account.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Returns the account of a key, or None if the key is unknown."""
        return self._accounts_by_key.get(key)
