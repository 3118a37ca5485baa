"""The page on configuration says what the data classes say."""

import pathlib
import unittest

from daisyhub.reference import render_reference

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CONFIGURATION.md"


class Reference(unittest.TestCase):
    def test_the_page_is_the_one_rendered_from_the_classes(self):
        self.maxDiff = None
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_reference())

    def test_every_field_has_a_meaning(self):
        rows = [r for r in render_reference().splitlines() if r[:3] == "| `"]
        self.assertGreater(len(rows), 50)
        self.assertEqual([row for row in rows if row.endswith("|  |")], [])
