"""Evacuations: failure domains whose endpoints are sent nothing."""

from daisyhub.evacuations._controller import EvacuationController
from daisyhub.evacuations._core import (
    DomainsChanged,
    EvacuationCore,
    EvacuationsLearned,
    EvacuationTick,
    Revisions,
    UnknownDomain,
)

__all__ = [
    "DomainsChanged",
    "EvacuationController",
    "EvacuationCore",
    "EvacuationTick",
    "EvacuationsLearned",
    "Revisions",
    "UnknownDomain",
]
