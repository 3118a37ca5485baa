"""Duties: tasks that one daemon at a time holds, with fencing numbers.

Used by the daemons of `daisyhub.platform`; those of `daisyhub.daemon` use the
leases of `daisyhub.hosting` for this.
"""

from daisyhub.duties._controller import DutyController, list_challenges
from daisyhub.duties._core import DutyCore
from daisyhub.duties._ranking import choose_candidate
from daisyhub.duties._types import (
    DutyCallFailed,
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
    "list_challenges",
]
