"""Usage parts: immutable, numbered portions of one daemon's usage.

Each daemon epoch splits its counts into parts numbered from 1. A part is
copied, flushed and sealed as a whole. The ledger identifies sealed parts by
their numbers, so that each is counted once, whatever the order of copies.
"""

from collections.abc import Iterable

import msgspec

__all__ = [
    "ListedStore",
    "PartCount",
    "PartId",
    "PartStore",
    "UsageCount",
    "UsagePart",
    "sum_counts",
    "window_start",
]

# Daemon id, epoch and number of a part.
PartId = tuple[str, int, int]


class UsageCount(msgspec.Struct, frozen=True, kw_only=True):
    """Sums for one client account in a report."""

    account: str
    requests: int = 0
    tokens: int = 0


class PartCount(msgspec.Struct, frozen=True, array_like=True):
    """Sums for one client account in one part; encoded as an array."""

    account: str
    requests: int = 0
    tokens: int = 0


class UsagePart(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Counts of one daemon epoch in one window since the previous part.

    Attributes:
        daemon_id: Daemon that counted.
        epoch: Incarnation of that daemon.
        number: Number of the part within the daemon's epoch, from 1.
        window: Start of the window, whole seconds since the Unix epoch.
        counts: Sums by account.
    """

    daemon_id: str
    epoch: int
    number: int
    window: int
    counts: tuple[PartCount, ...]

    @property
    def part_id(self) -> PartId:
        """Id of the part; copies with the same id are equal."""
        return (self.daemon_id, self.epoch, self.number)


class PartStore(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a daemon's object at the platform: its unsealed parts."""

    parts: tuple[UsagePart, ...] = ()


class ListedStore(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon's object in a listing."""

    daemon_id: str
    store: PartStore
    version: int


def window_start(wall_s: float, length_s: float) -> int:
    """Returns the start of the window that contains `wall_s`.

    Args:
        wall_s: Wall-clock time in seconds since the Unix epoch.
        length_s: Length of a window in seconds.
    """
    return int(wall_s // length_s * length_s)


def sum_counts(counts: Iterable[PartCount]) -> tuple[UsageCount, ...]:
    """Returns the sums by account, sorted by account."""
    requests: dict[str, int] = {}
    tokens: dict[str, int] = {}
    for count in counts:
        account = count.account
        requests[account] = requests.get(account, 0) + count.requests
        tokens[account] = tokens.get(account, 0) + count.tokens
    return tuple(
        UsageCount(
            account=account, requests=requests[account], tokens=tokens[account]
        )
        for account in sorted(requests)
    )
