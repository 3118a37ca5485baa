"""Finds the client account of a caller's key."""

import dataclasses

from daisyhub.base import Filter, Handler
from daisyhub.catalog import ManifestController
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
        """
        manifest = self._manifests.manifest
        is_open = req.route is not None and req.route.is_open
        if is_open or manifest.accounts is None:
            return await call_next(req)
        if not req.key:
            raise Refusal(
                ErrorCode.KEY_MISSING,
                "the request has no key",
                ran=ExecutionStatus.NOT_RUN,
            )
        account = manifest.find_account(req.key)
        if account is None:
            raise Refusal(
                ErrorCode.KEY_UNKNOWN,
                f"manifest {manifest.version} doesn't contain the key",
                ran=ExecutionStatus.NOT_RUN,
            )
        return await call_next(dataclasses.replace(req, account=account.name))
