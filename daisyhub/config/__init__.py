"""The shared configuration document: schema, validation and versions."""

from daisyhub.config._acceptance import AcceptanceCore
from daisyhub.config._acceptance_types import ChangeRequest
from daisyhub.config._adoption import (
    ActivateSnapshot,
    AdoptionCore,
    AdoptionTick,
    FetchFailed,
    FetchFromPeer,
    FetchParts,
    HeadReceived,
    PartsFetched,
    PeerStateFetched,
    PeerSummaryReceived,
    WithdrawKeys,
    WithdrawnKeysReceived,
)
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
from daisyhub.config._merge import (
    MergeResult,
    changed_sections,
    merge_sections,
)
from daisyhub.config._parts import (
    PartsError,
    Sections,
    build_snapshot,
    join_sections,
    split_sections,
)
from daisyhub.config._records import (
    ConfigHead,
    RefusedChange,
    SectionRef,
    Snapshot,
    WithdrawnKey,
    WithdrawnKeys,
)
from daisyhub.config._store import ConfigStore

__all__ = [
    "SECTION_NAMES",
    "AcceptanceCore",
    "AdoptionCore",
    "AdoptionTick",
    "ChangeRequest",
    "ClientAccount",
    "ClientKey",
    "ConfigHead",
    "ConfigStore",
    "Document",
    "EndpointPool",
    "FetchFailed",
    "FetchFromPeer",
    "FetchParts",
    "HeadReceived",
    "LotClass",
    "MergeResult",
    "PartsError",
    "PartsFetched",
    "PeerStateFetched",
    "PeerSummaryReceived",
    "ActivateSnapshot",
    "RefusedChange",
    "Route",
    "SectionRef",
    "Sections",
    "Snapshot",
    "WithdrawKeys",
    "WithdrawnKeysReceived",
    "WithdrawnKey",
    "WithdrawnKeys",
    "build_snapshot",
    "changed_sections",
    "check_config",
    "empty_document",
    "join_sections",
    "merge_sections",
    "split_sections",
]
