"""Chooses the pool that serves an open lot, also after its route changes.

A lot stays open for seconds, and meanwhile the operator may move its route to
another pool, split it, or remove it; the endpoints of a pool may all leave. A
lot is served by one pool at a time, as its groups share prompts that an engine
keeps in its cache. Of a split route each pool therefore serves a share of the
lots instead of a share of each lot.
"""

import hashlib
import math
from collections.abc import Collection, Iterable

from daisyhub.catalog import PoolShare

__all__ = ["choose_pool"]

_HASH_BYTES = 8
_HASH_RANGE = 2 ** (8 * _HASH_BYTES)


def choose_pool(
    lot_id: str,
    shares: Iterable[PoolShare],
    *,
    current: str = "",
    served: Collection[str] | None = None,
) -> str:
    """Returns the pool that serves a lot; empty if its route has none.

    A lot stays in its pool while the route leads there and the pool has an
    engine for it. Otherwise weighted rendezvous hashing chooses one of the
    route's pools, the same one at each daemon; those with an engine come first.

    Args:
        lot_id: The lot.
        shares: Shares of the lot's route; none if the route doesn't exist.
        current: The pool that serves the lot now; empty for none.
        served: Pools with an engine for the lot; None if that isn't known.
    """
    routed = [share for share in shares if share.weight > 0]
    if served is not None:
        routed = [s for s in routed if s.pool in served] or routed
    if not routed:
        return ""
    if any(share.pool == current for share in routed):
        return current
    return max(routed, key=lambda share: _score(lot_id, share)).pool


def _score(lot_id: str, share: PoolShare) -> float:
    """Returns a score that is highest for a share as often as its weight."""
    text = f"{lot_id}\0{share.pool}".encode()
    digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    fraction = (int.from_bytes(digest) + 0.5) / _HASH_RANGE
    return -share.weight / math.log(fraction)
