"""Keeps pings small enough for a datagram."""

import msgspec

from daisyhub.cluster._messages import Ping

__all__ = ["fit_into_datagram"]

# Size in bytes up to which a ping gets the figures below, one after the other:
# a datagram has 1,400, and its frame needs some of them. With all figures and
# the state of a holder a ping has 1,454.
_MAX_PING_BYTES = 1300
# Figures that a ping does without if they don't fit; the first one changes with
# each round. They are valid for two seconds or more.
_OPTIONAL_FIGURES = ("capacity", "backlog", "loads")


def fit_into_datagram(ping: Ping, turn: int) -> Ping:
    """Returns a ping without the figures that make it too large.

    Args:
        ping: The ping.
        turn: Number that tells which figures come first.
    """
    if ping.capacity is None and ping.backlog is None and not ping.loads:
        return ping
    empty = {"capacity": None, "backlog": None, "loads": ()}
    left = msgspec.structs.replace(ping, **empty)
    size = len(msgspec.msgpack.encode(left))
    first = turn % len(_OPTIONAL_FIGURES)
    kept = {}
    for name in _OPTIONAL_FIGURES[first:] + _OPTIONAL_FIGURES[:first]:
        figures = getattr(ping, name)
        if not figures:
            continue
        figures_size = len(name) + len(msgspec.msgpack.encode(figures))
        if size + figures_size <= _MAX_PING_BYTES:
            size += figures_size
            kept[name] = figures
    return msgspec.structs.replace(left, **kept)
