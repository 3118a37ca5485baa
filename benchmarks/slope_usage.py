"""Measures usage parts that are copied to peers, flushed, listed and sealed.

A part contains the counts of one daemon in one second, so each window has 60
parts per daemon. The size is the number of accounts in each part or the number
of daemons.
"""

import time
from collections.abc import Iterator

import msgspec

from benchmarks.slope_tools import (
    Slope,
    memory_bytes,
    points,
    processor_us,
)
from daisyhub.accounting import (
    FlushCore,
    FlushTick,
    Ledger,
    LedgerRead,
    ListedStore,
    PartsListed,
    PartStore,
    SealCore,
    SealTick,
    StoreRead,
    StoreWritten,
    UsageCounters,
    UsagePart,
    WriteLedger,
    WriteStore,
)
from daisyhub.peers import Envelope, UsageCopy, UsageCopyAck, encode_envelope

__all__ = ["usage_slopes"]

# Flushes use only the first two: 60 parts of 256 accounts exceed the 10,000
# counts that one store write may contain.
_ACCOUNT_COUNTS = (8, 64, 256)
_DAEMON_COUNTS = (1, 4, 9, 28)
_SEALED_ACCOUNTS = 64
_WINDOW_S = 60.0
_TICKS = 60
_PEER_COUNT = 27
_GRACE_S = 5.0
_SEAL_AT_S = 70.0  # After the end and the grace time of the first window.
_EPOCH = 1 << 50
_US_PER_S = 1e6


def _counters(number: int = 0) -> UsageCounters:
    return UsageCounters(f"daemon-busan-{number:02d}", _EPOCH, _WINDOW_S)


def _count_requests(counters: UsageCounters, accounts: int) -> None:
    for account in range(accounts):
        counters.add(f"account-{account}", 640, 30.0)


def _filled_counters(accounts: int, number: int = 0) -> UsageCounters:
    """Returns a daemon's counters at the end of an unsealed window."""
    counters = _counters(number)
    for _ in range(_TICKS):
        _count_requests(counters, accounts)
        counters.cut_parts()
    return counters


def _parts(accounts: int) -> tuple[UsagePart, ...]:
    return tuple(_filled_counters(accounts).own_parts())


def _copy_bytes(accounts: int) -> float:
    parts = _parts(accounts)[-1:]
    ack = UsageCopyAck(epoch=_EPOCH, number=_TICKS)
    envelope = Envelope(
        sender="daemon-busan-00",
        incarnation=_EPOCH,
        messages=(UsageCopy(parts=parts), ack),
    )
    return float(len(encode_envelope(envelope)))


def _tick_us(accounts: int) -> float:
    """Returns the processor time of a tick, microseconds.

    Both peers that keep copies acknowledge each part.
    """
    counters = _counters()
    live = {f"daemon-busan-{n:02d}": _EPOCH for n in range(1, _PEER_COUNT + 1)}
    processor_s = 0.0
    for _ in range(_TICKS):
        _count_requests(counters, accounts)
        started_s = time.process_time()
        usage_by_peer = counters.tick(live)
        processor_s += time.process_time() - started_s
        for peer, usage in usage_by_peer.items():
            newest = max(part.number for part in usage.parts)
            counters.on_copies_acknowledged(peer, _EPOCH, _EPOCH, newest)
    return processor_s / _TICKS * _US_PER_S


def _part_memory_bytes(accounts: int) -> float:
    data = msgspec.msgpack.encode(_parts(accounts))
    parts_type = tuple[UsagePart, ...]
    return memory_bytes(
        lambda: msgspec.msgpack.decode(data, type=parts_type)
    ) / (_TICKS)


def _measure_flush(accounts: int) -> tuple[float, int]:
    """Returns the microseconds and bytes of flushing one window."""
    core = FlushCore(_filled_counters(accounts), 1.0)
    started_s = time.process_time()
    core.handle(FlushTick(60.0, {}), 0.0)
    core.handle(LedgerRead(Ledger(), 0), 0.0)
    action = core.handle(StoreRead(PartStore(), 0), 0.0)[0]
    if not isinstance(action, WriteStore):
        raise SystemExit(f"expected a store write, got {action!r}")
    data = msgspec.json.encode(msgspec.to_builtins(action.store))
    core.handle(StoreWritten(1), 0.0)
    return (time.process_time() - started_s) * _US_PER_S, len(data)


