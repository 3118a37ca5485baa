"""Manifests as the operator writes them."""

from review.lib.case import HOST, KEY

__all__ = ["manifest", "plain_route", "rollout_route"]


def plain_route(name: str, prefix: str, service: str, **more) -> dict:
    """Returns a route for requests that may be repeated."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-type": "safe",
        "service": service,
        "max-attempts": 3,
        "timeout-ms": 2000,
        "target-latency-ms": 200,
        "priority": 2,
        **more,
    }


def rollout_route(service: str, **more) -> dict:
    """Returns the route of the batch submissions."""
    return {
        "name": "gen",
        "host": HOST,
        "path-prefix": "/gen/",
        "route-type": "rollout",
        "service": service,
        "max-attempts": 3,
        "timeout-ms": 10000,
        "target-latency-ms": 400,
        "due-ms": 7500,
        "max-wait-s": 40,
        "priority": 1,
        **more,
    }


def manifest(version: int, routes: list[dict], services: dict) -> dict:
    """Returns a manifest; services by name, with their models."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "max-conns": 130,
                "health-path": "/health",
                **(
                    {"engine": {"models": [{"name": m} for m in models]}}
                    if models
                    else {}
                ),
            }
            for name, models in services.items()
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "t", "api-keys": [KEY]}],
    }
