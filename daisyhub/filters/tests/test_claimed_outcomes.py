"""What a repeat with the same idempotency key is told of the first request."""

import types
import unittest

import anyio

from daisyhub.exceptions import (
    ErrorCode,
    ExecutionStatus,
    PlatformConflictError,
    PlatformUnavailableError,
    Refusal,
)
from daisyhub.filters import ClaimController, IdempotencyFilter
from daisyhub.messages import Request, Response


class FakeClient:
    """The platform's store in memory; `is_down` makes all calls fail."""

    def __init__(self):
        self.objects = {}
        self.is_down = False

    async def get(self, key):
        if self.is_down:
            raise PlatformUnavailableError("down")
        return self.objects.get(key)

    async def put(self, key, value, *, expected_version, write_id):
        if self.is_down:
            raise PlatformUnavailableError("down")
        found = self.objects.get(key)
        version = found.version if found else 0
        if version != expected_version:
            raise PlatformConflictError(key, version)
        self.objects[key] = types.SimpleNamespace(
            value=value, version=version + 1
        )
        return version + 1


class ClaimedOutcomesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.client = FakeClient()
        self.run_count = 0
        self.count = 0

    async def send(self, outcome, *, is_elsewhere=False):
        """Sends the request; `outcome` is raised or returned if it is run."""
        if is_elsewhere or not self.count:
            self.filter = IdempotencyFilter(ClaimController(self.client))
        self.count += 1
        req = Request(
            request_id=f"q{self.count}",
            method="POST",
            path="/",
            query="",
            host="h",
            headers=((b"idempotency-key", b"k"),),
            read_body=None,
            started_s=0.0,
            deadline_s=float("inf"),
            route=types.SimpleNamespace(idempotent=False),
        )

        async def call_next(_):
            self.run_count += 1
            if isinstance(outcome, Response):
                return outcome
            raise outcome

        return await self.filter.handle(req, call_next)

    async def refuse(self, outcome, **options):
        with self.assertRaises(Refusal) as caught:
            await self.send(outcome, **options)
        return caught.exception

    async def test_a_request_of_unknown_outcome_is_not_run_again(self):
        for first in (
            Refusal(
                ErrorCode.ENDPOINT_TIMEOUT, "", ran=ExecutionStatus.UNKNOWN
            ),
            RuntimeError("a fault behind the claim"),
            anyio.get_cancelled_exc_class()(),
        ):
            for is_elsewhere in (False, True):
                with self.subTest(repr(first), is_elsewhere=is_elsewhere):
                    self.setUp()
                    with self.assertRaises(type(first)):
                        await self.send(first)
                    second = await self.refuse(
                        Response(status=200), is_elsewhere=is_elsewhere
                    )
                    self.assertIs(second.ran, ExecutionStatus.UNKNOWN)
                    self.assertEqual(second.error.status, 409)
                    self.assertEqual(self.run_count, 1)

    async def test_a_request_that_was_not_run_is_run_by_its_repeat(self):
        for is_elsewhere in (False, True):
            with self.subTest(is_elsewhere=is_elsewhere):
                self.setUp()
                refusal = Refusal(
                    ErrorCode.NO_ENDPOINT, "", ran=ExecutionStatus.NOT_RUN
                )
                await self.refuse(refusal)
                resp = await self.send(
                    Response(status=200), is_elsewhere=is_elsewhere
                )
                self.assertEqual((resp.status, self.run_count), (200, 2))

    async def test_an_answer_of_the_endpoint_is_replayed_whatever_its_status(
        self,
    ):
        """A 503 that is replayed is the endpoint's and marked as a replay."""
        for status in (200, 429, 500, 503):
            with self.subTest(status):
                self.setUp()
                await self.send(Response(status=status, body=b"x"))
                resp = await self.send(Response(status=200), is_elsewhere=True)
                self.assertEqual((resp.status, resp.body), (status, b"x"))
                self.assertIn((b"idempotency-replayed", b"true"), resp.headers)
                self.assertEqual(self.run_count, 1)

    async def test_without_the_store_not_run_speaks_of_this_attempt_only(self):
        """The first attempt ran; the second was never sent."""
        with self.assertRaises(RuntimeError):
            await self.send(RuntimeError("lost"))
        self.client.is_down = True
        second = await self.refuse(Response(status=200), is_elsewhere=True)
        self.assertIs(second.error, ErrorCode.CLAIM_UNAVAILABLE)
        self.assertIs(second.ran, ExecutionStatus.NOT_RUN)
        self.assertEqual(self.run_count, 1)
        self.client.is_down = False
        third = await self.refuse(Response(status=200))
        self.assertIs(third.ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(self.run_count, 1)
