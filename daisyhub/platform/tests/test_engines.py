"""Orders to engines are refused only where the platform's pages say so."""

import unittest

from daisyhub.connections import HttpResponse, RequestFailedError
from daisyhub.exceptions import ExecutionStatus
from daisyhub.logs import DecisionLog
from daisyhub.platform._engines import PlatformEngineClient
from daisyhub.settings import Address
from daisyhub.weights import LoadMode, OrderOutcome, VersionOrder

LOG = DecisionLog("d", write=lambda _: True)
ADDRESS = Address(ip="127.0.0.1", port=1)
ORDER = VersionOrder(
    endpoint_id="e",
    model="m",
    version=2,
    mode=LoadMode.CONTINUE,
    holder="d",
    fencing=3,
    orders_taken=0,
)


class FakeHttp:
    """Returns one status, or raises an error."""

    def __init__(self, result):
        self._result = result

    async def request(self, *_, **__):
        if isinstance(self._result, Exception):
            raise self._result
        return HttpResponse(status=self._result, headers=(), body=b"")


class EngineOrderTest(unittest.IsolatedAsyncioTestCase):
    async def order(self, result):
        client = PlatformEngineClient(FakeHttp(result), LOG)
        return (await client.order(ADDRESS, ORDER, lambda: True)).outcome

    async def test_outcomes_by_status(self):
        for status, outcome in (
            (200, OrderOutcome.ALREADY_LOADED),
            (202, OrderOutcome.ACCEPTED),
            (400, OrderOutcome.REFUSED),
            (409, OrderOutcome.CONFLICT),
            (412, OrderOutcome.STALE_FENCING),
            (421, OrderOutcome.OTHER_ENDPOINT),
            (429, OrderOutcome.UNKNOWN),
            (500, OrderOutcome.UNKNOWN),
            (503, OrderOutcome.UNKNOWN),
            (504, OrderOutcome.UNKNOWN),
        ):
            self.assertEqual(await self.order(status), outcome, status)

    async def test_an_order_without_response_is_in_doubt(self):
        for ran in ExecutionStatus:
            failure = RequestFailedError("cut", ran=ran)
            self.assertEqual(await self.order(failure), OrderOutcome.UNKNOWN)
