"""Base class and context of commands: flags, clients and output."""

import abc
import dataclasses
import enum
import getpass
import json
import pathlib
from typing import Annotated

from absl import flags

from daisyhub.checks import Range, check_document
from daisyhub.config import ConfigStore
from daisyhub.connections import HttpClient
from daisyhub.exceptions import DaisyhubError
from daisyhub.hosting import PlatformClient
from daisyhub.process_flags import SETTINGS
from daisyhub.settings import Address

__all__ = ["Command", "Context", "ExitCode", "OperatorSettings", "UsageError"]

_CONNECT_TIMEOUT_S = 2.0
_TIMEOUT_S = 5.0
_CONNECTION_IDLE_S = 10.0

_OUTPUT = flags.DEFINE_enum(
    "output", "table", ["table", "json"], "How results are printed."
)
_TEAM = flags.DEFINE_string("team", "", "The team that makes the change.")
_AUTHOR = flags.DEFINE_string(
    "author", "", "Who makes the change; the user's name if not given."
)


class ExitCode(enum.IntEnum):
    """Exit codes of the command line.

    INVALID also covers errors that have no exit code of their own, and USAGE
    files that can't be read.
    """

    OK = 0
    INVALID = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4


class UsageError(DaisyhubError):
    """The command line's arguments are invalid."""

    code = "usage"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """Settings of the command line.

    Attributes:
        platform_address: The platform's service.
        key_hash_secret: Secret of the keyed hash of client keys, hex.
        daemons: Operators' addresses of the daemons, by daemon id.
    """

    platform_address: Address
    key_hash_secret: Annotated[str, Range(32, 256, "characters")]
    daemons: dict[str, Address] = dataclasses.field(default_factory=dict)


class Context:
    """Settings, clients and output that a command uses."""

    def __init__(self):
        self.http = HttpClient(
            connect_timeout_s=_CONNECT_TIMEOUT_S, idle_s=_CONNECTION_IDLE_S
        )
        self._cfg: OperatorSettings | None = None

    @property
    def cfg(self) -> OperatorSettings:
        """The operator's settings.

        Raises:
            UsageError: `--settings` is missing.
            DocumentError: The settings file is invalid.
            OSError: The settings file can't be read.
        """
        if self._cfg is None:
            if not SETTINGS.value:
                raise UsageError("--settings=FILE is required")
            text = pathlib.Path(SETTINGS.value).read_text(encoding="utf-8")
            self._cfg = check_document(text, OperatorSettings, SETTINGS.value)
        return self._cfg

    @property
    def platform(self) -> PlatformClient:
        """A client for the platform."""
        return PlatformClient(self.cfg.platform_address, self.http, _TIMEOUT_S)

    @property
    def store(self) -> ConfigStore:
        """The configuration store."""
        return ConfigStore(self.platform)

    @property
    def team(self) -> str:
        """The team that makes the change.

        Raises:
            UsageError: `--team` is missing.
        """
        if not _TEAM.value:
            raise UsageError("--team=NAME is required")
        return _TEAM.value

    @property
    def author(self) -> str:
        """Name of the person who makes the change."""
        return _AUTHOR.value or getpass.getuser()

    def print_rows(self, rows: list[dict[str, object]]) -> None:
        """Prints rows as a table or as JSON, as `--output` says.

        Args:
            rows: Rows with equal keys, which are the headings.
        """
        if _OUTPUT.value == "json":
            print(json.dumps(rows, indent=2))
            return
        if not rows:
            print("nothing to show")
            return
        headings = list(rows[0])
        table = [headings] + [
            [_format_cell(row[heading]) for heading in headings] for row in rows
        ]
        widths = [max(map(len, column)) for column in zip(*table, strict=True)]
        for line in table:
            padded = [
                cell.ljust(width)
                for cell, width in zip(line, widths, strict=True)
            ]
            print("  ".join(padded).rstrip())


def _format_cell(value: object) -> str:
    if isinstance(value, list | tuple):
        return ",".join(map(str, value))
    return str(value)


class Command(abc.ABC):
    """A command.

    Attributes:
        name: First argument, which selects the command.
        usage: Usage line.
        summary: Description for the usage text.
    """

    name: str
    usage: str
    summary: str

    @abc.abstractmethod
    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Runs the command with the arguments after its name.

        Raises:
            DaisyhubError: The command failed.
        """
