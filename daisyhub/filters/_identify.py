"""Finds the client account from the key, and from nothing else."""

import dataclasses
import re
import urllib.parse

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.filters._passed_headers import REQUEST_HEADERS
from daisyhub.identity import KeyTable, ParsedKey, has_key, parse_key
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
        """Checks the key header; refuses two, malformed and unknown keys.

        What passes to endpoints must not have a key in it, anyone's.
        """
        _check_target(req)
        _check_headers(req)
        key = self._read_key(req)
        if key is None:
            return await call_next(req)
        account = self._keys.authenticate(key)
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


def _check_target(req: Request) -> None:
    query = urllib.parse.unquote(req.query, "latin-1")
    if _KEY_IN_QUERY.search(query) or has_key(req.query.encode()):
        raise Refusal(
            ErrorCode.KEY_IN_QUERY, "a key must not stand in the query"
        )
    if has_key(req.path.encode()):
        raise Refusal(ErrorCode.PATH_INVALID, "a key must not stand in a path")


def _check_headers(req: Request) -> None:
    for name, value in req.headers:
        if name in REQUEST_HEADERS and has_key(value):
            raise Refusal(
                ErrorCode.HEADER_INVALID,
                "a key must stand in the authorization header only",
            )
