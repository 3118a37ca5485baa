"""Checked reading of JSON documents with comments into frozen data classes.

Every fault of a document is collected with its path and line. The standard
library's decoder does the parsing; a wrapper around its scanner notes where
each value starts.
"""

import dataclasses
import functools
import json
import json.decoder
import json.scanner
import math
import re
import types
import typing

from daisyhub.exceptions import DocumentError, Problem

__all__ = [
    "Located",
    "Range",
    "check_document",
    "check_value",
    "load_document",
    "remove_comments",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Allowed numbers, both ends included, with their unit."""

    low: float
    high: float
    unit: str = ""

    def __str__(self) -> str:
        return f"[{self.low}, {self.high}] {self.unit}".rstrip()


@dataclasses.dataclass(frozen=True, slots=True)
class Located:
    """A JSON value and the offset at which it starts.

    Objects hold a list of (key, Located) pairs in `value`, so that repeated
    keys can be refused; arrays hold a list of `Located`.
    """

    value: object
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Pairs:
    items: list[tuple[str, Located]]


class _LocatingDecoder(json.JSONDecoder):
    """A decoder whose values are wrapped in `Located`."""

    def __init__(self):
        super().__init__(object_pairs_hook=_Pairs)
        self.parse_object = self._parse_object
        self.parse_array = self._parse_array
        self._scan = json.scanner.py_make_scanner(self)
        self.scan_once = self._scan_located

    def _scan_located(self, text: str, index: int) -> tuple[Located, int]:
        value, end = self._scan(text, index)
        return Located(value, index), end

    def _parse_object(self, s_and_end, strict, _, hook, pairs_hook, memo):
        return json.decoder.JSONObject(
            s_and_end, strict, self._scan_located, hook, pairs_hook, memo
        )

    def _parse_array(self, s_and_end, _):
        return json.decoder.JSONArray(s_and_end, self._scan_located)


# A string, or a comment, or a comma before a closing bracket.
_STRING_OR_COMMENT = re.compile(
    r'("(?:\\.|[^"\\])*")|/\*.*?\*/|//[^\r\n]*', re.DOTALL
)
_STRING_OR_COMMA = re.compile(r'("(?:\\.|[^"\\])*")|,(?=\s*[\]}])', re.DOTALL)


def _blank(match: re.Match) -> str:
    """Keeps strings; replaces all else by spaces, so that offsets hold."""
    if match.group(1) is not None:
        return match.group(1)
    return re.sub(r"[^\r\n]", " ", match.group(0))


def remove_comments(text: str) -> str:
    """Blanks comments and trailing commas; every offset stays the same.

    The library for JSON with comments drops line breaks inside comments, so
    its lines are wrong; tests compare its values with ours.
    """
    return _STRING_OR_COMMA.sub(_blank, _STRING_OR_COMMENT.sub(_blank, text))


def load_document(text: str, file: str = "") -> Located:
    """Parses JSON with comments, keeping positions.

    Args:
        text: The document.
        file: Its name, for error messages.

    Raises:
        DocumentError: The text is not JSON with comments.
    """
    try:
        return _LocatingDecoder().decode(remove_comments(text))
    except json.JSONDecodeError as exc:
        problem = Problem("$", exc.msg, exc.lineno, file)
        raise DocumentError([problem]) from exc


def check_document(text: str, kind: type, file: str = "") -> typing.Any:
    """Parses a document and checks it into `kind`, a frozen data class.

    Raises:
        DocumentError: With every fault of the document.
    """
    located = load_document(text, file)
    checker = _Checker(text, file)
    value = checker.check(located, kind, "$")
    if checker.problems:
        raise DocumentError(checker.problems)
    return value


def check_value(value: object, kind: type, path: str = "$") -> typing.Any:
    """Checks plain JSON values into `kind`; lines are those of `dumps`."""
    return check_document(json.dumps(value, indent=1), kind, path)


@functools.cache
def _fields_of(kind: type) -> dict[str, tuple[object, bool]]:
    """Maps field names to (type hint, whether required)."""
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {}
    for field in dataclasses.fields(kind):
        required = (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        )
        fields[field.name] = (hints[field.name], required)
    return fields


class _Checker:
    """Walks a located document along a type and collects problems."""

    def __init__(self, text: str, file: str):
        self._text = text
        self._file = file
        self.problems: list[Problem] = []

    def check(self, located: Located, hint: object, path: str) -> typing.Any:
        """Returns the value as `hint`, or None after noting a problem."""
        origin = typing.get_origin(hint)
        if origin is typing.Annotated:
            inner, *extras = typing.get_args(hint)
            return self._check_range(located, inner, extras, path)
        if origin is types.UnionType:
            inner = typing.get_args(hint)[0]
            if located.value is None:
                return None
            return self.check(located, inner, path)
        if origin is tuple:
            return self._check_array(located, typing.get_args(hint)[0], path)
        if origin is dict:
            return self._check_mapping(located, typing.get_args(hint)[1], path)
        if origin is typing.Literal:
            return self._check_literal(located, typing.get_args(hint), path)
        if dataclasses.is_dataclass(hint):
            return self._check_dataclass(located, hint, path)
        return self._check_scalar(located, hint, path)

    def _note(self, located: Located, path: str, message: str) -> None:
        line = self._text.count("\n", 0, located.offset) + 1
        self.problems.append(Problem(path, message, line, self._file))

    def _check_scalar(self, located, kind, path):
        value = located.value
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            got = "an object" if isinstance(value, _Pairs) else repr(value)
            self._note(located, path, f"must be {kind.__name__}, got {got}")
            return None
        return value

    def _check_range(self, located, inner, extras, path):
        value = self.check(located, inner, path)
        for extra in extras:
            if value is None or not isinstance(extra, Range):
                continue
            size = value if isinstance(value, int | float) else len(value)
            if not extra.low <= size <= extra.high or math.isnan(size):
                shown = repr(value)[:80]
                self._note(located, path, f"must be in {extra}, got {shown}")
        return value

    def _check_literal(self, located, allowed, path):
        if located.value not in allowed:
            shown = ", ".join(map(repr, allowed))
            got = located.value
            self._note(located, path, f"must be one of {shown}, got {got!r}")
            return None
        return located.value

    def _check_array(self, located, item_hint, path):
        if not isinstance(located.value, list):
            self._note(located, path, "must be an array")
            return None
        return tuple(
            self.check(item, item_hint, f"{path}[{index}]")
            for index, item in enumerate(located.value)
        )

    def _pairs(self, located, path) -> dict[str, Located] | None:
        if not isinstance(located.value, _Pairs):
            self._note(located, path, "must be an object")
            return None
        found = {}
        for key, item in located.value.items:
            if key in found:
                self._note(item, f"{path}.{key}", "is given twice")
            found[key] = item
        return found

    def _check_mapping(self, located, item_hint, path):
        found = self._pairs(located, path)
        if found is None:
            return None
        return {
            key: self.check(item, item_hint, f"{path}.{key}")
            for key, item in found.items()
        }

    def _check_dataclass(self, located, kind, path):
        found = self._pairs(located, path)
        if found is None:
            return None
        before = len(self.problems)
        fields = _fields_of(kind)
        values = {}
        for key, item in found.items():
            if key not in fields:
                self._note(item, f"{path}.{key}", "is not a known name")
                continue
            values[key] = self.check(item, fields[key][0], f"{path}.{key}")
        for name, (_, required) in fields.items():
            if required and name not in found:
                self._note(located, f"{path}.{name}", "is missing")
        if len(self.problems) > before:
            return None
        return kind(**values)
