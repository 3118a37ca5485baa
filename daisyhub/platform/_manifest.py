"""Decodes the operators' manifest (`config/main`) into a `Manifest`.

Where the platform's names mislead: `tenants` are client accounts, `services`
are pools, `backends` are the shares of a route's traffic, `public` means that
no key is needed, `spot` endpoints are the cheap ones.
"""

import msgspec

from daisyhub.catalog import (
    Account,
    CallerLimits,
    Manifest,
    ManifestError,
    ManifestReader,
    Pool,
    PoolScaling,
    PoolShare,
    Route,
    RouteKind,
)

__all__ = ["CONFIG_KIND", "CONFIG_NAME", "PlatformManifestReader"]

CONFIG_KIND = "config"
CONFIG_NAME = "main"
_MS_PER_S = 1000.0


class _Share(msgspec.Struct, frozen=True, rename="kebab"):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float = 10_000.0
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    backends: tuple[_Share, ...] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    due_ms: float = 0.0
    max_wait_s: float = 0.0
    single_version: bool = False


class _Model(msgspec.Struct, frozen=True, rename="kebab"):
    name: str


class _Engine(msgspec.Struct, frozen=True, rename="kebab"):
    models: tuple[_Model, ...] = ()


class _Scaling(msgspec.Struct, frozen=True, rename="kebab"):
    """Bounds hold for each zone."""

    min: int = 0
    max: int = 0
    boot_time_s: float = 0.0
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    max_conns: int = 64
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 25
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Config(msgspec.Struct, frozen=True, rename="kebab"):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class PlatformManifestReader(ManifestReader):
    """Reads the object `config/main`."""

    def read(self, spec: bytes) -> Manifest:
        """Returns the manifest; see `ManifestReader.read`."""
        try:
            found = msgspec.json.decode(spec, type=_Config)
            return _manifest(found)
        except (msgspec.DecodeError, ValueError) as exc:
            raise ManifestError(str(exc)) from exc


def _manifest(found: _Config) -> Manifest:
    accounts = None
    if found.tenants is not None:
        accounts = tuple(
            Account(name=t.name, keys=t.api_keys, priority=t.priority)
            for t in found.tenants
        )
    limits = found.limits
    return Manifest(
        version=found.version,
        routes=tuple(_route(route) for route in found.routes),
        pools={service.name: _pool(service) for service in found.services},
        accounts=accounts,
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            idle_s=limits.idle_timeout_ms / _MS_PER_S,
        ),
    )


def _route(found: _Route) -> Route:
    shares = tuple(
        PoolShare(share.service, share.weight)
        for share in found.backends or ()
        if share.weight > 0
    )
    if not shares and found.service is not None:
        shares = (PoolShare(found.service, 1.0),)
    return Route(
        name=found.name,
        host=found.host,
        path_prefix=found.path_prefix,
        kind=RouteKind(found.route_type),
        shares=shares,
        timeout_s=found.timeout_ms / _MS_PER_S,
        target_latency_s=found.target_latency_ms / _MS_PER_S,
        priority=found.priority,
        max_attempts=max(1, found.max_attempts),
        is_open=found.public,
        is_resumable=found.resumable,
        due_s=found.due_ms / _MS_PER_S,
        max_wait_s=found.max_wait_s,
        is_single_version=found.single_version,
    )


def _pool(found: _Service) -> Pool:
    scaling = found.scaling
    return Pool(
        name=found.name,
        max_connections=found.max_conns,
        models=tuple(m.name for m in found.engine.models)
        if found.engine
        else (),
        scaling=None
        if scaling is None
        else PoolScaling(
            min_endpoints=scaling.min,
            max_endpoints=scaling.max,
            boot_s=scaling.boot_time_s,
            cheap_price=scaling.spot_price,
            domain_prices=scaling.zone_prices,
        ),
    )
