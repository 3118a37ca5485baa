"""Chooses which connection makes room when a listener has too many.

The load: clients that open connections and send nothing, or a part of a
request. Left open, they use up the descriptors of the process, which then
neither accepts callers nor reaches its endpoints.
"""

import abc

__all__ = ["ConnectionTable", "EvictableConnection"]


class EvictableConnection(abc.ABC):
    """A connection that can be closed while no request is in progress."""

    @abc.abstractmethod
    def evict(self) -> None:
        """Closes the connection at once."""


class ConnectionTable:
    """The connections of a listener.

    Connections with a request in progress are never evicted.

    Args:
        most: Maximum number of connections.
    """

    def __init__(self, most: int):
        self._most = most
        self._count = 0
        # In the order in which they became idle. Those that have completed a
        # request are kept longer, since their clients will likely send more.
        self._new: dict[EvictableConnection, None] = {}
        self._used: dict[EvictableConnection, None] = {}

    def add(self, conn: EvictableConnection) -> None:
        """Adds a new connection; evicts one, perhaps this, if there are more.

        The longest without a complete request goes first, then the one that
        has been idle for longest.
        """
        self._count += 1
        if self._count > self._most:
            self._choose(conn).evict()
        self._new[conn] = None

    def _choose(self, newcomer: EvictableConnection) -> EvictableConnection:
        for idle in (self._new, self._used):
            if idle:
                victim = next(iter(idle))
                del idle[victim]
                return victim
        return newcomer

    def set_busy(self, conn: EvictableConnection) -> None:
        """Records that a request is in progress."""
        self._new.pop(conn, None)
        self._used.pop(conn, None)

    def set_idle(self, conn: EvictableConnection) -> None:
        """Records that a request or message was completed."""
        self.set_busy(conn)
        self._used[conn] = None

    def remove(self, conn: EvictableConnection) -> None:
        """Removes a connection that was closed."""
        self._count -= 1
        self.set_busy(conn)
