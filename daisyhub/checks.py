"""Validates JSON documents with comments against frozen data classes.

All errors of a document are collected, each with its path and line. The
standard library's decoder parses the text; a wrapper around its scanner records
the offset at which each value starts.
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
    "LocatedValue",
    "Range",
    "check_document",
    "check_value",
    "load_document",
    "remove_comments",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Allowed values of a number, or lengths of other values, both inclusive.

    Attributes:
        low: Lower bound.
        high: Upper bound.
        unit: Unit of the bounds; empty if they have none.
    """

    low: float
    high: float
    unit: str = ""

    def __str__(self) -> str:
        return f"[{self.low}, {self.high}] {self.unit}".rstrip()


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedValue:
    """A JSON value and the offset at which it starts.

    Attributes:
        value: A scalar; for an array a list of `LocatedValue`; for an object
            `_ObjectPairs`, which keep duplicate keys so that they can be
            reported.
        offset: Offset of the first character in the text.
    """

    value: object
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class _ObjectPairs:
    """The keys and values of a JSON object, in order of appearance."""

    items: list[tuple[str, LocatedValue]]


class _LocatingDecoder(json.JSONDecoder):
    """Decodes every value into a `LocatedValue`.

    Uses the pure Python scanner, since the C scanner ignores `parse_object` and
    `parse_array`.
    """

    def __init__(self):
        super().__init__(object_pairs_hook=_ObjectPairs)
        self.parse_object = self._parse_object
        self.parse_array = self._parse_array
        self._scan = json.scanner.py_make_scanner(self)
        self.scan_once = self._scan_located

    def _scan_located(self, text: str, index: int) -> tuple[LocatedValue, int]:
        value, end = self._scan(text, index)
        return LocatedValue(value, index), end

    def _parse_object(self, s_and_end, strict, _, hook, pairs_hook, memo):
        return json.decoder.JSONObject(
            s_and_end, strict, self._scan_located, hook, pairs_hook, memo
        )

    def _parse_array(self, s_and_end, _):
        return json.decoder.JSONArray(s_and_end, self._scan_located)


# Both match strings too, so that comments and commas in strings are kept.
_STRING_OR_COMMENT = re.compile(
    r'("(?:\\.|[^"\\])*")|/\*.*?\*/|//[^\r\n]*', re.DOTALL
)
_STRING_OR_COMMA = re.compile(r'("(?:\\.|[^"\\])*")|,(?=\s*[\]}])', re.DOTALL)


def _replace_with_spaces(match: re.Match) -> str:
    """Keeps a string; replaces other text by spaces to preserve offsets."""
    if match.group(1) is not None:
        return match.group(1)
    return re.sub(r"[^\r\n]", " ", match.group(0))


def remove_comments(text: str) -> str:
    """Returns the text with comments and trailing commas replaced by spaces.

    All offsets and line breaks are preserved. The `jsonc` package removes line
    breaks inside comments, which would make reported line numbers wrong; a
    test checks that this function and `jsonc` give the same values.
    """
    return _STRING_OR_COMMA.sub(
        _replace_with_spaces, _STRING_OR_COMMENT.sub(_replace_with_spaces, text)
    )


def load_document(text: str, file: str = "") -> LocatedValue:
    """Parses JSON with comments and records the offset of each value.

    Args:
        text: The document.
        file: Its file name, for error messages.

    Returns:
        The outermost value, which contains all others.

    Raises:
        DocumentError: The text is not JSON with comments.
    """
    try:
        return _LocatingDecoder().decode(remove_comments(text))
    except json.JSONDecodeError as exc:
        problem = Problem("$", exc.msg, exc.lineno, file)
        raise DocumentError([problem]) from exc


def check_document(text: str, kind: type, file: str = "") -> typing.Any:
    """Parses a document and returns it as `kind`, a frozen data class.

    Args:
        text: The document, JSON with comments.
        kind: The data class; its type hints define the allowed values.
        file: File name of the document, for error messages.

    Raises:
        DocumentError: The document is invalid; lists all errors.
    """
    located = load_document(text, file)
    checker = _Checker(text, file)
    value = checker.check(located, kind, "$")
    if checker.problems:
        raise DocumentError(checker.problems)
    return value


