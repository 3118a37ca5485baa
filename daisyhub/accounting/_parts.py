"""Parts: numbered pieces of one daemon's usage that never change.

A daemon epoch cuts what it counted into parts numbered from 1. A part is
copied, flushed and sealed as a whole, so that sealing can name what it took
by number and nothing is taken twice, in whatever order copies come.
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

PartId = tuple[str, int, int]


class UsageCount(msgspec.Struct, frozen=True, kw_only=True):
    """Sums for one client account, as reported."""

    account: str
    requests: int = 0
    tokens: int = 0


class PartCount(msgspec.Struct, frozen=True, array_like=True):
    """Sums for one client account in one part; short on the wire."""

    account: str
    requests: int = 0
    tokens: int = 0


class UsagePart(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A piece of what one daemon epoch counted in one window.

    Attributes:
        daemon_id: Whose counts.
        epoch: Incarnation of that daemon.
        number: Of the part, from 1, within the epoch.
        window: Start of the window, whole seconds since the epoch.
        counts: By account; what was counted since the part before.
    """

    daemon_id: str
    epoch: int
    number: int
    window: int
    counts: tuple[PartCount, ...]

    @property
    def part_id(self) -> PartId:
        """Names the part; two parts with one id are the same."""
        return (self.daemon_id, self.epoch, self.number)


class PartStore(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a daemon's object at the platform: parts not yet sealed."""

    parts: tuple[UsagePart, ...] = ()


class ListedStore(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon's object as it was listed."""

    daemon_id: str
    store: PartStore
    version: int


def window_start(wall_s: float, length_s: float) -> int:
    """Returns the start of the window that a time falls into."""
    return int(wall_s // length_s * length_s)


def sum_counts(counts: Iterable[PartCount]) -> tuple[UsageCount, ...]:
    """Adds counts up by account, sorted by account."""
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
