"""Identifies the client account by the API key alone."""

import dataclasses
import re
import urllib.parse

from daisyhub.base import Filter, Handler
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.filters._forwarded_headers import REQUEST_HEADERS
from daisyhub.identity import KeyTable, ParsedKey, has_key, parse_key
from daisyhub.messages import Request, Response

__all__ = ["IdentifyFilter"]

_KEY_IN_QUERY = re.compile(
    r"(?:^|&)(?:api[-_]?key|access_token|authorization|key)=|dh_[a-z0-9]+_",
    re.IGNORECASE,
)


class IdentifyFilter(Filter):
    """Sets `account` and `key_id`, or leaves both empty without a key.

    The route filter refuses requests without a key on keyed routes.

    Args:
        keys: Maps API keys to client accounts.
    """

    name = "identify"

    def __init__(self, keys: KeyTable):
        self._keys = keys

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Checks the authorization header and sets the account.

        Nothing that is forwarded to an endpoint may contain an API key, not
        even the key of another account.

        Raises:
            Refusal: The request has more than one key, its key is malformed,
                unknown or withdrawn, or a key is outside the authorization
                header.
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
            raise Refusal(
                ErrorCode.KEY_AMBIGUOUS,
                "the request has more than one key",
                ran=ExecutionStatus.NOT_RUN,
            )
        scheme, _, text = values[0].decode("latin-1").partition(" ")
        key = parse_key(text.strip())
        if scheme.lower() != "bearer" or key is None:
            raise Refusal(
                ErrorCode.KEY_MALFORMED,
                "the key must have the form 'Bearer dh_<id>_<secret>'",
                ran=ExecutionStatus.NOT_RUN,
            )
        return key


def _check_target(req: Request) -> None:
    query = urllib.parse.unquote(req.query, "latin-1")
    if _KEY_IN_QUERY.search(query) or has_key(req.query.encode()):
        raise Refusal(
            ErrorCode.KEY_IN_QUERY,
            "the query must not contain a key",
            ran=ExecutionStatus.NOT_RUN,
        )
    if has_key(req.path.encode()):
        raise Refusal(
            ErrorCode.PATH_INVALID,
            "the path must not contain a key",
            ran=ExecutionStatus.NOT_RUN,
        )


def _check_headers(req: Request) -> None:
    for name, value in req.headers:
        if name in REQUEST_HEADERS and has_key(value):
            raise Refusal(
                ErrorCode.HEADER_INVALID,
                "only the authorization header may contain a key",
                ran=ExecutionStatus.NOT_RUN,
            )
