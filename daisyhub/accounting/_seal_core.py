"""Decides what the holder of a domain's usage lease seals and reports.

Safety rests on the ledger's version alone: a window is sealed by the write
that took effect, and only windows read from, or known to be in, the stored
ledger are reported, with its bytes. The lease keeps two processes from doing
the same work. Wake-ups are on CLOCK_BOOTTIME; windows follow the wall clock,
which may jump and may differ from those of other daemons.
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
        wall_s: The wall clock.
        fencing: Of the lease; 0 unless it is surely held.
        running: Daemons of the domain that run, this one included.
    """

    wall_s: float
    fencing: int
    running: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerRead:
    """The ledger; version 0 if there is none."""

    ledger: Ledger
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartsListed:
    """The objects of all daemons of the domain."""

    stores: tuple[ListedStore, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerWritten:
    """The write took effect as `version`."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerWriteRejected:
    """The ledger is at another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportAccepted:
    """The platform took the report of a window."""

    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreEmptied:
    """A daemon's object was emptied, or had changed meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """The last action's effect is unknown, or the lease lapsed before it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLedger:
    """Action: read the ledger."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListParts:
    """Action: read the objects of all daemons of the domain."""


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
    """Action: empty a daemon's object if it is at `expected_version`."""

    daemon_id: str
    expected_version: int


class SealCore(Core):
    """Seals windows that are over, and reports what the ledger says.

    Args:
        domain: The failure domain.
        window_s: Length of a window.
        grace_s: Wait after a window's end.
        retry_s: Pause after a failed call.
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
        """When to send the next `SealTick`."""
        return None if self._is_call_pending else self._next_check_s

    @property
    def last_sealed(self) -> int:
        """The newest sealed window known here; -1 for none."""
        return self._ledger.window if self._ledger else -1

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event; returns at most one action."""
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
            self._ledger = None
        self._fencing = event.fencing
        self._running_daemons = event.running
        self._wall_offset_s = event.wall_s - now_s
        if not self._fencing or now_s < self._next_check_s:
            return []
        return self._next_action(now_s)

    def _next_action(self, now_s: float) -> list[object]:
        """Returns the next thing to do, most urgent first."""
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
        """Finds objects of vanished daemons that have nothing left to seal.

        The API has no delete; emptied, they cost little in each list.
        """
        marks = SealedParts(self._ledger)
        return [
            EmptyStore(listed.daemon_id, listed.version)
            for listed in event.stores
            if listed.daemon_id not in self._running_daemons
            and listed.store.parts
            and all(part in marks for part in listed.store.parts)
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
