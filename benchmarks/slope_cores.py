"""Measures the deterministic cores of lots, admission and leases."""

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

_SLOT_COUNTS = (64, 256, 1024, 2048)
_GROUP_SIZE = 8
_GROUPS_PER_PULL = 8
_CONCURRENCY = 128
_TOKENS_PER_SAMPLE = 32
_RESPONSE_TOKENS = (100, 400, 1600, 6400)
_VOCABULARY = 100_000
_ACCOUNT_COUNTS = (8, 64, 512, 2048)
_DAEMON_COUNTS = (1, 4, 9, 28)
_CANDIDATE_COUNT = 2
_LEASE_RUN_S = 600.0
_EVENT_INTERVAL_S = 0.001
_US_PER_S = 1e6


def _make_spec(slots: int) -> LotSpec:
    return LotSpec(
        lot_id="lot",
        lot_class="assess",
        account="trainer",
        pool="model",
        prompts=tuple(f"prompt {n}" for n in range(slots // _GROUP_SIZE)),
        group_size=_GROUP_SIZE,
        max_staleness=2,
        max_tokens=_TOKENS_PER_SAMPLE,
        concurrency=_CONCURRENCY,
    )


def _make_response() -> EngineResponse:
    spans = (Span(version=1, start=0, end=_TOKENS_PER_SAMPLE),)
    return EngineResponse(tokens=tuple(range(_TOKENS_PER_SAMPLE)), spans=spans)


class _LotRun:
    """Runs a lot through its core; counts events, commits and their bytes."""

    def __init__(self, slots: int):
        self.core = LotCore(_make_spec(slots), "holder")
        self.events = 0
        self.commit_bytes = 0
        self.commits = 0
        self._pulls = 0

    def feed(self, event: object) -> list[object]:
        self.events += 1
        # The lot server reads the next wake-up time after each event.
        actions = self.core.handle(event, self.events * _EVENT_INTERVAL_S)
        _ = self.core.next_wakeup_s
        return actions

    def run(self, is_pulled: bool = True) -> "_LotRun":
        pending = self.feed(LotTick())
        if is_pulled:
            pending += self._pull_groups(())
        while pending:
            action = pending.pop(0)
            match action:
                case ReadState():
                    pending += self.feed(StateRead(LotState(), 0))
                case Generate():
                    received = SampleReceived(action.attempt, _make_response())
                    pending += self.feed(received)
                case WriteState():
                    pending += self._commit(action)
                case DeliverGroups() if action.remaining:
                    pending += self._pull_groups((action.pull_id,))
        return self

    def _pull_groups(self, acks: tuple[str, ...]) -> list[object]:
        self._pulls += 1
        event = PullRequested(
            call=self._pulls,
            pull_id=f"pull-{self._pulls:08d}",
            version=1,
            max_groups=_GROUPS_PER_PULL,
            until_s=1e9,
            acks=acks,
        )
        return self.feed(event)

    def _commit(self, action: WriteState) -> list[object]:
        self.commits += 1
        self.commit_bytes += len(msgspec.json.encode(action.state))
        return self.feed(StateWritten(action.write_id, self.commits))


def _lot_us(slots: int) -> float:
    """Returns the processor time of a lot per sample, microseconds."""
    run = _LotRun(slots)
    started_s = time.process_time()
    run.run()
    processor_s = time.process_time() - started_s
    if run.core.remaining:
        raise SystemExit(f"{run.core.remaining} groups were not pulled")
    return processor_s * _US_PER_S / slots


def _lot_commit_bytes(slots: int) -> float:
    return float(_LotRun(slots).run().commit_bytes)


def _lot_commits(slots: int) -> float:
    return float(_LotRun(slots).run().commits)


def _complete_lot(slots: int) -> LotCore:
    """Returns a lot with all samples generated and no group pulled."""
    return _LotRun(slots).run(is_pulled=False).core


def _response_json(tokens: int) -> bytes:
    """Returns the JSON body of an engine's response."""
    ids = tuple((7919 * n) % _VOCABULARY for n in range(tokens))
    span = Span(version=1, start=0, end=tokens)
    return msgspec.json.encode(EngineResponse(tokens=ids, spans=(span,)))


def _decode(data: bytes) -> EngineResponse:
    return msgspec.json.decode(data, type=EngineResponse)


def _decode_us(tokens: int) -> float:
    data = _response_json(tokens)
    return processor_us(lambda: _decode(data))


def _encode_us(tokens: int) -> float:
    response = _decode(_response_json(tokens))
    return processor_us(lambda: msgspec.json.encode(response))


def _response_memory_bytes(tokens: int) -> float:
    data = _response_json(tokens)
    return memory_bytes(lambda: _decode(data))


def _make_arrival(number: int, accounts: int) -> RequestArrived:
    return RequestArrived(
        request_id=str(number),
        account=f"account-{number % accounts}",
        weight=1,
        rate=0,
        burst=1,
        deadline_s=1e9,
    )


def _admission_us(accounts: int) -> float:
    """Returns the microseconds per request while requests wait for admission.

    The slots fill up first. Once more than 100 requests wait, each arrival is
    followed by one departure, which admits one waiting request.
    """
    core = AdmissionCore(64)
    count = max(2000, accounts * 2)
    admitted = []
    started_s = time.process_time()
    for number in range(count):
        actions = core.handle(_make_arrival(number, accounts), 0.0)
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
    """Stores one lease object and counts its reads and writes."""

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


def _run_lease(daemons: int) -> _LeaseStore:
    """Runs the lease of one duty among the daemons of a failure domain.

    Only the first two candidates by rank try to acquire it.
    """
    store = _LeaseStore()
    names = [f"daemon-busan-{n:02d}" for n in range(daemons)]
    candidates = rank_candidates("usage/busan", names)[:_CANDIDATE_COUNT]
    cores = [LeaseCore(name, 6.0, 1.0) for name in names]
    now_s = 0.0
    while now_s < _LEASE_RUN_S:
        core = min(cores, key=lambda c: c.next_wakeup_s)
        now_s = max(now_s, core.next_wakeup_s)
        actions = core.handle(LeaseTick(core.holder in candidates), now_s)
        while actions:
            actions = core.handle(store.perform(actions[0]), now_s)
    return store


def core_slopes() -> Iterator[Slope]:
    """Yields every slope of this module."""

    def slope(name, per, unit, sizes, measure, repeats=3) -> Slope:
        found = points(sizes, measure, repeats)
        return Slope(name=name, per=per, unit=unit, points=found)

    yield slope("lot, whole, per sample", "slot", "us", _SLOT_COUNTS, _lot_us)
    yield slope(
        "lot memory, 32 tokens a sample",
        "slot",
        "bytes",
        _SLOT_COUNTS,
        lambda n: memory_bytes(lambda: _complete_lot(n)),
        1,
    )
    yield slope(
        "lot commits, sum", "slot", "bytes", _SLOT_COUNTS, _lot_commit_bytes, 1
    )
    yield slope("lot commits", "slot", "writes", _SLOT_COUNTS, _lot_commits, 1)
    yield slope("sample decoded", "token", "us", _RESPONSE_TOKENS, _decode_us)
    yield slope("sample encoded", "token", "us", _RESPONSE_TOKENS, _encode_us)
    yield slope(
        "sample kept",
        "token",
        "bytes",
        _RESPONSE_TOKENS,
        _response_memory_bytes,
        1,
    )
    yield slope("admission", "account", "us", _ACCOUNT_COUNTS, _admission_us)
    yield slope(
        "lease reads a second",
        "daemon",
        "1/s",
        _DAEMON_COUNTS,
        lambda n: _run_lease(n).reads / _LEASE_RUN_S,
        1,
    )
    yield slope(
        "lease writes a second",
        "daemon",
        "1/s",
        _DAEMON_COUNTS,
        lambda n: _run_lease(n).writes / _LEASE_RUN_S,
        1,
    )
