"""Commands that show the state of daemons."""

import msgspec

from daisyhub.cli._base import Command, Context, ExitCode
from daisyhub.connections import RequestFailedError

__all__ = ["StatusCommand"]

_TIMEOUT_S = 2.0


class StatusCommand(Command):
    """Shows each daemon's state."""

    name = "status"
    usage = "status"
    summary = "Shows the version in force on each daemon and what it holds."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Prints a row for each daemon of the settings."""
        rows = []
        for daemon_id, address in sorted(ctx.cfg.daemons.items()):
            rows.append(await self._row(ctx, daemon_id, address))
        ctx.print_rows(rows)
        is_down = any(row["ready"] == "unreachable" for row in rows)
        return ExitCode.UNAVAILABLE if is_down else ExitCode.OK

    async def _row(self, ctx: Context, daemon_id: str, address) -> dict:
        row = {"daemon": daemon_id, "domain": "", "ready": "unreachable"}
        row |= {"version": "", "platform": "", "open": "", "holds": ""}
        try:
            answer = await ctx.http.request(
                "GET", address, "/status", timeout_s=_TIMEOUT_S
            )
        except RequestFailedError:
            return row
        status = msgspec.json.decode(answer.body)
        holds = [p for p in ("weights", "usage") if status[p]["fencing"]]
        holds += [f"lot:{lot}" for lot in status["lots"]]
        return row | {
            "domain": status["failure_domain"],
            "ready": status["is_ready"],
            "version": status["config"]["version"],
            "platform": status["news"]["platform"],
            "open": status["open_requests"],
            "holds": holds,
        }
