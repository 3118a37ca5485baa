"""Requests at a daemon that was told to stop are answered before it ends."""

import time
import unittest

import anyio

from daisyhub.catalog import PoolShare, Route, RouteKind
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import ShutdownFilter
from daisyhub.messages import Request, Response

LATENCIES_S = {"short": 0.1, "long": 2.0}
OK = Response(status=200)


def make_request(route="short", *, kind=RouteKind.UNSAFE, timeout_s=10.0):
    async def read_body(max_bytes, **_):
        return b""

    now_s = time.monotonic()
    return Request(
        request_id="q",
        method="POST",
        path="/",
        query="",
        host="h",
        headers=(),
        read_body=read_body,
        started_s=now_s,
        deadline_s=now_s + timeout_s,
        route=Route(
            name=route,
            host="h",
            path_prefix="/",
            kind=kind,
            shares=(PoolShare("p", 1.0),),
            timeout_s=timeout_s,
            target_latency_s=1.0,
            max_attempts=1,
        ),
    )


class ShutdownFilterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.filter = ShutdownFilter(LATENCIES_S.__getitem__)
        self.sent = []

    async def handle(self, req, wait_s=0.0):
        async def send(req):
            self.sent.append(req)
            await anyio.sleep(wait_s)
            return OK

        return await self.filter.handle(req, send)

    async def assert_refused(self, req, error, ran):
        with self.assertRaises(Refusal) as caught:
            await self.handle(req, wait_s=60.0)
        self.assertIs(caught.exception.error, error)
        self.assertIs(caught.exception.ran, ran)
        return caught.exception

    async def test_a_daemon_that_goes_on_refuses_nothing(self):
        req = make_request("long", kind=RouteKind.STREAMING, timeout_s=3600.0)
        self.assertIs(await self.handle(req), OK)

    async def test_requests_that_cannot_end_are_not_sent(self):
        self.filter.begin(time.monotonic() + 5.0)
        for req in (
            make_request("long"),
            make_request("short", kind=RouteKind.STREAMING),
        ):
            exc = await self.assert_refused(
                req, ErrorCode.SHUTTING_DOWN, ExecutionStatus.NOT_RUN
            )
            self.assertLess(exc.retry_after_s, 1.0)
        self.assertEqual(self.sent, [])

    async def test_requests_that_can_end_are_sent(self):
        self.filter.begin(time.monotonic() + 5.0)
        for req in (
            make_request("short"),
            make_request("long", timeout_s=4.0),
            make_request("long", kind=RouteKind.ROLLOUT),
            make_request("short", kind=RouteKind.STREAMING, timeout_s=4.0),
        ):
            self.assertIs(await self.handle(req), OK)

    async def test_an_open_request_is_answered_as_unknown(self):
        async def stop():
            while not self.sent:
                await anyio.sleep(0.001)
            self.filter.begin(time.monotonic() + 0.01)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stop)
            await self.assert_refused(
                make_request(),
                ErrorCode.ENDPOINT_TIMEOUT,
                ExecutionStatus.UNKNOWN,
            )

    async def test_nothing_is_sent_after_the_end(self):
        self.filter.begin(time.monotonic() - 0.01)
        await self.assert_refused(
            make_request(), ErrorCode.SHUTTING_DOWN, ExecutionStatus.NOT_RUN
        )
        self.assertEqual(self.sent, [])


if __name__ == "__main__":
    unittest.main()
