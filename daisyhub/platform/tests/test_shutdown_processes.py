"""A daemon that is stopped answers all that it has taken, as a process."""

import asyncio
import json
import signal
import unittest

from daisyhub.testing.fleet import KEY, Fleet

# Short, and longer than the time for which a leaving daemon takes requests.
GRACE_S = 3.0


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """One daemon, and a server that answers after the daemon has ended."""

    async def asyncSetUp(self):
        self.fleet = Fleet(
            daemons=1, servers=1, event_s=30.0, settings={"grace_s": GRACE_S}
        )
        self.addCleanup(self.fleet.stop)
        await self.fleet.start()

    async def connect(self):
        address = self.fleet.address("edge-0/front")
        self.reader, writer = await asyncio.open_connection(
            address.ip, address.port
        )
        self.addCleanup(writer.close)
        return writer

    def stop_daemon(self):
        self.process = self.fleet.processes["edge-0"]
        self.process.send_signal(signal.SIGTERM)

    def request(self, path):
        return (
            f"POST {path} HTTP/1.1\r\nhost: a.example\r\napi-key: {KEY}\r\n"
            f"daisyhub-request-id: r{path.replace('/', '-')}\r\n"
            f"content-length: 1\r\n\r\nx"
        ).encode()

    async def read_response(self):
        """Returns the status and the whole rest of the connection."""
        async with asyncio.timeout(20):
            data = await self.reader.read()
        self.assertTrue(data, "the connection ended without a response")
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), head.lower(), body

    async def test_an_open_request_is_answered_before_the_daemon_ends(self):
        for path in ("/writes/1", "/records/1"):
            with self.subTest(path):
                writer = await self.connect()
                self.stop_daemon()
                await asyncio.sleep(1.0)
                writer.write(self.request(path))
                status, _, body = await self.read_response()
                self.assertEqual(status, 504)
                self.assertEqual(json.loads(body)["code"], "endpoint_timeout")
                await asyncio.to_thread(self.process.wait, 20)
                self.assertEqual(self.process.returncode, 0)
                self.fleet.start_daemon("edge-0")
                await self.fleet.wait_until_ready("edge-0")

    async def test_what_would_outlast_the_daemon_is_refused_at_once(self):
        writer = await self.connect()
        self.stop_daemon()
        await asyncio.sleep(0.5)
        writer.write(self.request("/chat/1"))
        status, head, body = await self.read_response()
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["code"], "shutting_down")
        self.assertIn(b"retry-after: 0.05", head)
        self.assertIsNone(self.process.poll())
        ran = await self.fleet._get(self.fleet.ports["i-0"], "/admin/ran")
        self.assertEqual(json.loads(ran.body), [])


if __name__ == "__main__":
    unittest.main()
