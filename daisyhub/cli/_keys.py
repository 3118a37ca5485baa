"""The command that creates, withdraws and lists client keys."""

from daisyhub.cli._base import Command, Context, ExitCode, UsageError
from daisyhub.clocks import wall_time_s
from daisyhub.identity import hash_secret, new_key

__all__ = ["KeyCommand"]


class KeyCommand(Command):
    """Creates, withdraws and lists keys."""

    name = "key"
    usage = "key create ACCOUNT --team=NAME | key withdraw KEY_ID | key list"
    summary = (
        "Creates a key, shown once, and activates its hash; withdraws one"
        " within seconds; lists keys."
    )

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Runs the subcommand."""
        match args:
            case ["create", account]:
                return await self._create(ctx, account)
            case ["withdraw", key_id]:
                await ctx.store.withdraw_key(
                    key_id, author=ctx.author, at_s=wall_time_s()
                )
                ctx.print_rows([{"key_id": key_id, "state": "withdrawn"}])
                return ExitCode.OK
            case ["list"]:
                return await self._list(ctx)
        raise UsageError(self.usage)

    async def _create(self, ctx: Context, account: str) -> ExitCode:
        """Creates a key and prints it.

        The entry is applied first, so that a key whose creation failed is
        never printed.
        """
        key = new_key()
        secret_hash = hash_secret(key.secret, ctx.cfg.key_hash_secret)
        head, _ = await ctx.store.read_head()
        sections = await ctx.store.read_sections(head)
        entry = {"account": account, "secret_hash": secret_hash}
        keys = sections.get("keys", {}) | {key.key_id: entry}
        head = await ctx.store.apply(
            {"keys": keys},
            base_version=head.version,
            author=ctx.author,
            team=ctx.team,
            at_s=wall_time_s(),
        )
        row = {
            "key_id": key.key_id,
            "account": account,
            "version": head.version,
            "key": f"dh_{key.key_id}_{key.secret}",
        }
        ctx.print_rows([row])
        return ExitCode.OK

    async def _list(self, ctx: Context) -> ExitCode:
        head, _ = await ctx.store.read_head()
        sections = await ctx.store.read_sections(head)
        keys = sections.get("keys", {})
        withdrawn, _ = await ctx.store.read_withdrawn()
        rows = [
            {
                "key_id": key_id,
                "account": keys[key_id]["account"] if key_id in keys else "",
                "state": "withdrawn" if key_id in withdrawn else "valid",
            }
            for key_id in sorted(keys.keys() | set(withdrawn))
        ]
        ctx.print_rows(rows)
        return ExitCode.OK
