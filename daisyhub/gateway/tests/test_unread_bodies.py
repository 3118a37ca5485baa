"""What is said of requests whose bodies couldn't be read."""

import dataclasses
import types
import unittest

from daisyhub.catalog import CallerLimits, RouteKind
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import BodyFilter
from daisyhub.messages import Request

JSON = ((b"content-type", b"application/json"),)


def make_manifests():
    manifest = types.SimpleNamespace(limits=CallerLimits())
    return types.SimpleNamespace(manifest=manifest)


class UnreadBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def refuse(self, kind, error, headers=()):
        """Returns the refusal of a request whose body is refused."""

        async def read_body(_, **__):
            raise Refusal(
                error, "no", ran=ExecutionStatus.NOT_RUN, retry_after_s=0.5
            )

        req = self.request(kind, read_body, headers)
        with self.assertRaises(Refusal) as caught:
            await BodyFilter(make_manifests()).handle(req, None)
        return caught.exception

    def request(self, kind, read_body, headers=()):
        return Request(
            request_id="q",
            method="POST",
            path="/p/",
            query="",
            host="a",
            headers=headers,
            read_body=read_body,
            started_s=0.0,
            deadline_s=1.0,
            route=types.SimpleNamespace(kind=kind),
        )

    async def test_a_lot_is_read_beyond_the_timeout_of_its_route(self):
        """The timeout is for answers; a lot may be sent slowly."""
        self.assertEqual(await self.read_until(RouteKind.SAFE), 1.0)
        self.assertEqual(await self.read_until(RouteKind.ROLLOUT), 4.0)
        without = await self.read_until(RouteKind.ROLLOUT, None)
        self.assertGreater(without, 10.0)

    async def read_until(self, kind, stated_deadline_s=4.0):
        """Returns until when a body is read."""
        deadlines = []

        async def read_body(_, *, deadline_s, **__):
            deadlines.append(deadline_s)
            return b""

        async def end(_):
            return None

        req = dataclasses.replace(
            self.request(kind, read_body), stated_deadline_s=stated_deadline_s
        )
        await BodyFilter(make_manifests()).handle(req, end)
        return deadlines[0]

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
