"""Calls to engines that become leaving while they wait for a connection."""

import types
import unittest
from unittest import mock

from daisyhub.balancing import EndpointTable, EndpointUpdate, LeastLoaded
from daisyhub.connections import HttpClient
from daisyhub.controllers._lot_engines import LotEngines
from daisyhub.controllers._weights import WeightController
from daisyhub.hosting import EndpointRecord
from daisyhub.rollouts import Generate, LotSpec, OrderFailed, SendOrder
from daisyhub.settings import TimingSettings
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

        class LearnsWhileConnecting(HttpClient):
            async def _acquire(self, *args):
                conn = await super()._acquire(*args)
                table.apply_update(
                    EndpointUpdate(
                        endpoint_id="e", incarnation=1, is_leaving=True
                    )
                )
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
