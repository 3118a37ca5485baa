"""The command that lists and drains endpoints."""

import uuid

import msgspec

from daisyhub.balancing import DRAIN_PREFIX, DrainOrder
from daisyhub.cli._base import Command, Context, ExitCode, UsageError
from daisyhub.cli._status import read_statuses
from daisyhub.exceptions import PlatformConflictError
from daisyhub.hosting import EndpointRecord

__all__ = ["EndpointCommand"]


class EndpointCommand(Command):
    """Lists and drains endpoints."""

    name = "endpoint"
    usage = "endpoint list FAILURE_DOMAIN | endpoint drain FAILURE_DOMAIN ID"
    summary = (
        "Lists a failure domain's endpoints; takes one out of service until"
        " it is restarted."
    )

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Runs the subcommand."""
        match args:
            case ["list", domain]:
                return await self._list(ctx, domain)
            case ["drain", domain, endpoint_id]:
                return await self._drain(ctx, domain, endpoint_id)
        raise UsageError(self.usage)

    async def _list(self, ctx: Context, domain: str) -> ExitCode:
        drained = {
            order.endpoint_id: order.incarnation
            for order in [
                msgspec.convert(found.value, DrainOrder)
                for found in await ctx.platform.list(DRAIN_PREFIX)
            ]
        }
        # The platform's list may lag behind what the daemons act on.
        statuses = await read_statuses(ctx)
        rows = [
            {
                "endpoint": record.endpoint_id,
                "pool": record.pool,
                "address": f"{record.ip}:{record.port}",
                "state": record.state,
                "incarnation": record.incarnation,
                "cheap": record.cheap,
                "drained": drained.get(record.endpoint_id, 0)
                >= record.incarnation,
                "leaving_at": [
                    daemon_id
                    for daemon_id, status in statuses.items()
                    if _is_leaving(record, status)
                ],
            }
            for record in await ctx.platform.list_endpoints(domain)
        ]
        ctx.print_rows(rows)
        return ExitCode.OK

    async def _drain(self, ctx: Context, domain: str, endpoint_id: str):
        records = await ctx.platform.list_endpoints(domain)
        matching = [r for r in records if r.endpoint_id == endpoint_id]
        if not matching:
            raise UsageError(f"no endpoint {endpoint_id!r} in {domain!r}")
        order = DrainOrder(
            endpoint_id=endpoint_id,
            incarnation=matching[0].incarnation,
            author=ctx.author,
        )
        await self._write_order(ctx, order)
        row = {"endpoint": endpoint_id, "drained": order.incarnation}
        ctx.print_rows([row])
        return ExitCode.OK

    async def _write_order(self, ctx: Context, order: DrainOrder) -> None:
        """Stores a drain order; retries on write conflicts.

        The drained incarnation never decreases.
        """
        key = DRAIN_PREFIX + order.endpoint_id
        while True:
            stored = await ctx.platform.get(key)
            if stored is not None:
                current = msgspec.convert(stored.value, DrainOrder)
                if current.incarnation >= order.incarnation:
                    return
            try:
                await ctx.platform.put(
                    key,
                    msgspec.to_builtins(order),
                    expected_version=stored.version if stored else 0,
                    write_id=uuid.uuid4().hex,
                )
            except PlatformConflictError:
                continue
            return


def _is_leaving(record: EndpointRecord, status: dict | None) -> bool:
    """Whether a daemon's status shows that it sends an endpoint nothing new."""
    known = (status or {}).get("endpoints", {}).get(record.endpoint_id)
    return (
        known is not None
        and known["health"] == "leaving"
        and known["incarnation"] == record.incarnation
    )
