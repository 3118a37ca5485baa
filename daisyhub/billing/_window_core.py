"""Decides when a usage window is sealed and reported.

A seal is an object that is created once: it fixes the figures of a window, so
that whoever reports it, however often, reports the same. Times are true time,
seconds since 1970.
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

# Windows before the present one that a new holder looks after: reports are
# due two windows after a window's end.
_TAKEN_UP = 3
# Share of the time until a report is due for which a daemon that hasn't
# closed a window is waited for; the rest is for the store and the platform.
_WAIT_SHARE = 0.6
# Seconds before a failed call is made again.
_RETRY_S = 0.4
# Seconds after a window's end before it is sealed at the earliest: the last
# counts travel with pings.
_SETTLE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WindowTick:
    """Time has passed.

    Attributes:
        complete_before: The first window that some live daemon hasn't closed.
    """

    complete_before: int


@dataclasses.dataclass(frozen=True, slots=True)
class WindowSealed:
    """These figures stand for a window."""

    window: int
    counts: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SealFailed:
    """The store gave no usable answer."""

    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class WindowReported:
    """A report was answered.

    Attributes:
        window: The window.
        is_done: Whether the platform has it.
    """

    window: int
    is_done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SealWindow:
    """Action: fix the figures that are known now, if none stand yet."""

    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportWindow:
    """Action: report the figures that stand."""

    window: int
    counts: dict[str, int]


@dataclasses.dataclass(slots=True)
class _Window:
    counts: dict[str, int] | None = None
    is_busy: bool = False
    retry_at_s: float = 0.0


class WindowCore(Core):
    """Decides about all windows while this daemon has the duty.

    Args:
        window_s: Length of a window.
        late_s: Time after a window's end by which its report is due.
    """

    def __init__(self, window_s: float, late_s: float):
        self.window_s = window_s
        self.late_s = late_s
        self._next: int | None = None
        self._open: dict[int, _Window] = {}

    @property
    def next_wakeup_s(self) -> float | None:
        """Ticks come several times a second; there is no other wake-up."""
        return None

    @property
    def open_windows(self) -> tuple[int, ...]:
        """Windows that ended and aren't reported."""
        return tuple(sorted(self._open))

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one window event; returns what to do."""
        match event:
            case WindowTick():
                return self._on_tick(event, now_s)
            case WindowSealed():
                return self._on_sealed(event)
            case SealFailed():
                self._pause(event.window, now_s)
            case WindowReported():
                self._on_reported(event, now_s)
            case _:
                raise TypeError(f"not a window event: {event!r}")
        return []

    def _on_tick(self, event: WindowTick, now_s: float) -> list[object]:
        present = int(now_s // self.window_s)
        if self._next is None:
            self._next = present - _TAKEN_UP
        while self._next < present:
            self._open[self._next] = _Window()
            self._next += 1
        actions: list[object] = []
        for number, window in sorted(self._open.items()):
            if window.is_busy or now_s < window.retry_at_s:
                continue
            if window.counts is not None:
                window.is_busy = True
                actions.append(ReportWindow(number, window.counts))
            elif self._may_seal(number, event, now_s):
                window.is_busy = True
                actions.append(SealWindow(number))
        return actions

    def _may_seal(self, window: int, tick: WindowTick, now_s: float) -> bool:
        end_s = (window + 1) * self.window_s
        if now_s < end_s + _SETTLE_S:
            return False
        is_complete = window < tick.complete_before
        return is_complete or now_s >= end_s + _WAIT_SHARE * self.late_s

    def _on_sealed(self, event: WindowSealed) -> list[object]:
        window = self._open.get(event.window)
        if window is None:
            return []
        window.counts = event.counts
        return [ReportWindow(event.window, event.counts)]

    def _on_reported(self, event: WindowReported, now_s: float) -> None:
        if event.is_done:
            self._open.pop(event.window, None)
            return
        self._pause(event.window, now_s)

    def _pause(self, number: int, now_s: float) -> None:
        window = self._open.get(number)
        if window is not None:
            window.is_busy = False
            window.retry_at_s = now_s + _RETRY_S
