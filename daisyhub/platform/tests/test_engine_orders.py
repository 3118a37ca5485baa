"""What the answers of engines say about orders."""

import unittest

from daisyhub.connections import HttpClient
from daisyhub.logs import DecisionLog
from daisyhub.platform._engines import PlatformEngineClient
from daisyhub.testing.scripted_server import ScriptedServer, make_response
from daisyhub.weights import LoadMode, OrderOutcome, VersionOrder

NOT_RUN = "daisyhub-not-executed: 1\r\n"
ORDER = VersionOrder(
    endpoint_id="i-1",
    model="m",
    version=2,
    mode=LoadMode.FINISH,
    holder="d",
    fencing=4,
    orders_taken=1,
)


class EngineOrdersTest(unittest.IsolatedAsyncioTestCase):
    async def order(self, reply):
        server = ScriptedServer(reply)
        await server.start()
        self.addAsyncCleanup(server.stop)
        http = HttpClient(connect_timeout_s=1.0, idle_s=1.0)
        self.addAsyncCleanup(http.aclose)
        client = PlatformEngineClient(
            http, DecisionLog("d", write=lambda _: True)
        )
        return (await client.order(server.address, ORDER, lambda: True)).outcome

    async def test_an_order_without_a_statement_of_the_engine_is_unknown(self):
        """A bare 503 counted as a refusal of an order that may be accepted."""
        for reply in (
            make_response(503),
            make_response(429),
            make_response(500),
            [make_response(503, fields=NOT_RUN, body=b"12")[:-1]],
            None,
        ):
            with self.subTest(reply):
                outcome = await self.order(reply)
                self.assertIs(outcome, OrderOutcome.UNKNOWN)

    async def test_an_order_that_the_engine_states_as_not_run_is_refused(self):
        for status in (429, 503):
            with self.subTest(status):
                reply = make_response(status, fields=NOT_RUN)
                outcome = await self.order(reply)
                self.assertIs(outcome, OrderOutcome.REFUSED)

    async def test_statuses_that_the_interface_defines(self):
        for status, expected in (
            (200, OrderOutcome.ALREADY_LOADED),
            (202, OrderOutcome.ACCEPTED),
            (400, OrderOutcome.REFUSED),
            (409, OrderOutcome.CONFLICT),
            (412, OrderOutcome.STALE_FENCING),
            (421, OrderOutcome.OTHER_ENDPOINT),
        ):
            with self.subTest(status):
                outcome = await self.order(make_response(status))
                self.assertIs(outcome, expected)
