"""Slopes of the tables: endpoints, configuration, routes, keys, metrics."""

import itertools
from collections.abc import Iterator

import msgspec

from benchmarks.slope_tools import (
    Slope,
    memory_bytes,
    points,
    processor_us,
)
from daisyhub.balancing import EndpointTable, EndpointUpdate, LeastLoaded
from daisyhub.config import (
    ActivateSnapshot,
    AdoptionCore,
    ClientKey,
    ConfigHead,
    Document,
    HeadReceived,
    PartsFetched,
    Route,
    Sections,
    split_sections,
)
from daisyhub.filters import RouteTable
from daisyhub.hosting import EndpointRecord
from daisyhub.identity import KeyTable, hash_secret, new_key
from daisyhub.metrics import Metrics
from daisyhub.peers import (
    Call,
    ConfigRequest,
    EndpointUpdateBatch,
    Envelope,
    Heartbeat,
    encode_envelope,
)
from daisyhub.testing.processes import HASH_KEY

__all__ = ["endpoint_records", "table_slopes"]

_ENDPOINTS = (10, 100, 650, 1000, 10_000)
_DOCUMENT_KB = (10, 30, 100, 300, 1000)
_ROUTES = (10, 100, 1000, 10_000)
_KEYS = (10, 100, 1000, 10_000)
_SERIES = (1, 4, 16, 64)
_BATCH = (1, 4, 16, 64)
_CHANGES = 20
_SUSPECT_FAILURES = 3
_KEY_ENTRY_BYTES = 130
_POOL = "model"


def endpoint_records(count: int) -> list[EndpointRecord]:
    """Returns `count` records as the platform lists them."""
    return [
        EndpointRecord(
            endpoint_id=f"engine-busan-{number:05d}",
            pool=_POOL,
            ip=f"10.1.{number // 250}.{number % 250}",
            port=8000,
        )
        for number in range(count)
    ]


def _table(count: int) -> EndpointTable:
    table = EndpointTable()
    table.apply_list(endpoint_records(count))
    return table


def _choose_us(count: int) -> float:
    table = _table(count)
    balancer = LeastLoaded(1)
    return processor_us(
        lambda: balancer.choose(table.candidates(_POOL, 1.0, frozenset()))
    )


def _choose_suspect_us(count: int) -> float:
    """Cost of a choice while one endpoint is suspect."""
    table = _table(count)
    balancer = LeastLoaded(1)
    suspect = endpoint_records(count)[0].endpoint_id
    for _ in range(_SUSPECT_FAILURES):
        table.record_done(suspect, failed=True, now_s=1.0)
    return processor_us(
        lambda: balancer.choose(table.candidates(_POOL, 1.0, frozenset()))
    )


def _adopt_list_us(count: int) -> float:
    table = _table(count)
    records = endpoint_records(count)
    return processor_us(lambda: table.apply_list(records))


def _list_bytes(count: int) -> float:
    return len(msgspec.json.encode(endpoint_records(count)))


