"""Which failures of an exchange say that its request was not executed."""

import functools
import socket
import unittest
from unittest import mock

import anyio

from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.connections import _pool as pool_module
from daisyhub.connections._connection import _TrackedStream
from daisyhub.exceptions import ExecutionStatus
from daisyhub.settings import Address
from daisyhub.testing.scripted_server import ScriptedServer, make_response

# More than the kernel buffers of both ends of a connection on loopback.
LARGE_BODY = b"x" * (32 << 20)


def id_header(request_id):
    return ((b"daisyhub-request-id", request_id.encode()),)


class UnknownOutcomesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = HttpClient(connect_timeout_s=0.5, idle_s=60.0)
        self.addAsyncCleanup(self.client.aclose)

    async def serve(self, *replies):
        server = ScriptedServer(*replies)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    async def get_failure(self, address, *, timeout_s=5.0, **options):
        """Sends a request that must fail; returns what is known of it."""
        with self.assertRaises(RequestFailedError) as caught:
            await self.client.request(
                "POST", address, "/", timeout_s=timeout_s, **options
            )
        return caught.exception.ran

    async def test_a_connection_that_is_not_accepted_is_not_run(self):
        """The queue of the listener is full, so that connecting times out."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = Address(ip="127.0.0.1", port=listener.getsockname()[1])
            with socket.create_connection(("127.0.0.1", address.port)):
                ran = await self.get_failure(address)
        self.assertIs(ran, ExecutionStatus.NOT_RUN)

    async def test_a_partly_written_request_is_unknown(self):
        """The server reads nothing, so that the body is never whole."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = Address(ip="127.0.0.1", port=listener.getsockname()[1])
            ran = await self.get_failure(
                address, timeout_s=0.2, body=LARGE_BODY
            )
        self.assertIs(ran, ExecutionStatus.UNKNOWN)

    async def test_a_write_that_fails_is_unknown(self):
        """The server resets the connection after a part of the body."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = Address(ip="127.0.0.1", port=listener.getsockname()[1])

            def reset_after_a_part():
                conn, _ = listener.accept()
                conn.recv(1000)
                # Unread bytes turn the close into a reset.
                conn.close()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    functools.partial(
                        anyio.to_thread.run_sync, reset_after_a_part
                    )
                )
                ran = await self.get_failure(address, body=LARGE_BODY)
        self.assertIs(ran, ExecutionStatus.UNKNOWN)

    async def test_a_first_write_that_fails_may_have_sent_bytes(self):
        class FailingStream:
            read = get_extra_info = None

            async def write(self, *_):
                raise OSError("reset after a part")

        stream = _TrackedStream(FailingStream())
        with self.assertRaises(OSError):
            await stream.write(b"POST / HTTP/1.1")
        self.assertTrue(stream.has_sent)

    async def test_a_lost_response_is_unknown(self):
        for reply in (
            None,
            [b"HTTP/1.1 503 X\r\ndaisyhub-not-exe"],
            [b"HTTP/1.1 103 Early Hints\r\n\r\n"],
            b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        ):
            with self.subTest(reply):
                server = await self.serve(reply)
                ran = await self.get_failure(server.address)
                self.assertIs(ran, ExecutionStatus.UNKNOWN)

    async def test_a_connection_that_the_server_closes_is_unknown(self):
        """The server closes a reused connection after the request was sent."""
        server = await self.serve(make_response(200), None)
        await self.client.request("POST", server.address, "/", timeout_s=5.0)
        ran = await self.get_failure(server.address)
        self.assertEqual((server.connections, len(server.requests)), (1, 2))
        self.assertIs(ran, ExecutionStatus.UNKNOWN)

    async def test_a_response_cut_in_its_body_is_not_not_run(self):
        cut = make_response(503, body=b"1234")[:-1]
        server = await self.serve([cut])
        ran = await self.get_failure(server.address)
        self.assertIs(ran, ExecutionStatus.RAN)

    async def test_a_response_that_ends_with_its_connection_has_run(self):
        """It may be cut: a lost connection would look the same."""
        for status in (200, 500, 503):
            with self.subTest(status):
                head = f"HTTP/1.1 {status} X\r\n\r\n"
                server = await self.serve([head.encode() + b"whole or cut"])
                ran = await self.get_failure(server.address)
                self.assertIs(ran, ExecutionStatus.RAN)

    async def test_a_response_whose_end_is_stated_is_complete(self):
        chunked = b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
        for method, reply, body in (
            ("POST", b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx", b"x"),
            ("POST", b"HTTP/1.1 200 X\r\n" + chunked, b"x"),
            ("POST", b"HTTP/1.1 204 X\r\n\r\n", b""),
            ("GET", b"HTTP/1.1 304 X\r\n\r\n", b""),
            ("HEAD", b"HTTP/1.1 200 X\r\n\r\n", b""),
        ):
            with self.subTest(method=method, reply=reply):
                server = await self.serve(reply)
                response = await self.client.request(
                    method, server.address, "/", timeout_s=5.0
                )
                self.assertEqual(response.body, body)

    async def test_no_time_to_connect_is_not_run(self):
        server = await self.serve(make_response(200))
        ran = await self.get_failure(server.address, timeout_s=0.0)
        self.assertIs(ran, ExecutionStatus.NOT_RUN)
        await server.stop()
        self.assertFalse(server.requests)

    async def test_a_response_to_an_earlier_request_is_unknown(self):
        """A late "not executed" of one request was taken for an order's."""
        late = make_response(503, request_id="q1")
        server = await self.serve(make_response(200, request_id="q1"), late)
        await self.client.request(
            "POST",
            server.address,
            "/",
            headers=id_header("q1"),
            timeout_s=5.0,
        )
        ran = await self.get_failure(server.address)
        self.assertIs(ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(server.connections, 1)

    async def test_a_failed_request_is_repeated_over_another_connection(self):
        """An extra 500 of an item's first run counted for its second."""
        server = await self.serve(
            make_response(500, request_id="q1"),
            make_response(200, request_id="q2"),
            make_response(200, request_id="q1"),
        )
        for request_id in ("q1", "q2", "q1"):
            await self.client.request(
                "POST",
                server.address,
                "/",
                headers=id_header(request_id),
                timeout_s=5.0,
            )
        self.assertEqual(server.connections, 2)

    async def test_a_failed_request_leaves_the_connection_it_waited_for(self):
        """It is repeated on another one, and the first stays in the pool."""
        server = await self.serve(
            make_response(500, request_id="q1"),
            make_response(200, request_id="q2"),
            make_response(200, request_id="q1"),
        )

        async def send(request_id):
            await self.client.request(
                "POST",
                server.address,
                "/",
                headers=id_header(request_id),
                timeout_s=5.0,
                may_wait=True,
            )

        await send("q1")
        with mock.patch.object(pool_module, "_MAX_RELEASE_WAIT_S", 5.0):
            async with anyio.create_task_group() as tasks:
                # The second starts while the first uses the connection.
                tasks.start_soon(send, "q2")
                tasks.start_soon(send, "q1")
        self.assertEqual(server.connections, 2)
        self.assertEqual(len(self.client._idle[server.address]), 2)

    async def test_a_rejected_request_keeps_to_its_connection(self):
        """An item that a full engine rejects is repeated ten times a second."""
        server = await self.serve(make_response(503, request_id="q1"))
        for _ in range(10):
            await self.client.request(
                "POST",
                server.address,
                "/",
                headers=id_header("q1"),
                timeout_s=5.0,
            )
        self.assertEqual(server.connections, 1)

    async def test_an_extra_rejection_of_a_first_run_costs_only_a_repeat(self):
        """It can't be told from the second run's; the connection ends."""
        rejection = make_response(503, request_id="q1")
        answer = make_response(200, request_id="q1")
        server = await self.serve(rejection, rejection + answer, answer)
        statuses = []
        for _ in range(3):
            response = await self.client.request(
                "POST",
                server.address,
                "/",
                headers=id_header("q1"),
                timeout_s=5.0,
            )
            statuses.append(response.status)
        self.assertEqual(statuses, [503, 503, 200])
        self.assertEqual(server.connections, 2)
        self.assertEqual(len(server.requests), 3)
