"""Sections as parts: small texts named by their digests.

A section is a JSON object of entries. Its entries, sorted by name, are cut
into parts behind entries whose hashed name has a certain remainder, so that a
changed entry changes one part only, and no part comes near the largest value
that the platform holds. Equal sections have equal parts.
"""

import hashlib
import json
import zlib
from collections.abc import Iterator, Mapping

import msgspec

from daisyhub.config._document import Document
from daisyhub.config._records import ConfigHead, SectionRef, Snapshot
from daisyhub.exceptions import DaisyhubError

__all__ = [
    "PartsError",
    "Sections",
    "build_snapshot",
    "digest_of",
    "join_sections",
    "split_sections",
]

# Section name to entry name to the entry's plain JSON value.
Sections = dict[str, dict[str, object]]

_ENTRIES_PER_PART = 64
_PART_CHARS = 400_000
_ENTRY_CHARS = 400_000


class PartsError(DaisyhubError):
    """A part is missing, damaged, unreadable or too large."""

    code = "config_parts"


def digest_of(text: str) -> str:
    """Returns the SHA-256 of a part's text, hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def split_sections(
    sections: Sections,
) -> tuple[tuple[SectionRef, ...], dict[str, str]]:
    """Cuts sections into parts.

    Returns:
        References by section name and order, and digest to part text.

    Raises:
        PartsError: An entry is too large for the platform.
    """
    refs, contents = [], {}
    for name in sorted(sections):
        for part in _parts(name, sections[name]):
            text = json.dumps(part, sort_keys=True, separators=(",", ":"))
            digest = digest_of(text)
            contents[digest] = text
            refs.append(SectionRef(name=name, digest=digest))
    return tuple(refs), contents


def _parts(section: str, entries: dict[str, object]) -> Iterator[dict]:
    part: dict[str, object] = {}
    size = 0
    for name in sorted(entries):
        entry_chars = len(json.dumps({name: entries[name]}))
        if entry_chars > _ENTRY_CHARS:
            raise PartsError(
                f"entry {section}.{name} has {entry_chars} characters,"
                f" at most {_ENTRY_CHARS} fit"
            )
        if size + entry_chars > _PART_CHARS:
            yield part
            part, size = {}, 0
        part[name] = entries[name]
        size += entry_chars
        if zlib.crc32(name.encode()) % _ENTRIES_PER_PART == 0:
            yield part
            part, size = {}, 0
    if part or not entries:
        yield part


def join_sections(head: ConfigHead, contents: Mapping[str, str]) -> Sections:
    """Puts a head's sections together.

    Raises:
        PartsError: A part is missing, damaged or unreadable.
    """
    sections: Sections = {}
    for ref in head.sections:
        text = contents.get(ref.digest)
        if text is None or digest_of(text) != ref.digest:
            raise PartsError(f"part {ref.digest} is missing or damaged")
        sections.setdefault(ref.name, {}).update(_load(text))
    return sections


def _load(text: str) -> dict[str, object]:
    try:
        value = json.loads(text)
    except ValueError as exc:
        raise PartsError(f"unreadable part: {exc}") from exc
    if not isinstance(value, dict):
        raise PartsError("a part must be an object")
    return value


def build_snapshot(head: ConfigHead, contents: Mapping[str, str]) -> Snapshot:
    """Builds the snapshot of a head that was checked before it was stored.

    Raises:
        PartsError: Its parts don't make a document.
    """
    raw = join_sections(head, contents)
    try:
        document = msgspec.convert(raw, Document)
    except msgspec.ValidationError as exc:
        raise PartsError(f"version {head.version}: {exc}") from exc
    own = {digest: contents[digest] for digest in head.digests}
    return Snapshot(head=head, contents=own, document=document)
