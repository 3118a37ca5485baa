"""What a client may send, alone and in calm, is served within the memory."""

import base64
import unittest

import msgspec

from daisyhub.serving.tests.crowd_cases import ProcessUsage
from daisyhub.testing.fleet import KEY, Fleet
from daisyhub.testing.fleet_documents import build_lot

DAEMON = "edge-0"
MEMORY_MB = 300
HEADER_BYTES = 16384
BODY_BYTES = 1 << 25


class LegalSizesTest(unittest.IsolatedAsyncioTestCase):
    """One daemon with the memory and the limits of the users' deployments."""

    async def asyncSetUp(self):
        self.fleet = Fleet(
            daemons=1, servers=1, settings={"memory_mb": MEMORY_MB}
        )
        self.fleet.limits = {
            "max-header-bytes": HEADER_BYTES,
            "max-body-bytes": BODY_BYTES,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        self.addCleanup(self.fleet.stop)
        await self.fleet.start()

    async def call(self, path, **fields):
        response = await self.fleet.call(DAEMON, "POST", path, **fields)
        return response.status

    def check_memory(self):
        usage = ProcessUsage(self.fleet.processes[DAEMON].pid)
        self.assertLessEqual(usage.peak_bytes(), MEMORY_MB * 1_000_000)

    async def test_the_largest_head_is_served(self):
        known = (
            ("host", "a.example"),
            ("daisyhub-request-id", "q"),
            ("daisyhub-deadline-ms", "4000"),
            ("api-key", KEY),
            ("content-length", "0"),
        )
        size = sum(len(name) + len(value) for name, value in known)
        value = b"v" * (HEADER_BYTES - size - len("x-fill"))
        status = await self.call("/records/1", headers=((b"x-fill", value),))
        self.assertEqual(status, 200)
        value += b"v"
        status = await self.call("/records/1", headers=((b"x-fill", value),))
        self.assertEqual(status, 431)

    async def test_the_largest_body_is_served(self):
        body = b"b" * BODY_BYTES
        self.assertEqual(await self.call("/records/1", body=body), 200)
        self.check_memory()
        status = await self.call("/records/1", body=body + b"b")
        self.assertEqual(status, 413)

    async def test_the_largest_lot_is_accepted(self):
        lot = build_lot("big", groups=4)
        rest = BODY_BYTES - len(msgspec.json.encode(lot))
        size = rest // len(lot["items"]) // 4 * 3
        for item in lot["items"]:
            item["body"] = base64.b64encode(b"p" * size).decode()
        body = msgspec.json.encode(lot)
        self.assertGreater(len(body), 0.99 * BODY_BYTES)
        status = await self.call("/gen/lot", request_id="big", body=body)
        self.assertEqual(status, 202)
        self.check_memory()
