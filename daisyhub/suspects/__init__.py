"""Requests that are suspected of making endpoints end."""

from daisyhub.suspects._suspect_core import (
    MAX_TRIALS,
    Evidence,
    Suspect,
    SuspectCore,
    Verdict,
)
from daisyhub.suspects._suspects import LocalSuspects, Suspects

__all__ = [
    "MAX_TRIALS",
    "Evidence",
    "LocalSuspects",
    "Suspect",
    "SuspectCore",
    "Suspects",
    "Verdict",
]
