"""Both sides of each time limit of a connection, on a virtual clock."""

import asyncio
import unittest

import anyio

from daisyhub.memory import MemoryBudget
from daisyhub.serving import ConnectionLimits, HttpServer, ListenerLimits
from daisyhub.settings import Address
from daisyhub.testing.virtual_time import run_in_virtual_time

HEAD_TIMEOUT_S = 4.0
IDLE_TIMEOUT_S = 16.0
GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
STREAM_S = 600


class FakeTransport(asyncio.Transport):
    """Collects what is written; closes at once."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.written = b""
        self.is_closed = False

    def write(self, data):
        self.written += data

    def close(self):
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connection_lost(None)

    abort = close

    def is_closing(self):
        return self.is_closed

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        pass

    resume_reading = pause_reading


async def app(scope, receive, send):
    """Responds at once, or with an event each second to `/stream`."""
    while (await receive()).get("more_body", False):
        pass
    await send({"type": "http.response.start", "status": 200, "headers": []})
    for _ in range(STREAM_S if scope["path"] == "/stream" else 0):
        await anyio.sleep(1.0)
        await send(
            {"type": "http.response.body", "body": b"e", "more_body": True}
        )
    await send({"type": "http.response.body", "body": b"end"})


class ConnectionTimesTest(unittest.TestCase):
    def play(self, steps):
        """Opens a connection and plays coroutine `steps(connection)`.

        Returns:
            The transport.
        """
        limits = ConnectionLimits(
            head_timeout_s=HEAD_TIMEOUT_S, idle_timeout_s=IDLE_TIMEOUT_S
        )
        server = HttpServer(
            app,
            Address(ip="127.0.0.1", port=1),
            limits=ListenerLimits(
                memory=MemoryBudget(), get_limits=lambda: limits
            ),
        )
        server.config.load()

        async def main():
            protocol = server.config.http_protocol_class(
                config=server.config,
                server_state=server.server_state,
                app_state={},
            )
            transport = FakeTransport(protocol)
            protocol.connection_made(transport)
            await steps(protocol)
            return transport

        return run_in_virtual_time(main)

    def test_a_connection_idle_for_four_fifths_is_used_again(self):
        async def steps(conn):
            for _ in range(3):
                await anyio.sleep(0.8 * IDLE_TIMEOUT_S)
                conn.data_received(GET)

        transport = self.play(steps)
        self.assertFalse(transport.is_closed)
        self.assertEqual(transport.written.count(b" 200 "), 3)

    def test_a_connection_idle_for_longer_is_closed(self):
        async def steps(conn):
            conn.data_received(GET)
            await anyio.sleep(1.1 * IDLE_TIMEOUT_S)

        self.assertTrue(self.play(steps).is_closed)

    def test_a_connection_that_never_sends_is_closed(self):
        async def steps(_):
            await anyio.sleep(1.1 * IDLE_TIMEOUT_S)

        self.assertTrue(self.play(steps).is_closed)

    def test_a_slow_head_that_is_complete_in_time_is_served(self):
        async def steps(conn):
            # The time counts from the first byte.
            await anyio.sleep(0.8 * IDLE_TIMEOUT_S)
            for byte in GET:
                conn.data_received(bytes([byte]))
                await anyio.sleep(0.95 * HEAD_TIMEOUT_S / len(GET))

        self.assertIn(b" 200 ", self.play(steps).written)

    def test_a_head_that_takes_longer_is_not_answered(self):
        async def steps(conn):
            for byte in GET:
                if conn.transport.is_closing():
                    return
                conn.data_received(bytes([byte]))
                await anyio.sleep(1.2 * HEAD_TIMEOUT_S / len(GET))

        transport = self.play(steps)
        self.assertTrue(transport.is_closed)
        self.assertEqual(transport.written, b"")

    def test_a_body_may_take_minutes(self):
        async def steps(conn):
            head = GET.replace(b"GET", b"POST").removesuffix(b"\r\n")
            conn.data_received(head + b"Content-Length: 300\r\n\r\n")
            for _ in range(300):
                await anyio.sleep(1.0)
                conn.data_received(b"b")
            await anyio.sleep(0.1)

        self.assertIn(b" 200 ", self.play(steps).written)

    def test_a_stream_may_take_minutes(self):
        async def steps(conn):
            conn.data_received(GET.replace(b"/a", b"/stream"))
            await anyio.sleep(STREAM_S + 1.0)

        transport = self.play(steps)
        self.assertEqual(transport.written.count(b"\r\ne\r\n"), STREAM_S)
        self.assertTrue(transport.written.endswith(b"0\r\n\r\n"))

    def test_a_client_that_reads_again_in_time_stays(self):
        async def steps(conn):
            conn.data_received(GET.replace(b"/a", b"/stream"))
            conn.pause_writing()
            await anyio.sleep(50.0)
            conn.resume_writing()
            await anyio.sleep(STREAM_S)

        self.assertTrue(self.play(steps).written.endswith(b"0\r\n\r\n"))

    def test_a_client_that_does_not_read_is_disconnected(self):
        async def steps(conn):
            conn.data_received(GET.replace(b"/a", b"/stream"))
            conn.pause_writing()
            await anyio.sleep(70.0)

        self.assertTrue(self.play(steps).is_closed)
