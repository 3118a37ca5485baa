"""The operators' command line, `daisyhub COMMAND`."""

from daisyhub.cli._base import OperatorSettings
from daisyhub.cli._main import main

__all__ = ["OperatorSettings", "main"]
