"""The shared configuration document: its sections, checks and versions."""

from daisyhub.config._document import (
    SECTION_NAMES,
    ClientAccount,
    ClientKey,
    Document,
    EndpointPool,
    LotClass,
    Route,
    check_config,
    empty_document,
)
from daisyhub.config._store import (
    ConfigHead,
    ConfigStore,
    SectionRef,
    Snapshot,
    WithdrawnKeys,
)

__all__ = [
    "SECTION_NAMES",
    "ClientAccount",
    "ClientKey",
    "ConfigHead",
    "ConfigStore",
    "Document",
    "EndpointPool",
    "LotClass",
    "Route",
    "SectionRef",
    "Snapshot",
    "WithdrawnKeys",
    "check_config",
    "empty_document",
]
