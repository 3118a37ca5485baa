"""Usage windows: what is billed late, twice or never."""

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

_DAEMONS = 2
_WINDOW_S = 60
_GRACE_S = 5.0
_RETRY_S = 1.0
_SERVED_S = 110 * _WINDOW_S
_END_S = _SERVED_S + 20 * _WINDOW_S
_TAKE_OVER_S = 100 * _WINDOW_S
_MOST_PER_S = 2
_LOST_ANSWERS = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsagePolicy:
    """What is done.

    Attributes:
        name: For the table.
        copies: Whether a peer keeps a copy of the counts.
        marks: Whether a holder reads back which parts were sealed.
    """

    name: str
    copies: bool = True
    marks: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageResult:
    """Shares of the requests served; `late` without those billed twice."""

    late: float
    never: float
    twice: float


class _Daemon:
    """One epoch of a daemon with its cores."""

    def __init__(self, number: int, epoch: int):
        self.daemon_id = f"daemon-{number}"
        self.epoch = epoch
        self.counters = UsageCounters(self.daemon_id, epoch, _WINDOW_S)
        self.flush = FlushCore(self.counters, _RETRY_S)
        self.seal = SealCore("busan", _WINDOW_S, _GRACE_S, _RETRY_S)


class _Run:
    """One failure domain with two daemons and a platform.

    Each daemon's count of a second has an account of its own, so that what
    was billed can be compared with what was served.
    """

    def __init__(self, policy: UsagePolicy, seed: int):
        self.policy = policy
        self.rng = random.Random(seed)
        self.faults = usage_faults(seed, _DAEMONS)
        self.now_s = 0
        self.daemons = [_Daemon(n, 1) for n in range(_DAEMONS)]
        self.holder = 0
        self.fencing = 1
        self.ledger = (Ledger(), 0)
        self.stores: dict[str, tuple[PartStore, int]] = {}
        self.served: dict[str, int] = {}
        self.reports: dict[int, str] = {}

    def run(self) -> UsageResult:
        for self.now_s in range(_END_S):
            self._serve()
            self._fail()
            self._copy()
            self._step()
        return self._result()

    def _serve(self) -> None:
        if self.now_s >= _SERVED_S:
            return
        for daemon in self.daemons:
            account = f"{daemon.daemon_id}/{self.now_s}"
            requests = self.rng.randint(0, _MOST_PER_S)
            self.served[account] = requests
            for _ in range(requests):
                daemon.counters.add(account, 100, self.now_s)

    def _fail(self) -> None:
        """Kills lose what was counted since the last copy."""
        for fault in self.faults:
            if fault.kind == "kill" and int(fault.start_s) == self.now_s:
                number = fault.target
                epoch = self.daemons[number].epoch + 1
                self.daemons[number] = _Daemon(number, epoch)
                if number == self.holder:
                    self._change_holder()
        if self.now_s == _TAKE_OVER_S:
            self._change_holder()

    def _change_holder(self) -> None:
        self.holder = 1 - self.holder
        self.fencing += 1

    def _live(self, daemon: _Daemon) -> dict[str, int]:
        return {d.daemon_id: d.epoch for d in self.daemons if d is not daemon}

    def _copy(self) -> None:
        for daemon in self.daemons:
            live = self._live(daemon) if self.policy.copies else {}
            told = daemon.counters.tick(live)
            for peer in self.daemons:
                news = told.get(peer.daemon_id)
                if news is None:
                    continue
                peer.counters.keep_copies(daemon.daemon_id, news.parts)
                if news.acked_number:
                    peer.counters.on_copies_acknowledged(
                        daemon.daemon_id,
                        daemon.epoch,
                        news.acked_epoch,
                        news.acked_number,
                    )

    def _step(self) -> None:
        """Lets all cores go on, in any order."""
        turns = []
        for daemon in self.daemons:
            live = self._live(daemon)
            is_holder = daemon is self.daemons[self.holder]
            fencing = self.fencing if is_holder else 0
            running = frozenset({daemon.daemon_id, *live})
            flush = FlushTick(self.now_s, live)
            seal = SealTick(self.now_s, fencing, running)
            turns.append((daemon, daemon.flush, flush))
            turns.append((daemon, daemon.seal, seal))
        self.rng.shuffle(turns)
        for daemon, core, event in turns:
            self._feed(daemon, core, event)

    def _feed(self, daemon: _Daemon, core: Core, event: object) -> None:
        actions = core.handle(event, self.now_s)
        while actions:
            actions = core.handle(self._call(daemon, actions[0]), self.now_s)

    def _call(self, daemon: _Daemon, action: object) -> object:
        """Calls the platform; some calls take effect without an answer."""
        if self._is_in_outage():
            return CallFailed()
        answer = self._perform(daemon, action)
        is_lost = self.rng.random() < _LOST_ANSWERS
        return CallFailed() if is_lost else answer

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
                # One call at a time and two daemons: nothing is refused.
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
        if is_holder and not self.policy.marks:
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
        over = [billed[a] - n for a, n in self.served.items()]
        twice = sum(max(0, n) for n in over)
        return UsageResult(
            late=(late - twice) / total,
            never=sum(max(0, -n) for n in over) / total,
            twice=twice / total,
        )


def run_usage(site: Site, policy: UsagePolicy, seed: int) -> UsageResult:
    """Runs one seed of one failure domain; the site changes nothing."""
    del site
    return _Run(policy, seed).run()
