"""Responses that end early never look complete, whoever reads them."""

import asyncio
import socket
import unittest

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    LocalPermits,
)
from daisyhub.catalog import RouteKind
from daisyhub.connections import HttpClient
from daisyhub.gateway import GatewayApp, PeerRelays, Sender
from daisyhub.gateway.tests.test_relays import Reach
from daisyhub.logs import DecisionLog
from daisyhub.lots import ItemRunner
from daisyhub.metrics import Metrics
from daisyhub.platform._lots_json import PlatformLotWire
from daisyhub.platform._wire import PlatformCallerWire, PlatformEndpointWire
from daisyhub.platform.tests.test_item_runs import make_order
from daisyhub.serving import HttpServer
from daisyhub.settings import Address
from daisyhub.testing.scripted_server import ScriptedServer, make_response
from daisyhub.testing.send_tasks import make_send_task

LOG = DecisionLog("d", write=lambda _: True)
REQUEST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx"
EVENT = b"id: 1\ndata: begun\n\n"
CHUNKED = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n"
# Text that may reach nobody, framed as an event.
ERROR_TEXT = b"id: 2\ndata: failure\n\n"
FAILURE = make_response(500, body=ERROR_TEXT)
CUT_HEADS = (
    b"HTTP/1.1 200 X\r\n",
    b"HTTP/1.1 200 X\r\ncontent-le",
    b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n",
    b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r",
    b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n",
    b"HTTP/1.1 200 X\ncontent-length: 0\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 X\r\n",
)
CUT_BODIES = (
    b"HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n1234",
    CHUNKED + b"4\r\n1234\r\n",
    CHUNKED + b"4\r\n12",
)


class CutResponsesTest(unittest.IsolatedAsyncioTestCase):
    """A gateway on loopback in front of scripted endpoints."""

    async def asyncSetUp(self):
        self.http = HttpClient(connect_timeout_s=1.0, idle_s=30.0)
        self.addAsyncCleanup(self.http.aclose)

    async def serve(self, *replies):
        server = ScriptedServer(*replies)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    async def list_endpoints(self, *replies):
        """Lists endpoints `a`, `b`, ..., each with one reply."""
        # Of equal endpoints, "a" is chosen.
        self.directory = EndpointDirectory(ord)
        self.endpoints = []
        for name, reply in zip("abc", replies, strict=False):
            server = await self.serve(reply)
            self.endpoints.append(server)
            self.directory.upsert(
                EndpointEntry(
                    endpoint_id=name,
                    pool="p",
                    address=server.address,
                    domain="d",
                    incarnation=1,
                    software="v1",
                )
            )

    async def call(self, kind, relays=None):
        """Returns all bytes that a caller gets on its connection."""
        sender = Sender(
            self.directory,
            self.http,
            PlatformEndpointWire(),
            Metrics(),
            LOG,
            relays=relays,
        )

        async def handle(req):
            await req.read_body(10)
            return await sender.send(make_send_task(kind))

        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        app = GatewayApp(handle, PlatformCallerWire(), Metrics(), LOG)
        # Each caller's connection ends after one response.
        app.is_draining = True
        server = HttpServer(app, Address(ip="127.0.0.1", port=port))
        running = asyncio.create_task(server.run_until_stopped())
        while not server.started:
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        async with asyncio.timeout(20):
            answer = await reader.read()
        writer.close()
        server.stop()
        await running
        return answer

    def assert_no_success(self, answer):
        self.assertNotEqual(answer.split()[1:2], [b"200"], answer)
        self.assertNotIn(b"408", answer.split()[1:2])
        self.assertNotIn(b"503", answer.split()[1:2])

    async def test_a_head_that_is_cut_short_is_no_response(self):
        for kind in (RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAMING):
            for head in CUT_HEADS:
                with self.subTest(kind=kind.value, head=head):
                    await self.list_endpoints([head])
                    self.assert_no_success(await self.call(kind))

    async def test_a_cut_body_of_a_buffered_response_is_no_response(self):
        for kind in (RouteKind.SAFE, RouteKind.UNSAFE):
            for reply in CUT_BODIES:
                with self.subTest(kind=kind.value, reply=reply):
                    await self.list_endpoints([reply])
                    self.assert_no_success(await self.call(kind))

    async def test_a_stream_that_breaks_off_has_no_end(self):
        for reply in CUT_BODIES:
            with self.subTest(reply):
                await self.list_endpoints([reply], FAILURE)
                answer = await self.call(RouteKind.STREAMING)
                self.assertFalse(answer.endswith(b"0\r\n\r\n"), answer)
                self.assertNotIn(b"failure", answer)

    async def test_a_begun_stream_gets_no_text_of_another_endpoint(self):
        event = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
        await self.list_endpoints([CHUNKED + event], FAILURE, FAILURE)
        answer = await self.call(RouteKind.STREAMING)
        self.assertIn(EVENT, answer)
        self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertNotIn(b"failure", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"), answer)

    async def test_the_response_of_the_next_endpoint_is_passed_on_whole(self):
        for kind in (RouteKind.SAFE, RouteKind.STREAMING):
            for head in CUT_HEADS:
                with self.subTest(kind=kind.value, head=head):
                    await self.list_endpoints([head], FAILURE)
                    answer = await self.call(kind)
                    # A stream that hasn't begun may be an error.
                    if answer.split()[1] == b"500":
                        self.assertIn(ERROR_TEXT, answer)
                    else:
                        self.assert_no_success(answer)

    async def test_a_peer_that_ends_early_sent_no_response(self):
        for kind in (RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAMING):
            for head in CUT_HEADS:
                with self.subTest(kind=kind.value, head=head):
                    await self.list_endpoints()
                    reach = Reach()
                    reach.add("a", (await self.serve([head])).address)
                    relays = PeerRelays("d", "x", reach, self.http, Metrics())
                    self.assert_no_success(await self.call(kind, relays))

    async def run_item(self, reply, resume_after=0):
        await self.list_endpoints(reply)
        runner = ItemRunner(
            self.directory,
            self.http,
            PlatformEndpointWire(),
            PlatformLotWire(),
            LocalPermits(),
        )
        order = make_order(endpoint_id="a", resume_after=resume_after)
        events = []
        end = await runner.run(order, events.append)
        return end, events

    async def test_texts_get_nothing_of_a_response_that_is_no_stream(self):
        for reply in (
            *([head] for head in CUT_HEADS),
            FAILURE,
            make_response(404, body=ERROR_TEXT),
            make_response(503, body=ERROR_TEXT),
        ):
            with self.subTest(reply):
                end, events = await self.run_item(reply, resume_after=1)
                self.assertEqual(events, [])
                self.assertNotEqual(end.fault, "")

    async def test_a_text_whose_stream_breaks_off_is_not_complete(self):
        whole = make_response(
            200, fields="daisyhub-weight-versions: 1\r\n", body=EVENT
        )
        end, events = await self.run_item(whole)
        self.assertEqual((end.fault, len(events)), ("", 1))
        for cut in range(1, len(EVENT) + 1):
            with self.subTest(cut):
                end, events = await self.run_item([whole[:-cut]])
                self.assertNotEqual(end.fault, "")
                self.assertEqual(end.events, 0)


if __name__ == "__main__":
    unittest.main()
