"""Decodes the operators' manifest (`config/main`) into a `Manifest`.

Some of the platform's names differ from the product's: `tenants` are client
accounts, `services` are pools, `backends` are the pools' shares of a route's
traffic, `public` means that no key is needed, `spot` endpoints are the cheap
ones.
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
from daisyhub.json_texts import decode_json

__all__ = ["CONFIG_KIND", "CONFIG_NAME", "PlatformManifestReader"]

CONFIG_KIND = "config"
CONFIG_NAME = "main"
_MS_PER_S = 1000.0


class _Backend(msgspec.Struct, frozen=True, rename="kebab"):
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
    backends: tuple[_Backend, ...] | None = None
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
    """Scaling of a service; `min` and `max` apply to each zone."""

    min: int = 0
    max: int = 0
    boot_time_s: float = 0.0
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    max_conns: int = 64
    health_path: str = "/health"
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 25
    header_timeout_ms: float = 10_000.0
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
    """Decodes the object `config/main`."""

    def read(self, spec: bytes) -> Manifest:
        """Returns the manifest; see `ManifestReader.read`."""
        try:
            config = decode_json(spec, type=_Config)
            return _to_manifest(config)
        except (msgspec.DecodeError, ValueError) as exc:
            raise ManifestError(str(exc)) from exc


def _to_manifest(config: _Config) -> Manifest:
    accounts = None
    if config.tenants is not None:
        accounts = tuple(
            Account(name=t.name, keys=t.api_keys, priority=t.priority)
            for t in config.tenants
        )
    limits = config.limits
    return Manifest(
        version=config.version,
        routes=tuple(_to_route(route) for route in config.routes),
        pools={service.name: _to_pool(service) for service in config.services},
        accounts=accounts,
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_timeout_s=limits.header_timeout_ms / _MS_PER_S,
            idle_s=limits.idle_timeout_ms / _MS_PER_S,
        ),
    )


def _to_route(route: _Route) -> Route:
    shares = tuple(
        PoolShare(share.service, share.weight)
        for share in route.backends or ()
        if share.weight > 0
    )
    if not shares and route.service is not None:
        shares = (PoolShare(route.service, 1.0),)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=RouteKind(route.route_type),
        shares=shares,
        timeout_s=route.timeout_ms / _MS_PER_S,
        target_latency_s=route.target_latency_ms / _MS_PER_S,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        is_open=route.public,
        is_resumable=route.resumable,
        due_s=route.due_ms / _MS_PER_S,
        max_wait_s=route.max_wait_s,
        is_single_version=route.single_version,
    )


def _to_pool(service: _Service) -> Pool:
    scaling = service.scaling
    return Pool(
        name=service.name,
        max_connections=service.max_conns,
        health_path=service.health_path,
        cold_start_s=service.cold_start_s,
        cold_per_s=service.cold_per_s,
        models=tuple(m.name for m in service.engine.models)
        if service.engine
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
