"""Tests that docs/CONFIGURATION.md agrees with the data classes."""

import pathlib
import unittest

from daisyhub.reference import render_reference

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CONFIGURATION.md"


class ReferenceTest(unittest.TestCase):
    def test_page_is_up_to_date(self):
        self.maxDiff = None
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_reference())

    def test_every_field_is_described(self):
        rows = [r for r in render_reference().splitlines() if r[:3] == "| `"]
        self.assertGreater(len(rows), 50)
        self.assertEqual([row for row in rows if row.endswith("|  |")], [])
