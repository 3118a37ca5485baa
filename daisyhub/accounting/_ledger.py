"""The ledger of a failure domain: sealed parts and reports to send.

The ledger is one object that is only changed by conditional writes. One write
seals windows and marks the parts that they include. Therefore no part is
counted twice and no window is sealed twice, even with several writers.
"""

from collections.abc import Iterable

import msgspec

from daisyhub.accounting._parts import (
    UsageCount,
    UsagePart,
    sum_counts,
)

__all__ = [
    "Ledger",
    "SealedParts",
    "SealedRanges",
    "SealedWindow",
    "StoredReport",
    "seal",
]

_MAX_EPOCHS_PER_DAEMON = 8
_MAX_WINDOWS_PER_WRITE = 16
# No window is added to the ledger once one of these two limits is reached. The
# second one keeps its object below 1 MB with 5000 accounts per window.
_MAX_UNREPORTED_WINDOWS = 64
_MAX_UNREPORTED_BYTES = 500_000
# Windows further ahead of the caller's clock are attributed to a wrong clock.
_MAX_WINDOWS_AHEAD = 2

Ranges = tuple[tuple[int, int], ...]


class SealedWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Final figures of a window; the body of a usage report.

    Attributes:
        failure_domain: Failure domain that counted the usage.
        window: Start of the window, whole seconds since the Unix epoch.
        counts: Sums by account, late usage included.
        late: The part of `counts` that belongs to other windows: they were
            sealed before it arrived, or lie too far in the future.
    """

    failure_domain: str
    window: int
    counts: tuple[UsageCount, ...]
    late: tuple[UsageCount, ...] = ()


class SealedRanges(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of the sealed parts of one daemon epoch.

    Attributes:
        daemon_id: Daemon that counted the parts.
        epoch: Incarnation of that daemon.
        ranges: First and last part numbers, inclusive, in ascending order.
    """

    daemon_id: str
    epoch: int
    ranges: Ranges


class StoredReport(msgspec.Struct, frozen=True, kw_only=True):
    """The report of one window, as JSON text."""

    window: int
    body: str


