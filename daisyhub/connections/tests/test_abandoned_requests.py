"""Abandoned requests reset their connection and aren't delivered later."""

import socket
import unittest

import anyio

from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.settings import Address


class SilentServer:
    """A server that sends nothing, or one fixed response."""

    def __init__(self, response=b""):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = Address(ip="127.0.0.1", port=self.sock.getsockname()[1])
        self.response = response

    def serve_connection(self):
        """Reads one connection to its end.

        Returns the type of the error that ended it, or None after a close.
        """
        conn, _ = self.sock.accept()
        conn.settimeout(5)
        try:
            data = conn.recv(65536)
            if self.response and data:
                conn.sendall(self.response)
            while conn.recv(65536):
                pass
        except OSError as exc:
            return type(exc)
        finally:
            conn.close()
            self.sock.close()
        return None


class AbandonedRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def run_with_server(self, send, response=b""):
        """Runs `send`; returns the error that the server's connection got."""
        server = SilentServer(response)
        client = HttpClient(connect_timeout_s=1.0, idle_s=1.0)
        errors = []

        async def serve():
            errors.append(
                await anyio.to_thread.run_sync(server.serve_connection)
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            await send(client, server.address)
        await client.aclose()
        return errors[0]

    async def test_a_timeout_resets_the_connection(self):
        """Without the reset, a request arrives after its caller timed out.

        A run reached an engine 3.3 s after the end of its lot.
        """

        async def send(client, address):
            with self.assertRaises(RequestFailedError):
                await client.request("GET", address, "/", timeout_s=0.1)

        self.assertIs(await self.run_with_server(send), ConnectionResetError)

    async def test_a_cancellation_resets_the_connection(self):
        async def send(client, address):
            with anyio.move_on_after(0.1):
                await client.request("GET", address, "/", timeout_s=5)

        self.assertIs(await self.run_with_server(send), ConnectionResetError)

    async def test_a_stream_closed_early_resets_the_connection(self):
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

        async def send(client, address):
            response = await client.open("GET", address, "/", timeout_s=5)
            await response.aclose()
            await response.aclose()

        error = await self.run_with_server(send, head + b"1\r\nx\r\n")
        self.assertIs(error, ConnectionResetError)

    async def test_closing_a_response_twice_releases_its_connection_once(self):
        """Guards against a second close that adds the connection again."""
        complete = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"

        async def send(client, address):
            response = await client.open("GET", address, "/", timeout_s=5)
            await response.drain()
            await response.aclose()
            self.assertEqual(len(client._idle[address]), 1)
            client.drop_idle_connections(address)
            await client.aclose()

        await self.run_with_server(send, complete)
