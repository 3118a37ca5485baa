"""Client keys: parsing, hashing and verification.

A key has the format `dh_<key id>_<secret>`. The key id selects the entry, and
the HMAC of the secret is compared with the stored one in constant time. A
withdrawn key id never becomes valid again.
"""

import dataclasses
import hashlib
import hmac
import re
import secrets
import urllib.parse
from collections.abc import Callable, Iterable

from daisyhub.config import ClientKey
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal

__all__ = [
    "KeyTable",
    "ParsedKey",
    "has_key",
    "hash_secret",
    "new_key",
    "parse_key",
]

_KEY_PATTERN = re.compile(r"dh_([a-z0-9]{4,32})_([0-9a-f]{64})")
_KEY_BYTES_PATTERN = re.compile(rb"dh_[a-z0-9]{4,32}_[0-9a-f]{64}")
_MAX_DECODINGS = 3
_ID_BYTES = 6
_SECRET_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedKey:
    """Key id and secret of a key; `repr` omits the secret."""

    key_id: str
    secret: str = dataclasses.field(repr=False)


def new_key() -> ParsedKey:
    """Generates a random key."""
    return ParsedKey(
        secrets.token_hex(_ID_BYTES), secrets.token_hex(_SECRET_BYTES)
    )


def parse_key(text: str) -> ParsedKey | None:
    """Parses a key; returns None if it is malformed."""
    match = _KEY_PATTERN.fullmatch(text)
    return ParsedKey(match.group(1), match.group(2)) if match else None


def has_key(content: bytes) -> bool:
    """Returns whether `content` contains a key.

    Detects plain keys and keys that are percent-encoded up to three times.
    """
    for _ in range(_MAX_DECODINGS):
        if _KEY_BYTES_PATTERN.search(content):
            return True
        if b"%" not in content:
            return False
        content = urllib.parse.unquote_to_bytes(content)
    return _KEY_BYTES_PATTERN.search(content) is not None


def hash_secret(secret: str, hash_key: str) -> str:
    """Returns the HMAC-SHA-256 of a key's secret part, in hex.

    Args:
        secret: The secret part.
        hash_key: Key of the HMAC, in hex.
    """
    digest = hmac.new(bytes.fromhex(hash_key), secret.encode(), hashlib.sha256)
    return digest.hexdigest()


class KeyTable:
    """The active keys and the withdrawn key ids.

    Args:
        hash_key: Key of the HMAC, in hex.
    """

    def __init__(self, hash_key: str):
        self.hash_key = hash_key
        self._keys: dict[str, ClientKey] = {}
        self._withdrawn: set[str] = set()
        self._listeners: list[Callable[[str], None]] = []

    @property
    def withdrawn(self) -> tuple[str, ...]:
        """The withdrawn key ids, sorted."""
        return tuple(sorted(self._withdrawn))

    def add_listener(self, listener: Callable[[str], None]) -> None:
        """Registers a callback for key ids that are withdrawn or removed."""
        self._listeners.append(listener)

    def replace_keys(self, keys: dict[str, ClientKey]) -> None:
        """Replaces all keys; `keys` maps key ids to the new ones."""
        removed = [key_id for key_id in self._keys if key_id not in keys]
        self._keys = keys
        for key_id in removed:
            self._notify_listeners(key_id)

    def withdraw(self, key_ids: Iterable[str]) -> bool:
        """Adds withdrawn key ids; returns whether any of them is new."""
        added = set(key_ids) - self._withdrawn
        self._withdrawn |= added
        for key_id in sorted(added):
            self._notify_listeners(key_id)
        return bool(added)

    def is_valid(self, key_id: str) -> bool:
        """Returns whether the key id is known and not withdrawn."""
        return key_id in self._keys and key_id not in self._withdrawn

    def authenticate(self, key: ParsedKey) -> str:
        """Verifies a key and returns the name of its account.

        Raises:
            Refusal: The key is unknown or withdrawn, or its secret is wrong.
        """
        # An unknown key id is hashed and compared like a known one.
        entry = self._keys.get(key.key_id)
        actual = hash_secret(key.secret, self.hash_key)
        expected = entry.secret_hash if entry else "0" * len(actual)
        if not hmac.compare_digest(actual, expected) or entry is None:
            raise Refusal(
                ErrorCode.KEY_UNKNOWN,
                "the key is not known",
                ran=ExecutionStatus.NOT_RUN,
            )
        if key.key_id in self._withdrawn:
            raise Refusal(
                ErrorCode.KEY_WITHDRAWN,
                "the key was withdrawn",
                ran=ExecutionStatus.NOT_RUN,
            )
        return entry.account

    def _notify_listeners(self, key_id: str) -> None:
        for listener in self._listeners:
            listener(key_id)
