"""The sections of the configuration document as frozen data classes."""

import dataclasses
from typing import Annotated, Literal

from daisyhub.checks import Range, check_document
from daisyhub.exceptions import DocumentError, Problem

__all__ = [
    "SECTION_NAMES",
    "ClientAccount",
    "ClientKey",
    "Document",
    "EndpointPool",
    "LotClass",
    "Route",
    "check_config",
    "empty_document",
]

Name = Annotated[str, Range(1, 128, "characters")]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A customer and its share of the service.

    Attributes:
        weight: Share under contention, relative to other accounts.
        requests_per_s: Sustained rate in one failure domain.
        burst: Requests admitted at once after a pause.
    """

    weight: Annotated[int, Range(1, 1000)] = 1
    requests_per_s: Annotated[float, Range(0.01, 1e6, "1/s")] = 1000.0
    burst: Annotated[int, Range(1, 1_000_000)] = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientKey:
    """A key of a client account; only its keyed hash is stored.

    Attributes:
        account: The client account that it speaks for.
        secret_hash: HMAC-SHA-256 of the secret part, hex.
    """

    account: Name
    secret_hash: Annotated[str, Range(64, 64, "characters")]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests of a host, path prefix and method go.

    Attributes:
        host: Host name in lower case; empty for any.
        path_prefix: Whole path segments from the start.
        methods: Allowed methods.
        pool: The endpoint pool that serves it.
        access: `keyed` needs a key, `open` takes none.
        accounts: Accounts that may use it; empty for all.
        idempotent: Whether a request may be sent more than once.
        answer: `buffered` hands over whole answers, `stream` passes chunks.
        timeout_s: Longest time for an answer, in seconds.
        body_bytes: Largest request body.
        hedge_after_s: Sends an idempotent request to a second endpoint after
            this time without an answer; 0 for never.
    """

    host: str = ""
    path_prefix: Annotated[str, Range(1, 512, "characters")]
    methods: tuple[
        Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"], ...
    ] = ("GET",)
    pool: Name
    access: Literal["keyed", "open"] = "keyed"
    accounts: tuple[str, ...] = ()
    idempotent: bool = False
    answer: Literal["buffered", "stream"] = "buffered"
    timeout_s: Annotated[float, Range(0.01, 3600, "s")] = 10.0
    body_bytes: Annotated[int, Range(0, 1 << 30, "bytes")] = 1 << 20
    hedge_after_s: Annotated[float, Range(0, 3600, "s")] = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotClass:
    """What trainer lots of one kind have in common.

    Attributes:
        account: The client account of the trainer.
        pool: The engine pool that generates.
        group_size: Samples of one prompt.
        max_staleness: Largest distance of versions between the trainer and
            any span of a sample.
        max_tokens: Longest sample.
        sample_timeout_s: Longest wait for one sample, in seconds; then it is
            generated elsewhere.
        concurrency: Samples generated at one time for one lot.
        spare_samples: Extra samples started for each group.
    """

    account: Name
    pool: Name
    group_size: Annotated[int, Range(1, 1024)] = 4
    max_staleness: Annotated[int, Range(0, 1000, "versions")] = 2
    max_tokens: Annotated[int, Range(1, 1_000_000, "tokens")] = 256
    concurrency: Annotated[int, Range(1, 100_000)] = 64
    sample_timeout_s: Annotated[float, Range(0.1, 3600, "s")] = 60.0
    spare_samples: Annotated[int, Range(0, 64)] = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointPool:
    """A set of like endpoints.

    Attributes:
        kind: `engine` generates samples, `service` is a plain service.
        checks_fencing: Whether its endpoints refuse old fencing numbers.
        orders: `automatic` lets daisyhub order endpoints, `manual` doesn't.
        least: Smallest number of endpoints in one failure domain.
        budget: Largest number of endpoints in one failure domain.
        target_load: Wanted share of the endpoints' capacity in use.
        cheap_share: Largest share of endpoints that may be cheap.
        weight_loads_at_once: Engines of one failure domain that may load
            weights at the same time.
    """

    kind: Literal["engine", "service"]
    checks_fencing: bool = True
    orders: Literal["automatic", "manual"] = "manual"
    least: Annotated[int, Range(0, 100_000)] = 1
    budget: Annotated[int, Range(0, 100_000)] = 64
    target_load: Annotated[float, Range(0.01, 1)] = 0.7
    cheap_share: Annotated[float, Range(0, 1)] = 0.0
    weight_loads_at_once: Annotated[int, Range(1, 10_000)] = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """The whole configuration document.

    Attributes:
        owners: Section name to the teams that may change it.
        client_accounts: Accounts by name.
        keys: Keys by key id.
        routes: Routes by name.
        trainer_lots: Lot classes by name.
        endpoint_pools: Pools by name.
    """

    owners: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    client_accounts: dict[str, ClientAccount] = dataclasses.field(
        default_factory=dict
    )
    keys: dict[str, ClientKey] = dataclasses.field(default_factory=dict)
    routes: dict[str, Route] = dataclasses.field(default_factory=dict)
    trainer_lots: dict[str, LotClass] = dataclasses.field(default_factory=dict)
    endpoint_pools: dict[str, EndpointPool] = dataclasses.field(
        default_factory=dict
    )


SECTION_NAMES = tuple(field.name for field in dataclasses.fields(Document))


def empty_document() -> Document:
    """Returns a document without any entry."""
    return Document()


def check_config(text: str, file: str = "") -> Document:
    """Checks a document, references between sections included.

    Raises:
        DocumentError: With every fault found.
    """
    document = check_document(text, Document, file)
    problems = [
        Problem(path, message, 0, file)
        for path, message in _broken_references(document)
    ]
    if problems:
        raise DocumentError(problems)
    return document


def _broken_references(doc: Document):
    """Yields (path, message) for names that no section defines."""
    for name in doc.owners:
        if name not in SECTION_NAMES:
            yield f"$.owners.{name}", "is not a section"
        if not doc.owners[name]:
            yield f"$.owners.{name}", "must name a team"
    if doc.owners and "owners" not in doc.owners:
        yield "$.owners", "must name the teams that may change 'owners'"
    for key_id, key in doc.keys.items():
        if key.account not in doc.client_accounts:
            yield f"$.keys.{key_id}.account", _unknown("account", key.account)
    for name, route in doc.routes.items():
        if route.pool not in doc.endpoint_pools:
            yield f"$.routes.{name}.pool", _unknown("pool", route.pool)
        if not route.path_prefix.startswith("/"):
            yield f"$.routes.{name}.path_prefix", "must start with a slash"
        for account in route.accounts:
            if account not in doc.client_accounts:
                path = f"$.routes.{name}.accounts"
                yield path, _unknown("account", account)
    yield from _broken_lots(doc)


def _broken_lots(doc: Document):
    for name, lot in doc.trainer_lots.items():
        if lot.pool not in doc.endpoint_pools:
            yield f"$.trainer_lots.{name}.pool", _unknown("pool", lot.pool)
        if lot.account not in doc.client_accounts:
            path = f"$.trainer_lots.{name}.account"
            yield path, _unknown("account", lot.account)


def _unknown(kind: str, name: str) -> str:
    return f"names the {kind} {name!r}, which is not defined"
