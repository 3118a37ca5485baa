"""Decides what the holder of a failure domain's usage lease seals and reports.

Correctness depends only on the conditional writes of the ledger. A window is
sealed by the write that took effect. Only windows that are known to be in the
stored ledger are reported, with the stored bytes. The lease only avoids
duplicate work. Wake-up times are on CLOCK_BOOTTIME; windows follow the wall
clock, which may jump and may differ between daemons.
"""

import dataclasses

from daisyhub.accounting._ledger import Ledger, SealedParts, seal
from daisyhub.accounting._parts import ListedStore, window_start
from daisyhub.base import Core

__all__ = [
    "CallFailed",
    "EmptyStore",
    "LedgerRead",
    "LedgerWriteRejected",
    "LedgerWritten",
    "ListParts",
    "PartsListed",
    "ReadLedger",
    "ReportAccepted",
    "SealCore",
    "SealTick",
    "SendReport",
    "StoreEmptied",
    "WriteLedger",
]


@dataclasses.dataclass(frozen=True, slots=True)
class SealTick:
    """Time has passed.

    Attributes:
        wall_s: Wall-clock time in seconds.
        fencing: Fencing number of the lease; 0 unless it is certainly held.
        running: Ids of the live daemons of the failure domain, this one
            included.
    """

    wall_s: float
    fencing: int
    running: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerRead:
    """The ledger was read; version 0 if there is none."""

    ledger: Ledger
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartsListed:
    """The objects of all daemons of the failure domain were read."""

    stores: tuple[ListedStore, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerWritten:
    """The ledger was written and has this version now."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerWriteRejected:
    """The write was rejected: the ledger has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportAccepted:
    """The platform accepted the report of a window."""

    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreEmptied:
    """A daemon's object was emptied, or was kept because it had changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """The last call's effect is unknown, or the lease lapsed before it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLedger:
    """Action: read the ledger."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListParts:
    """Action: read the objects of all daemons of the failure domain."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLedger:
    """Action: write the ledger, if the lease still has this fencing number."""

    ledger: Ledger
    expected_version: int
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Action: report a window, if the lease still has this fencing number."""

    window: int
    body: str
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class EmptyStore:
    """Action: empty a daemon's object if it has `expected_version`."""

    daemon_id: str
    expected_version: int


class SealCore(Core):
    """Seals windows that have ended and reports the sealed windows.

    Args:
        domain: The failure domain.
        window_s: Length of a window in seconds.
        grace_s: Seconds from the end of a window until it may be sealed.
        retry_s: Delay in seconds after a failed call.
    """

    def __init__(
        self, domain: str, window_s: float, grace_s: float, retry_s: float
    ):
        self._domain = domain
        self._window_s = window_s
        self._grace_s = grace_s
        self._retry_s = retry_s
        self._fencing = 0
        self._ledger: Ledger | None = None
        self._pending_ledger: Ledger | None = None
        self._version = 0
        self._reported: frozenset[int] = frozenset()
        self._checked_window = -1
        self._running_daemons: frozenset[str] = frozenset()
        self._stores_to_empty: list[EmptyStore] = []
        self._ended_window = -1
        self._wall_offset_s = 0.0
        self._is_call_pending = False
        self._next_check_s = 0.0

    @property
    def next_wakeup_s(self) -> float | None:
        """When to send the next `SealTick`; None while a call is pending."""
        return None if self._is_call_pending else self._next_check_s

    @property
    def last_sealed(self) -> int:
        """Start of the newest sealed window known here; -1 for none."""
        return self._ledger.window if self._ledger else -1

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event and returns at most one action."""
        match event:
            case SealTick():
                return self._on_tick(event, now_s)
            case LedgerRead():
                self._ledger, self._version = event.ledger, event.version
                return self._next_action(now_s)
            case PartsListed():
                return self._on_parts(event, now_s)
            case LedgerWritten():
                return self._on_written(event, now_s)
            case StoreEmptied():
                return self._next_action(now_s)
            case ReportAccepted():
                self._reported |= {event.window}
                return self._next_action(now_s)
            case LedgerWriteRejected() | CallFailed():
                return self._on_failed(now_s)
        raise TypeError(f"not a seal event: {event!r}")

    def _on_tick(self, event: SealTick, now_s: float) -> list[object]:
        if self._is_call_pending:
            return []
        if event.fencing != self._fencing:
            # Another holder may have written the ledger in between.
            self._ledger = None
        self._fencing = event.fencing
        self._running_daemons = event.running
        self._wall_offset_s = event.wall_s - now_s
        if not self._fencing or now_s < self._next_check_s:
            return []
        return self._next_action(now_s)

    def _next_action(self, now_s: float) -> list[object]:
        """Returns the next action, or none until another window has ended.

        Reads the ledger if it isn't known, then sends reports, then empties
        objects, then lists the parts to seal.
        """
        self._is_call_pending = True
        if self._ledger is None:
            return [ReadLedger()]
        for report in self._ledger.unreported:
            if report.window not in self._reported:
                return [SendReport(report.window, report.body, self._fencing)]
        if self._stores_to_empty:
            return [self._stores_to_empty.pop()]
        cutoff_s = now_s + self._wall_offset_s - self._grace_s - self._window_s
        self._ended_window = window_start(cutoff_s, self._window_s)
        if self._ended_window != self._checked_window:
            return [ListParts()]
        self._is_call_pending = False
        self._next_check_s = now_s + self._window_s - cutoff_s % self._window_s
        return []

    def _on_parts(self, event: PartsListed, now_s: float) -> list[object]:
        sealed = seal(
            self._domain,
            self._ledger,
            [part for listed in event.stores for part in listed.store.parts],
            self._ended_window,
            self._window_s,
            self._reported,
        )
        if sealed is self._ledger:
            self._checked_window = self._ended_window
            self._stores_to_empty = self._sealed_stores(event)
            return self._next_action(now_s)
        self._pending_ledger = sealed
        return [WriteLedger(sealed, self._version, self._fencing)]

    def _sealed_stores(self, event: PartsListed) -> list[EmptyStore]:
        """Returns the objects of stopped daemons whose parts are all sealed.

        The platform API has no delete; empty objects keep listings small.
        """
        sealed_parts = SealedParts(self._ledger)
        return [
            EmptyStore(listed.daemon_id, listed.version)
            for listed in event.stores
            if listed.daemon_id not in self._running_daemons
            and listed.store.parts
            and all(part in sealed_parts for part in listed.store.parts)
        ]

    def _on_written(self, event: LedgerWritten, now_s: float) -> list[object]:
        self._ledger, self._version = self._pending_ledger, event.version
        unreported = {report.window for report in self._ledger.unreported}
        self._reported &= unreported
        return self._next_action(now_s)

    def _on_failed(self, now_s: float) -> list[object]:
        self._ledger = None
        self._stores_to_empty = []
        self._is_call_pending = False
        self._next_check_s = now_s + self._retry_s
        return []
