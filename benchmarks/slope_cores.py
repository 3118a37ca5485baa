"""Slopes of the decision cores: lots, admission, leases."""

import time
from collections.abc import Iterator

import msgspec

from benchmarks.slope_tools import (
    Slope,
    memory_bytes,
    points,
    processor_us,
)
from daisyhub.filters import AdmissionCore
from daisyhub.filters._admission_core import (
    AdmitRequest,
    RequestArrived,
    RequestDeparted,
)
from daisyhub.hosting import (
    LeaseCore,
    LeaseRead,
    LeaseTick,
    LeaseWriteRejected,
    LeaseWritten,
    ReadLease,
    rank_candidates,
)
from daisyhub.rollouts import (
    DeliverGroups,
    EngineResponse,
    Generate,
    LotCore,
    LotSpec,
    LotState,
    LotTick,
    PullRequested,
    ReadState,
    SampleReceived,
    Span,
    StateRead,
    StateWritten,
    WriteState,
)

__all__ = ["core_slopes"]

_SLOTS = (64, 256, 1024, 2048)
_GROUP_SIZE = 8
_GROUPS_A_PULL = 8
_CONCURRENCY = 128
_TOKENS = 32
_ANSWER_TOKENS = (100, 400, 1600, 6400)
_VOCABULARY = 100_000
_ACCOUNTS = (8, 64, 512, 2048)
_DAEMONS = (1, 4, 9, 28)
_CANDIDATES_TRYING = 2
_LEASE_S = 600.0
_EVENT_S = 0.001
_US_PER_S = 1e6


