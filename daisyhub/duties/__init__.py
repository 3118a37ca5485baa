"""Duties: tasks that one daemon at a time holds, with fencing numbers.

Used by the daemons of `daisyhub.platform`; those of `daisyhub.daemon` use the
leases of `daisyhub.hosting` for this.
"""

from daisyhub.duties._controller import (
    DutyController,
    choose_candidate,
    list_challenges,
)
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
    "list_challenges",
]
