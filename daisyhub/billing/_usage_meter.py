"""Counts the requests of each account in time windows."""

from collections.abc import Callable

import msgspec

__all__ = ["UsageMeter", "WindowCounts"]

# Windows stored. The oldest was reported long before it is dropped, since
# reports are due two windows after a window's end.
_MAX_WINDOWS = 8


class WindowCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one incarnation of a daemon in one window.

    Attributes:
        window: Number of the window, counted since 1970.
        counts: Number of requests that started to run, by account.
    """

    window: int
    counts: dict[str, int]


class UsageMeter:
    """Counts the requests of this daemon.

    A request counts in the window in which it was sent. The window isn't
    closed while such a request is open.

    Args:
        window_s: Length of a window.
        clock: Returns the time that the daemons agree on, seconds since 1970;
            see `ClusterClock`.
    """

    def __init__(self, window_s: float, clock: Callable[[], float]):
        self._window_s = window_s
        self._clock = clock
        self._counts: dict[int, dict[str, int]] = {}
        # Window and account of each open request, by token.
        self._open: dict[int, tuple[int, str]] = {}
        self._last_token = 0

    def open(self, account: str) -> int:
        """Records that a request is sent; returns its token.

        Args:
            account: Its client account; empty if it has none.
        """
        self._last_token += 1
        self._open[self._last_token] = (self._current_window(), account)
        return self._last_token

    def close(self, token: int, *, has_run: bool) -> None:
        """Records the end of a request and counts it if it started to run."""
        window, account = self._open.pop(token)
        if not has_run or not account:
            return
        counts = self._counts.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1
        while len(self._counts) > _MAX_WINDOWS:
            del self._counts[min(self._counts)]

    def snapshot(self) -> tuple[WindowCounts, ...]:
        """Returns the counts of the stored windows in ascending order."""
        return tuple(
            WindowCounts(window, dict(counts))
            for window, counts in sorted(self._counts.items())
        )

    def closed_before(self) -> int:
        """Returns the first window whose counts may still increase."""
        return min(
            [self._current_window(), *(w for w, _ in self._open.values())]
        )

    def _current_window(self) -> int:
        return int(self._clock() // self._window_s)
