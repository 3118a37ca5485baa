"""Counts requests by client account and reports them by time window.

Used by the daemons of `daisyhub.platform`; those of `daisyhub.daemon` use
`daisyhub.accounting` for this.
"""

from daisyhub.billing._controller import UsageReporter
from daisyhub.billing._desk import (
    OrderDeskClient,
    OrderDeskOutcome,
)
from daisyhub.billing._usage_aggregator import UsageAggregator
from daisyhub.billing._usage_meter import UsageMeter, WindowCounts
from daisyhub.billing._window_core import (
    ReportWindow,
    SealFailed,
    SealWindow,
    WindowCore,
    WindowReported,
    WindowSealed,
    WindowTick,
)

__all__ = [
    "OrderDeskClient",
    "OrderDeskOutcome",
    "ReportWindow",
    "SealFailed",
    "SealWindow",
    "UsageAggregator",
    "UsageMeter",
    "UsageReporter",
    "WindowCore",
    "WindowCounts",
    "WindowReported",
    "WindowSealed",
    "WindowTick",
]
