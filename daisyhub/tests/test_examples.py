import pathlib
import unittest

from daisyhub.config import check_config

FOLDER = pathlib.Path("examples")


class ExamplesTest(unittest.TestCase):
    def test_example_documents_are_valid(self):
        files = sorted(FOLDER.glob("*.jsonc"))
        self.assertEqual(
            [path.name for path in files], ["hanbit.jsonc", "tachibana.jsonc"]
        )
        for path in files:
            with self.subTest(path.name):
                document = check_config(path.read_text(), str(path))
                self.assertTrue(document.routes)