def _sections(size_kb: int) -> Sections:
    """Returns the sections of a document; most of it is keys."""
    count = max(1, size_kb * 1000 // _KEY_ENTRY_BYTES)
    keys = {
        f"{number:012x}": {"account": "yard", "secret_hash": "0" * 64}
        for number in range(count)
    }
    routes = {
        f"route-{number}": {"path_prefix": f"/r{number}", "pool": _POOL}
        for number in range(max(1, count // 20))
    }
    return {"keys": keys, "routes": routes}


def _document(size_kb: int) -> tuple[ConfigHead, dict[str, str]]:
    """Returns a head and its parts."""
    refs, contents = split_sections(_sections(size_kb))
    return ConfigHead(version=1, sections=refs), contents


class _Adopter:
    """Adopts versions as the controller does, without its input and output."""

    def __init__(self):
        self._core = AdoptionCore()
        self._keys = KeyTable(HASH_KEY)
        self.table: RouteTable | None = None

    def adopt(self, head: ConfigHead, contents: dict[str, str]) -> None:
        self._core.handle(HeadReceived(head), 0.0)
        for action in self._core.handle(PartsFetched(contents), 0.0):
            if isinstance(action, ActivateSnapshot):
                document = action.snapshot.document
                self.table = RouteTable(document)
                self._keys.replace_keys(document.keys)
                return
        raise SystemExit(f"version {head.version} was not adopted")


def _adopt_config_us(size_kb: int) -> float:
    head, contents = _document(size_kb)
    adopter = _Adopter()
    versions = itertools.count(1)

    def adopt() -> None:
        new_head = msgspec.structs.replace(head, version=next(versions))
        adopter.adopt(new_head, contents)

    return processor_us(adopt)


def _config_bytes(size_kb: int) -> float:
    def make() -> _Adopter:
        head, contents = _document(size_kb)
        adopter = _Adopter()
        adopter.adopt(head, contents)
        return adopter

    return memory_bytes(make)


def _head_bytes(size_kb: int) -> float:
    head, _ = _document(size_kb)
    return float(len(msgspec.json.encode(head)))


def _changed_bytes(size_kb: int) -> float:
    """Bytes of the parts that one changed key makes new, mean of some."""
    sections = _sections(size_kb)
    _, before = split_sections(sections)
    names = sorted(sections["keys"])
    total = 0
    for name in names[:: max(1, len(names) // _CHANGES)][:_CHANGES]:
        entry = {"account": "yard", "secret_hash": "1" * 64}
        keys = {**sections["keys"], name: entry}
        _, after = split_sections({**sections, "keys": keys})
        new = after.keys() - before.keys()
        total += sum(len(after[digest]) for digest in new)
    return total / min(len(names), _CHANGES)


def _fetch_bytes(size_kb: int) -> float:
    """Bytes with which a daemon asks a peer for what it lacks."""
    head, _ = _document(size_kb)
    fetch = ConfigRequest(known_digests=tuple(sorted(head.digests)))
    return _envelope_bytes(Call(call_id=1, content=fetch))


def _find_route_us(count: int) -> float:
    routes = {
        f"route-{number}": Route(path_prefix=f"/r{number}", pool=_POOL)
        for number in range(count)
    }
    table = RouteTable(Document(routes=routes))
    return processor_us(lambda: table.find("hub", f"/r{count // 2}/a/b", "GET"))


def _keys(count: int) -> KeyTable:
    table = KeyTable(HASH_KEY)
    table.replace_keys(
        {
            f"{number:012x}": ClientKey(
                account=f"account-{number}", secret_hash=f"{number:064x}"
            )
            for number in range(count)
        }
    )
    return table


def _find_key_us(count: int) -> float:
    table = _keys(count - 1)
    key = new_key()
    entry = ClientKey(
        account="yard", secret_hash=hash_secret(key.secret, HASH_KEY)
    )
    table.replace_keys({**table._keys, key.key_id: entry})
    return processor_us(lambda: table.authenticate(key))


def _metrics(count: int) -> Metrics:
    metrics = Metrics()
    for number in range(count):
        metrics.observe_s("request", 0.01, route=f"route-{number}")
    return metrics


def _observe_us(count: int) -> float:
    metrics = _metrics(count)
    return processor_us(
        lambda: metrics.observe_s("request", 0.0123, route="route-0")
    )


def _envelope_bytes(*messages) -> float:
    envelope = Envelope(
        sender="daemon-busan-12", incarnation=1 << 50, messages=messages
    )
    return len(encode_envelope(envelope))


def _heartbeat() -> Heartbeat:
    return Heartbeat(
        incarnation=1 << 50, config_version=7600, withdrawn_keys=300
    )


def _news_bytes(count: int) -> float:
    news = tuple(
        EndpointUpdate(
            endpoint_id=record.endpoint_id,
            incarnation=3,
            load=17,
            weight_version=4000,
            capacity=64,
        )
        for record in endpoint_records(count)
    )
    return _envelope_bytes(_heartbeat(), EndpointUpdateBatch(news=news))


def _slope(name, per, unit, sizes, measure, repeats=3) -> Slope:
    return Slope(
        name=name,
        per=per,
        unit=unit,
        points=points(sizes, measure, repeats),
    )


def table_slopes() -> Iterator[Slope]:
    """Yields every slope of this module."""
    yield _slope(
        "endpoint table memory",
        "endpoint",
        "bytes",
        _ENDPOINTS,
        lambda n: memory_bytes(lambda: _table(n)),
    )
    yield _slope("choice of endpoint", "endpoint", "us", _ENDPOINTS, _choose_us)
    yield _slope(
        "choice while an endpoint is suspect",
        "endpoint",
        "us",
        _ENDPOINTS,
        _choose_suspect_us,
    )
    yield _slope(
        "list taken over", "endpoint", "us", _ENDPOINTS, _adopt_list_us
    )
    yield _slope(
        "list as JSON", "endpoint", "bytes", _ENDPOINTS, _list_bytes, 1
    )
    yield _slope(
        "configuration adopted", "KB", "us", _DOCUMENT_KB, _adopt_config_us
    )
    yield _slope(
        "configuration memory", "KB", "bytes", _DOCUMENT_KB, _config_bytes
    )
    for name, measure in (
        ("configuration head", _head_bytes),
        ("parts of one changed key, mean", _changed_bytes),
        ("fetch from a peer, asked", _fetch_bytes),
    ):
        yield _slope(name, "KB", "bytes", _DOCUMENT_KB, measure, 1)
    yield _slope("route found", "route", "us", _ROUTES, _find_route_us)
    yield _slope("key checked", "key", "us", _KEYS, _find_key_us)
    yield _slope(
        "key table memory",
        "key",
        "bytes",
        _KEYS,
        lambda n: memory_bytes(lambda: _keys(n)),
    )
    yield _slope(
        "histogram memory",
        "series",
        "bytes",
        _SERIES,
        lambda n: memory_bytes(lambda: _metrics(n)),
    )
    yield _slope("histogram record", "series", "us", _SERIES, _observe_us)
    yield _slope("heartbeat and news", "news", "bytes", _BATCH, _news_bytes, 1)
