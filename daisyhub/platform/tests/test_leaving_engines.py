"""Engines that announce their leaving get no orders and no loads."""

import dataclasses
import types
import unittest

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    LocalPermits,
)
from daisyhub.connections import HttpClient
from daisyhub.logs import DecisionLog
from daisyhub.platform._engines import PlatformEngineClient
from daisyhub.testing.scripted_server import ScriptedServer, make_response
from daisyhub.weights import (
    FetchReport,
    LoadMode,
    OrderAnswered,
    OrderOutcome,
    ReportFailed,
    SendOrder,
    WeightLoadController,
)

LEAVING = "Server-Leaving: 1\r\n"
REPORT = b'{"models":[{"name":"m","version":1}],"sequence":1%s}'
LOG = DecisionLog("d", write=lambda _: True)
INCARNATION = 7
ORDER = SendOrder("i-1", "m", 2, LoadMode.FINISH, 1)
FETCH = FetchReport("i-1")


class RecordingCore:
    """Records the events that the controller sends to a core."""

    def __init__(self):
        self.events = []

    def handle(self, event, now_s):
        self.events.append(event)
        return []


class LeavingEnginesTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, *replies, client_class=HttpClient):
        """Starts an engine with these replies and a controller for it."""
        self.server = ScriptedServer(*replies)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        http = client_class(connect_timeout_s=1.0, idle_s=1.0)
        self.addAsyncCleanup(http.aclose)
        self.calls = []
        self.directory = EndpointDirectory(
            lambda _: 0.5, on_leaving=lambda _, call: self.calls.append(call)
        )
        self.list_engine()
        self.core = RecordingCore()
        self.controller = WeightLoadController(
            types.SimpleNamespace(fencing=3, step_down=lambda _: None),
            "d",
            None,
            None,
            PlatformEngineClient(http, LOG),
            self.directory,
            None,
            lambda _: 0,
            dict,
            0.5,
            LocalPermits(),
            LOG,
        )

    def list_engine(self):
        self.directory.upsert(
            EndpointEntry(
                endpoint_id="i-1",
                pool="p",
                address=self.server.address,
                domain="d",
                incarnation=INCARNATION,
                versions={"m": 1},
            )
        )

    async def order(self):
        await self.controller._send_order(self.core, ORDER)
        return self.core.events[-1]

    async def fetch(self):
        await self.controller._fetch_report(self.core, FETCH)
        return self.core.events[-1]

    async def test_an_engine_that_announced_it_gets_no_order(self):
        """An engine that had announced its leaving was ordered to load."""
        for status in (200, 202, 409, 412, 503):
            with self.subTest(status):
                await self.serve(make_response(status, fields=LEAVING))
                await self.order()
                self.assertEqual(self.calls, ["order"])
                self.list_engine()
                refused = OrderAnswered("i-1", OrderOutcome.REFUSED)
                self.assertEqual(await self.order(), refused)
                self.assertEqual(await self.fetch(), ReportFailed("i-1"))
                self.assertEqual(len(self.server.requests), 1)

    async def test_a_response_of_another_engine_to_an_order_says_nothing(self):
        await self.serve(make_response(421, fields=LEAVING))
        await self.order()
        self.assertEqual(self.calls, [])

    async def test_reports_announce_it(self):
        for status, born in ((200, b""), (200, b',"born":7'), (503, b"")):
            with self.subTest(f"{status} {born}"):
                body = REPORT % born
                await self.serve(
                    make_response(status, fields=LEAVING, body=body)
                )
                await self.fetch()
                self.assertEqual(self.calls, ["report"])

    async def test_a_report_of_another_process_says_nothing(self):
        for reply in (
            make_response(200, fields=LEAVING, body=REPORT % b',"born":8'),
            make_response(200, body=REPORT % b',"born":7'),
            [make_response(200, fields=LEAVING, body=REPORT % b"")[:-1]],
            None,
        ):
            with self.subTest(reply):
                await self.serve(reply)
                await self.fetch()
                self.assertEqual(self.calls, [])

    async def test_calls_that_wait_for_a_connection_are_not_sent(self):
        """A call that waited while the announcement came was sent."""
        directory = None

        class LearnsWhileConnecting(HttpClient):
            async def _acquire(self, *args):
                conn = await super()._acquire(*args)
                entry = directory.get("i-1").entry
                directory.mark_leaving(entry.process, 0.0)
                return conn

        for call, answer in (
            (self.order, OrderAnswered("i-1", OrderOutcome.REFUSED)),
            (self.fetch, ReportFailed("i-1")),
        ):
            with self.subTest(call.__name__):
                await self.serve(
                    make_response(200, body=REPORT % b""),
                    client_class=LearnsWhileConnecting,
                )
                directory = self.directory
                self.assertEqual(await call(), answer)
                self.assertEqual(self.server.requests, [])

    async def test_replaced_engines_are_forgotten(self):
        """The model of each engine that ever existed was kept."""
        await self.serve(make_response(200))
        directory = self.directory
        entry = directory.get("i-1").entry
        for number in range(2, 20):
            for endpoint_id in (f"i-{number}", f"i-{number + 1}"):
                directory.upsert(
                    dataclasses.replace(entry, endpoint_id=endpoint_id)
                )
            old = directory.get(f"i-{number - 1}").entry
            directory.mark_leaving(old.process, 0.0)
            self.assign_models()
            self.assertIn(f"i-{number}", self.controller.status()["serves"])
            directory.remove(old.endpoint_id, 0.0, is_store_stable=True)
        self.assign_models()
        self.assertEqual(
            sorted(self.controller.status()["serves"]), ["i-19", "i-20"]
        )

    def assign_models(self):
        self.controller._assign_models(self.directory.in_pools(["p"]))
