"""What every daemon counted, as its pings told."""

import dataclasses

from daisyhub.billing._usage_meter import WindowCounts

__all__ = ["UsageAggregator"]

# Windows kept of each start of a daemon.
_KEPT_WINDOWS = 8


@dataclasses.dataclass(slots=True)
class _Page:
    """One start of one daemon."""

    counts: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)
    closed_before: int = 0


class UsageAggregator:
    """Keeps the highest counts of each start of each daemon.

    A daemon that died leaves the counts of its last ping.
    """

    def __init__(self):
        self._pages: dict[tuple[str, int], _Page] = {}

    def update(
        self,
        daemon_id: str,
        incarnation: int,
        usage: tuple[WindowCounts, ...],
        closed_before: int,
    ) -> None:
        """Takes what one start of a daemon counted so far."""
        page = self._pages.setdefault((daemon_id, incarnation), _Page())
        page.closed_before = max(page.closed_before, closed_before)
        for told in usage:
            page.counts[told.window] = told.counts
        for window in sorted(page.counts)[:-_KEPT_WINDOWS]:
            del page.counts[window]

    def forget_before(self, window: int) -> None:
        """Drops starts of daemons that count nothing from a window on."""
        for key, page in list(self._pages.items()):
            if page.closed_before < window and max(page.counts, default=0) < (
                window
            ):
                del self._pages[key]

    def total(self, window: int) -> dict[str, int]:
        """Returns the requests of a window by account."""
        total: dict[str, int] = {}
        for page in self._pages.values():
            for account, count in page.counts.get(window, {}).items():
                total[account] = total.get(account, 0) + count
        return total

    def is_complete(self, window: int, live: dict[str, int]) -> bool:
        """Whether every live daemon closed a window.

        Args:
            window: Its number.
            live: Incarnations of the live daemons by id.
        """
        return all(
            (page := self._pages.get(key)) is not None
            and page.closed_before > window
            for key in live.items()
        )
