"""Simulates usage windows and counts late, duplicate and lost billing."""

import collections
import dataclasses
import random

import msgspec

from benchmarks.measure.faults import usage_faults
from benchmarks.measure.workloads import Site
from daisyhub.accounting import (
    CallFailed,
    EmptyStore,
    FlushCore,
    FlushTick,
    Ledger,
    LedgerRead,
    LedgerWritten,
    ListedStore,
    ListParts,
    PartsListed,
    PartStore,
    ReadLedger,
    ReadStore,
    ReportAccepted,
    SealCore,
    SealedWindow,
    SealTick,
    SendReport,
    StoreEmptied,
    StoreRead,
    StoreWriteRejected,
    StoreWritten,
    UsageCounters,
    WriteLedger,
    WriteStore,
)
from daisyhub.base import Core

__all__ = ["UsagePolicy", "UsageResult", "run_usage"]

_DAEMON_COUNT = 2
_WINDOW_S = 60
_GRACE_S = 5.0
_RETRY_S = 1.0
# No requests arrive in the last 20 windows of the run, which leaves time to
# seal late parts.
_SERVED_S = 110 * _WINDOW_S
_END_S = _SERVED_S + 20 * _WINDOW_S
_HOLDER_CHANGE_S = 100 * _WINDOW_S
_MAX_REQUESTS_PER_S = 2
_LOST_RESPONSE_SHARE = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsagePolicy:
    """Options of a usage simulation.

    Attributes:
        name: Name in the table.
        has_copies: Whether a peer keeps copies of usage parts.
        has_marks: Whether the holder reads which parts are already sealed.
    """

    name: str
    has_copies: bool = True
    has_marks: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageResult:
    """Shares of served requests.

    Attributes:
        late: Billed in another window than their own, except for those billed
            twice.
        never: Not billed.
        twice: Billed more often than served.
    """

    late: float
    never: float
    twice: float


class _Daemon:
    """Counters and cores of one epoch of a daemon."""

    def __init__(self, number: int, epoch: int):
        self.daemon_id = f"daemon-{number}"
        self.epoch = epoch
        self.counters = UsageCounters(self.daemon_id, epoch, _WINDOW_S)
        self.flush = FlushCore(self.counters, _RETRY_S)
        self.seal = SealCore("busan", _WINDOW_S, _GRACE_S, _RETRY_S)


