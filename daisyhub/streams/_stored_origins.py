"""The form in which origins of streams are stored, and how they are merged.

One object holds the origins that the daemons of a failure domain recorded. Any
number of daemons may write it: each merges its origins with those that it
finds.
"""

import base64
import hashlib
from collections.abc import Iterable

import msgspec

from daisyhub.balancing import Release
from daisyhub.json_texts import decode_json

__all__ = [
    "MAX_STORED_ORIGINS",
    "StoredOrigin",
    "decode_origins",
    "digest_stream_key",
    "encode_origins",
    "merge_origin",
    "retain_valid",
]

# Bounds an object to about 140 KB; the store takes a megabyte. Origins of 15 s
# at 260 streams a second in each failure domain.
MAX_STORED_ORIGINS = 4000
# At 12 bytes, two of a million streams have the same digest with a probability
# below 1e-16; the wrong release would then go on with one of them.
_DIGEST_BYTES = 12
# Release number of an origin that two releases claim.
_NO_RELEASE = -1


class StoredOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Where a stream began.

    Attributes:
        digest: Digest of the key of the stream's first request.
        pool: Pool of the release that began it.
        software: Software version of that release; empty if two releases claim
            to have begun it, so that none may go on with it.
        until_s: When its caller has given it up, seconds on the cluster clock.
    """

    digest: str
    pool: str
    software: str
    until_s: int

    @property
    def release(self) -> Release | None:
        """The release that began it; None if two claim it."""
        return Release(self.pool, self.software) if self.software else None


class _Spec(msgspec.Struct, frozen=True):
    """Content of an object.

    Attributes:
        releases: Pool and software version of each release.
        origins: Index of the release and end of validity, by digest.
    """

    releases: tuple[tuple[str, str], ...]
    origins: dict[str, tuple[int, int]]


def digest_stream_key(key: str) -> str:
    """Returns the digest under which a stream is stored."""
    digest = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(digest).decode()


def merge_origin(origins: dict[str, StoredOrigin], added: StoredOrigin) -> None:
    """Adds an origin to others by digest.

    If two releases claim a stream, neither counts.
    """
    known = origins.get(added.digest)
    if known is None:
        origins[added.digest] = added
        return
    is_same = known.release == added.release
    origins[added.digest] = StoredOrigin(
        added.digest,
        added.pool,
        added.software if is_same else "",
        max(added.until_s, known.until_s),
    )


def retain_valid(
    origins: dict[str, StoredOrigin],
    cluster_s: float,
    max_count: int = MAX_STORED_ORIGINS,
) -> dict[str, StoredOrigin]:
    """Returns the origins that callers may still ask for.

    Args:
        origins: Origins by digest.
        cluster_s: Seconds on the cluster clock.
        max_count: Maximum number; beyond it, those that end first are dropped.
    """
    valid = [o for o in origins.values() if o.until_s > cluster_s]
    if len(valid) > max_count:
        valid.sort(key=lambda origin: origin.until_s, reverse=True)
        del valid[max_count:]
    return {origin.digest: origin for origin in valid}


def encode_origins(origins: Iterable[StoredOrigin]) -> bytes:
    """Returns origins as the JSON of an object's spec."""
    numbers: dict[tuple[str, str], int] = {}
    entries = {}
    for origin in origins:
        number = _NO_RELEASE
        if origin.software:
            name = (origin.pool, origin.software)
            number = numbers.setdefault(name, len(numbers))
        entries[origin.digest] = (number, origin.until_s)
    return msgspec.json.encode(_Spec(tuple(numbers), entries))


def decode_origins(spec: bytes) -> dict[str, StoredOrigin]:
    """Returns the origins of an object by digest.

    Raises:
        msgspec.DecodeError: The object has another schema.
    """
    content = decode_json(spec, type=_Spec)
    origins = {}
    for digest, (number, until_s) in content.origins.items():
        if not _NO_RELEASE <= number < len(content.releases):
            raise msgspec.ValidationError(
                f"origin {digest!r} names release {number} of "
                f"{len(content.releases)}"
            )
        pool, software = ("", "")
        if number != _NO_RELEASE:
            pool, software = content.releases[number]
        origins[digest] = StoredOrigin(digest, pool, software, until_s)
    return origins
