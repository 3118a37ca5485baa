"""What a manifest declares, in this project's words."""

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
    """A manifest that can't be read; the one in force stays."""

    code = "manifest_invalid"


class RouteKind(enum.Enum):
    """What may be repeated, and how answers come."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"
    ROLLOUT = "rollout"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolShare:
    """A part of a route's traffic.

    Attributes:
        pool: Name of the pool that serves it.
        weight: Its share against the other parts' weights.
    """

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One route.

    Attributes:
        name: Its name.
        host: Host name that requests carry.
        path_prefix: Begins the path; the longest of a host wins.
        kind: What may be repeated.
        shares: Pools that serve it.
        timeout_s: Longest time for which a caller is kept waiting.
        target_latency_s: Time within which an answer is worth most.
        priority: Rank; 0 is the most urgent.
        max_attempts: Endpoints that one caller's attempt may be sent to.
        is_open: Whether no key is needed.
        is_resumable: Whether streams may go on at another endpoint.
        due_s: Time from a lot's acceptance to when all results are due.
        max_wait_s: Time after which an item of a lot may be given up.
        is_single_version: Whether a sample must come from one weight version.
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
        """Whether a request may run more than once."""
        return self.kind in (RouteKind.SAFE, RouteKind.ROLLOUT)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolScaling:
    """Bounds and prices of ordering endpoints of a pool.

    Attributes:
        least: Fewest endpoints in a failure domain.
        most: Most endpoints in a failure domain, cheap ones included.
        boot_s: Time from an order until an endpoint serves.
        cheap_price: Price of a cheap endpoint as a share of a regular one's.
        domain_prices: Price of a regular endpoint by failure domain.
    """

    min_endpoints: int
    max_endpoints: int
    boot_s: float
    cheap_price: float
    domain_prices: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A service: endpoints that serve the same routes.

    Attributes:
        name: Its name.
        max_connections: Connections that one endpoint accepts from all.
        models: Models that its engines serve; empty for plain services.
        scaling: How endpoints may be ordered; None if they can't be.
    """

    name: str
    max_connections: int
    models: tuple[str, ...] = ()
    scaling: PoolScaling | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Largest sum of header names and values.
        body_bytes: Largest body.
        idle_s: Time after which an idle connection is closed.
    """

    header_bytes: int = 16384
    body_bytes: int = 1 << 25
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account.

    Attributes:
        name: Its name.
        keys: Keys that callers may show.
        priority: Its rank, which goes before a route's; None for none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Manifest:
    """All that operators declare, as of one version.

    Attributes:
        version: Rises with each manifest.
        routes: All routes.
        pools: Pools by name.
        accounts: All accounts; None where keys aren't used at all.
        limits: Bounds on what callers send.
    """

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    accounts: tuple[Account, ...] | None
    limits: CallerLimits

    @functools.cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        """Routes of each host, longest prefix first."""
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host.lower(), []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        return found

    @functools.cached_property
    def _by_key(self) -> dict[str, Account]:
        return {
            key: account
            for account in self.accounts or ()
            for key in account.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Returns the account that holds a key."""
        return self._by_key.get(key)
