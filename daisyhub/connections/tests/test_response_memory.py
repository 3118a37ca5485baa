"""The memory of buffered responses, from the first byte to the last use."""

import unittest
from unittest import mock

import anyio

from daisyhub import memory
from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.memory import MemoryBudget
from daisyhub.testing.scripted_server import ScriptedServer, make_response

MB = 1_000_000
# Leaves 36 MB for claims, and 27 MB for large ones.
MEMORY_MB = 154
# Enough for any response on a slow machine.
PATIENT_S = 30.0
POLL_INTERVAL_S = 0.01


def head_of(size):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size


class ResponseMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.budget = MemoryBudget(MEMORY_MB)
        self.http = HttpClient(
            connect_timeout_s=PATIENT_S, idle_s=PATIENT_S, memory=self.budget
        )
        self.addAsyncCleanup(self.http.aclose)

    async def start_server(self, reply):
        server = ScriptedServer(reply)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    async def get(self, server):
        return await self.http.request(
            "GET", server.address, "/", timeout_s=PATIENT_S
        )

    async def wait_until_held(self, size):
        with anyio.fail_after(PATIENT_S):
            while self.budget.held < size:
                await anyio.sleep(POLL_INTERVAL_S)

    async def test_a_response_counts_while_it_is_referred_to(self):
        """Responses counted only while they were read."""
        server = await self.start_server(make_response(200, body=b"a" * 4 * MB))
        resp = await self.get(server)
        self.assertGreater(self.budget.held, 3.9 * MB)
        self.assertLess(self.budget.held, 4.1 * MB)
        self.assertEqual(len(resp.body), 4 * MB)
        del resp
        self.assertEqual(self.budget.held, 0)

    async def test_a_small_response_needs_no_lease(self):
        server = await self.start_server(make_response(200, body=b"a" * 800))
        resp = await self.get(server)
        self.assertIsNone(resp.lease)

    async def test_large_responses_wait_for_each_other(self):
        """All but those that fitted at once were dropped."""
        server = await self.start_server(make_response(200, body=b"a" * 8 * MB))
        sizes = []

        async def get():
            sizes.append(len((await self.get(server)).body))

        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(get)
        self.assertEqual(sizes, [8 * MB] * 10)
        self.assertEqual(self.budget.held, 0)

    async def test_a_response_does_not_wait_while_nothing_is_released(self):
        server = await self.start_server(make_response(200, body=b"a" * 8 * MB))
        lease = self.budget.hold(24 * MB)
        with (
            mock.patch.object(memory, "_MAX_WAIT_S", 0.05),
            self.assertRaises(RequestFailedError) as caught,
        ):
            await self.get(server)
        self.assertEqual(caught.exception.code, "no_room")
        lease.release()
        self.assertEqual(len((await self.get(server)).body), 8 * MB)

    async def test_small_releases_do_not_prolong_the_wait(self):
        """Ordinary bodies kept responses waiting for what never ends."""
        server = await self.start_server(make_response(200, body=b"a" * 8 * MB))
        stalled = self.budget.open(lambda: None)
        stalled.add(24 * MB)
        served = anyio.Event()

        async def release_small():
            while not served.is_set():
                small = self.budget.open(lambda: None)
                small.add(100_000)
                await anyio.sleep(POLL_INTERVAL_S)
                small.release()

        with mock.patch.object(memory, "_MAX_WAIT_S", 0.1):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(release_small)
                with anyio.fail_after(PATIENT_S / 2):
                    resp = await self.get(server)
                served.set()
        self.assertEqual(len(resp.body), 8 * MB)
        self.assertTrue(stalled.is_evicted)

    async def test_a_response_that_is_cancelled_waits_no_longer(self):
        server = await self.start_server(make_response(200, body=b"a" * 8 * MB))
        lease = self.budget.hold(24 * MB)
        with anyio.move_on_after(0.3):
            await self.get(server)
        lease.release()
        self.assertEqual(self.budget.held, 0)
        self.assertEqual(len((await self.get(server)).body), 8 * MB)

    async def test_an_evicted_response_ends_though_its_server_is_silent(self):
        """An evicted response was held until its server sent more."""
        short = head_of(8 * MB) + b"a" * (6 * MB)
        silent = await self.start_server(short)
        ended = anyio.Event()

        async def get_silent():
            with self.assertRaises(RequestFailedError) as caught:
                await self.get(silent)
            self.assertEqual(caught.exception.code, "no_room")
            ended.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(get_silent)
            await self.wait_until_held(7.9 * MB)
            large = self.budget.open(lambda: None)
            large.add(20 * MB)
            with anyio.fail_after(PATIENT_S / 2):
                await ended.wait()
        self.assertFalse(large.is_evicted)
        large.release()
        self.assertEqual(self.budget.held, 0)


if __name__ == "__main__":
    unittest.main()
