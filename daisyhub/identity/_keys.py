"""Client keys.

A key reads `dh_<key id>_<secret>`. The key id finds the entry, the secret is
checked against a keyed hash in constant time. Withdrawn ids only ever grow.
"""

import dataclasses
import hashlib
import hmac
import re
import secrets
import urllib.parse
from collections.abc import Callable, Iterable

from daisyhub.config import ClientKey
from daisyhub.exceptions import ErrorCode, Refusal

__all__ = [
    "KeyTable",
    "ParsedKey",
    "has_key",
    "hash_secret",
    "new_key",
    "parse_key",
]

_KEY_PATTERN = re.compile(r"dh_([a-z0-9]{4,32})_([0-9a-f]{64})")
_KEY_IN_BYTES = re.compile(rb"dh_[a-z0-9]{4,32}_[0-9a-f]{64}")
_DECODINGS = 3
_ID_BYTES = 6
_SECRET_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedKey:
    """The two parts of a key; `repr` doesn't show the secret."""

    key_id: str
    secret: str = dataclasses.field(repr=False)


def new_key() -> ParsedKey:
    """Makes a random key."""
    return ParsedKey(
        secrets.token_hex(_ID_BYTES), secrets.token_hex(_SECRET_BYTES)
    )


def parse_key(text: str) -> ParsedKey | None:
    """Splits a key, or returns None if it is malformed."""
    match = _KEY_PATTERN.fullmatch(text)
    return ParsedKey(match.group(1), match.group(2)) if match else None


def has_key(content: bytes) -> bool:
    """Whether a key stands anywhere in `content`.

    Finds it as it is and percent-encoded, also more than once.
    """
    for _ in range(_DECODINGS):
        if _KEY_IN_BYTES.search(content):
            return True
        if b"%" not in content:
            return False
        content = urllib.parse.unquote_to_bytes(content)
    return _KEY_IN_BYTES.search(content) is not None


def hash_secret(secret: str, hash_key: str) -> str:
    """Returns the HMAC-SHA-256 of a key's secret part, hex."""
    digest = hmac.new(bytes.fromhex(hash_key), secret.encode(), hashlib.sha256)
    return digest.hexdigest()


class KeyTable:
    """The keys in force.

    Args:
        hash_key: Secret of the keyed hash, hex.
    """

    def __init__(self, hash_key: str):
        self.hash_key = hash_key
        self._keys: dict[str, ClientKey] = {}
        self._withdrawn: set[str] = set()
        self._listeners: list[Callable[[str], None]] = []

    @property
    def withdrawn(self) -> tuple[str, ...]:
        """The withdrawn key ids."""
        return tuple(sorted(self._withdrawn))

    def add_listener(self, listener: Callable[[str], None]) -> None:
        """Calls `listener` with each key id that becomes invalid."""
        self._listeners.append(listener)

    def replace_keys(self, keys: dict[str, ClientKey]) -> None:
        """Takes the keys of a new configuration."""
        removed = [key_id for key_id in self._keys if key_id not in keys]
        self._keys = keys
        for key_id in removed:
            self._tell(key_id)

    def withdraw(self, key_ids: Iterable[str]) -> bool:
        """Adds withdrawn key ids; returns whether any is new."""
        added = set(key_ids) - self._withdrawn
        self._withdrawn |= added
        for key_id in sorted(added):
            self._tell(key_id)
        return bool(added)

    def is_valid(self, key_id: str) -> bool:
        """Whether requests under this key id may go on."""
        return key_id in self._keys and key_id not in self._withdrawn

    def authenticate(self, key: ParsedKey) -> str:
        """Returns the account that the key speaks for.

        Raises:
            Refusal: The key is unknown or withdrawn.
        """
        entry = self._keys.get(key.key_id)
        found = hash_secret(key.secret, self.hash_key)
        expected = entry.secret_hash if entry else "0" * len(found)
        if not hmac.compare_digest(found, expected) or entry is None:
            raise Refusal(ErrorCode.KEY_UNKNOWN, "the key is not known")
        if key.key_id in self._withdrawn:
            raise Refusal(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn")
        return entry.account

    def _tell(self, key_id: str) -> None:
        for listener in self._listeners:
            listener(key_id)
