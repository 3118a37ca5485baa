"""Commands for the configuration document."""

import json
import pathlib

from absl import flags

from daisyhub.checks import remove_comments
from daisyhub.cli._base import Command, Context, ExitCode, UsageError
from daisyhub.clocks import wall_time_s
from daisyhub.config import (
    SECTION_NAMES,
    ConfigHead,
    Sections,
    changed_sections,
    check_config,
)

__all__ = [
    "ApplyCommand",
    "AuditCommand",
    "CheckCommand",
    "DiffCommand",
    "HistoryCommand",
    "RevertCommand",
]

_BASE = flags.DEFINE_integer(
    "base",
    None,
    "Version that the change starts from; default is the newest.",
    lower_bound=0,
)


def _read_document(args: list[str]) -> str:
    if len(args) != 1:
        raise UsageError("exactly one FILE is required")
    return pathlib.Path(args[0]).read_text(encoding="utf-8")


async def _read_base_head(ctx: Context) -> ConfigHead:
    """Returns the head of version `--base`, or the newest without it."""
    if _BASE.value is None:
        return (await ctx.store.read_head())[0]
    return await _read_version_head(ctx, _BASE.value)


async def _read_version_head(ctx: Context, version: int) -> ConfigHead:
    head = await ctx.store.read_version(version)
    if head is None:
        raise UsageError(f"version {version} does not exist")
    return head


def _version_row(head: ConfigHead) -> dict[str, object]:
    return {
        "version": head.version,
        "from": head.base_version,
        "at": round(head.at_s, 3),
        "author": head.author,
        "team": head.team,
        "changed": list(head.changed),
    }


class CheckCommand(Command):
    """Checks a document without access to the platform."""

    name = "check"
    usage = "check FILE"
    summary = "Checks a configuration document and prints all errors."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints the number of entries of each section.

        Raises:
            DocumentError: The document is invalid; lists all errors.
        """
        document = check_config(_read_document(args), args[0])
        rows = [
            {"section": name, "entries": len(getattr(document, name))}
            for name in SECTION_NAMES
        ]
        ctx.print_rows(rows)
        return ExitCode.OK


class DiffCommand(Command):
    """Shows what a document would change."""

    name = "diff"
    usage = "diff FILE [--base=VERSION]"
    summary = "Shows the entries that a document adds, changes and removes."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints a row for each entry that differs from the base."""
        sections = json.loads(remove_comments(_read_document(args)))
        head = await _read_base_head(ctx)
        base = await ctx.store.read_sections(head)
        ctx.print_rows(_diff_rows(base, base | sections))
        return ExitCode.OK


def _diff_rows(old: Sections, new: Sections) -> list[dict[str, object]]:
    rows = []
    for section in changed_sections(old, new):
        before, after = old.get(section, {}), new.get(section, {})
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) == after.get(name):
                continue
            rows.append(
                {
                    "section": section,
                    "entry": name,
                    "before": before.get(name),
                    "after": after.get(name),
                }
            )
    return rows


class ApplyCommand(Command):
    """Activates a document's changes as a new version."""

    name = "apply"
    usage = "apply FILE --team=NAME [--base=VERSION]"
    summary = (
        "Applies a document's changes relative to the base to the active"
        " version."
    )

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints the new version, or the current one if nothing changed."""
        text = _read_document(args)
        check_config(text, args[0])
        sections = json.loads(remove_comments(text))
        base = await _read_base_head(ctx)
        head = await ctx.store.apply(
            sections,
            base_version=base.version,
            author=ctx.author,
            team=ctx.team,
            at_s=wall_time_s(),
        )
        ctx.print_rows([_version_row(head)])
        return ExitCode.OK


class RevertCommand(Command):
    """Activates an earlier version's content as a new version."""

    name = "revert-to"
    usage = "revert-to VERSION --team=NAME"
    summary = "Activates an earlier version's content as a new version."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints the new version."""
        if len(args) != 1 or not args[0].isdigit() or args[0] == "0":
            raise UsageError("exactly one VERSION above 0 is required")
        newest, _ = await ctx.store.read_head()
        target = await _read_version_head(ctx, int(args[0]))
        head = await ctx.store.apply(
            None,
            base_version=newest.version,
            revert_to=target.version,
            author=ctx.author,
            team=ctx.team,
            at_s=wall_time_s(),
        )
        ctx.print_rows([_version_row(head)])
        return ExitCode.OK


class HistoryCommand(Command):
    """Shows every version."""

    name = "history"
    usage = "history"
    summary = "Shows every version, oldest first."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints a row for each version."""
        heads = await ctx.store.read_audit()
        ctx.print_rows([_version_row(head) for head in heads])
        return ExitCode.OK


class AuditCommand(Command):
    """Shows every change, accepted or refused."""

    name = "audit"
    usage = "audit [accepted|refused|keys]"
    summary = (
        "Shows who changed what, when, and from which version to which;"
        " `refused` shows refused changes, `keys` withdrawn keys."
    )

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints a row for each change, oldest first."""
        match args:
            case [] | ["accepted"]:
                heads = await ctx.store.read_audit()
                rows = [_version_row(head) for head in heads]
            case ["refused"]:
                rows = await self._read_refused_rows(ctx)
            case ["keys"]:
                rows = [
                    {"key_id": e.key_id, "at": e.at_s, "author": e.author}
                    for e in await ctx.store.read_withdrawals()
                ]
            case _:
                raise UsageError(self.usage)
        ctx.print_rows(rows)
        return ExitCode.OK

    async def _read_refused_rows(self, ctx: Context) -> list[dict[str, object]]:
        return [
            {
                "at": round(entry.at_s, 3),
                "author": entry.author,
                "team": entry.team,
                "from": entry.base_version,
                "in_force": entry.head_version,
                "sections": list(entry.sections),
                "reason": entry.reason,
            }
            for entry in await ctx.store.read_refused()
        ]
