"""Finds the client account from the key, and from nothing else."""

import dataclasses
import re

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.identity import KeyTable, ParsedKey, parse_key
from daisyhub.messages import Request, Response

__all__ = ["IdentifyFilter"]

_KEY_IN_QUERY = re.compile(
    r"(?:^|&)(?:api[-_]?key|access_token|authorization|key)=|dh_[a-z0-9]+_",
    re.IGNORECASE,
)


class IdentifyFilter(Filter):
    """Sets `account` and `key_id`; a request without a key keeps them empty.

    The route filter refuses a request without a key on keyed routes.
    """

    name = "identify"

    def __init__(self, keys: KeyTable):
        self._keys = keys

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Checks the key header; refuses two, malformed and unknown keys."""
        if req.query and _KEY_IN_QUERY.search(req.query):
            raise Refusal(
                ErrorCode.KEY_IN_QUERY, "a key must not stand in the query"
            )
        key = self._read_key(req)
        if key is None:
            return await call_next(req)
        account = self._keys.account_of(key)
        return await call_next(
            dataclasses.replace(req, account=account, key_id=key.key_id)
        )

    def _read_key(self, req: Request) -> ParsedKey | None:
        values = req.header_values(b"authorization")
        if not values:
            return None
        if len(values) > 1:
            raise Refusal(ErrorCode.KEY_AMBIGUOUS, "more than one key is given")
        scheme, _, text = values[0].decode("latin-1").partition(" ")
        key = parse_key(text.strip())
        if scheme.lower() != "bearer" or key is None:
            raise Refusal(
                ErrorCode.KEY_MALFORMED,
                "the key must read 'Bearer dh_<id>_<secret>'",
            )
        return key
