"""The active manifest: routes, pools, client accounts and limits.

Operators store the manifest on the users' platform. `daisyhub.config` is its
counterpart on the product's own platform.
"""

from daisyhub.catalog._controller import ManifestController, ManifestReader
from daisyhub.catalog._types import (
    Account,
    CallerLimits,
    Manifest,
    ManifestError,
    Pool,
    PoolScaling,
    PoolShare,
    Route,
    RouteKind,
)

__all__ = [
    "Account",
    "CallerLimits",
    "Manifest",
    "ManifestController",
    "ManifestError",
    "ManifestReader",
    "Pool",
    "PoolScaling",
    "PoolShare",
    "Route",
    "RouteKind",
]
