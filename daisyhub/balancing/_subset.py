"""Which endpoints of a pool a daemon uses, and which of them first.

If each daemon used all endpoints, each endpoint would get connections from all
daemons, most of which are idle when they are needed. A daemon therefore uses
one endpoint of each failure domain, and prefers one of these.

Every daemon computes the same assignment from the live daemons and the
capacities of endpoints, by rendezvous hashing with bounded loads: daemons
choose in a fixed order, and an endpoint that has its share of the daemons isn't
chosen again. Plain rendezvous hashing of some fifty daemons would give the
busiest of three endpoints an eighth more than its share. If the daemons' views
differ, their shares differ a little.
"""

import functools
import hashlib
import math
from collections.abc import Mapping, Sequence

__all__ = ["order_endpoints", "rank_by_daemon"]

_RANK_BYTES = 6
_MAX_RANK = 256**_RANK_BYTES


@functools.lru_cache(maxsize=16384)
def rank_by_daemon(daemon_id: str, endpoint_id: str) -> float:
    """Returns a number for an endpoint that differs by daemon."""
    text = f"{daemon_id}/{endpoint_id}".encode()
    digest = hashlib.blake2b(text, digest_size=_RANK_BYTES).digest()
    return float(int.from_bytes(digest))


def order_endpoints(
    own_id: str,
    daemon_ids: Sequence[str],
    domains: Mapping[str, str],
    capacities: Mapping[str, float],
) -> list[str]:
    """Returns the endpoints in the order in which a daemon prefers them.

    The first ones, one of each failure domain, are its subset.

    Args:
        own_id: The daemon.
        daemon_ids: All live daemons; the daemon itself need not be named.
        domains: Failure domain by endpoint.
        capacities: Capacity by endpoint; daemons are shared in proportion.
    """
    daemon_ids = sorted({*daemon_ids, own_id}, key=_order_key)
    by_domain: dict[str, list[str]] = {}
    for endpoint_id in sorted(domains):
        by_domain.setdefault(domains[endpoint_id], []).append(endpoint_id)
    pickers = [
        _Picker(ids, capacities, len(daemon_ids)) for ids in by_domain.values()
    ]
    first = _Picker(sorted(domains), capacities, len(daemon_ids))
    for daemon_id in daemon_ids:
        subset = [p.pick(daemon_id, p.endpoint_ids) for p in pickers]
        primary = first.pick(daemon_id, subset)
        if daemon_id == own_id:
            break
    return sorted(
        domains,
        key=lambda e: (
            e != primary,
            e not in subset,
            _distance(own_id, e, capacities[e]),
        ),
    )


class _Picker:
    """Assigns daemons to endpoints in proportion to their capacities."""

    def __init__(
        self,
        endpoint_ids: list[str],
        capacities: Mapping[str, float],
        daemons: int,
    ):
        self.endpoint_ids = endpoint_ids
        self._capacities = capacities
        total = sum(capacities[e] for e in endpoint_ids)
        self._free = {
            e: math.ceil(daemons * capacities[e] / total) for e in endpoint_ids
        }

    def pick(self, daemon_id: str, candidates: list[str]) -> str:
        """Returns the candidate that is nearest of those with a share left."""
        with_share = [e for e in candidates if self._free[e] > 0]
        chosen = min(
            with_share or candidates,
            key=lambda e: _distance(daemon_id, e, self._capacities[e]),
        )
        self._free[chosen] -= 1
        return chosen


def _order_key(daemon_id: str) -> tuple[float, str]:
    return rank_by_daemon(daemon_id, ""), daemon_id


def _distance(daemon_id: str, endpoint_id: str, capacity: float) -> float:
    """Returns a number that is distributed exponentially over daemons.

    Its rate is the capacity, so that an endpoint is the nearest one of a part
    of the daemons that is proportional to it.
    """
    share = (rank_by_daemon(daemon_id, endpoint_id) + 0.5) / _MAX_RANK
    return -math.log(share) / capacity
