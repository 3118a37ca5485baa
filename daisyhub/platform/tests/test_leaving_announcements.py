"""Endpoints that announce their leaving in a response get nothing more."""

import asyncio
import contextlib
import time
import unittest
from unittest import mock

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    _endpoint_records,
)
from daisyhub.catalog import PoolShare, Route, RouteKind
from daisyhub.connections import HttpClient, _pool
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import Sender, SendTask
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.platform._wire import PlatformCallerWire, PlatformEndpointWire
from daisyhub.testing.scripted_server import ScriptedServer, make_response

NOT_RUN = "daisyhub-not-executed: 1\r\n"
LEAVING = "Server-Leaving: 1\r\n"


class AnnouncementTest(unittest.TestCase):
    def announces(self, *values, status=200):
        headers = tuple((b"server-leaving", value) for value in values)
        head = PlatformEndpointWire().read_response_head(status, headers)
        return head.is_leaving

    def test_only_the_value_1_announces_it(self):
        for value in (b"1", b" 1", b"1\t"):
            self.assertTrue(self.announces(value), value)
        for value in (b"", b"0", b"01", b"1.0", b"1,1", b"true", b"1 1", b"+1"):
            self.assertFalse(self.announces(value), value)
        self.assertFalse(self.announces())

    def test_one_of_two_headers_is_enough(self):
        self.assertTrue(self.announces(b"1", b"0"))
        self.assertTrue(self.announces(b"0", b"1"))
        self.assertFalse(self.announces(b"0", b"no"))

    def test_every_status_but_that_of_another_endpoint_counts(self):
        for status in (200, 202, 400, 404, 408, 429, 500, 503, 504):
            self.assertTrue(self.announces(b"1", status=status), status)
        self.assertFalse(self.announces(b"1", status=421))


class LeavingEndpointsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.http = HttpClient(connect_timeout_s=2.0, idle_s=30.0)
        self.addAsyncCleanup(self.http.aclose)
        self.forget_endpoints()

    def forget_endpoints(self):
        # Of equal endpoints, "a" is chosen.
        self.directory = EndpointDirectory(
            ord, has_connection=self.http.has_connection
        )
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
        self.list_endpoint(name, server)
        return server

    def list_endpoint(self, name, server):
        self.directory.upsert(
            EndpointEntry(
                endpoint_id=name,
                pool="p",
                address=server.address,
                slots=4,
                domain="d",
                incarnation=1,
            )
        )

    async def send(self, kind=RouteKind.SAFE):
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=kind,
            shares=(PoolShare("p", 1.0),),
            timeout_s=5.0,
            target_latency_s=5.0,
            max_attempts=2,
        )
        task = SendTask(
            request_id="q",
            route=route,
            method="POST",
            target="/x",
            host="h",
            body=b"b",
            deadline_s=time.monotonic() + 5.0,
            is_streamed=kind is RouteKind.STREAMING,
        )
        response = await self.sender.send(task)
        if response.stream is not None:
            await response.stream.aclose()
        return response

    async def test_any_response_that_announces_it_is_the_last(self):
        for kind, status, fields in (
            (RouteKind.SAFE, 200, ""),
            (RouteKind.UNSAFE, 200, ""),
            (RouteKind.STREAMING, 200, ""),
            (RouteKind.SAFE, 404, ""),
            (RouteKind.UNSAFE, 500, ""),
            (RouteKind.UNSAFE, 504, ""),
            (RouteKind.SAFE, 429, NOT_RUN),
            (RouteKind.UNSAFE, 503, NOT_RUN),
            (RouteKind.STREAMING, 503, NOT_RUN),
        ):
            with self.subTest(f"{kind.value} {status}"):
                self.forget_endpoints()
                leaving = await self.add_endpoint(
                    "a", make_response(status, fields=fields + LEAVING)
                )
                await self.add_endpoint("b", make_response(200))
                await self.send(kind)
                # The list lags behind.
                self.list_endpoint("a", leaving)
                for _ in range(3):
                    response = await self.send(kind)
                    self.assertEqual(response.status, 200)
                self.assertEqual(len(leaving.requests), 1)

    async def test_the_head_of_an_open_stream_announces_it(self):
        head = (
            b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n"
            + LEAVING.encode()
            + b"\r\n1\r\nx\r\n"
        )
        await self.add_endpoint("a", head)
        await self.send(RouteKind.STREAMING)
        self.assertTrue(self.directory.get("a").entry.is_leaving)

    async def test_responses_that_announce_nothing(self):
        rejected = make_response(503, fields=NOT_RUN + LEAVING)
        trailer = (
            b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n"
            b"trailer: server-leaving\r\n\r\n0\r\n" + LEAVING.encode() + b"\r\n"
        )
        for reply in (
            make_response(200, fields="server-leaving: 0\r\n"),
            make_response(200, body=LEAVING.encode()),
            make_response(200, request_id="other", fields=LEAVING),
            make_response(421, fields=LEAVING),
            [make_response(200, fields=LEAVING, body=b"12")[:-1]],
            [rejected[:-3]],
            [b"server-leaving: 1\r\n" + rejected],
            trailer,
        ):
            with self.subTest(reply):
                self.forget_endpoints()
                await self.add_endpoint("a", reply)
                with contextlib.suppress(Refusal):
                    await self.send(RouteKind.UNSAFE)
                self.assertFalse(self.directory.get("a").entry.is_leaving)

    async def test_a_request_that_waits_for_a_connection_is_not_sent(self):
        """A request chosen before the announcement was sent after it."""
        ok = make_response(200)
        leaving = await self.add_endpoint(
            "a", ok, make_response(200, fields=LEAVING)
        )
        other = await self.add_endpoint("b", ok)
        with (
            mock.patch.object(_pool, "_MAX_RELEASE_WAIT_S", 5.0),
            # A slow first response makes the directory choose the other one.
            mock.patch.object(
                _endpoint_records, "_LATENCY_RATIO_SMOOTHING", 0.0
            ),
        ):
            await self.send()
            responses = await asyncio.gather(self.send(), self.send())
        self.assertEqual([r.status for r in responses], [200, 200])
        self.assertEqual(len(leaving.requests), 2)
        self.assertEqual(len(other.requests), 1)

    async def test_a_waiting_request_sees_the_mark_of_a_removed_entry(self):
        """The mark of an entry removed meanwhile was not seen."""
        waiting = await self.add_endpoint("a", make_response(200))
        other = await self.add_endpoint("b", make_response(200))
        entry = self.directory.get("a").entry
        directory = self.directory

        class LosesEntry(HttpClient):
            async def request(self, *args, **kwargs):
                if not waiting.requests and not other.requests:
                    directory.remove("a", 0.0, is_store_stable=True)
                    directory.mark_leaving(entry.process, 0.0)
                return await super().request(*args, **kwargs)

        http = LosesEntry(connect_timeout_s=2.0, idle_s=30.0)
        self.addAsyncCleanup(http.aclose)
        self.sender = Sender(
            directory,
            http,
            PlatformEndpointWire(),
            Metrics(),
            DecisionLog("d", write=lambda _: True),
        )
        await self.send()
        self.assertEqual(waiting.requests, [])
        self.assertEqual(len(other.requests), 1)

    async def test_requests_are_refused_while_all_endpoints_are_leaving(self):
        servers = [
            await self.add_endpoint(name, make_response(200, fields=LEAVING))
            for name in "ab"
        ]
        for _ in servers:
            await self.send()
        with self.assertRaises(Refusal) as caught:
            await self.send()
        self.assertIs(caught.exception.error, ErrorCode.NO_ENDPOINT)
        self.assertIs(caught.exception.ran, ExecutionStatus.NOT_RUN)
        self.assertGreater(caught.exception.retry_after_s, 0)
        self.assertEqual([len(s.requests) for s in servers], [1, 1])

    async def test_a_refusal_after_a_request_was_sent_is_no_promise(self):
        """Only what was never sent may be refused as without an endpoint."""
        await self.add_endpoint("a", make_response(503, fields=LEAVING))
        with self.assertRaises(Refusal) as caught:
            await self.send(RouteKind.UNSAFE)
        self.assertIs(caught.exception.ran, ExecutionStatus.UNKNOWN)

    async def test_callers_receive_the_header(self):
        await self.add_endpoint("a", make_response(200, fields=LEAVING))
        response = await self.send()
        headers = PlatformCallerWire().response_headers(response)
        self.assertIn((b"server-leaving", b"1"), headers)
