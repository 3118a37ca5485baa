"""What is said of requests whose bodies couldn't be read."""

import dataclasses
import types
import unittest

from daisyhub.catalog import CallerLimits, RouteKind
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import BodyFilter
from daisyhub.messages import Request

JSON = ((b"content-type", b"application/json"),)


class UnreadBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def refuse(self, kind, error, headers=()):
        """Returns the refusal of a request whose body is refused."""

        async def read_body(_, **__):
            raise Refusal(
                error, "no", ran=ExecutionStatus.NOT_RUN, retry_after_s=0.5
            )

        req = Request(
            request_id="q",
            method="POST",
            path="/p/",
            query="",
            host="a",
            headers=headers,
            read_body=read_body,
            started_s=0.0,
            deadline_s=1.0,
        )
        req = dataclasses.replace(req, route=types.SimpleNamespace(kind=kind))
        manifest = types.SimpleNamespace(limits=CallerLimits())
        manifests = types.SimpleNamespace(manifest=manifest)
        with self.assertRaises(Refusal) as caught:
            await BodyFilter(manifests).handle(req, None)
        return caught.exception

    async def test_a_request_has_not_run(self):
        for error in (ErrorCode.OVERLOADED, ErrorCode.REQUEST_TIMEOUT):
            exc = await self.refuse(RouteKind.SAFE, error)
            self.assertIs(exc.error, error)
            self.assertIs(exc.ran, ExecutionStatus.NOT_RUN)

    async def test_a_lot_may_be_stored(self):
        for kind, headers in ((RouteKind.ROLLOUT, ()), (RouteKind.SAFE, JSON)):
            for error in (ErrorCode.OVERLOADED, ErrorCode.REQUEST_TIMEOUT):
                exc = await self.refuse(kind, error, headers)
                self.assertFalse(exc.error.promises_not_run)
                self.assertIs(exc.ran, ExecutionStatus.UNKNOWN)
                self.assertEqual(exc.retry_after_s, 0.5)

    async def test_a_body_over_the_limit_is_refused_as_such(self):
        exc = await self.refuse(RouteKind.ROLLOUT, ErrorCode.BODY_TOO_LARGE)
        self.assertIs(exc.error, ErrorCode.BODY_TOO_LARGE)