class Ledger(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the ledger object at the platform.

    Attributes:
        window: Start of the newest sealed window; -1 for none.
        unreported: Reports of sealed windows, oldest first. An accepted report
            remains until the next write that seals a window, so some of these
            may have been sent already.
        marks: Sealed parts of recent epochs.
        retired: By daemon, the newest epoch whose marks were dropped. All
            parts of this and older epochs count as sealed.
    """

    window: int = -1
    unreported: tuple[StoredReport, ...] = ()
    marks: tuple[SealedRanges, ...] = ()
    retired: dict[str, int] = {}


class SealedParts:
    """The set of parts that a ledger has sealed."""

    def __init__(self, ledger: Ledger):
        self._ranges = {
            (mark.daemon_id, mark.epoch): list(mark.ranges)
            for mark in ledger.marks
        }
        self._retired = dict(ledger.retired)

    def __contains__(self, part: UsagePart) -> bool:
        if part.epoch <= self._retired.get(part.daemon_id, -1):
            return True
        ranges = self._ranges.get((part.daemon_id, part.epoch), ())
        return any(first <= part.number <= last for first, last in ranges)

    def add(self, part: UsagePart) -> None:
        """Marks one part as sealed."""
        key = (part.daemon_id, part.epoch)
        ranges = [*self._ranges.get(key, ()), (part.number, part.number)]
        self._ranges[key] = _merge(ranges)

    def drop_old_epochs(self, max_epochs: int = _MAX_EPOCHS_PER_DAEMON) -> None:
        """Keeps only the ranges of each daemon's `max_epochs` newest epochs."""
        epochs: dict[str, list[int]] = {}
        for daemon_id, epoch in self._ranges:
            epochs.setdefault(daemon_id, []).append(epoch)
        for daemon_id, found in epochs.items():
            for epoch in sorted(found)[:-max_epochs]:
                del self._ranges[(daemon_id, epoch)]
                self._retired[daemon_id] = epoch

    def to_ledger_fields(self) -> dict[str, object]:
        """Returns the fields `marks` and `retired` of a `Ledger`."""
        marks = tuple(
            SealedRanges(daemon_id=daemon_id, epoch=epoch, ranges=tuple(ranges))
            for (daemon_id, epoch), ranges in sorted(self._ranges.items())
        )
        return {"marks": marks, "retired": self._retired}


def _merge(ranges: list[tuple[int, int]]) -> list[tuple[int, int]]:
    merged: list[tuple[int, int]] = []
    for first, last in sorted(ranges):
        if merged and first <= merged[-1][1] + 1:
            merged[-1] = (merged[-1][0], max(last, merged[-1][1]))
            continue
        merged.append((first, last))
    return merged


def seal(
    domain: str,
    ledger: Ledger,
    parts: Iterable[UsagePart],
    ended_window: int,
    length_s: float,
    reported: frozenset[int] = frozenset(),
) -> Ledger:
    """Seals the windows up to `ended_window` that have unsealed parts.

    One call seals only as many windows as fit into one write and the ledger.

    Args:
        domain: The failure domain.
        ledger: The ledger as stored.
        parts: All known parts, in any order; duplicates are ignored.
        ended_window: Start of the newest window whose end and grace time have
            passed on the caller's clock.
        length_s: Length of a window in seconds.
        reported: Windows whose reports were accepted; they are removed from
            the unreported ones.

    Returns:
        The ledger to store, or the given object if no window can be sealed.
    """
    unreported = tuple(
        report for report in ledger.unreported if report.window not in reported
    )
    last_window = _last_sealable_window(ledger, ended_window, length_s)
    if last_window is None or _is_full(unreported):
        return ledger
    sealed_parts = SealedParts(ledger)
    max_window = ended_window + _MAX_WINDOWS_AHEAD * length_s
    by_window = _group_by_window(
        ledger, sealed_parts, parts, last_window, max_window
    )
    if not by_window:
        return ledger
    for window in sorted(by_window)[:_MAX_WINDOWS_PER_WRITE]:
        unreported += (
            _make_report(domain, window, by_window[window], sealed_parts),
        )
        if _is_full(unreported):
            break
    sealed_parts.drop_old_epochs()
    newest = unreported[-1].window
    return Ledger(
        window=newest, unreported=unreported, **sealed_parts.to_ledger_fields()
    )


def _is_full(unreported: tuple[StoredReport, ...]) -> bool:
    """Returns whether no more windows fit into the ledger."""
    size_bytes = sum(len(report.body) for report in unreported)
    is_large = size_bytes >= _MAX_UNREPORTED_BYTES
    return is_large or len(unreported) >= _MAX_UNREPORTED_WINDOWS


def _last_sealable_window(
    ledger: Ledger, ended_window: int, length_s: float
) -> int | None:
    """Returns the start of the newest window to seal now; None to wait.

    If the ledger's newest window is far ahead of the clock, the clock of an
    earlier writer was wrong. Sealing then continues with the window after the
    newest one, since waiting for the clock would stop the reports.
    """
    if ended_window > ledger.window:
        return ended_window
    if ledger.window - ended_window > _MAX_WINDOWS_AHEAD * length_s:
        return int(ledger.window + length_s)
    return None


def _group_by_window(
    ledger: Ledger,
    sealed_parts: SealedParts,
    parts: Iterable[UsagePart],
    last_window: int,
    max_window: float,
) -> dict[int, list[UsagePart]]:
    """Groups unsealed parts by the window to seal them in.

    Parts of windows that are already sealed, or that start after
    `max_window`, go into the oldest window to be sealed. Parts of windows in
    between are left out until their windows have ended.
    """
    unsealed_parts = {
        part.part_id: part for part in parts if part not in sealed_parts
    }
    by_window: dict[int, list[UsagePart]] = {}
    late_or_misdated: list[UsagePart] = []
    for part in unsealed_parts.values():
        if ledger.window < part.window <= last_window:
            by_window.setdefault(part.window, []).append(part)
        elif part.window <= ledger.window or part.window > max_window:
            late_or_misdated.append(part)
    if late_or_misdated:
        by_window.setdefault(min(by_window, default=last_window), []).extend(
            late_or_misdated
        )
    return by_window


def _make_report(
    domain: str, window: int, parts: list[UsagePart], sealed_parts: SealedParts
) -> StoredReport:
    """Adds the parts to `sealed_parts` and returns the window's report."""
    for part in parts:
        sealed_parts.add(part)
    late = [part for part in parts if part.window != window]
    sealed = SealedWindow(
        failure_domain=domain,
        window=window,
        counts=sum_counts(c for part in parts for c in part.counts),
        late=sum_counts(c for part in late for c in part.counts),
    )
    body = msgspec.json.encode(sealed).decode()
    return StoredReport(window=window, body=body)