class _Run:
    """Simulation of one failure domain with two daemons and a platform.

    Each daemon uses a new account every second, so that billed and served
    requests can be compared individually.
    """

    def __init__(self, policy: UsagePolicy, seed: int):
        self.policy = policy
        self.rng = random.Random(seed)
        self.faults = usage_faults(seed, _DAEMON_COUNT)
        self.now_s = 0
        self.daemons = [_Daemon(n, 1) for n in range(_DAEMON_COUNT)]
        self.holder = 0
        self.fencing = 1
        self.ledger = (Ledger(), 0)
        self.stores: dict[str, tuple[PartStore, int]] = {}
        self.served: dict[str, int] = {}
        self.reports: dict[int, str] = {}

    def run(self) -> UsageResult:
        for self.now_s in range(_END_S):
            self._count_requests()
            self._apply_faults()
            self._exchange_copies()
            self._run_cores()
        return self._result()

    def _count_requests(self) -> None:
        if self.now_s >= _SERVED_S:
            return
        for daemon in self.daemons:
            account = f"{daemon.daemon_id}/{self.now_s}"
            requests = self.rng.randint(0, _MAX_REQUESTS_PER_S)
            self.served[account] = requests
            for _ in range(requests):
                daemon.counters.add(account, 100, self.now_s)

    def _apply_faults(self) -> None:
        """Kills daemons, which lose uncopied counts, and changes the holder."""
        for fault in self.faults:
            if fault.kind == "kill" and int(fault.start_s) == self.now_s:
                number = fault.target
                epoch = self.daemons[number].epoch + 1
                self.daemons[number] = _Daemon(number, epoch)
                if number == self.holder:
                    self._change_holder()
        if self.now_s == _HOLDER_CHANGE_S:
            self._change_holder()

    def _change_holder(self) -> None:
        self.holder = 1 - self.holder
        self.fencing += 1

    def _live_peers(self, daemon: _Daemon) -> dict[str, int]:
        return {d.daemon_id: d.epoch for d in self.daemons if d is not daemon}

    def _exchange_copies(self) -> None:
        for daemon in self.daemons:
            live = self._live_peers(daemon) if self.policy.has_copies else {}
            usage_by_peer = daemon.counters.tick(live)
            for peer in self.daemons:
                usage = usage_by_peer.get(peer.daemon_id)
                if usage is None:
                    continue
                peer.counters.keep_copies(daemon.daemon_id, usage.parts)
                if usage.acked_number:
                    peer.counters.on_copies_acknowledged(
                        daemon.daemon_id,
                        daemon.epoch,
                        usage.acked_epoch,
                        usage.acked_number,
                    )

    def _run_cores(self) -> None:
        """Ticks all cores in random order."""
        events = []
        for daemon in self.daemons:
            live = self._live_peers(daemon)
            is_holder = daemon is self.daemons[self.holder]
            fencing = self.fencing if is_holder else 0
            running = frozenset({daemon.daemon_id, *live})
            flush = FlushTick(self.now_s, live)
            seal = SealTick(self.now_s, fencing, running)
            events.append((daemon, daemon.flush, flush))
            events.append((daemon, daemon.seal, seal))
        self.rng.shuffle(events)
        for daemon, core, event in events:
            self._feed(daemon, core, event)

    def _feed(self, daemon: _Daemon, core: Core, event: object) -> None:
        actions = core.handle(event, self.now_s)
        while actions:
            actions = core.handle(self._call(daemon, actions[0]), self.now_s)

    def _call(self, daemon: _Daemon, action: object) -> object:
        """Calls the platform; some calls take effect without a response."""
        if self._is_in_outage():
            return CallFailed()
        response = self._perform(daemon, action)
        is_lost = self.rng.random() < _LOST_RESPONSE_SHARE
        return CallFailed() if is_lost else response

    def _is_in_outage(self) -> bool:
        return any(
            f.kind == "outage" and f.start_s <= self.now_s < f.end_s
            for f in self.faults
        )

    def _perform(self, daemon: _Daemon, action: object) -> object:
        match action:
            case ReadLedger():
                return self._read_ledger(daemon)
            case WriteLedger():
                # Calls run one at a time, so no write is rejected.
                self.ledger = (action.ledger, self.ledger[1] + 1)
                return LedgerWritten(self.ledger[1])
            case SendReport():
                self.reports.setdefault(action.window, action.body)
                return ReportAccepted(action.window)
            case ListParts():
                return PartsListed(
                    tuple(
                        ListedStore(daemon_id=key, store=store, version=version)
                        for key, (store, version) in self.stores.items()
                    )
                )
        return self._perform_on_store(daemon, action)

    def _perform_on_store(self, daemon: _Daemon, action: object) -> object:
        key = getattr(action, "daemon_id", daemon.daemon_id)
        store, version = self.stores.get(key, (PartStore(), 0))
        if isinstance(action, ReadStore):
            return StoreRead(store, version)
        is_current = action.expected_version == version
        if isinstance(action, EmptyStore):
            if is_current:
                self.stores[key] = (PartStore(), version + 1)
            return StoreEmptied()
        if not isinstance(action, WriteStore):
            raise TypeError(f"not a usage action: {action!r}")
        if not is_current:
            return StoreWriteRejected()
        self.stores[key] = (action.store, version + 1)
        return StoreWritten(version + 1)

    def _read_ledger(self, daemon: _Daemon) -> LedgerRead:
        ledger, version = self.ledger
        is_holder = daemon is self.daemons[self.holder]
        if is_holder and not self.policy.has_marks:
            ledger = msgspec.structs.replace(ledger, marks=())
        return LedgerRead(ledger, version)

    def _result(self) -> UsageResult:
        billed: collections.Counter[str] = collections.Counter()
        late = 0
        for body in self.reports.values():
            window = msgspec.json.decode(body, type=SealedWindow)
            late += sum(count.requests for count in window.late)
            for count in window.counts:
                billed[count.account] += count.requests
        total = sum(self.served.values())
        surpluses = [billed[a] - n for a, n in self.served.items()]
        twice = sum(max(0, n) for n in surpluses)
        return UsageResult(
            late=(late - twice) / total,
            never=sum(max(0, -n) for n in surpluses) / total,
            twice=twice / total,
        )


def run_usage(site: Site, policy: UsagePolicy, seed: int) -> UsageResult:
    """Simulates one seed of one failure domain; `site` is unused."""
    del site
    return _Run(policy, seed).run()
