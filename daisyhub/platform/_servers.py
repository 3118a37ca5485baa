"""Decodes entries of servers; one that can't be read names no endpoint.

Where the platform's names mislead: `slots` is what the server serves at one
time, `version` (at the top) that of its software, `spot` that it may be taken
away, `born` the Unix millisecond of its start. `sequence` counts its writes
here, not its orders as in its report, and isn't used.
"""

import msgspec

from daisyhub.balancing import EndpointEntry
from daisyhub.fleet_settings import parse_address

__all__ = ["SERVERS_KIND", "read_server"]

SERVERS_KIND = "servers"
_STATES = {"ready": False, "draining": True}


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int = 0


class _Server(msgspec.Struct, frozen=True, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    born: int = 0
    spot: bool = False
    models: tuple[_Model, ...] = ()


def read_server(endpoint_id: str, spec: bytes) -> EndpointEntry:
    """Returns the entry.

    Raises:
        ValueError: It can't be read, or has a state that isn't known.
    """
    try:
        found = msgspec.json.decode(spec, type=_Server)
    except msgspec.DecodeError as exc:
        raise ValueError(str(exc)) from exc
    if found.state not in _STATES:
        raise ValueError(f"state {found.state!r} is not known")
    return EndpointEntry(
        endpoint_id=endpoint_id,
        pool=found.service,
        address=parse_address(found.address),
        domain=found.zone,
        incarnation=found.born,
        slots=max(1, found.slots),
        is_leaving=_STATES[found.state],
        is_cheap=found.spot,
        versions={model.name: model.version for model in found.models},
    )
