"""Commands on client keys."""

from daisyhub.cli._base import Command, Context, ExitCode, UsageError
from daisyhub.identity import hash_secret, new_key

__all__ = ["KeyCommand"]


class KeyCommand(Command):
    """Makes and withdraws keys."""

    name = "key"
    usage = "key create ACCOUNT | key withdraw KEY_ID"
    summary = "Makes a key, shown once, or withdraws one within seconds."

    async def run(self, ctx: Context, args: list[str]) -> ExitCode:
        """Runs one of the two verbs."""
        match args:
            case ["create", account]:
                return self._create(ctx, account)
            case ["withdraw", key_id]:
                await ctx.store.withdraw_key(key_id)
                ctx.print_rows([{"key_id": key_id, "state": "withdrawn"}])
                return ExitCode.OK
        raise UsageError(self.usage)

    def _create(self, ctx: Context, account: str) -> ExitCode:
        key = new_key()
        row = {
            "key_id": key.key_id,
            "account": account,
            "secret_hash": hash_secret(key.secret, ctx.cfg.key_hash_secret),
            "key": f"dh_{key.key_id}_{key.secret}",
        }
        ctx.print_rows([row])
        return ExitCode.OK
