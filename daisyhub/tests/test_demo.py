import contextlib
import io
import unittest

from daisyhub.testing import demo


class DemoTest(unittest.TestCase):
    def test_demo_succeeds(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = demo.main()
        self.assertEqual(code, 0, output.getvalue())
        self.assertTrue(output.getvalue().endswith("demo: ok\n"))
