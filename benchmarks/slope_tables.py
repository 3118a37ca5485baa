"""Measures the tables of endpoints, configuration, routes, keys and metrics."""

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

_ENDPOINT_COUNTS = (10, 100, 650, 1000, 10_000)
_DOCUMENT_KB = (10, 30, 100, 300, 1000)
_ROUTE_COUNTS = (10, 100, 1000, 10_000)
_KEY_COUNTS = (10, 100, 1000, 10_000)
_SERIES_COUNTS = (1, 4, 16, 64)
_BATCH_SIZES = (1, 4, 16, 64)
_MAX_CHANGED_KEYS = 20
_SUSPECT_FAILURES = 3  # Consecutive failures that make an endpoint suspect.
_KEY_ENTRY_BYTES = 130  # Approximate size of a key entry as JSON.
_POOL = "model"


def endpoint_records(count: int) -> list[EndpointRecord]:
    """Returns `count` endpoint records in the form of the platform's list."""
    return [
        EndpointRecord(
            endpoint_id=f"engine-busan-{number:05d}",
            pool=_POOL,
            ip=f"10.1.{number // 250}.{number % 250}",
            port=8000,
        )
        for number in range(count)
    ]


def _make_endpoint_table(count: int) -> EndpointTable:
    table = EndpointTable()
    table.apply_list(endpoint_records(count))
    return table


def _choose_us(count: int) -> float:
    table = _make_endpoint_table(count)
    balancer = LeastLoaded(1)
    return processor_us(
        lambda: balancer.choose(table.candidates(_POOL, 1.0, frozenset()))
    )


def _choose_suspect_us(count: int) -> float:
    """Returns the microseconds to choose while one endpoint is suspect."""
    table = _make_endpoint_table(count)
    balancer = LeastLoaded(1)
    suspect = endpoint_records(count)[0].endpoint_id
    for _ in range(_SUSPECT_FAILURES):
        table.record_done(suspect, failed=True, now_s=1.0)
    return processor_us(
        lambda: balancer.choose(table.candidates(_POOL, 1.0, frozenset()))
    )


def _apply_list_us(count: int) -> float:
    table = _make_endpoint_table(count)
    records = endpoint_records(count)
    return processor_us(lambda: table.apply_list(records))


def _list_bytes(count: int) -> float:
    return len(msgspec.json.encode(endpoint_records(count)))


def _make_sections(size_kb: int) -> Sections:
    """Returns the sections of a document that consists mostly of keys."""
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


def _make_document(size_kb: int) -> tuple[ConfigHead, dict[str, str]]:
    """Returns a head and the section texts by digest."""
    refs, contents = split_sections(_make_sections(size_kb))
    return ConfigHead(version=1, sections=refs), contents


class _Adopter:
    """Adopts versions like the configuration controller, without I/O."""

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


def _config_adoption_us(size_kb: int) -> float:
    head, contents = _make_document(size_kb)
    adopter = _Adopter()
    versions = itertools.count(1)

    def adopt() -> None:
        new_head = msgspec.structs.replace(head, version=next(versions))
        adopter.adopt(new_head, contents)

    return processor_us(adopt)


def _config_bytes(size_kb: int) -> float:
    def make() -> _Adopter:
        head, contents = _make_document(size_kb)
        adopter = _Adopter()
        adopter.adopt(head, contents)
        return adopter

    return memory_bytes(make)


def _head_bytes(size_kb: int) -> float:
    head, _ = _make_document(size_kb)
    return float(len(msgspec.json.encode(head)))


