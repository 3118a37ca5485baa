"""A server that stops makes no promise about the requests that it cuts."""

import asyncio
import contextlib
import socket
import unittest

from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import GatewayApp
from daisyhub.logs import DecisionLog
from daisyhub.messages import Response
from daisyhub.metrics import Metrics
from daisyhub.platform._wire import PlatformCallerWire
from daisyhub.serving import HttpServer
from daisyhub.settings import Address

REQUEST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx"
PROMISES = (b" 408 ", b" 421 ", b" 429 ", b" 503 ")


class StoppedRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, handler):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        app = GatewayApp(
            handler,
            PlatformCallerWire(),
            Metrics(),
            DecisionLog("d", write=lambda _: True),
        )
        address = Address(ip="127.0.0.1", port=self.port)
        self.server = HttpServer(app, address, drain_limit_s=1.0)
        self.running = asyncio.create_task(self.server.run_until_stopped())
        while not self.server.started:
            await asyncio.sleep(0.01)

    async def open(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def test_a_request_in_progress_is_cut_without_a_promise(self):
        """It was sent to an endpoint, which hasn't answered."""
        sent = asyncio.Event()

        async def handle(req):
            await req.read_body(10)
            sent.set()
            await asyncio.sleep(60)

        await self.start(handle)
        reader = await self.open(REQUEST)
        await sent.wait()
        self.server.stop()
        async with asyncio.timeout(10):
            answer = await reader.read()
            await self.running
        status_line = answer.partition(b"\r\n")[0]
        self.assertFalse([p for p in PROMISES if p in status_line], answer)

    async def test_a_stream_in_progress_does_not_look_complete(self):
        sent = asyncio.Event()

        async def chunks():
            yield b"a"
            sent.set()
            await asyncio.sleep(60)

        async def handle(req):
            await req.read_body(10)
            return Response(status=200, stream=chunks())

        await self.start(handle)
        reader = await self.open(REQUEST)
        await sent.wait()
        self.server.stop()
        async with asyncio.timeout(10):
            answer = await reader.read()
            await self.running
        self.assertNotIn(b"0\r\n\r\n", answer)

    async def test_requests_that_were_not_read_reach_no_handler(self):
        """The connection of a request without its end is just closed."""
        handled = []

        async def handle(req):
            await req.read_body(10)
            handled.append(req)
            raise Refusal(
                ErrorCode.INTERNAL, "not reached", ran=ExecutionStatus.NOT_RUN
            )

        await self.start(handle)
        readers = [await self.open(b""), await self.open(REQUEST[:20])]
        await asyncio.sleep(0.05)
        self.server.stop()
        async with asyncio.timeout(10):
            for reader in readers:
                with contextlib.suppress(ConnectionError):
                    self.assertEqual(await reader.read(), b"")
            await self.running
        self.assertFalse(handled)