def _make_listing(daemons: int, accounts: int) -> tuple[ListedStore, ...]:
    stores = []
    for number in range(daemons):
        counters = _filled_counters(accounts, number)
        stores.append(
            ListedStore(
                daemon_id=counters.daemon_id,
                store=PartStore(parts=tuple(counters.own_parts())),
                version=1,
            )
        )
    return tuple(stores)


def _listing_json(daemons: int) -> bytes:
    return msgspec.json.encode(_make_listing(daemons, _SEALED_ACCOUNTS))


def _decode_listing(data: bytes) -> object:
    """Decodes JSON to plain values and then to structs, as the client does."""
    return msgspec.convert(msgspec.json.decode(data), tuple[ListedStore, ...])


def _listing_memory_bytes(daemons: int) -> float:
    data = _listing_json(daemons)
    return memory_bytes(lambda: _decode_listing(data))


def _decode_listing_us(daemons: int) -> float:
    data = _listing_json(daemons)
    return processor_us(lambda: _decode_listing(data))


def _seal_core() -> SealCore:
    core = SealCore("busan", _WINDOW_S, _GRACE_S, 1.0)
    core.handle(SealTick(_SEAL_AT_S, 1, frozenset()), _SEAL_AT_S)
    core.handle(LedgerRead(Ledger(), 0), _SEAL_AT_S)
    return core


def _seal_us(daemons: int) -> float:
    core = _seal_core()
    event = PartsListed(_make_listing(daemons, _SEALED_ACCOUNTS))
    return processor_us(lambda: core.handle(event, _SEAL_AT_S))


def _ledger_bytes(accounts: int) -> float:
    event = PartsListed(_make_listing(_DAEMON_COUNTS[-1], accounts))
    action = _seal_core().handle(event, _SEAL_AT_S)[0]
    if not isinstance(action, WriteLedger):
        raise SystemExit(f"expected a ledger write, got {action!r}")
    return float(len(msgspec.json.encode(action.ledger)))


def _slope(name, per, unit, sizes, measure, repeats=3) -> Slope:
    found = points(sizes, measure, repeats)
    return Slope(name=name, per=per, unit=unit, points=found)


def usage_slopes() -> Iterator[Slope]:
    """Yields every slope of this module."""
    yield _slope(
        "usage copy, one part",
        "account",
        "bytes",
        _ACCOUNT_COUNTS,
        _copy_bytes,
        1,
    )
    yield _slope(
        "usage tick, 27 peers", "account", "us", _ACCOUNT_COUNTS, _tick_us
    )
    yield _slope(
        "usage part kept",
        "account",
        "bytes",
        _ACCOUNT_COUNTS,
        _part_memory_bytes,
        1,
    )
    yield _slope(
        "flush of a window, 60 parts",
        "account",
        "us",
        _ACCOUNT_COUNTS[:2],
        lambda n: _measure_flush(n)[0],
    )
    yield _slope(
        "flushed window, 60 parts",
        "account",
        "bytes",
        _ACCOUNT_COUNTS[:2],
        lambda n: _measure_flush(n)[1],
        1,
    )
    yield _slope(
        "listing to seal, 64 accounts",
        "daemon",
        "bytes",
        _DAEMON_COUNTS,
        lambda n: len(_listing_json(n)),
        1,
    )
    yield _slope(
        "listing decoded, 64 accounts",
        "daemon",
        "us",
        _DAEMON_COUNTS,
        _decode_listing_us,
    )
    yield _slope(
        "listing kept while sealing, 64 accounts",
        "daemon",
        "bytes",
        _DAEMON_COUNTS,
        _listing_memory_bytes,
        1,
    )
    yield _slope(
        "window sealed, 64 accounts", "daemon", "us", _DAEMON_COUNTS, _seal_us
    )
    yield _slope(
        "ledger with one window, 28 daemons",
        "account",
        "bytes",
        _ACCOUNT_COUNTS,
        _ledger_bytes,
        1,
    )