def _changed_bytes(size_kb: int) -> float:
    """Returns the mean size of the parts that change with one key, bytes.

    The mean is over at most `_MAX_CHANGED_KEYS` evenly spaced keys.
    """
    sections = _make_sections(size_kb)
    _, before = split_sections(sections)
    names = sorted(sections["keys"])
    total = 0
    for name in names[:: max(1, len(names) // _MAX_CHANGED_KEYS)][
        :_MAX_CHANGED_KEYS
    ]:
        entry = {"account": "yard", "secret_hash": "1" * 64}
        keys = {**sections["keys"], name: entry}
        _, after = split_sections({**sections, "keys": keys})
        new_digests = after.keys() - before.keys()
        total += sum(len(after[digest]) for digest in new_digests)
    return total / min(len(names), _MAX_CHANGED_KEYS)


def _config_request_bytes(size_kb: int) -> float:
    """Returns the size of a request to a peer for missing parts, bytes."""
    head, _ = _make_document(size_kb)
    request = ConfigRequest(known_digests=tuple(sorted(head.digests)))
    return _envelope_bytes(Call(call_id=1, content=request))


def _find_route_us(count: int) -> float:
    routes = {
        f"route-{number}": Route(path_prefix=f"/r{number}", pool=_POOL)
        for number in range(count)
    }
    table = RouteTable(Document(routes=routes))
    return processor_us(lambda: table.find("hub", f"/r{count // 2}/a/b", "GET"))


def _make_key_table(count: int) -> KeyTable:
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
    table = _make_key_table(count - 1)
    key = new_key()
    entry = ClientKey(
        account="yard", secret_hash=hash_secret(key.secret, HASH_KEY)
    )
    table.replace_keys({**table._keys, key.key_id: entry})
    return processor_us(lambda: table.authenticate(key))


def _make_metrics(count: int) -> Metrics:
    metrics = Metrics()
    for number in range(count):
        metrics.observe_s("request", 0.01, route=f"route-{number}")
    return metrics


def _observe_us(count: int) -> float:
    metrics = _make_metrics(count)
    return processor_us(
        lambda: metrics.observe_s("request", 0.0123, route="route-0")
    )


def _envelope_bytes(*messages) -> float:
    envelope = Envelope(
        sender="daemon-busan-12", incarnation=1 << 50, messages=messages
    )
    return len(encode_envelope(envelope))


def _make_heartbeat() -> Heartbeat:
    return Heartbeat(
        incarnation=1 << 50, config_version=7600, withdrawn_keys=300
    )


def _update_batch_bytes(count: int) -> float:
    updates = tuple(
        EndpointUpdate(
            endpoint_id=record.endpoint_id,
            incarnation=3,
            load=17,
            weight_version=4000,
            capacity=64,
        )
        for record in endpoint_records(count)
    )
    return _envelope_bytes(_make_heartbeat(), EndpointUpdateBatch(news=updates))


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
        _ENDPOINT_COUNTS,
        lambda n: memory_bytes(lambda: _make_endpoint_table(n)),
    )
    yield _slope(
        "choice of endpoint", "endpoint", "us", _ENDPOINT_COUNTS, _choose_us
    )
    yield _slope(
        "choice while an endpoint is suspect",
        "endpoint",
        "us",
        _ENDPOINT_COUNTS,
        _choose_suspect_us,
    )
    yield _slope(
        "list taken over", "endpoint", "us", _ENDPOINT_COUNTS, _apply_list_us
    )
    yield _slope(
        "list as JSON", "endpoint", "bytes", _ENDPOINT_COUNTS, _list_bytes, 1
    )
    yield _slope(
        "configuration adopted", "KB", "us", _DOCUMENT_KB, _config_adoption_us
    )
    yield _slope(
        "configuration memory", "KB", "bytes", _DOCUMENT_KB, _config_bytes
    )
    for name, measure in (
        ("configuration head", _head_bytes),
        ("parts of one changed key, mean", _changed_bytes),
        ("fetch from a peer, asked", _config_request_bytes),
    ):
        yield _slope(name, "KB", "bytes", _DOCUMENT_KB, measure, 1)
    yield _slope("route found", "route", "us", _ROUTE_COUNTS, _find_route_us)
    yield _slope("key checked", "key", "us", _KEY_COUNTS, _find_key_us)
    yield _slope(
        "key table memory",
        "key",
        "bytes",
        _KEY_COUNTS,
        lambda n: memory_bytes(lambda: _make_key_table(n)),
    )
    yield _slope(
        "histogram memory",
        "series",
        "bytes",
        _SERIES_COUNTS,
        lambda n: memory_bytes(lambda: _make_metrics(n)),
    )
    yield _slope(
        "histogram record", "series", "us", _SERIES_COUNTS, _observe_us
    )
    yield _slope(
        "heartbeat and news",
        "news",
        "bytes",
        _BATCH_SIZES,
        _update_batch_bytes,
        1,
    )
