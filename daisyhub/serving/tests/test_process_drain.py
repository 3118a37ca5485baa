"""Withdrawn keys and graceful shutdown with real processes and sockets."""

import asyncio
import collections
import signal
import socket
import unittest

import anyio

from daisyhub.config import ConfigStore
from daisyhub.connections import RequestFailedError
from daisyhub.hosting import PlatformClient
from daisyhub.serving import HttpServer
from daisyhub.settings import Address
from daisyhub.testing.caller import Caller
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment

WITHDRAWAL_TIMEOUT_S = 5
WAIT_TIMEOUT_S = 20
CALLERS = 12
CONCURRENCY_LIMIT = 5


class DrainAndKeysTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons with a low concurrency limit and one service."""

    async def asyncSetUp(self):
        self.deployment = Deployment(("busan",), 2, 0, 1)
        self.addCleanup(self.deployment.stop)
        await self.deployment.start()
        await self.limit_concurrency()
        self.keys = DemoKeys.make()
        address = self.deployment.platform.address
        self.store = ConfigStore(
            PlatformClient(address, Caller(address).http, 5.0)
        )
        head = await self.store.apply(
            demo_document(self.keys),
            base_version=0,
            author="a",
            team="t",
            at_s=0.0,
        )
        await self.deployment.wait_for_version(head.version)

    async def limit_concurrency(self):
        """Restarts the daemons with a low limit, so that requests queue."""
        for daemon in self.deployment.daemons():
            plan = self.deployment._daemon_settings[daemon.name]
            plan["limits"] = {"concurrent_requests": CONCURRENCY_LIMIT}
            daemon.send_signal(signal.SIGKILL)
            daemon.wait()
            self.deployment.start_daemon(daemon.name)
        for daemon in self.deployment.daemons():
            await self.deployment.wait_until_listening(daemon)

    def caller(self, number, key):
        daemon = self.deployment.daemons()[number]
        return Caller(daemon.address, DemoKeys.text(key))

    async def open_stream(self, number, key):
        caller = self.caller(number, key)
        return await caller.http.open(
            "GET",
            caller.address,
            "/stream",
            headers=((b"authorization", f"Bearer {caller.key}".encode()),),
            timeout_s=30.0,
        )

    async def test_keys_and_drain(self):
        await self.check_withdrawn_key()
        await self.check_shutdown_of_all_daemons()

    async def check_withdrawn_key(self):
        """Checks that a withdrawal breaks the key's stream and no other."""
        withdrawn = await self.open_stream(0, self.keys.yard)
        valid = await self.open_stream(1, self.keys.archive)
        chunks = withdrawn.chunks()
        await anext(chunks)
        await self.store.withdraw_key(self.keys.yard.key_id)
        with anyio.fail_after(WITHDRAWAL_TIMEOUT_S):
            with self.assertRaises(RequestFailedError):
                async for _ in chunks:
                    pass
            for number in (0, 1):
                caller = self.caller(number, self.keys.yard)
                while True:
                    response = await caller.send("GET", "/records/1")
                    if response.status == 401:
                        break
                await caller.aclose()
        await withdrawn.aclose()
        content = b"".join([chunk async for chunk in valid.chunks()])
        await valid.aclose()
        # The fake service sends 40 chunks in each stream.
        self.assertEqual(content.count(b"chunk"), 40)

    async def check_shutdown_of_all_daemons(self):
        """Checks that both daemons stop under load without failed requests.

        The last daemon must complete its requests and streams as well.
        """
        self.statuses = []
        self.chunk_counts = []
        self.response_counts = collections.Counter()
        self.open_stream_count = 0
        daemons = self.deployment.daemons()
        async with anyio.create_task_group() as tasks:
            for number in (0, 1):
                for index in range(CALLERS):
                    tasks.start_soon(self.call_until_close, number, index)
            # Each caller goes on at once, so that more requests are queued.
            await self.wait_until(
                lambda: len(self.response_counts) == 2 * CALLERS
            )
            for number in (0, 1):
                tasks.start_soon(self.read_stream, number)
            await self.wait_until(lambda: self.open_stream_count == 2)
            self.assertEqual(self.chunk_counts, [])
            for daemon in daemons:
                daemon.send_signal(signal.SIGTERM)
        codes = [await anyio.to_thread.run_sync(d.wait) for d in daemons]
        self.assertEqual(codes, [0, 0])
        self.assertEqual(self.chunk_counts, [40, 40])
        # One response before the signal and one after it.
        self.assertGreaterEqual(min(self.response_counts.values()), 2)
        self.assertEqual(set(self.statuses), {200})

    async def wait_until(self, is_reached):
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not is_reached():
                await anyio.sleep(0.01)

    async def read_stream(self, number):
        stream = await self.open_stream(number, self.keys.archive)
        self.open_stream_count += 1
        content = b"".join([chunk async for chunk in stream.chunks()])
        self.chunk_counts.append(content.count(b"chunk"))
        await stream.aclose()

    async def call_until_close(self, number, index):
        """Sends requests until a response has `Connection: close`."""
        caller = self.caller(number, self.keys.archive)
        while True:
            response = await caller.send("GET", "/records/7")
            self.statuses.append(response.status)
            self.response_counts[number, index] += 1
            if (b"connection", b"close") in response.headers:
                await caller.aclose()
                return


class LastRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_partly_received_request_is_served_after_stop(self):
        """Guards against a shutdown that closes such a connection as idle."""

        async def app(scope, receive, send):
            start = {"type": "http.response.start", "status": 204}
            await send({**start, "headers": []})
            await send({"type": "http.response.body", "body": b""})

        port = self.free_port()
        server = HttpServer(app, Address(ip="127.0.0.1", port=port))
        running = asyncio.create_task(server.run_until_stopped())
        while not server.started:
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        # A second connection is idle after its response; the server closes it.
        idle_reader, idle = await asyncio.open_connection("127.0.0.1", port)
        idle.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await idle_reader.readuntil(b"\r\n\r\n")
        writer.write(b"GET / HTTP/1.1\r\nhost:")
        await asyncio.sleep(0.05)
        server.stop()
        await asyncio.sleep(0.05)
        writer.write(b" a\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 204"))
        self.assertEqual(await idle_reader.read(), b"")
        for stream in (writer, idle):
            stream.close()
        await running

    def free_port(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()[1]
