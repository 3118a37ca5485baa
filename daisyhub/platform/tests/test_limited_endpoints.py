"""Requests to endpoints that state a limit in their responses."""

import math
import time
import unittest

from daisyhub.balancing import EndpointDirectory, EndpointEntry, LocalPermits
from daisyhub.cluster import RunOrder
from daisyhub.connections import HttpClient
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import Sender
from daisyhub.logs import DecisionLog
from daisyhub.lots import ItemRunner
from daisyhub.metrics import Metrics
from daisyhub.platform._lots_json import PlatformLotWire
from daisyhub.platform._wire import PlatformEndpointWire
from daisyhub.testing.scripted_server import ScriptedServer, make_response
from daisyhub.testing.send_tasks import make_send_task


class StatedLimitTest(unittest.TestCase):
    def stated(self, *values, status=200):
        headers = tuple((b"server-limit", value) for value in values)
        head = PlatformEndpointWire().read_response_head(status, headers)
        return head.rate_limit

    def test_decimal_numbers_are_limits(self):
        for value, expected in (
            (b"1.2", 1.2),
            (b" 12 ", 12.0),
            (b"0", 0.0),
            (b"0.25", 0.25),
            (b"007", 7.0),
        ):
            self.assertEqual(self.stated(value), expected)

    def test_other_values_say_nothing(self):
        for value in (
            b"",
            b"-1",
            b"+1",
            b"nan",
            b"inf",
            b"1e9",
            b"1.",
            b".5",
            b"1,5",
            b"1 2",
            b"0x1",
            b"none",
            b"1" * 400,
        ):
            self.assertIsNone(self.stated(value), value)

    def test_a_response_without_the_header_states_no_limit(self):
        self.assertEqual(self.stated(), math.inf)
        self.assertEqual(self.stated(status=503), math.inf)

    def test_of_several_headers_the_lowest_valid_value_holds(self):
        self.assertEqual(self.stated(b"3", b"2"), 2.0)
        self.assertEqual(self.stated(b"-1", b"2"), 2.0)
        self.assertIsNone(self.stated(b"-1", b"x"))

    def test_another_endpoint_says_nothing_about_this_one(self):
        self.assertIsNone(self.stated(b"1", status=421))
        self.assertIsNone(self.stated(status=421))


class LimitedEndpointsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.http = HttpClient(connect_timeout_s=2.0, idle_s=30.0)
        self.addAsyncCleanup(self.http.aclose)
        # Of equal endpoints, "a" is chosen.
        self.directory = EndpointDirectory(ord)
        self.permits = LocalPermits()
        self.lines = []
        self.wire = PlatformEndpointWire()
        self.sender = Sender(
            self.directory,
            self.http,
            self.wire,
            Metrics(),
            DecisionLog("d", write=lambda line: not self.lines.append(line)),
            self.permits,
        )

    async def add_endpoint(self, name, limit, slots=4):
        fields = "" if limit is None else f"Server-Limit: {limit}\r\n"
        server = ScriptedServer(make_response(200, fields=fields))
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.directory.upsert(
            EndpointEntry(
                endpoint_id=name,
                pool="p",
                address=server.address,
                slots=slots,
                domain="d",
                incarnation=1,
            )
        )
        return server

    async def send(self, **fields):
        return await self.sender.send(make_send_task(**fields))

    async def test_what_exceeds_the_limit_goes_to_another_endpoint(self):
        limited = await self.add_endpoint("a", 0.001)
        other = await self.add_endpoint("b", None)
        for _ in range(9):
            self.assertEqual((await self.send()).status, 200)
        # One states the limit, one is had under it.
        self.assertLessEqual(len(limited.requests), 2)
        self.assertGreaterEqual(len(other.requests), 7)

    async def test_a_request_waits_for_room_that_comes_in_time(self):
        server = await self.add_endpoint("a", 20)
        for _ in range(12):
            self.assertEqual((await self.send()).status, 200)
        self.assertEqual(len(server.requests), 12)

    async def test_without_room_in_time_it_is_refused_with_the_time(self):
        server = await self.add_endpoint("a", 0.25)
        await self.send()
        await self.send()
        with self.assertRaises(Refusal) as refused:
            await self.send(deadline_in_s=2.0)
        refusal = refused.exception
        self.assertIs(refusal.error, ErrorCode.OVERLOADED)
        self.assertIs(refusal.ran, ExecutionStatus.NOT_RUN)
        # Room comes four seconds after the last request.
        self.assertGreater(refusal.retry_after_s, 2.0)
        self.assertLessEqual(refusal.retry_after_s, 4.0)
        self.assertEqual(len(server.requests), 2)

    async def test_patient_requests_do_not_queue_beside_a_limit(self):
        """Reward calls queued at the one endpoint that had no limit."""
        await self.add_endpoint("a", 0.001)
        await self.send()
        await self.send()
        busy = await self.add_endpoint("b", None, slots=2)
        self.directory.record_load("b", 2, time.monotonic())
        with self.assertRaises(Refusal):
            await self.send(deadline_in_s=2.0, is_background=True)
        self.assertEqual(busy.requests, [])
        self.assertEqual((await self.send()).status, 200)

    async def test_an_unlimited_request_is_withdrawn_if_a_limit_came(self):
        """It waits for a connection while another response states it."""
        server = await self.add_endpoint("a", 0.001)
        entry = self.directory.get("a").entry
        open_one = self.http._acquire

        async def acquire(*args):
            conn = await open_one(*args)
            self.permits.observe(entry, 0.001, time.monotonic())
            return conn

        self.http._acquire = acquire
        await self.send()
        # It was sent again, with the permit that the limit allows.
        self.assertEqual(len(server.requests), 1)

    async def test_an_item_without_room_is_not_run(self):
        server = await self.add_endpoint("a", 0.001)
        runner = ItemRunner(
            self.directory,
            self.http,
            self.wire,
            PlatformLotWire(),
            self.permits,
        )
        order = RunOrder(
            task_id=1,
            endpoint_id="a",
            resume_after=0,
            remaining_s=5.0,
            item_id="i",
            host="h",
            account="t",
            path="/gen/1",
            headers={},
            body=b"",
        )
        for _ in range(3):
            end = await runner.run(order, lambda _: None)
        self.assertEqual(end.fault, "not_run")
        self.assertGreater(end.retry_after_s, 1.0)
        self.assertEqual(len(server.requests), 2)
