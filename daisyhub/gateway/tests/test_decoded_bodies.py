"""Lots that take far more memory than their bodies are refused unread."""

import json
import math
import unittest

from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.json_texts import estimate_decoded_bytes
from daisyhub.memory import MemoryBudget
from daisyhub.serving import RequestBody
from daisyhub.testing.fleet_documents import build_lot

# Leaves 36 MB for claims, and 27 MB for large ones.
MEMORY_MB = 154
HEADERS = ((b"transfer-encoding", b"chunked"),)
ITEM = b'{"id":"%d","path":"","headers":{},"body":""}'


class DecodedBodiesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.budget = MemoryBudget(MEMORY_MB)

    async def read(self, body):
        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        request_body = RequestBody(HEADERS, receive, self.budget)
        self.addCleanup(request_body.release)
        await request_body.read(
            len(body), deadline_s=math.inf, weigh=estimate_decoded_bytes
        )

    def lot(self, count):
        return b'{"items":[%s]}' % b",".join(ITEM % n for n in range(count))

    async def test_a_lot_of_a_large_step_is_read(self):
        body = json.dumps(build_lot("l", groups=1024)).encode()
        await self.read(body)
        self.assertLess(self.budget.held, self.budget.large_limit)

    async def test_a_lot_that_never_fits_is_too_large(self):
        with self.assertRaises(Refusal) as caught:
            await self.read(self.lot(50_000))
        self.assertIs(caught.exception.error, ErrorCode.BODY_TOO_LARGE)

    async def test_a_lot_that_fits_later_is_refused_for_now(self):
        await self.read(self.lot(20_000))
        with self.assertRaises(Refusal) as caught:
            await self.read(self.lot(20_000))
        self.assertIs(caught.exception.error, ErrorCode.OVERLOADED)
        self.assertIsNotNone(caught.exception.retry_after_s)


if __name__ == "__main__":
    unittest.main()
