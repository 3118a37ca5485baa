"""Splits sections into content-addressed parts.

A section is a JSON object of entries. Its entries, sorted by name, are split
into parts by content-defined chunking: a part ends after an entry whose
name's hash is a multiple of `_MEAN_ENTRIES_PER_PART`, so that a changed entry
usually changes one part only. A limit in characters keeps each part below the
largest value that the platform stores. Equal sections have equal parts.
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

# JSON values by section name and entry name.
Sections = dict[str, dict[str, object]]

_MEAN_ENTRIES_PER_PART = 64
# The platform stores values of at most one megabyte. A part is stored as a
# JSON string, in which escaped quotes can double its size.
_MAX_PART_CHARS = 400_000
_MAX_ENTRY_CHARS = 400_000


class PartsError(DaisyhubError):
    """A part is missing, damaged, unreadable or too large."""

    code = "config_parts"


def digest_of(text: str) -> str:
    """Returns the SHA-256 digest of a part's text, in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def split_sections(
    sections: Sections,
) -> tuple[tuple[SectionRef, ...], dict[str, str]]:
    """Splits sections into parts.

    Returns:
        References sorted by section name, and part texts by digest.

    Raises:
        PartsError: An entry exceeds `_MAX_ENTRY_CHARS`, so that the platform
            may not be able to store it.
    """
    refs, contents = [], {}
    for name in sorted(sections):
        for part in _split_entries(name, sections[name]):
            text = json.dumps(part, sort_keys=True, separators=(",", ":"))
            digest = digest_of(text)
            contents[digest] = text
            refs.append(SectionRef(name=name, digest=digest))
    return tuple(refs), contents


def _split_entries(section: str, entries: dict[str, object]) -> Iterator[dict]:
    """Yields the entries of each part; one empty part if there are none."""
    part: dict[str, object] = {}
    part_chars = 0
    for name in sorted(entries):
        entry_chars = len(json.dumps({name: entries[name]}))
        if entry_chars > _MAX_ENTRY_CHARS:
            raise PartsError(
                f"entry {section}.{name} has {entry_chars} characters,"
                f" at most {_MAX_ENTRY_CHARS} fit"
            )
        if part_chars + entry_chars > _MAX_PART_CHARS:
            yield part
            part, part_chars = {}, 0
        part[name] = entries[name]
        part_chars += entry_chars
        if zlib.crc32(name.encode()) % _MEAN_ENTRIES_PER_PART == 0:
            yield part
            part, part_chars = {}, 0
    if part or not entries:
        yield part


def join_sections(head: ConfigHead, contents: Mapping[str, str]) -> Sections:
    """Joins the parts of a head into sections.

    Raises:
        PartsError: A part is missing, damaged or unreadable.
    """
    sections: Sections = {}
    for ref in head.sections:
        text = contents.get(ref.digest)
        if text is None or digest_of(text) != ref.digest:
            raise PartsError(
                f"section {ref.name!r}: part {ref.digest} is missing or damaged"
            )
        sections.setdefault(ref.name, {}).update(_decode_part(text))
    return sections


def _decode_part(text: str) -> dict[str, object]:
    try:
        value = json.loads(text)
    except ValueError as exc:
        raise PartsError(f"unreadable part: {exc}") from exc
    if not isinstance(value, dict):
        raise PartsError(
            f"a part must be a JSON object, not {type(value).__name__}"
        )
    return value


def build_snapshot(head: ConfigHead, contents: Mapping[str, str]) -> Snapshot:
    """Builds the snapshot of a head.

    Only types are checked here; references between sections were checked
    before the head was stored.

    Raises:
        PartsError: A part is missing or invalid, or the parts don't form a
            document.
    """
    raw = join_sections(head, contents)
    try:
        document = msgspec.convert(raw, Document)
    except msgspec.ValidationError as exc:
        raise PartsError(f"version {head.version}: {exc}") from exc
    own = {digest: contents[digest] for digest in head.digests}
    return Snapshot(head=head, contents=own, document=document)
