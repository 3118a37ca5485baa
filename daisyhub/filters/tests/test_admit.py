"""Admission and usage filters: deadlines and streams."""

import time
import unittest

import anyio

from daisyhub.accounting import RateShares, ShareCore, UsageCounters
from daisyhub.config import empty_document
from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.filters import AccountFilter, AdmissionCore, AdmitFilter
from daisyhub.messages import Request, Response


async def chunks():
    yield b"one"
    yield b"two"


def request(number, patience_s=60.0):
    now_s = time.monotonic()
    return Request(
        request_id=f"r{number}",
        method="GET",
        path="/records/1",
        query="",
        host="",
        headers=(),
        read_body=None,
        started_s=now_s,
        deadline_s=now_s + patience_s,
        account="yard",
    )


class AdmitTest(unittest.TestCase):
    """Requests of one account, of which one at a time is in service."""

    def setUp(self):
        self.core = AdmissionCore(1)
        shares = RateShares(ShareCore(1, 1, 6.0, 1.0, 0.0), 0.0)
        self.admit = AdmitFilter(self.core, empty_document, shares)
        self.counters = UsageCounters("a", 1, 60.0)
        self.account = AccountFilter(self.counters)

    async def stream(self, _):
        return Response(status=200, stream=chunks(), tokens=5)

    async def serve(self, req):
        async def count(req):
            return await self.account.handle(req, self.stream)

        return await self.admit.handle(req, count)

    def test_a_queued_request_is_refused_at_its_deadline(self):
        async def scenario():
            first = await self.serve(request(1))
            with self.assertRaises(Refusal) as caught:
                await self.serve(request(2, patience_s=0.2))
            self.assertEqual(caught.exception.error, ErrorCode.OVERLOADED)
            self.assertGreater(caught.exception.retry_after_s, 0)
            self.assertEqual(self.core.waiting_count, 0)
            await first.stream.aclose()

        anyio.run(scenario)

    def test_a_stream_is_in_service_and_uncounted_until_its_end(self):
        async def scenario():
            first = await self.serve(request(1))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.serve, request(2))
                while not self.core.waiting_count:
                    await anyio.sleep(0)
                self.assertEqual(self.counters.unkept_requests, 0)
                self.assertEqual([c async for c in first.stream][-1], b"two")
            self.assertEqual(self.core.waiting_count, 0)
            self.assertEqual(self.counters.unkept_requests, 1)

        anyio.run(scenario)

    def test_a_stream_closed_before_its_end_departs(self):
        """A stream closed unread or half read must free its slot.

        The limit is one request, so that the next request would wait for the
        slot until its deadline.
        """

        async def scenario():
            for number in range(3):
                resp = await self.serve(request(number))
                if number:
                    await anext(resp.stream)
                await resp.stream.aclose()
            self.assertEqual(self.counters.unkept_requests, 0)

        anyio.run(scenario)
