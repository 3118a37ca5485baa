"""Decodes JSON texts that another writer may have made odd.

The decoder of msgspec raises RecursionError, which is no DecodeError, for
deeply nested texts, also within fields that nobody reads.
"""

import re
from typing import Any

import msgspec

__all__ = [
    "decode_json",
    "estimate_decoded_bytes",
    "parse_count",
    "split_array",
    "split_object",
]

# Digits of the largest number that a header or an address may state.
_MAX_DIGITS = 18
_COUNT = re.compile(rf"[0-9]{{1,{_MAX_DIGITS}}}")
# A string, a bracket or a comma. A quote that begins no whole string matches
# as itself.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|["\[\]{},]', re.DOTALL)
_MEMBER = re.compile(rb'\s*("(?:[^"\\]++|\\.)*+")\s*:', re.DOTALL)
# Memory of a decoded object and of a member of one, beside their texts, in
# bytes.
_OBJECT_OVERHEAD = 300
_MEMBER_OVERHEAD = 100
_CLOSING_BY_OPENING = {b"[": b"]", b"{": b"}"}


def decode_json(text: bytes | str, *, type: Any = Any) -> Any:
    """Decodes a JSON text into a type.

    Raises:
        msgspec.DecodeError: The text is invalid, nested too deeply, or of
            another schema.
    """
    try:
        return msgspec.json.decode(text, type=type)
    except RecursionError as exc:
        raise msgspec.DecodeError("JSON is nested too deeply") from exc


def estimate_decoded_bytes(text: bytes) -> int:
    """Returns an upper bound of what decoding a text adds to its own size.

    Small objects take a multiple of their text.
    """
    objects, members = text.count(b"{"), text.count(b":")
    return _OBJECT_OVERHEAD * objects + _MEMBER_OVERHEAD * members


def parse_count(text: str) -> int | None:
    """Returns a number of ASCII digits; None if the text is anything else."""
    return int(text) if _COUNT.fullmatch(text) else None


def split_object(text: bytes) -> dict[str, bytes]:
    """Splits a JSON object into the texts of its members, whatever these hold.

    Of members with the same name the last one counts.

    Raises:
        ValueError: The text isn't one object with matching brackets.
    """
    members = {}
    for part in _split(text, b"{"):
        key = _MEMBER.match(part)
        if key is None:
            raise ValueError("a member of a JSON object has no name")
        members[decode_json(key[1], type=str)] = part[key.end() :].strip()
    return members


def split_array(text: bytes) -> list[bytes]:
    """Splits a JSON array into the texts of its elements.

    Raises:
        ValueError: The text isn't one array with matching brackets.
    """
    return [part.strip() for part in _split(text, b"[")]


def _split(text: bytes, opening: bytes) -> list[bytes]:
    """Returns what stands between the commas of the outermost brackets."""
    text = text.strip()
    if not text.startswith(opening):
        raise ValueError(f"JSON doesn't begin with {opening.decode()}")
    awaited: list[bytes] = []
    parts = []
    start_at = 1
    for found in _TOKEN.finditer(text):
        token = found[0]
        if token in _CLOSING_BY_OPENING:
            awaited.append(_CLOSING_BY_OPENING[token])
        elif token in (b"]", b"}"):
            if not awaited or awaited.pop() != token:
                raise ValueError("brackets of JSON don't match")
            if not awaited:
                break
        elif token == b",":
            if len(awaited) == 1:
                parts.append(text[start_at : found.start()])
                start_at = found.end()
        elif token == b'"':
            raise ValueError("a string of JSON has no end")
    if awaited or found.end() != len(text):
        raise ValueError("JSON has no end, or goes on after it")
    last = text[start_at:-1]
    return [*parts, last] if parts or last.strip() else []
