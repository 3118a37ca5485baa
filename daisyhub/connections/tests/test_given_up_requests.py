"""A request that was given up doesn't arrive later."""

import socket
import unittest

import anyio

from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.settings import Address


class Mute:
    """A server that accepts and says nothing, and one that answers once."""

    def __init__(self, answer=b""):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = Address(ip="127.0.0.1", port=self.sock.getsockname()[1])
        self.answer = answer

    def end_of_connection(self):
        """Accepts, reads to the end; returns the error that ended it."""
        conn, _ = self.sock.accept()
        conn.settimeout(5)
        try:
            data = conn.recv(65536)
            if self.answer and data:
                conn.sendall(self.answer)
            while conn.recv(65536):
                pass
        except OSError as exc:
            return type(exc)
        finally:
            conn.close()
            self.sock.close()
        return None


class GivenUpRequests(unittest.IsolatedAsyncioTestCase):
    async def ended_by(self, send, answer=b""):
        """Returns how the server sees the end of what `send` does."""
        server = Mute(answer)
        client = HttpClient(connect_timeout_s=1.0, idle_s=1.0)
        ends = []

        async def serve():
            ends.append(
                await anyio.to_thread.run_sync(server.end_of_connection)
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            await send(client, server.address)
        await client.aclose()
        return ends[0]

    async def test_a_time_out_resets_the_connection(self):
        """A run reached an engine 3.3 s after the end of its lot."""

        async def send(client, address):
            with self.assertRaises(RequestFailedError):
                await client.request("GET", address, "/", timeout_s=0.1)

        self.assertIs(await self.ended_by(send), ConnectionResetError)

    async def test_a_cancellation_resets_the_connection(self):
        async def send(client, address):
            with anyio.move_on_after(0.1):
                await client.request("GET", address, "/", timeout_s=5)

        self.assertIs(await self.ended_by(send), ConnectionResetError)

    async def test_a_stream_that_is_left_early_resets_the_connection(self):
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

        async def send(client, address):
            answer = await client.open("GET", address, "/", timeout_s=5)
            await answer.aclose()
            await answer.aclose()

        ended = await self.ended_by(send, head + b"1\r\nx\r\n")
        self.assertIs(ended, ConnectionResetError)

    async def test_an_answer_closed_twice_is_kept_once(self):
        """The second close put its connection on the idle list again."""
        whole = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"

        async def send(client, address):
            answer = await client.open("GET", address, "/", timeout_s=5)
            await answer.drain()
            await answer.aclose()
            self.assertEqual(len(client._idle[address]), 1)
            client.drop_idle_connections(address)
            await client.aclose()

        await self.ended_by(send, whole)
