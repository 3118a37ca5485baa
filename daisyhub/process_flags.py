"""Flags that the daemon and the command line have in common."""

from absl import flags

__all__ = ["SETTINGS"]

SETTINGS = flags.DEFINE_string(
    "settings", "", "File with this process's settings, JSON with comments."
)
