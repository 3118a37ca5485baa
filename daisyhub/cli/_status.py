"""Commands that show the state of daemons and lots."""

import msgspec

from daisyhub.cli._base import Command, Context, ExitCode, UsageError
from daisyhub.connections import RequestFailedError

__all__ = ["LotCommand", "StatusCommand", "read_statuses"]

_TIMEOUT_S = 2.0


async def read_statuses(ctx: Context) -> dict[str, dict | None]:
    """Returns the status of each daemon by id.

    None if the daemon is unreachable or its response is invalid.
    """
    statuses = {}
    for daemon_id, address in sorted(ctx.cfg.daemons.items()):
        statuses[daemon_id] = None
        try:
            response = await ctx.http.request(
                "GET", address, "/status", timeout_s=_TIMEOUT_S
            )
            statuses[daemon_id] = msgspec.json.decode(response.body)
        except (RequestFailedError, msgspec.DecodeError):
            continue
    return statuses


def _exit_code(statuses: dict[str, dict | None]) -> ExitCode:
    if None in statuses.values():
        return ExitCode.UNAVAILABLE
    return ExitCode.OK


class StatusCommand(Command):
    """Shows each daemon's state."""

    name = "status"
    usage = "status"
    summary = (
        "Shows each daemon's active version and the duties and lots it holds."
    )

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints a row for each daemon in the settings."""
        statuses = await read_statuses(ctx)
        ctx.print_rows([_status_row(*item) for item in statuses.items()])
        return _exit_code(statuses)


def _status_row(daemon_id: str, status: dict | None) -> dict[str, object]:
    row = {"daemon": daemon_id, "domain": "", "ready": "unreachable"}
    row |= {"version": "", "platform": "", "open": "", "holds": ""}
    if status is None:
        return row
    holds = [p for p in ("weights", "orders", "usage") if status[p]["fencing"]]
    holds += [f"lot:{lot}" for lot in status["lots"]]
    return row | {
        "domain": status["failure_domain"],
        "ready": status["is_ready"],
        "version": status["config"]["version"],
        "platform": status["news"]["platform"],
        "open": status["open_requests"],
        "holds": holds,
    }


class LotCommand(Command):
    """Shows trainer lots."""

    name = "lot"
    usage = "lot list | lot show LOT_ID"
    summary = "Shows the trainer lots that daemons serve."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints a row for each lot and daemon.

        Returns `INVALID` if no daemon serves the lot to show.
        """
        match args:
            case ["list"]:
                wanted_lot_id = None
            case ["show", lot_id]:
                wanted_lot_id = lot_id
            case _:
                raise UsageError(self.usage)
        statuses = await read_statuses(ctx)
        rows = [
            {"lot": lot_id, "daemon": daemon_id, **lot}
            for daemon_id, status in statuses.items()
            for lot_id, lot in (status["lots"] if status else {}).items()
            if wanted_lot_id in (None, lot_id)
        ]
        ctx.print_rows(sorted(rows, key=lambda row: row["lot"]))
        if wanted_lot_id and not rows:
            return ExitCode.INVALID
        return _exit_code(statuses)
