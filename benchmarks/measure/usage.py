"""Usage windows: what is billed late, twice or never."""

import dataclasses
import random

from benchmarks.measure.faults import Fault, usage_faults
from benchmarks.measure.workloads import Site
from daisyhub.accounting import (
    SealedWindow,
    UsageCounters,
    UsagePart,
    seal_window,
)

__all__ = ["UsagePolicy", "UsageResult", "run_usage"]

_DAEMONS = 2
_WINDOW_S = 60
_WINDOWS = 110
_TICK_S = 10
_KEPT_WINDOWS = 64
_ACCOUNTS = 8
_TAKE_OVER_AT = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsagePolicy:
    """What is done.

    Attributes:
        name: For the table.
        copies: Whether a peer keeps a copy of the counts.
        kept: Sealed windows that a new holder reads back.
        seals_missed: Whether windows missed in an outage are sealed
            afterwards, each by itself, or only the newest is.
    """

    name: str
    copies: bool = True
    kept: int = _KEPT_WINDOWS
    seals_missed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageResult:
    """Shares of the requests served."""

    late: float
    never: float
    twice: float


class _Run:
    """One failure domain with two daemons."""

    def __init__(self, policy: UsagePolicy, seed: int):
        self.policy = policy
        self.rng = random.Random(seed)
        self.faults = usage_faults(seed, _DAEMONS)
        self.epochs = [1] * _DAEMONS
        self.counters = [self._new(n) for n in range(_DAEMONS)]
        self.stored: dict[tuple, UsagePart] = {}
        self.copies: dict[tuple, UsagePart] = {}
        self.sealed: dict[int, SealedWindow] = {}
        self.known: list[SealedWindow] = []
        self.served = 0

    def _new(self, number: int) -> UsageCounters:
        epoch = self.epochs[number]
        return UsageCounters(f"daemon-{number}", epoch, _WINDOW_S)

    def run(self) -> UsageResult:
        for now_s in range(0, _WINDOWS * _WINDOW_S, _TICK_S):
            self._kill(now_s)
            self._serve(now_s)
            if not self._is_in_outage(now_s):
                self._flush(now_s)
                self._seal(now_s)
        return self._result()

    def _is_in_outage(self, now_s: float) -> bool:
        return any(
            f.kind == "outage" and f.start_s <= now_s < f.end_s
            for f in self.faults
        )

    def _kill(self, now_s: float) -> None:
        for fault in self.faults:
            is_due = now_s <= fault.start_s < now_s + _TICK_S
            if fault.kind == "kill" and is_due:
                self._restart(fault)

    def _restart(self, fault: Fault) -> None:
        self.epochs[fault.target] += 1
        self.counters[fault.target] = self._new(fault.target)

    def _serve(self, now_s: float) -> None:
        for counters in self.counters:
            for _ in range(self.rng.randrange(5, 15)):
                account = f"account-{self.rng.randrange(_ACCOUNTS)}"
                counters.add(account, 100, now_s)
                self.served += 1
            if not self.policy.copies:
                continue
            for window in counters.windows():
                part = counters.part(window)
                self.copies[(part.daemon_id, part.epoch, window)] = part

    def _flush(self, now_s: float) -> None:
        for counters in self.counters:
            for window in counters.windows():
                if window + _WINDOW_S <= now_s:
                    part = counters.part(window)
                    key = (part.daemon_id, part.epoch, window)
                    self.stored[key] = part
                    counters.drop(window)

    def _seal(self, now_s: float) -> None:
        newest = now_s // _WINDOW_S * _WINDOW_S - _WINDOW_S
        oldest = newest
        if self.policy.seals_missed:
            oldest = max(self.sealed, default=-_WINDOW_S) + _WINDOW_S
        for window in range(max(0, oldest), newest + 1, _WINDOW_S):
            self._seal_one(window)

    def _seal_one(self, window: int) -> None:
        if window in self.sealed:
            return
        if len(self.sealed) == _TAKE_OVER_AT:
            self.known = self.known[-self.policy.kept :]
        parts = [*self.stored.values(), *self.copies.values()]
        sealed = seal_window("busan", window, parts, self.known)
        self.sealed[window] = sealed
        self.known.append(sealed)

    def _result(self) -> UsageResult:
        billed, late, best = 0, 0, {}
        for sealed in self.sealed.values():
            billed += sum(count.requests for count in sealed.counts)
            late += sum(count.requests for count in sealed.late)
            for part in sealed.parts:
                for count in part.counts:
                    key = (part.daemon_id, part.epoch, part.window)
                    place = (*key, count.account)
                    best.setdefault(place, []).append(count.requests)
        stored = {**self.copies, **self.stored}
        true = {
            (*key, count.account): count.requests
            for key, part in stored.items()
            for count in part.counts
        }
        twice = sum(
            max(0, sum(values) - true.get(place, 0))
            for place, values in best.items()
        )
        still_open = sum(
            count.requests
            for counters in self.counters
            for window in counters.windows()
            for count in counters.part(window).counts
        )
        never = self.served - still_open - (billed - twice)
        return UsageResult(
            late=(late - twice) / self.served,
            never=max(0, never) / self.served,
            twice=twice / self.served,
        )


def run_usage(site: Site, policy: UsagePolicy, seed: int) -> UsageResult:
    """Runs one seed of one failure domain; the site changes nothing."""
    del site
    return _Run(policy, seed).run()
