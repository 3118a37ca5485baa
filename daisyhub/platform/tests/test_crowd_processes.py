"""Crowds of clients that ignore the limits, at the platform's daemon."""

import base64
import itertools
import json

from daisyhub.serving.tests.crowd_cases import (
    BODY_BYTES,
    CHUNK_BYTES,
    CONNECTION_IDLE_S,
    HEAD_TIMEOUT_S,
    HEADER_BYTES,
    IDLE_TIMEOUT_S,
    MEMORY_MB,
    SOCKETS,
    CrowdTests,
    split,
)
from daisyhub.testing.fleet import KEY, Fleet
from daisyhub.testing.fleet_documents import build_lot

DAEMON = "edge-0"
# Lots of such a crowd, and items of each.
LOTS = 60
LOT_ITEMS = 64
MANY_ITEMS_LOTS = 4
# Descriptors that the platform keeps for files; the others are for sockets.
_FILE_DESCRIPTORS = 200


class FleetCrowdTest(CrowdTests):
    """One daemon in front of one server."""

    key = KEY.encode()

    async def start(self):
        self.fleet = Fleet(
            daemons=1,
            servers=1,
            settings={
                "memory_mb": MEMORY_MB,
                "connection_idle_s": CONNECTION_IDLE_S,
                "descriptors": SOCKETS + _FILE_DESCRIPTORS,
            },
        )
        self.fleet.limits = {
            "max-header-bytes": HEADER_BYTES,
            "max-body-bytes": BODY_BYTES,
            "header-timeout-ms": int(HEAD_TIMEOUT_S * 1000),
            "idle-timeout-ms": int(IDLE_TIMEOUT_S * 1000),
        }
        self.addCleanup(self.fleet.stop)
        await self.fleet.start()
        self.process = self.fleet.processes[DAEMON]
        self.pid = self.process.pid
        self.listener = self.fleet.address(f"{DAEMON}/front")
        self.operators_listener = self.fleet.address(f"{DAEMON}/metrics")
        self.peers_listener = self.fleet.address(f"{DAEMON}/peer")

    def is_alive(self):
        return self.process.poll() is None

    async def ask(self, body=b""):
        resp = await self.fleet.call(DAEMON, "POST", "/records/1", body=body)
        return resp.status

    def head(self, *, has_body=True, path=b"/records/1"):
        lines = [
            b"%s %s HTTP/1.1" % (b"POST" if has_body else b"GET", path),
            b"Host: a.example",
            b"Api-Key: " + self.key,
            b"Daisyhub-Request-Id: crowd",
            b"Daisyhub-Deadline-Ms: 4000",
        ]
        return b"\r\n".join(lines) + b"\r\n"

    async def test_large_lots_that_stop_short_of_their_end(self):
        head = self.head(path=b"/gen/lot")
        head += b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        piece = b"a" * (BODY_BYTES // 64 - 1)
        await self.check_bodies(
            lambda _: itertools.chain([head], itertools.repeat(piece, 64))
        )

    async def test_large_lots(self):
        """Items of lots that were accepted stayed in memory, all of them."""
        item = build_lot("", groups=1)["items"][0]
        padding = base64.b64encode(b"a" * (BODY_BYTES // LOT_ITEMS // 4 * 2))

        def make_lot(number):
            items = [
                {**item, "id": f"{number}-{n}", "body": padding.decode()}
                for n in range(LOT_ITEMS)
            ]
            lot = json.dumps({**build_lot("", groups=0), "items": items})
            return lot.encode()

        for number in range(LOTS):
            body = make_lot(number)
            resp = await self.fleet.call(
                DAEMON, "POST", "/gen/lot", request_id=f"l{number}", body=body
            )
            self.assertEqual(resp.status, 202)
            self.check_memory()
        await self.check()

    async def test_lots_of_many_items(self):
        """One lot of small items took many times its size."""
        item = b'{"id":"%d","path":"","headers":{},"body":""},'
        count = BODY_BYTES // 52
        items = b"".join(item % n for n in range(count))
        lot = b'{"items":[%s]}' % items[:-1]
        self.assertLess(len(lot), BODY_BYTES)
        head = self.head(path=b"/gen/lot")
        head += b"Content-Length: %d\r\n\r\n" % len(lot)
        crowd = await self.crowd(
            lambda _: split(head + lot, CHUNK_BYTES), MANY_ITEMS_LOTS
        )
        await crowd.wait_until_still()
        await self.check()

    async def test_headers_without_end_at_the_readiness_check(self):
        await self.check_endless(
            b"GET /v1/readiness HTTP/1.1\r\n",
            b"X-A: b\r\n",
            listener=self.fleet.address(f"{DAEMON}/ready"),
        )

    async def test_idle_connections_at_the_readiness_check(self):
        await self.check_idle(self.fleet.address(f"{DAEMON}/ready"))

    async def test_idle_connections_at_the_relay(self):
        await self.check_idle(self.fleet.address(f"{DAEMON}/relay"))

    async def test_large_bodies_at_the_relay(self):
        head = b"POST /relay HTTP/1.1\r\nHost: a\r\n"
        short = head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        short += b"a" * (BODY_BYTES - 1)
        await self.check_bodies(
            lambda _: split(short, CHUNK_BYTES),
            listener=self.fleet.address(f"{DAEMON}/relay"),
        )


del CrowdTests
