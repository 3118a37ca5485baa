"""Commands on the configuration document: check, apply, history."""

import json
import pathlib

from absl import flags

from daisyhub.checks import remove_comments
from daisyhub.cli._base import Command, Context, ExitCode, UsageError
from daisyhub.clocks import wall_time_s
from daisyhub.config import SECTION_NAMES, check_config

__all__ = ["ApplyCommand", "AuditCommand", "CheckCommand"]

_BASE = flags.DEFINE_integer(
    "base", None, "Version that the change starts from; default is the newest."
)


def _read_document(args: list[str]) -> str:
    if len(args) != 1:
        raise UsageError("exactly one FILE is needed")
    return pathlib.Path(args[0]).read_text(encoding="utf-8")


class CheckCommand(Command):
    """Checks a document without a platform."""

    name = "check"
    usage = "check FILE"
    summary = "Checks a configuration document and prints every fault."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints the number of entries of each section."""
        document = check_config(_read_document(args), args[0])
        rows = [
            {"section": name, "entries": len(getattr(document, name))}
            for name in SECTION_NAMES
        ]
        ctx.print_rows(rows)
        return ExitCode.OK


class ApplyCommand(Command):
    """Puts a document's sections in force."""

    name = "apply"
    usage = "apply FILE --team=NAME [--base=VERSION]"
    summary = "Checks a document and puts its sections in force."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints the new version and the changed sections."""
        text = _read_document(args)
        check_config(text, args[0])
        sections = json.loads(remove_comments(text))
        base = _BASE.value
        if base is None:
            base = (await ctx.store.read_head())[0].version
        head = await ctx.store.apply(
            sections,
            base_version=base,
            author=ctx.author,
            team=ctx.team,
            at_s=wall_time_s(),
        )
        row = {"version": head.version, "changed": list(head.changed)}
        ctx.print_rows([row])
        return ExitCode.OK


class AuditCommand(Command):
    """Shows every accepted change."""

    name = "audit"
    usage = "audit"
    summary = "Shows who changed what, when, and to which version."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints a row for each accepted change, oldest first."""
        rows = [
            {
                "version": entry.version,
                "at": round(entry.at_s, 3),
                "author": entry.author,
                "team": entry.team,
                "changed": list(entry.changed),
            }
            for entry in await ctx.store.read_audit()
        ]
        ctx.print_rows(rows)
        return ExitCode.OK
