"""The ledger of a failure domain: what was sealed, and what to report.

It is one object, changed by conditional update only. A change seals windows
and marks the parts that they took in the same write, so that no part is
taken twice and no window is sealed twice, whoever writes.
"""

from collections.abc import Iterable

import msgspec

from daisyhub.accounting._parts import (
    UsageCount,
    UsagePart,
    sum_counts,
)

__all__ = [
    "SealedRanges",
    "Ledger",
    "SealedParts",
    "SealedWindow",
    "StoredReport",
    "seal",
]

_MAX_EPOCHS_PER_DAEMON = 8
_MAX_WINDOWS_PER_WRITE = 16
_MAX_UNREPORTED_WINDOWS = 64
_MAX_UNREPORTED_BYTES = 500_000
_MAX_WINDOWS_AHEAD = 2

Ranges = tuple[tuple[int, int], ...]


class SealedWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a window that never change again: the body of a report.

    Attributes:
        failure_domain: Where the usage was counted.
        window: Start of the window, whole seconds since the epoch.
        counts: Sums by account, late usage included.
        late: The share of `counts` that was counted in other windows, whose
            own figures were sealed before it came.
    """

    failure_domain: str
    window: int
    counts: tuple[UsageCount, ...]
    late: tuple[UsageCount, ...] = ()


class SealedRanges(msgspec.Struct, frozen=True, kw_only=True):
    """Which parts of one daemon epoch are sealed.

    Attributes:
        daemon_id: Whose parts.
        epoch: Incarnation of that daemon.
        ranges: First and last numbers, both included, in rising order.
    """

    daemon_id: str
    epoch: int
    ranges: Ranges


class StoredReport(msgspec.Struct, frozen=True, kw_only=True):
    """The bytes to report for one window, as text."""

    window: int
    body: str


class Ledger(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the ledger object.

    Attributes:
        window: The newest sealed window; -1 for none.
        unreported: Sealed windows that may not be reported yet, oldest first.
        marks: Sealed parts.
        retired: By daemon, the newest epoch whose marks were forgotten; its
            parts and those of older epochs are never taken again.
    """

    window: int = -1
    unreported: tuple[StoredReport, ...] = ()
    marks: tuple[SealedRanges, ...] = ()
    retired: dict[str, int] = {}


class SealedParts:
    """Tells which parts a ledger has sealed, and adds to them."""

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
        """SealedParts one part as sealed."""
        key = (part.daemon_id, part.epoch)
        points = [*self._ranges.get(key, ()), (part.number, part.number)]
        self._ranges[key] = _merge(points)

    def drop_old_epochs(self, max_epochs: int = _MAX_EPOCHS_PER_DAEMON) -> None:
        """Forgets all but the newest `kept` epochs of each daemon."""
        epochs: dict[str, list[int]] = {}
        for daemon_id, epoch in self._ranges:
            epochs.setdefault(daemon_id, []).append(epoch)
        for daemon_id, found in epochs.items():
            for epoch in sorted(found)[:-max_epochs]:
                del self._ranges[(daemon_id, epoch)]
                self._retired[daemon_id] = epoch

    def to_ledger_fields(self) -> dict[str, object]:
        """Returns the ledger's fields `marks` and `retired`."""
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
    """Seals what is known of all windows up to `ended`.

    Args:
        domain: The failure domain.
        ledger: The ledger as stored.
        parts: Parts known, in any order, any number of times.
        ended: The newest window that is over on the caller's clock.
        length_s: Length of a window.
        reported: Windows that have been reported.

    Returns:
        The ledger to store; the same object if there is nothing to seal.
    """
    unreported = tuple(
        report for report in ledger.unreported if report.window not in reported
    )
    last_window = _last_sealable_window(ledger, ended_window, length_s)
    if last_window is None or _is_full(unreported):
        return ledger
    marks = SealedParts(ledger)
    max_window = ended_window + _MAX_WINDOWS_AHEAD * length_s
    by_window = _group_by_window(ledger, marks, parts, last_window, max_window)
    if not by_window:
        return ledger
    for window in sorted(by_window)[:_MAX_WINDOWS_PER_WRITE]:
        unreported += (_make_report(domain, window, by_window[window], marks),)
        if _is_full(unreported):
            break
    marks.drop_old_epochs()
    newest = unreported[-1].window
    return Ledger(
        window=newest, unreported=unreported, **marks.to_ledger_fields()
    )


def _is_full(unreported: tuple[StoredReport, ...]) -> bool:
    """Tells whether the object has no room for more windows."""
    size_bytes = sum(len(report.body) for report in unreported)
    is_large = size_bytes >= _MAX_UNREPORTED_BYTES
    return is_large or len(unreported) >= _MAX_UNREPORTED_WINDOWS


def _last_sealable_window(
    ledger: Ledger, ended_window: int, length_s: float
) -> int | None:
    """Returns the newest window to seal, or None to wait.

    After a writer whose clock was far ahead, windows go on from its newest
    one, so that a wrong clock can't stop the reports.
    """
    if ended_window > ledger.window:
        return ended_window
    if ledger.window - ended_window > _MAX_WINDOWS_AHEAD * length_s:
        return int(ledger.window + length_s)
    return None


def _group_by_window(
    ledger: Ledger,
    marks: SealedParts,
    parts: Iterable[UsagePart],
    last_window: int,
    max_window: float,
) -> dict[int, list[UsagePart]]:
    """Groups unsealed parts by the window that will take them."""
    unsealed_parts = {part.part_id: part for part in parts if part not in marks}
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
    domain: str, window: int, parts: list[UsagePart], marks: SealedParts
) -> StoredReport:
    for part in parts:
        marks.add(part)
    late = [part for part in parts if part.window != window]
    sealed = SealedWindow(
        failure_domain=domain,
        window=window,
        counts=sum_counts(c for part in parts for c in part.counts),
        late=sum_counts(c for part in late for c in part.counts),
    )
    body = msgspec.json.encode(sealed).decode()
    return StoredReport(window=window, body=body)
