"""Command-line flags shared by `daisyhubd` and `daisyhub`."""

from absl import flags

__all__ = ["SETTINGS"]

SETTINGS = flags.DEFINE_string(
    "settings", "", "Settings file of this process, JSON with comments."
)
