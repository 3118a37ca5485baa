"""Limits of a listener: what its connections may cost the process."""

import dataclasses
import resource
from collections.abc import Callable

from daisyhub.memory import MemoryBudget

__all__ = [
    "ConnectionLimits",
    "ListenerLimits",
    "count_links",
    "count_sockets",
]

# Fraction of the process's sockets that are kept for endpoints, the platform
# and peers.
_OWN_SHARE = 0.3
# Fraction of those for connections that peers open.
_LINKS_SHARE = 0.5
# Sockets if neither the settings nor the system state a limit.
_UNLIMITED_SOCKETS = 1 << 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """What the client of one connection may send, and how long it may take.

    Attributes:
        header_bytes: Maximum total size of header names and values. The head
            as a whole, with request line, separators and empty lines before
            it, may have four times that size, and so may the framing of a
            chunked body without progress, and its trailers.
        head_timeout_s: Maximum time from the first byte of a head to its end.
        idle_timeout_s: Time without a request after which a connection is
            closed.
    """

    header_bytes: int = 16384
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0

    @property
    def framing_bytes(self) -> int:
        """Maximum size of what isn't part of a body."""
        return 4 * self.header_bytes


def _ignore(reason: str) -> None:
    """The default of `ListenerLimits.on_refused`."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenerLimits:
    """Limits of all connections of a listener.

    Attributes:
        memory: Memory of the process for what clients send.
        connections: Maximum number of open connections.
        get_limits: Returns the limits of each connection, which may change.
        on_refused: Called with the reason for each connection that is closed
            since its client exceeded a limit.
    """

    memory: MemoryBudget
    connections: int = _UNLIMITED_SOCKETS
    get_limits: Callable[[], ConnectionLimits] = ConnectionLimits
    on_refused: Callable[[str], None] = _ignore


def count_sockets(stated: int) -> int:
    """Returns how many sockets clients may have open together.

    Args:
        stated: Number of sockets of the process; 0 for its resource limit.
    """
    return int((1 - _OWN_SHARE) * _count_all_sockets(stated))


def count_links(stated: int) -> int:
    """Returns how many connections peers may have open together.

    Args:
        stated: Number of sockets of the process; 0 for its resource limit.
    """
    return int(_LINKS_SHARE * _OWN_SHARE * _count_all_sockets(stated))


def _count_all_sockets(stated: int) -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = _UNLIMITED_SOCKETS if soft == resource.RLIM_INFINITY else soft
    return min(known, stated or known)
