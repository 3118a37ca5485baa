"""Requests that arrive before a manifest is loaded."""

import time
import unittest

from daisyhub.catalog import ManifestController
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import FindRouteFilter
from daisyhub.logs import DecisionLog
from daisyhub.messages import Request
from daisyhub.platform._lots_json import may_be_lot
from daisyhub.platform._manifest import PlatformManifestReader

LOT = b'{"items":[{"id":"i","path":"/p/i","headers":{},"body":"eA=="}]}'


async def never_called(_):
    raise AssertionError("a request without a route was passed on")


class FindRouteFilterTest(unittest.IsolatedAsyncioTestCase):
    async def refuse(self, body):
        log = DecisionLog("d", write=lambda _: True)
        manifests = ManifestController(PlatformManifestReader(), log)
        route_filter = FindRouteFilter(manifests, may_be_lot)

        async def read_body(_, **__):
            return body

        now_s = time.monotonic()
        req = Request(
            request_id="L",
            method="POST",
            path="/p/L",
            query="",
            host="h",
            headers=(),
            read_body=read_body,
            started_s=now_s,
            deadline_s=now_s + 10.0,
        )
        with self.assertRaises(Refusal) as caught:
            await route_filter.handle(req, never_called)
        return caught.exception

    async def test_a_lot_is_not_called_not_run_before_a_manifest_is_loaded(
        self,
    ):
        for body in (LOT, b" \n" + LOT):
            with self.subTest(body):
                refusal = await self.refuse(body)
                self.assertIs(refusal.error, ErrorCode.LOT_UNCONFIRMED)
                self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)
                self.assertIsNotNone(refusal.retry_after_s)

    async def test_other_requests_are_refused_as_not_run(self):
        for body in (b"", b"\x00\x01", b"[1]", b'{"prompt":"x"}'):
            with self.subTest(body):
                refusal = await self.refuse(body)
                self.assertIs(refusal.error, ErrorCode.NO_CONFIGURATION)
                self.assertIs(refusal.ran, ExecutionStatus.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
