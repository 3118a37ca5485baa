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


def problems_of(text):
    try:
        check_document(text, Outer, "f")
    except DocumentError as exc:
        return [str(problem) for problem in exc.problems]
    return []


class CheckDocumentTest(unittest.TestCase):
    def test_reads_comments_and_trailing_commas(self):
        text = '{"inner": {"x": {"size": 3,}} /* a */, // b\n "names": ["c",]}'
        found = check_document(text, Outer, "f")
        self.assertEqual(found.inner["x"], Inner(size=3))
        self.assertEqual(found.names, ("c",))

    def test_all_faults_come_at_once_with_lines(self):
        text = (
            '{\n"inner": {"a": {"size": 9},\n"b": {"size": 2.5, "z": 1},'
            '"a": {"size": 1}} /*\n\n*/,\n"names": ["a", 4]}'
        )
        self.assertEqual(
            problems_of(text),
            [
                "f:3: $.inner.a: is given twice",
                "f:3: $.inner.b.size: must be int, got 2.5",
                "f:3: $.inner.b.z: is not a known name",
                "f:6: $.names[1]: must be str, got 4",
            ],
        )

    def test_range_is_named(self):
        self.assertEqual(
            problems_of('{"inner": {"a": {"size": 9}}}'),
            ["f:1: $.inner.a.size: must be in [1, 5] bytes, got 9"],
        )

    def test_missing_and_broken_json(self):
        self.assertEqual(problems_of("{}"), ["f:1: $.inner: is missing"])
        self.assertEqual(len(problems_of('{\n"inner" {}}')), 1)

    @hypothesis.settings(derandomize=True, database=None, max_examples=200)
    @hypothesis.given(
        st.recursive(
            st.text(alphabet='a"/*\\,}] \n') | st.integers(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
            max_leaves=6,
        )
    )
    def test_comments_are_removed_as_the_library_does(self, value):
        text = json.dumps(value, indent=1).replace("\n", " /* , } */ // x\n")
        self.assertEqual(json.loads(remove_comments(text)), jsonc.loads(text))
