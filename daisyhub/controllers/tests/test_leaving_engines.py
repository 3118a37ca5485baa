"""Calls to engines that become leaving while they wait for a connection."""

import time
import types
import unittest
from unittest import mock

from daisyhub.balancing import EndpointTable, EndpointUpdate, LeastLoaded
from daisyhub.config import Route
from daisyhub.connections import HttpClient
from daisyhub.controllers._lot_engines import LotEngines
from daisyhub.controllers._weights import WeightController
from daisyhub.exceptions import ExecutionStatus, Refusal
from daisyhub.filters import ForwardFilter
from daisyhub.hosting import EndpointRecord
from daisyhub.messages import Request
from daisyhub.metrics import Metrics
from daisyhub.rollouts import Generate, LotSpec, OrderFailed, SendOrder
from daisyhub.settings import LimitSettings, TimingSettings
from daisyhub.testing.scripted_server import ScriptedServer, make_response

SPEC = LotSpec(
    lot_id="l",
    lot_class="c",
    account="a",
    pool="p",
    prompts=("x",),
    group_size=1,
    max_staleness=1,
    max_tokens=1,
    concurrency=1,
)


class LeavingEnginesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        """Lists one engine, which is leaving once a connection is open."""
        self.server = ScriptedServer(make_response(200, body=b"{}"))
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        table = self.table = EndpointTable()
        address = self.server.address
        record = EndpointRecord(
            endpoint_id="e", pool="p", ip=address.ip, port=address.port
        )
        table.apply_list([record])

        self.learn = lambda: table.apply_update(
            EndpointUpdate(endpoint_id="e", incarnation=1, is_leaving=True)
        )
        test = self

        class LearnsWhileConnecting(HttpClient):
            async def _acquire(self, *args):
                conn = await super()._acquire(*args)
                test.learn()
                return conn

        self.http = LearnsWhileConnecting(connect_timeout_s=1.0, idle_s=1.0)
        self.addAsyncCleanup(self.http.aclose)

    async def test_a_generation_request_is_not_sent(self):
        """The request was sent to an engine known to be leaving."""
        engines = LotEngines(SPEC, self.table, LeastLoaded(), self.http)
        response = await engines.generate(Generate(1, 0, 0))
        self.assertIsNone(response)
        self.assertEqual(self.server.requests, [])
        state = self.table.get("e")
        self.assertEqual(
            (state.own_requests, state.health(0.0)), (0, "leaving")
        )

    async def test_an_order_to_load_weights_is_not_sent(self):
        """The order was sent to an engine known to be leaving."""
        lease = types.SimpleNamespace(fencing_with_margin=lambda _: 1)
        controller = WeightController(
            types.SimpleNamespace(failure_domain="d", timing=TimingSettings()),
            mock.Mock(new_duty_lease=lambda _: lease),
            self.http,
            self.table,
            None,
        )
        for _ in range(2):
            outcome = await controller._send(SendOrder(1, "e", "p", 2, 0.0))
            self.assertEqual(outcome, OrderFailed(1))
        self.assertEqual(self.server.requests, [])

    async def forward(self, **route):
        """Forwards a request; returns what its refusal says."""
        forward = ForwardFilter(
            self.table, LeastLoaded(), self.http, LimitSettings(), Metrics()
        )
        now_s = time.monotonic()
        req = Request(
            request_id="r",
            method="GET",
            path="/x",
            query="",
            host="h",
            headers=(),
            read_body=None,
            started_s=now_s,
            deadline_s=now_s + 10.0,
            route=Route(path_prefix="/", pool="p", **route),
        )
        with self.assertRaises(Refusal) as caught:
            await forward.handle(req, None)
        return caught.exception.ran

    async def test_a_forwarded_request_is_not_sent(self):
        ran = await self.forward()
        self.assertEqual(self.server.requests, [])
        self.assertIs(ran, ExecutionStatus.NOT_RUN)

    async def test_a_streamed_request_is_not_sent(self):
        ran = await self.forward(answer="stream")
        self.assertEqual(self.server.requests, [])
        self.assertIs(ran, ExecutionStatus.NOT_RUN)

    async def test_a_request_is_not_sent_to_another_start(self):
        """The restarted process at the address got the old one's request."""
        address = self.server.address
        restarted = EndpointRecord(
            endpoint_id="e",
            pool="p",
            ip=address.ip,
            port=address.port,
            incarnation=2,
        )
        self.learn = lambda: self.table.apply_list([restarted])
        engines = LotEngines(SPEC, self.table, LeastLoaded(), self.http)
        self.assertIsNone(await engines.generate(Generate(1, 0, 0)))
        self.assertEqual(self.server.requests, [])
