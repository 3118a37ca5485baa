"""Decodes the entries of servers in the store.

Some of the platform's names need an explanation: a server is an endpoint,
`service` is its pool, `zone` is its failure domain, `slots` is the number of
requests that it serves concurrently, `version` (at the top level) is the
version of its software, `spot` means that the platform may reclaim it,
`cold-left-ms` is how long it stays cold after its start, and `born` is its
start time in milliseconds since 1970. `sequence` is the number of
its writes of the entry, not of its orders as in the server's report, and isn't
used.
"""

from typing import Annotated

import msgspec

from daisyhub.balancing import EndpointEntry
from daisyhub.fleet_settings import parse_address
from daisyhub.json_texts import decode_json

__all__ = ["SERVERS_KIND", "read_server"]

SERVERS_KIND = "servers"
_MS_PER_S = 1000.0
# Largest number of a field: messages to peers carry integers of 64 bits, and
# times in floating point are exact up to this.
_MAX_NUMBER = 2**53
# Far more than an endpoint serves at once.
_MAX_SLOTS = 1_000_000
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


_Number = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: _Number = 0


class _Server(msgspec.Struct, frozen=True, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    version: str
    slots: _Slots = 1
    born: _Number = 0
    spot: bool = False
    cold_left_ms: float = 0.0
    models: tuple[_Model, ...] = ()


def read_server(endpoint_id: str, spec: bytes) -> EndpointEntry:
    """Decodes a server's entry.

    Raises:
        ValueError: The entry is invalid or its state is unknown.
    """
    try:
        server = decode_json(spec, type=_Server)
    except msgspec.DecodeError as exc:
        raise ValueError(str(exc)) from exc
    if server.state not in _IS_LEAVING_BY_STATE:
        raise ValueError(f"unknown state {server.state!r}")
    return EndpointEntry(
        endpoint_id=endpoint_id,
        pool=server.service,
        address=parse_address(server.address),
        domain=server.zone,
        incarnation=server.born,
        slots=max(1, server.slots),
        is_leaving=_IS_LEAVING_BY_STATE[server.state],
        is_cheap=server.spot,
        versions={model.name: model.version for model in server.models},
        software=server.version,
        cold_left_s=server.cold_left_ms / _MS_PER_S,
    )
