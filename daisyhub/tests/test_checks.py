import dataclasses
import json
import unittest
from typing import Annotated

import hypothesis
import jsonc
from hypothesis import strategies as st

from daisyhub.checks import Range, check_document, remove_comments
from daisyhub.exceptions import DocumentError


@dataclasses.dataclass(frozen=True, kw_only=True)
class Inner:
    size: Annotated[int, Range(1, 5, "bytes")]
    name: str = "a"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outer:
    inner: dict[str, Inner]
    names: tuple[str, ...] = ()


def get_problems(text):
    try:
        check_document(text, Outer, "f")
    except DocumentError as exc:
        return [str(problem) for problem in exc.problems]
    return []


class CheckDocumentTest(unittest.TestCase):
    def test_accepts_comments_and_trailing_commas(self):
        text = '{"inner": {"x": {"size": 3,}} /* a */, // b\n "names": ["c",]}'
        document = check_document(text, Outer, "f")
        self.assertEqual(document.inner["x"], Inner(size=3))
        self.assertEqual(document.names, ("c",))

    def test_reports_all_errors_with_lines(self):
        text = (
            '{\n"inner": {"a": {"size": 9},\n"b": {"size": 2.5, "z": 1},'
            '"a": {"size": 1}} /*\n\n*/,\n"names": ["a", 4]}'
        )
        self.assertEqual(
            get_problems(text),
            [
                "f:3: $.inner.a: is given twice",
                "f:3: $.inner.b.size: must be int, got 2.5",
                "f:3: $.inner.b.z: is not a known name",
                "f:6: $.names[1]: must be str, got 4",
            ],
        )

    def test_reports_the_allowed_range(self):
        self.assertEqual(
            get_problems('{"inner": {"a": {"size": 9}}}'),
            ["f:1: $.inner.a.size: must be in [1, 5] bytes, got 9"],
        )

    def test_reports_missing_field_and_invalid_json(self):
        self.assertEqual(get_problems("{}"), ["f:1: $.inner: is missing"])
        self.assertEqual(len(get_problems('{\n"inner" {}}')), 1)

    @hypothesis.settings(derandomize=True, database=None, max_examples=200)
    @hypothesis.given(
        st.recursive(
            st.text(alphabet='a"/*\\,}] \n') | st.integers(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
            max_leaves=6,
        )
    )
    def test_remove_comments_gives_the_values_of_jsonc(self, value):
        text = json.dumps(value, indent=1).replace("\n", " /* , } */ // x\n")
        self.assertEqual(json.loads(remove_comments(text)), jsonc.loads(text))
