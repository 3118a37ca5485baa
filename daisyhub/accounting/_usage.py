"""Counting usage and merging the counts of several daemons.

Counts are sums per client account, window and daemon epoch. A part with
higher sums replaces an earlier part of the same daemon epoch, so that merging
is idempotent and its order doesn't matter.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

__all__ = [
    "SealedWindow",
    "UsageCount",
    "UsageCounters",
    "UsagePart",
    "seal_window",
    "window_of",
]


class UsageCount(msgspec.Struct, frozen=True, kw_only=True):
    """Sums for one client account in one window."""

    account: str
    requests: int = 0
    tokens: int = 0


class UsagePart(msgspec.Struct, frozen=True, kw_only=True):
    """What one daemon epoch counted in one window.

    Attributes:
        daemon_id: Whose counts.
        epoch: Incarnation of that daemon.
        window: Start of the window, whole seconds since the epoch.
        counts: By account.
    """

    daemon_id: str
    epoch: int
    window: int
    counts: tuple[UsageCount, ...]


class SealedWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a window that never change again.

    Attributes:
        failure_domain: Where the usage was counted.
        window: Start of the window, whole seconds since the epoch.
        counts: Sums by account, late usage included.
        late: The share of `counts` that belongs to earlier, sealed windows.
        parts: What `counts` adds up, by daemon epoch and window.
    """

    failure_domain: str
    window: int
    counts: tuple[UsageCount, ...]
    late: tuple[UsageCount, ...] = ()
    parts: tuple[UsagePart, ...] = ()


def window_of(wall_s: float, length_s: float) -> int:
    """Returns the start of the window that a time falls into."""
    return int(wall_s // length_s * length_s)


def seal_window(
    domain: str,
    window: int,
    parts: Iterable[UsagePart],
    earlier: Iterable[SealedWindow],
) -> SealedWindow:
    """Makes the figures of a window out of all that isn't sealed yet.

    Args:
        domain: The failure domain.
        window: The window to seal.
        parts: Everything known of this window and earlier ones; parts of one
            daemon epoch may repeat and grow.
        earlier: The windows sealed before.
    """
    sealed = _sums_of(part for old in earlier for part in old.parts)
    increments = []
    for place, count in _highest(parts).items():
        rest = _subtract(count, sealed.get(place))
        if place.window <= window and (rest.requests or rest.tokens):
            increments.append((place, rest))
    return SealedWindow(
        failure_domain=domain,
        window=window,
        counts=_sums_by_account(rest for _, rest in increments),
        late=_sums_by_account(
            rest for place, rest in increments if place.window < window
        ),
        parts=tuple(_part(place, rest) for place, rest in increments),
    )


class _Place(NamedTuple):
    """What counts are kept apart by."""

    daemon_id: str
    epoch: int
    window: int
    account: str


def _counts_of(parts: Iterable[UsagePart]):
    for part in parts:
        for count in part.counts:
            yield (
                _Place(part.daemon_id, part.epoch, part.window, count.account),
                count,
            )


def _highest(parts: Iterable[UsagePart]) -> dict[_Place, UsageCount]:
    best: dict[_Place, UsageCount] = {}
    for place, count in _counts_of(parts):
        known = best.get(place)
        if known is None or known.requests < count.requests:
            best[place] = count
    return best


def _sums_of(parts: Iterable[UsagePart]) -> dict[_Place, UsageCount]:
    sums: dict[_Place, UsageCount] = {}
    for place, count in _counts_of(parts):
        sums[place] = _add(sums.get(place), count)
    return sums


def _sums_by_account(counts: Iterable[UsageCount]) -> tuple[UsageCount, ...]:
    sums: dict[str, UsageCount] = {}
    for count in counts:
        sums[count.account] = _add(sums.get(count.account), count)
    return tuple(sums[account] for account in sorted(sums))


def _add(known: UsageCount | None, count: UsageCount) -> UsageCount:
    if known is None:
        return count
    return UsageCount(
        account=count.account,
        requests=known.requests + count.requests,
        tokens=known.tokens + count.tokens,
    )


def _subtract(count: UsageCount, sealed: UsageCount | None) -> UsageCount:
    if sealed is None:
        return count
    return UsageCount(
        account=count.account,
        requests=max(0, count.requests - sealed.requests),
        tokens=max(0, count.tokens - sealed.tokens),
    )


def _part(place: _Place, count: UsageCount) -> UsagePart:
    return UsagePart(
        daemon_id=place.daemon_id,
        epoch=place.epoch,
        window=place.window,
        counts=(count,),
    )


class UsageCounters:
    """Counts of one daemon epoch."""

    def __init__(self, daemon_id: str, epoch: int, window_s: float):
        self.daemon_id = daemon_id
        self.epoch = epoch
        self.window_s = window_s
        self._sums: dict[int, dict[str, UsageCount]] = {}

    def add(self, account: str, tokens: int, wall_s: float) -> None:
        """Counts one served request."""
        window = window_of(wall_s, self.window_s)
        sums = self._sums.setdefault(window, {})
        known = sums.get(account, UsageCount(account=account))
        sums[account] = UsageCount(
            account=account,
            requests=known.requests + 1,
            tokens=known.tokens + tokens,
        )

    def part(self, window: int) -> UsagePart:
        """Returns the counts of one window so far."""
        sums = self._sums.get(window, {})
        return UsagePart(
            daemon_id=self.daemon_id,
            epoch=self.epoch,
            window=window,
            counts=tuple(sums[account] for account in sorted(sums)),
        )

    def windows(self) -> list[int]:
        """Returns the windows that have counts, oldest first."""
        return sorted(self._sums)

    def drop(self, window: int) -> None:
        """Forgets a window that was flushed."""
        self._sums.pop(window, None)
