"""Decides when a usage window is sealed and reported.

A seal is a stored object with the counts of a window. It is created once and
never changed, so that every report of a window, by any daemon, has the same
counts.

Times are seconds since 1970 on the clock that the daemons agree on (see
`ClusterClock`).
"""

import dataclasses

from daisyhub.base import Core

__all__ = [
    "ReportWindow",
    "SealFailed",
    "SealWindow",
    "WindowCore",
    "WindowReported",
    "WindowSealed",
    "WindowTick",
]

# Windows before the current one that a new holder processes. Reports are due
# two windows after a window's end.
_INITIAL_WINDOWS = 3
# Maximum wait for daemons that haven't closed a window, as a fraction of the
# time until its report is due. The rest is for the calls of the store and the
# platform.
_MAX_WAIT_RATIO = 0.6
# Delay before a failed call is repeated.
_RETRY_DELAY_S = 0.4
# Minimum time from a window's end until it is sealed, since the last counts
# arrive with pings.
_SEAL_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WindowTick:
    """A periodic tick.

    Attributes:
        complete_before: The first window that isn't final in every live
            daemon.
    """

    complete_before: int


@dataclasses.dataclass(frozen=True, slots=True)
class WindowSealed:
    """A window is sealed with these counts, by this daemon or another."""

    window: int
    counts: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SealFailed:
    """A seal could be neither created nor read."""

    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class WindowReported:
    """The call that reports a window ended.

    Attributes:
        window: Number of the window.
        is_done: Whether the platform accepted the report.
    """

    window: int
    is_done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SealWindow:
    """Action: seal a window with the current counts unless it is sealed."""

    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportWindow:
    """Action: report the counts of a window's seal."""

    window: int
    counts: dict[str, int]


@dataclasses.dataclass(slots=True)
class _Window:
    """State of a window that ended and isn't reported yet.

    Attributes:
        counts: Counts of its seal; None until it is sealed.
        is_busy: Whether it is being sealed or reported.
        retry_at_s: When it may be sealed or reported again after a failure.
    """

    counts: dict[str, int] | None = None
    is_busy: bool = False
    retry_at_s: float = 0.0


class WindowCore(Core):
    """Decides about all windows while this daemon holds the duty.

    Args:
        window_s: Length of a window.
        report_deadline_s: Time after a window's end by which its report is due.
    """

    def __init__(self, window_s: float, report_deadline_s: float):
        self.window_s = window_s
        self.report_deadline_s = report_deadline_s
        self._next_window: int | None = None
        self._open: dict[int, _Window] = {}
        # While seals, or reports, fail: when the next one may be tried.
        self._seal_retry_at_s: float | None = None
        self._report_retry_at_s: float | None = None

    @property
    def next_wakeup_s(self) -> float | None:
        """None: the controller sends periodic ticks."""
        return None

    @property
    def open_windows(self) -> tuple[int, ...]:
        """Numbers of the windows that ended and aren't reported yet."""
        return tuple(sorted(self._open))

    def handle(self, event: object, now_s: float) -> list[object]:
        """Processes an event; returns `SealWindow`, `ReportWindow` actions."""
        match event:
            case WindowTick():
                return self._on_tick(event, now_s)
            case WindowSealed():
                return self._on_sealed(event)
            case SealFailed():
                self._seal_retry_at_s = now_s + _RETRY_DELAY_S
                self._schedule_retry(event.window, now_s)
            case WindowReported():
                self._on_reported(event, now_s)
            case _:
                raise TypeError(f"not a window event: {event!r}")
        return []

    def _on_tick(self, event: WindowTick, now_s: float) -> list[object]:
        current_window = int(now_s // self.window_s)
        if self._next_window is None:
            self._next_window = current_window - _INITIAL_WINDOWS
        while self._next_window < current_window:
            self._open[self._next_window] = _Window()
            self._next_window += 1
        to_seal = []
        to_report = []
        for number, window in sorted(self._open.items()):
            if window.is_busy or now_s < window.retry_at_s:
                continue
            if window.counts is not None:
                to_report.append(number)
            elif self._may_seal(number, event, now_s):
                to_seal.append(number)
        if self._seal_retry_at_s is not None:
            is_due = now_s >= self._seal_retry_at_s
            to_seal = self._choose_probe(to_seal, is_due, is_sealed=False)
        if self._report_retry_at_s is not None:
            is_due = now_s >= self._report_retry_at_s
            to_report = self._choose_probe(to_report, is_due, is_sealed=True)
        for number in (*to_seal, *to_report):
            self._open[number].is_busy = True
        return [
            *(SealWindow(number) for number in to_seal),
            *(
                ReportWindow(number, self._open[number].counts)
                for number in to_report
            ),
        ]

    def _choose_probe(
        self, windows: list[int], is_due: bool, *, is_sealed: bool
    ) -> list[int]:
        """Returns at most one window to try while calls of a kind fail.

        A long outage leaves many windows open, whose retries would add up. The
        window that was tried last comes last, as its failure may be its own.
        """
        is_any_busy = any(
            window.is_busy and (window.counts is not None) == is_sealed
            for window in self._open.values()
        )
        if is_any_busy or not is_due or not windows:
            return []
        return [min(windows, key=lambda number: self._open[number].retry_at_s)]

    def _may_seal(self, window: int, tick: WindowTick, now_s: float) -> bool:
        """Whether to seal a window now.

        That is once its counts are complete or the maximum wait has passed,
        but never before the seal delay.
        """
        end_s = (window + 1) * self.window_s
        if now_s < end_s + _SEAL_DELAY_S:
            return False
        is_complete = window < tick.complete_before
        return (
            is_complete
            or now_s >= end_s + _MAX_WAIT_RATIO * self.report_deadline_s
        )

    def _on_sealed(self, event: WindowSealed) -> list[object]:
        window = self._open.get(event.window)
        if window is None:
            return []
        self._seal_retry_at_s = None
        window.counts = event.counts
        return [ReportWindow(event.window, event.counts)]

    def _on_reported(self, event: WindowReported, now_s: float) -> None:
        if event.is_done:
            self._report_retry_at_s = None
            self._open.pop(event.window, None)
            return
        self._report_retry_at_s = now_s + _RETRY_DELAY_S
        self._schedule_retry(event.window, now_s)

    def _schedule_retry(self, number: int, now_s: float) -> None:
        window = self._open.get(number)
        if window is not None:
            window.is_busy = False
            window.retry_at_s = now_s + _RETRY_DELAY_S
