"""Usage: counters of each daemon, windows sealed once, reports."""

from daisyhub.accounting._usage import (
    SealedWindow,
    UsageCount,
    UsageCounters,
    UsagePart,
    seal_window,
    window_of,
)

__all__ = [
    "SealedWindow",
    "UsageCount",
    "UsageCounters",
    "UsagePart",
    "seal_window",
    "window_of",
]
