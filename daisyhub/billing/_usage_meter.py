"""Counts the requests of each account in windows of the true time."""

from collections.abc import Callable

import msgspec

__all__ = ["UsageMeter", "WindowCounts"]

# Windows kept; the oldest is long reported: reports are due two windows late.
_KEPT_WINDOWS = 8


class WindowCounts(msgspec.Struct, frozen=True, array_like=True):
    """What one start of one daemon counted in one window.

    Attributes:
        window: Number of the window since 1970.
        counts: Requests that began to run, by account.
    """

    window: int
    counts: dict[str, int]


class UsageMeter:
    """Counts requests; those in flight hold their window open.

    Args:
        window_s: Length of a window, seconds.
        clock: Returns the true time, seconds since 1970.
    """

    def __init__(self, window_s: float, clock: Callable[[], float]):
        self._window_s = window_s
        self._clock = clock
        self._counts: dict[int, dict[str, int]] = {}
        self._open: dict[int, tuple[int, str]] = {}
        self._tokens = 0

    def open(self, account: str) -> int:
        """Notes a request that is sent now; returns its token."""
        self._tokens += 1
        self._open[self._tokens] = (self._window(), account)
        return self._tokens

    def close(self, token: int, *, has_run: bool) -> None:
        """Ends a request, and counts it if it began to run."""
        window, account = self._open.pop(token)
        if not has_run or not account:
            return
        counts = self._counts.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1
        while len(self._counts) > _KEPT_WINDOWS:
            del self._counts[min(self._counts)]

    def snapshot(self) -> tuple[WindowCounts, ...]:
        """Returns the counts of all windows that are kept."""
        return tuple(
            WindowCounts(window, dict(counts))
            for window, counts in sorted(self._counts.items())
        )

    def closed_before(self) -> int:
        """Returns the first window whose counts may still rise."""
        return min([self._window(), *(w for w, _ in self._open.values())])

    def _window(self) -> int:
        return int(self._clock() // self._window_s)