def check_value(value: object, kind: type, file: str = "$") -> typing.Any:
    """Returns plain JSON values as `kind`, a frozen data class.

    Line numbers of errors refer to the output of `json.dumps` with an
    indentation of 1.

    Args:
        value: The value to convert.
        kind: The data class; its type hints define the allowed values.
        file: Name shown in place of a file name in error messages.

    Raises:
        DocumentError: The value is invalid; lists all errors.
    """
    return check_document(json.dumps(value, indent=1), kind, file)


@functools.cache
def _get_fields(kind: type) -> dict[str, tuple[object, bool]]:
    """Returns (type hint, whether required) by field name."""
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {}
    for field in dataclasses.fields(kind):
        is_required = (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        )
        fields[field.name] = (hints[field.name], is_required)
    return fields


class _Checker:
    """Converts located values to the hinted types and collects problems."""

    def __init__(self, text: str, file: str):
        self._text = text
        self._file = file
        self.problems: list[Problem] = []

    def check(
        self, located: LocatedValue, hint: object, path: str
    ) -> typing.Any:
        """Returns the value as the hinted type.

        Returns None if the value is null and the hint allows it. After adding
        a problem, returns None or a value to be discarded. The only supported
        union is `X | None`.
        """
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

    def _add_problem(
        self, located: LocatedValue, path: str, message: str
    ) -> None:
        line = self._text.count("\n", 0, located.offset) + 1
        self.problems.append(Problem(path, message, line, self._file))

    def _check_scalar(self, located, kind, path):
        value = located.value
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            got = (
                "an object" if isinstance(value, _ObjectPairs) else repr(value)
            )
            self._add_problem(
                located, path, f"must be {kind.__name__}, got {got}"
            )
            return None
        return value

    def _check_range(self, located, inner, extras, path):
        value = self.check(located, inner, path)
        for extra in extras:
            if value is None or not isinstance(extra, Range):
                continue
            number = value if isinstance(value, int | float) else len(value)
            if not extra.low <= number <= extra.high or math.isnan(number):
                shown = repr(value)[:80]
                self._add_problem(
                    located, path, f"must be in {extra}, got {shown}"
                )
        return value

    def _check_literal(self, located, allowed, path):
        if located.value not in allowed:
            options = ", ".join(map(repr, allowed))
            got = located.value
            self._add_problem(
                located, path, f"must be one of {options}, got {got!r}"
            )
            return None
        return located.value

    def _check_array(self, located, item_hint, path):
        if not isinstance(located.value, list):
            self._add_problem(located, path, "must be an array")
            return None
        return tuple(
            self.check(item, item_hint, f"{path}[{index}]")
            for index, item in enumerate(located.value)
        )

    def _items_by_key(self, located, path) -> dict[str, LocatedValue] | None:
        """Returns the values of an object by key; None for another type."""
        if not isinstance(located.value, _ObjectPairs):
            self._add_problem(located, path, "must be an object")
            return None
        found = {}
        for key, item in located.value.items:
            if key in found:
                self._add_problem(item, f"{path}.{key}", "is given twice")
            found[key] = item
        return found

    def _check_mapping(self, located, item_hint, path):
        found = self._items_by_key(located, path)
        if found is None:
            return None
        return {
            key: self.check(item, item_hint, f"{path}.{key}")
            for key, item in found.items()
        }

    def _check_dataclass(self, located, kind, path):
        found = self._items_by_key(located, path)
        if found is None:
            return None
        previous_count = len(self.problems)
        fields = _get_fields(kind)
        values = {}
        for key, item in found.items():
            if key not in fields:
                self._add_problem(item, f"{path}.{key}", "is not a known name")
                continue
            values[key] = self.check(item, fields[key][0], f"{path}.{key}")
        for name, (_, is_required) in fields.items():
            if is_required and name not in found:
                self._add_problem(located, f"{path}.{name}", "is missing")
        if len(self.problems) > previous_count:
            return None
        return kind(**values)
