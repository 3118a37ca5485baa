"""Withdrawn keys and graceful shutdown, on real processes and sockets."""

import asyncio
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

WITHDRAWN_WITHIN_S = 5
CALLERS = 12
PLACES = 5


class DrainAndKeys(unittest.IsolatedAsyncioTestCase):
    """Two daemons with few places before one service."""

    async def asyncSetUp(self):
        self.deployment = Deployment(("busan",), 2, 0, 1)
        self.addCleanup(self.deployment.stop)
        await self.deployment.start()
        await self.leave_few_places()
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

    async def leave_few_places(self):
        """Starts the daemons anew, so that requests queue for admission."""
        for daemon in self.deployment.daemons():
            plan = self.deployment._plans[daemon.name]
            plan["limits"] = {"concurrent_requests": PLACES}
            daemon.send_signal(signal.SIGKILL)
            daemon.wait()
            self.deployment.start_daemon(daemon.name)
        for daemon in self.deployment.daemons():
            await self.deployment.wait_until_up(daemon)

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
        """Its open stream is cut visibly; another key's stream goes on."""
        cut = await self.open_stream(0, self.keys.yard)
        whole = await self.open_stream(1, self.keys.archive)
        chunks = cut.chunks()
        await anext(chunks)
        await self.store.withdraw_key(self.keys.yard.key_id)
        with anyio.fail_after(WITHDRAWN_WITHIN_S):
            with self.assertRaises(RequestFailedError):
                async for _ in chunks:
                    pass
            for number in (0, 1):
                caller = self.caller(number, self.keys.yard)
                while True:
                    answer = await caller.send("GET", "/records/1")
                    if answer.status == 401:
                        break
                await caller.aclose()
        await cut.aclose()
        content = b"".join([chunk async for chunk in whole.chunks()])
        await whole.aclose()
        self.assertEqual(content.count(b"chunk"), 40)

    async def check_shutdown_of_all_daemons(self):
        """Both daemons end under load; the last one cuts nothing either."""
        self.answers = []
        self.streams = []
        daemons = self.deployment.daemons()
        async with anyio.create_task_group() as tasks:
            for number in (0, 1):
                tasks.start_soon(self.read_stream, number)
                for _ in range(CALLERS):
                    tasks.start_soon(self.call_until_told, number)
            await anyio.sleep(0.5)
            for daemon in daemons:
                daemon.send_signal(signal.SIGTERM)
        codes = [await anyio.to_thread.run_sync(d.wait) for d in daemons]
        self.assertEqual(codes, [0, 0])
        self.assertEqual(self.streams, [40, 40])
        self.assertGreater(len(self.answers), 2 * CALLERS)
        self.assertEqual(set(self.answers), {200})

    async def read_stream(self, number):
        stream = await self.open_stream(number, self.keys.archive)
        content = b"".join([chunk async for chunk in stream.chunks()])
        self.streams.append(content.count(b"chunk"))
        await stream.aclose()

    async def call_until_told(self, number):
        """Sends requests until an answer says that the connection closes."""
        caller = self.caller(number, self.keys.archive)
        while True:
            answer = await caller.send("GET", "/records/7")
            self.answers.append(answer.status)
            if (b"connection", b"close") in answer.headers:
                await caller.aclose()
                return


class LastRequests(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_of_which_a_part_has_come_is_served(self):
        async def answer(scope, receive, send):
            start = {"type": "http.response.start", "status": 204}
            await send({**start, "headers": []})
            await send({"type": "http.response.body", "body": b""})

        port = self.free_port()
        server = HttpServer(answer, Address(ip="127.0.0.1", port=port))
        running = asyncio.create_task(server.run_until_stopped())
        while not server.started:
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        # Another connection is idle after its answer; this one is closed.
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
