"""Finds the client account of a caller's key."""

import dataclasses

from daisyhub.base import Filter, Handler
from daisyhub.catalog import ManifestController, RouteKind
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.messages import Request, Response

__all__ = ["KeyFilter"]


class KeyFilter(Filter):
    """Sets the account of a request; refuses missing and unknown keys.

    Args:
        manifests: Provides the active manifest.
    """

    name = "key"

    def __init__(self, manifests: ManifestController):
        self._manifests = manifests

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Refuses a request without a valid key.

        Open routes need no key, and neither does a manifest without accounts.
        On an open route for lots, a known key still names the account that
        the lot belongs to, as later calls about the lot have no route. Lots
        that were submitted without an account are open to calls without a key.
        """
        manifest = self._manifests.manifest
        if manifest.accounts is None:
            return await call_next(dataclasses.replace(req, has_accounts=False))
        account = manifest.find_account(req.key) if req.key else None
        if req.route is not None and req.route.is_open:
            owns = account is not None and req.route.kind is RouteKind.ROLLOUT
            name = account.name if owns else ""
            return await call_next(dataclasses.replace(req, account=name))
        if account is not None:
            name = account.name
            return await call_next(dataclasses.replace(req, account=name))
        refusal = _refuse_key(req.key, manifest.version)
        if req.lot_call is None:
            raise refusal
        try:
            return await call_next(req)
        except Refusal as exc:
            if exc.error is not ErrorCode.LOT_UNKNOWN:
                raise
            raise refusal from exc


def _refuse_key(key: str, version: int) -> Refusal:
    """Returns the refusal of a missing or unknown key."""
    if not key:
        return Refusal(
            ErrorCode.KEY_MISSING,
            "the request has no key",
            ran=ExecutionStatus.NOT_RUN,
        )
    return Refusal(
        ErrorCode.KEY_UNKNOWN,
        f"manifest {version} doesn't contain the key",
        ran=ExecutionStatus.NOT_RUN,
    )
