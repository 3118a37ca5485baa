"""Calls of the order desk are told apart by whether they may have run."""

import unittest

from daisyhub.billing import OrderDeskOutcome
from daisyhub.connections import HttpResponse, RequestFailedError
from daisyhub.exceptions import ExecutionStatus
from daisyhub.logs import DecisionLog
from daisyhub.platform._desk import PlatformOrderDeskClient
from daisyhub.settings import Address

LOG = DecisionLog("d", write=lambda _: True)


class FakeHttp:
    """Returns one status, or raises an error."""

    def __init__(self, result):
        self._result = result

    async def request(self, *_, **__):
        if isinstance(self._result, Exception):
            raise self._result
        return HttpResponse(status=self._result, headers=(), body=b"")


class OrderDeskTest(unittest.IsolatedAsyncioTestCase):
    async def report(self, result):
        client = PlatformOrderDeskClient(
            Address(ip="127.0.0.1", port=1), "d", FakeHttp(result), LOG
        )
        return await client.report_usage(7, {"a": 1}, 3)

    async def test_outcomes_by_status(self):
        for status, outcome in (
            (200, OrderDeskOutcome.DONE),
            (409, OrderDeskOutcome.STALE_FENCING),
            (429, OrderDeskOutcome.REFUSED),
            (400, OrderDeskOutcome.UNKNOWN),
            (503, OrderDeskOutcome.UNKNOWN),
            (500, OrderDeskOutcome.UNKNOWN),
            (504, OrderDeskOutcome.UNKNOWN),
        ):
            self.assertEqual(await self.report(status), outcome, status)

    async def test_a_call_without_response_may_have_taken_effect(self):
        for ran, outcome in (
            (ExecutionStatus.NOT_RUN, OrderDeskOutcome.REFUSED),
            (ExecutionStatus.UNKNOWN, OrderDeskOutcome.UNKNOWN),
        ):
            failure = RequestFailedError("cut", ran=ran)
            self.assertEqual(await self.report(failure), outcome)
