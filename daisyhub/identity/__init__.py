"""Client keys: format, keyed hashes and validity."""

from daisyhub.identity._keys import (
    KeyTable,
    ParsedKey,
    has_key,
    hash_secret,
    new_key,
    parse_key,
)

__all__ = [
    "KeyTable",
    "ParsedKey",
    "has_key",
    "hash_secret",
    "new_key",
    "parse_key",
]
