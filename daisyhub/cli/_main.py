"""Entry point: selects a command and runs it."""

import sys

import anyio
from absl import app

from daisyhub.cli._base import Command, Context, ExitCode, UsageError
from daisyhub.cli._config import (
    ApplyCommand,
    AuditCommand,
    CheckCommand,
    DiffCommand,
    HistoryCommand,
    RevertCommand,
)
from daisyhub.cli._endpoints import EndpointCommand
from daisyhub.cli._keys import KeyCommand
from daisyhub.cli._status import LotCommand, StatusCommand
from daisyhub.cli._usage import UsageCommand
from daisyhub.exceptions import (
    ConfigConflictError,
    DaisyhubError,
    DocumentError,
    PlatformUnavailableError,
)

__all__ = ["main"]

COMMANDS: tuple[Command, ...] = (
    CheckCommand(),
    DiffCommand(),
    ApplyCommand(),
    HistoryCommand(),
    RevertCommand(),
    AuditCommand(),
    KeyCommand(),
    EndpointCommand(),
    LotCommand(),
    UsageCommand(),
    StatusCommand(),
)
_EXIT_CODES = (
    (DocumentError, ExitCode.INVALID),
    (UsageError, ExitCode.USAGE),
    (ConfigConflictError, ExitCode.CONFLICT),
    (PlatformUnavailableError, ExitCode.UNAVAILABLE),
)


def _usage_text() -> str:
    lines = ["usage: daisyhub COMMAND [--flags]", "", "commands:"]
    for command in COMMANDS:
        lines.append(f"  {command.usage}")
        lines.append(f"      {command.summary}")
    lines += ["", "exit codes:"]
    lines += [f"  {code.value}  {code.name.lower()}" for code in ExitCode]
    return "\n".join(lines)


async def _run_and_close(
    command: Command, args: list[str], ctx: Context
) -> ExitCode:
    try:
        return await command.run(ctx, args)
    finally:
        await ctx.http.aclose()


def _dispatch(argv: list[str]) -> int:
    args = argv[1:]
    commands = [c for c in COMMANDS if args and c.name == args[0]]
    if not commands:
        print(_usage_text(), file=sys.stderr)
        return ExitCode.USAGE
    return run_command(commands[0], args[1:], Context())


def run_command(command: Command, args: list[str], ctx: Context) -> int:
    """Runs one command; prints its error and returns its exit code."""
    try:
        return anyio.run(_run_and_close, command, args, ctx)
    except OSError as exc:
        print(exc, file=sys.stderr)
        return ExitCode.USAGE
    except DaisyhubError as exc:
        print(exc, file=sys.stderr)
        for kind, code in _EXIT_CODES:
            if isinstance(exc, kind):
                return code
        return ExitCode.INVALID


def main() -> None:
    """Runs the command line; exits with an `ExitCode`."""
    sys.modules["__main__"].__doc__ = _usage_text()
    app.run(_dispatch)