def _spec(slots: int) -> LotSpec:
    return LotSpec(
        lot_id="lot",
        lot_class="assess",
        account="trainer",
        pool="model",
        prompts=tuple(f"prompt {n}" for n in range(slots // _GROUP_SIZE)),
        group_size=_GROUP_SIZE,
        max_staleness=2,
        max_tokens=_TOKENS,
        concurrency=_CONCURRENCY,
    )


def _answer() -> EngineResponse:
    spans = (Span(version=1, start=0, end=_TOKENS),)
    return EngineResponse(tokens=tuple(range(_TOKENS)), spans=spans)


class _LotRun:
    """Runs a whole lot through its core; counts events and bytes written."""

    def __init__(self, slots: int):
        self.core = LotCore(_spec(slots), "holder")
        self.events = 0
        self.commit_bytes = 0
        self.commits = 0
        self._pulls = 0

    def feed(self, event: object) -> list[object]:
        self.events += 1
        # The seat asks for the next wake-up after each event.
        actions = self.core.handle(event, self.events * _EVENT_S)
        _ = self.core.next_wakeup_s
        return actions

    def run(self, is_pulled: bool = True) -> "_LotRun":
        waiting = self.feed(LotTick())
        if is_pulled:
            waiting += self._ask(())
        while waiting:
            action = waiting.pop(0)
            match action:
                case ReadState():
                    waiting += self.feed(StateRead(LotState(), 0))
                case Generate():
                    ready = SampleReceived(action.attempt, _answer())
                    waiting += self.feed(ready)
                case WriteState():
                    waiting += self._commit(action)
                case DeliverGroups() if action.remaining:
                    waiting += self._ask((action.pull_id,))
        return self

    def _ask(self, acks: tuple[str, ...]) -> list[object]:
        self._pulls += 1
        event = PullRequested(
            call=self._pulls,
            pull_id=f"pull-{self._pulls:08d}",
            version=1,
            max_groups=_GROUPS_A_PULL,
            until_s=1e9,
            acks=acks,
        )
        return self.feed(event)

    def _commit(self, action: WriteState) -> list[object]:
        self.commits += 1
        self.commit_bytes += len(msgspec.json.encode(action.state))
        return self.feed(StateWritten(action.write_id, self.commits))


def _lot_us(slots: int) -> float:
    run = _LotRun(slots)
    started_s = time.process_time()
    run.run()
    used_s = time.process_time() - started_s
    if run.core.remaining:
        raise SystemExit(f"{run.core.remaining} groups were not pulled")
    return used_s * _US_PER_S / slots


def _lot_commit_bytes(slots: int) -> float:
    return float(_LotRun(slots).run().commit_bytes)


def _lot_commits(slots: int) -> float:
    return float(_LotRun(slots).run().commits)


def _full_lot(slots: int) -> LotCore:
    """Returns a lot whose samples are all there and none was pulled."""
    return _LotRun(slots).run(is_pulled=False).core


def _answer_json(tokens: int) -> bytes:
    """Returns an engine's answer as it comes over the wire."""
    ids = tuple((7919 * n) % _VOCABULARY for n in range(tokens))
    span = Span(version=1, start=0, end=tokens)
    return msgspec.json.encode(EngineResponse(tokens=ids, spans=(span,)))


def _decode(data: bytes) -> EngineResponse:
    return msgspec.json.decode(data, type=EngineResponse)


def _decode_us(tokens: int) -> float:
    data = _answer_json(tokens)
    return processor_us(lambda: _decode(data))


def _encode_us(tokens: int) -> float:
    answer = _decode(_answer_json(tokens))
    return processor_us(lambda: msgspec.json.encode(answer))


def _kept_bytes(tokens: int) -> float:
    data = _answer_json(tokens)
    return memory_bytes(lambda: _decode(data))


def _arrive(number: int, accounts: int) -> RequestArrived:
    return RequestArrived(
        request_id=str(number),
        account=f"account-{number % accounts}",
        weight=1,
        rate=0,
        burst=1,
        deadline_s=1e9,
    )


def _admission_us(accounts: int) -> float:
    """Cost of one request while a place is free only after each departure."""
    core = AdmissionCore(64)
    count = max(2000, accounts * 2)
    admitted = []
    started_s = time.process_time()
    for number in range(count):
        actions = core.handle(_arrive(number, accounts), 0.0)
        admitted += [
            a.request_id for a in actions if isinstance(a, AdmitRequest)
        ]
        if len(admitted) >= 1 and core.waiting_count > 100:
            actions = core.handle(RequestDeparted(admitted.pop(0), 0.01), 0.0)
            admitted += [
                a.request_id for a in actions if isinstance(a, AdmitRequest)
            ]
    return (time.process_time() - started_s) / count * _US_PER_S


class _LeaseStore:
    """One lease object and the calls that it took."""

    def __init__(self):
        self.version = 0
        self.record = None
        self.reads = 0
        self.writes = 0

    def perform(self, action: object) -> object:
        if isinstance(action, ReadLease):
            self.reads += 1
            return LeaseRead(self.record, self.version)
        self.writes += 1
        if action.expected_version != self.version:
            return LeaseWriteRejected(action.write_id)
        self.version += 1
        self.record = action.record
        return LeaseWritten(action.write_id, self.version)


def _lease_calls(daemons: int) -> _LeaseStore:
    """Runs a duty's lease in a domain; only two daemons try for it."""
    store = _LeaseStore()
    names = [f"daemon-busan-{n:02d}" for n in range(daemons)]
    tried = rank_candidates("usage/busan", names)[:_CANDIDATES_TRYING]
    cores = [LeaseCore(name, 6.0, 1.0) for name in names]
    now_s = 0.0
    while now_s < _LEASE_S:
        core = min(cores, key=lambda c: c.next_wakeup_s)
        now_s = max(now_s, core.next_wakeup_s)
        actions = core.handle(LeaseTick(core.holder in tried), now_s)
        while actions:
            actions = core.handle(store.perform(actions[0]), now_s)
    return store


def core_slopes() -> Iterator[Slope]:
    """Yields every slope of this module."""

    def slope(name, per, unit, sizes, measure, repeats=3) -> Slope:
        found = points(sizes, measure, repeats)
        return Slope(name=name, per=per, unit=unit, points=found)

    yield slope("lot, whole, per sample", "slot", "us", _SLOTS, _lot_us)
    yield slope(
        "lot memory, 32 tokens a sample",
        "slot",
        "bytes",
        _SLOTS,
        lambda n: memory_bytes(lambda: _full_lot(n)),
        1,
    )
    yield slope(
        "lot commits, sum", "slot", "bytes", _SLOTS, _lot_commit_bytes, 1
    )
    yield slope("lot commits", "slot", "writes", _SLOTS, _lot_commits, 1)
    yield slope("sample decoded", "token", "us", _ANSWER_TOKENS, _decode_us)
    yield slope("sample encoded", "token", "us", _ANSWER_TOKENS, _encode_us)
    yield slope("sample kept", "token", "bytes", _ANSWER_TOKENS, _kept_bytes, 1)
    yield slope("admission", "account", "us", _ACCOUNTS, _admission_us)
    yield slope(
        "lease reads a second",
        "daemon",
        "1/s",
        _DAEMONS,
        lambda n: _lease_calls(n).reads / _LEASE_S,
        1,
    )
    yield slope(
        "lease writes a second",
        "daemon",
        "1/s",
        _DAEMONS,
        lambda n: _lease_calls(n).writes / _LEASE_S,
        1,
    )
