"""Duties: tasks that one daemon at a time holds, with fencing numbers."""

from daisyhub.duties._controller import DutyController, choose_candidate
from daisyhub.duties._core import (
    DutyCallFailed,
    DutyCore,
    DutyRecord,
    DutyRecordReceived,
    DutyTick,
    FencingRejected,
    ReadDuty,
    WriteDuty,
)

__all__ = [
    "DutyCallFailed",
    "DutyController",
    "DutyCore",
    "DutyRecord",
    "DutyRecordReceived",
    "DutyTick",
    "FencingRejected",
    "ReadDuty",
    "WriteDuty",
    "choose_candidate",
]
