"""Statuses that callers take as "not run" are sent only if that is known."""

import time
import unittest

from daisyhub.balancing import EndpointDirectory, EndpointEntry
from daisyhub.catalog import PoolShare, Route, RouteKind
from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import Sender, SendTask
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.platform._wire import PlatformEndpointWire
from daisyhub.settings import Address
from daisyhub.testing.scripted_server import ScriptedServer, make_response

NOT_RUN = "daisyhub-not-executed: 1\r\n"
PROMISES = (408, 421, 429, 503)


class PromisedStatusesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.http = HttpClient(connect_timeout_s=2.0, idle_s=30.0)
        self.addAsyncCleanup(self.http.aclose)
        self.forget_endpoints()

    def forget_endpoints(self):
        self.directory = EndpointDirectory(lambda _: 0.5)
        self.sender = Sender(
            self.directory,
            self.http,
            PlatformEndpointWire(),
            Metrics(),
            DecisionLog("d", write=lambda _: True),
        )

    async def add_endpoint(self, name, *replies):
        server = ScriptedServer(*replies)
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.add_entry(name, server.address)
        return server

    def add_entry(self, name, address):
        self.directory.upsert(
            EndpointEntry(
                endpoint_id=name,
                pool="p",
                address=address,
                slots=4,
                domain="d",
            )
        )

    async def send(self, kind, *, timeout_s=5.0, max_attempts=2):
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=kind,
            shares=(PoolShare("p", 1.0),),
            timeout_s=timeout_s,
            target_latency_s=timeout_s,
            max_attempts=max_attempts,
        )
        task = SendTask(
            request_id="q",
            route=route,
            method="POST",
            target="/x",
            host="h",
            body=b"b",
            deadline_s=time.monotonic() + timeout_s,
            is_streamed=kind is RouteKind.STREAMING,
        )
        return await self.sender.send(task)

    async def refuse(self, kind, **options):
        with self.assertRaises(Refusal) as caught:
            await self.send(kind, **options)
        return caught.exception

    async def test_a_promise_that_the_endpoint_did_not_make_is_not_passed_on(
        self,
    ):
        """A 503 without the endpoint's statement promised "not run"."""
        for kind in (RouteKind.UNSAFE, RouteKind.STREAMING):
            for status in (408, 429, 503):
                with self.subTest(f"{kind.value} {status}"):
                    self.forget_endpoints()
                    await self.add_endpoint("a", make_response(status))
                    refusal = await self.refuse(kind)
                    self.assertIs(refusal.error, ErrorCode.ENDPOINT_FAILED)
                    self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    async def test_other_failures_of_the_endpoint_are_passed_on(self):
        for status in (400, 404, 500, 502, 504):
            with self.subTest(status):
                self.forget_endpoints()
                await self.add_endpoint("a", make_response(status))
                response = await self.send(RouteKind.UNSAFE)
                self.assertEqual(response.status, status)

    async def test_a_request_that_every_endpoint_rejected_is_not_run(self):
        for status in PROMISES:
            with self.subTest(status):
                self.forget_endpoints()
                fields = "" if status == 421 else NOT_RUN
                reply = make_response(status, fields=fields)
                await self.add_endpoint("a", reply)
                await self.add_endpoint("b", reply)
                refusal = await self.refuse(RouteKind.UNSAFE)
                self.assertIs(refusal.error, ErrorCode.OVERLOADED)
                self.assertIs(refusal.ran, ExecutionStatus.NOT_RUN)

    async def test_what_may_run_once_is_sent_over_a_new_connection(self):
        """A rejection without an id may be an extra one of before."""
        for kind in (RouteKind.UNSAFE, RouteKind.STREAMING):
            with self.subTest(kind.value):
                self.forget_endpoints()
                server = await self.add_endpoint("a", make_response(200))
                await self.send(RouteKind.SAFE)
                response = await self.send(kind)
                if response.stream is not None:
                    await response.stream.aclose()
                self.assertEqual(server.connections, 2)

    async def test_a_rejection_after_a_lost_response_is_no_promise(self):
        """The last of two attempts was refused, but the first may have run."""
        lost = await self.add_endpoint("a", None)
        rejecting = await self.add_endpoint(
            "b", make_response(503, fields=NOT_RUN)
        )
        refusal = await self.refuse(RouteKind.SAFE)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(refusal.error.status, 502)
        self.assertTrue(lost.requests and rejecting.requests)

    async def test_an_unreachable_endpoint_after_a_lost_one_is_no_promise(self):
        lost = await self.add_endpoint("a", None)
        self.add_entry("b", Address(ip="127.0.0.1", port=1))
        refusal = await self.refuse(RouteKind.SAFE)
        self.assertTrue(lost.requests)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(refusal.error.status, 502)

    async def test_a_rejection_cut_in_its_body_is_no_promise(self):
        head = make_response(503, fields=NOT_RUN, body=b"1234")[:-2]
        await self.add_endpoint("a", [head])
        refusal = await self.refuse(RouteKind.UNSAFE)
        self.assertIs(refusal.error, ErrorCode.ANSWER_INCOMPLETE)
        self.assertIs(refusal.ran, ExecutionStatus.RAN)

    async def test_a_rejection_of_a_stream_is_stated_by_its_whole_head(self):
        head = make_response(503, fields=NOT_RUN, body=b"1234")[:-2]
        await self.add_endpoint("a", [head])
        refusal = await self.refuse(RouteKind.STREAMING, max_attempts=1)
        self.assertIs(refusal.error, ErrorCode.OVERLOADED)
        self.assertIs(refusal.ran, ExecutionStatus.NOT_RUN)

    async def test_a_stream_that_breaks_after_its_head_looks_incomplete(self):
        head = make_response(200, body=b"1234")[:-2]
        await self.add_endpoint("a", [head])
        response = await self.send(RouteKind.STREAMING)
        with self.assertRaises(RequestFailedError) as caught:
            async for _ in response.stream:
                pass
        self.assertIs(caught.exception.ran, ExecutionStatus.RAN)
        await response.stream.aclose()

    async def test_a_rejection_cut_in_its_head_is_no_promise(self):
        for kind in (RouteKind.UNSAFE, RouteKind.STREAMING):
            with self.subTest(kind):
                self.forget_endpoints()
                cut = f"HTTP/1.1 503 X\r\n{NOT_RUN}content-le".encode()
                await self.add_endpoint("a", [cut])
                refusal = await self.refuse(kind)
                self.assertIs(refusal.error, ErrorCode.ENDPOINT_FAILED)
                self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    async def test_a_deadline_that_passes_after_an_attempt_is_no_promise(self):
        await self.add_endpoint("a", b"")
        refusal = await self.refuse(RouteKind.UNSAFE, timeout_s=0.2)
        self.assertEqual(refusal.error.status, 504)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    async def test_a_rejection_with_another_id_is_no_promise(self):
        rejection = make_response(503, request_id="other", fields=NOT_RUN)
        await self.add_endpoint("a", rejection)
        refusal = await self.refuse(RouteKind.UNSAFE)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(refusal.error.status, 502)
