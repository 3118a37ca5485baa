"""What a report of another process at an engine's address says."""

import unittest

from daisyhub.platform.tests import test_leaving_engines
from daisyhub.testing.scripted_server import make_response
from daisyhub.weights import ReportFailed

REPORT = b'{"models":[{"name":"m","version":2}],"sequence":1,"born":8}'


class OtherReportTest(unittest.IsolatedAsyncioTestCase):
    serve = test_leaving_engines.LeavingEnginesTest.serve
    list_engine = test_leaving_engines.LeavingEnginesTest.list_engine
    fetch = test_leaving_engines.LeavingEnginesTest.fetch

    async def test_a_report_of_another_process_decides_no_order(self):
        """Its versions and its count of orders were taken for the engine's."""
        await self.serve(make_response(200, body=REPORT))
        event = await self.fetch()
        versions = self.directory.get("i-1").entry.versions
        self.assertEqual(versions, {"m": 1})
        self.assertEqual(event, ReportFailed("i-1"))


if __name__ == "__main__":
    unittest.main()
