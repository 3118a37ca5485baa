"""What is known of one other daemon and of the holder of a duty."""

import dataclasses
import math

from daisyhub.cluster._messages import Ping

__all__ = ["HolderView", "PeerState"]


@dataclasses.dataclass(slots=True)
class PeerState:
    """One other daemon.

    Attributes:
        daemon_id: Its id.
        incarnation: Start of its process, microseconds since 1970.
        ping: Its last ping.
        last_received_at_s: When its last message was received, on the
            monotonic clock.
        last_ping_at_s: When its last ping was received.
    """

    daemon_id: str
    incarnation: int
    ping: Ping
    last_received_at_s: float
    last_ping_at_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class HolderView:
    """What is known of the holder of a duty.

    Attributes:
        daemon_id: The holder.
        incarnation: Start of its process.
        fencing: Its fencing number.
        address: Where its peer socket listens, `IP:PORT`.
        reaches_store: Whether it reaches the store.
        heard_at_s: When a daemon last received a ping of it, on this daemon's
            monotonic clock.
        standbys: The daemons that it pings in each round; empty if unknown.
        is_released: Whether it gave the duty up.
    """

    daemon_id: str
    incarnation: int
    fencing: int
    address: str
    reaches_store: bool
    heard_at_s: float
    standbys: frozenset[str] = frozenset()
    is_released: bool = False
