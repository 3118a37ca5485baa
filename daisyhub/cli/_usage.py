"""The command that shows sealed usage that is possibly unreported."""

import msgspec

from daisyhub.accounting import Ledger, SealedWindow
from daisyhub.cli._base import Command, Context, ExitCode, UsageError

__all__ = ["UsageCommand"]

_LEDGER_PREFIX = "sealed/"


class UsageCommand(Command):
    """Shows sealed usage windows that are possibly unreported.

    The ledger may still contain windows whose report was already accepted.
    """

    name = "usage"
    usage = "usage show [FAILURE_DOMAIN]"
    summary = (
        "Shows sealed usage that is possibly unreported; the platform keeps"
        " reported usage."
    )

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints a row for each failure domain, window and account."""
        match args:
            case ["show"]:
                wanted_key = None
            case ["show", domain]:
                wanted_key = _LEDGER_PREFIX + domain
            case _:
                raise UsageError(self.usage)
        rows = []
        for stored in await ctx.platform.list(_LEDGER_PREFIX):
            if wanted_key in (None, stored.key):
                rows += _usage_rows(msgspec.convert(stored.value, Ledger))
        ctx.print_rows(rows)
        return ExitCode.OK


def _usage_rows(ledger: Ledger) -> list[dict[str, object]]:
    rows = []
    for report in ledger.unreported:
        sealed = msgspec.json.decode(report.body, type=SealedWindow)
        rows += [_usage_row(sealed, count) for count in sealed.counts]
    return rows


def _usage_row(sealed: SealedWindow, count) -> dict[str, object]:
    return {
        "domain": sealed.failure_domain,
        "window": sealed.window,
        "account": count.account,
        "requests": count.requests,
        "tokens": count.tokens,
    }
