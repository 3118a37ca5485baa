"""Aggregates the request counts that daemons send in their pings."""

import dataclasses

from daisyhub.billing._usage_meter import WindowCounts

__all__ = ["UsageAggregator"]

# Windows stored per incarnation of a daemon: as many as its `UsageMeter` sends.
_MAX_WINDOWS = 8


@dataclasses.dataclass(slots=True)
class _DaemonUsage:
    """Counts of one incarnation of one daemon."""

    counts: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)
    closed_before: int = 0


class UsageAggregator:
    """Stores the newest counts of each incarnation of each daemon.

    Of a daemon that crashed, the counts of its last ping remain.
    """

    def __init__(self):
        self._usage_by_daemon: dict[tuple[str, int], _DaemonUsage] = {}

    def update(
        self,
        daemon_id: str,
        incarnation: int,
        usage: tuple[WindowCounts, ...],
        closed_before: int,
    ) -> None:
        """Stores the counts of one incarnation of a daemon.

        Args:
            daemon_id: The daemon.
            incarnation: Its incarnation.
            usage: Its counts so far, by window.
            closed_before: The first window whose counts may still increase.
        """
        daemon_usage = self._usage_by_daemon.setdefault(
            (daemon_id, incarnation), _DaemonUsage()
        )
        daemon_usage.closed_before = max(
            daemon_usage.closed_before, closed_before
        )
        for window_counts in usage:
            daemon_usage.counts[window_counts.window] = window_counts.counts
        for window in sorted(daemon_usage.counts)[:-_MAX_WINDOWS]:
            del daemon_usage.counts[window]

    def discard_before(self, window: int) -> None:
        """Removes incarnations whose pings and counts end before a window."""
        for key, daemon_usage in list(self._usage_by_daemon.items()):
            if (
                daemon_usage.closed_before < window
                and max(daemon_usage.counts, default=0) < window
            ):
                del self._usage_by_daemon[key]

    def total(self, window: int) -> dict[str, int]:
        """Returns the requests of a window by account."""
        total: dict[str, int] = {}
        for daemon_usage in self._usage_by_daemon.values():
            for account, count in daemon_usage.counts.get(window, {}).items():
                total[account] = total.get(account, 0) + count
        return total

    def is_complete(self, window: int, live: dict[str, int]) -> bool:
        """Whether every live daemon closed a window.

        Args:
            window: Its number.
            live: Incarnations of the live daemons by id.
        """
        return all(
            (daemon_usage := self._usage_by_daemon.get(key)) is not None
            and daemon_usage.closed_before > window
            for key in live.items()
        )
