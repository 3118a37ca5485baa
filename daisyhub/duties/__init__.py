"""Duties that one daemon at a time has, with a number that rises."""

from daisyhub.duties._controller import DutyController, choose_candidate
from daisyhub.duties._core import (
    DutyCallFailed,
    DutyCore,
    DutyFound,
    DutyRecord,
    DutyTick,
    FencingRejected,
    ReadDuty,
    WriteDuty,
)

__all__ = [
    "DutyCallFailed",
    "DutyController",
    "DutyCore",
    "FencingRejected",
    "DutyFound",
    "DutyRecord",
    "DutyTick",
    "ReadDuty",
    "WriteDuty",
    "choose_candidate",
]
