"""Bounds the share of the event loop that some kind of work takes.

The load it answers: servers and clients that send a body in chunks of a few
bytes, as fast as they are read. Each chunk costs a fixed time to parse, so that
a few such bodies would take all of the loop, and no timeout, health check or
request of others would be served on time.
"""

__all__ = ["WorkShare"]


class WorkShare:
    """Tells how long to wait after each slice of the work.

    All who do the work in one process share it.

    Args:
        share: Largest share of the time that the work may take, above 0.
    """

    def __init__(self, share: float):
        self._share = share
        self._free_at_s = float("-inf")

    def add(self, took_s: float, now_s: float) -> float:
        """Records a slice of work; returns the seconds until the next one.

        Args:
            took_s: Time that the slice took.
            now_s: Its end, on a monotonic clock.
        """
        # The time of the slice itself is over already.
        busy_until_s = max(self._free_at_s, now_s)
        self._free_at_s = busy_until_s + took_s * (1 / self._share - 1)
        return self._free_at_s - now_s
