"""When and to which pool a request is sent, and how long it may take."""

import random

from daisyhub.catalog import Route
from daisyhub.gateway._send_task import SendTask

__all__ = [
    "HEDGE_LEAD_FACTOR",
    "choose_pools",
    "endpoint_timeout_s",
    "hedge_after_s",
]

# A hedge is sent this many median latencies before the target latency, so that
# its response can meet the target. For comparison: the 99th percentile of a
# log-normal distribution with a sigma of 0.5 is 3.2 medians.
HEDGE_LEAD_FACTOR = 2.5
# No hedge is sent before this many median latencies. About one response in ten
# takes longer; more hedges would add load where it is already high.
_MIN_HEDGE_DELAY_FACTOR = 1.9
# The endpoint's deadline is this much before the caller's, for the transfer of
# the response and a margin for a busy daemon.
_ENDPOINT_MARGIN_S = 0.03


def choose_pools(route: Route) -> tuple[str, ...]:
    """Returns a tuple of one pool of the route, chosen randomly by weight."""
    if len(route.shares) == 1:
        return (route.shares[0].pool,)
    weights = [share.weight for share in route.shares]
    chosen = random.choices(route.shares, weights)[0]
    return (chosen.pool,)


def hedge_after_s(task: SendTask, median_s: float) -> float:
    """Returns the hedging delay in seconds; 0 for no hedging.

    The delay is chosen so that the second attempt can meet the route's target
    latency. Only idempotent requests whose response is buffered are hedged.
    """
    if task.is_streamed or not task.route.idempotent:
        return 0.0
    if task.is_background:
        return max(task.route.target_latency_s, HEDGE_LEAD_FACTOR * median_s)
    latest_s = task.route.target_latency_s - HEDGE_LEAD_FACTOR * median_s
    return max(latest_s, _MIN_HEDGE_DELAY_FACTOR * median_s)


def endpoint_timeout_s(remaining_s: float) -> float:
    """Returns the timeout to send to the endpoint, in seconds.

    An endpoint that reaches its deadline sends an error response. If that
    response arrives before the caller's deadline, the connection is reusable.
    The margin is at most a quarter of the remaining time.
    """
    return remaining_s - min(_ENDPOINT_MARGIN_S, remaining_s / 4)
