"""What waited while its endpoint's entry was removed isn't sent there."""

import time
import unittest

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    LocalPermits,
)
from daisyhub.catalog import PoolShare, Route, RouteKind
from daisyhub.cluster import RunOrder
from daisyhub.connections import HttpClient
from daisyhub.exceptions import Refusal
from daisyhub.gateway import Sender, SendTask
from daisyhub.logs import DecisionLog
from daisyhub.lots import ItemRunner
from daisyhub.metrics import Metrics
from daisyhub.platform._lots_json import PlatformLotWire
from daisyhub.platform._wire import PlatformEndpointWire
from daisyhub.testing.scripted_server import ScriptedServer, make_response


class LosesEntry(HttpClient):
    """Removes an endpoint's entry while a connection is opened."""

    directory: EndpointDirectory

    def _lose_entry(self):
        self.directory.remove("i-1", time.monotonic(), is_store_stable=True)

    async def request(self, *args, **kwargs):
        self._lose_entry()
        return await super().request(*args, **kwargs)

    async def open(self, *args, **kwargs):
        self._lose_entry()
        return await super().open(*args, **kwargs)


class GoneEndpointsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = ScriptedServer(make_response(200))
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.directory = EndpointDirectory(lambda _: 0.5)
        self.directory.upsert(
            EndpointEntry(
                endpoint_id="i-1",
                pool="p",
                address=self.server.address,
                domain="d",
                incarnation=1,
                software="v1",
            )
        )
        self.http = LosesEntry(connect_timeout_s=1.0, idle_s=30.0)
        self.http.directory = self.directory
        self.addAsyncCleanup(self.http.aclose)

    async def send(self, kind):
        sender = Sender(
            self.directory,
            self.http,
            PlatformEndpointWire(),
            Metrics(),
            DecisionLog("d", write=lambda _: True),
        )
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=kind,
            shares=(PoolShare("p", 1.0),),
            timeout_s=5.0,
            target_latency_s=5.0,
            max_attempts=2,
        )
        task = SendTask(
            request_id="q",
            route=route,
            method="POST",
            target="/x",
            host="h",
            body=b"b",
            deadline_s=time.monotonic() + 5.0,
            is_streamed=kind is RouteKind.STREAMING,
        )
        await sender.send(task)

    async def test_a_request_that_waited_is_refused_as_not_run(self):
        for kind in (RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAMING):
            with self.subTest(kind.value):
                await self.asyncSetUp()
                with self.assertRaises(Refusal) as caught:
                    await self.send(kind)
                self.assertEqual(caught.exception.ran.value, "not_run")
                self.assertEqual(self.server.requests, [])

    async def test_an_item_that_waited_is_given_back_to_the_holder(self):
        runner = ItemRunner(
            self.directory,
            self.http,
            PlatformEndpointWire(),
            PlatformLotWire(),
            LocalPermits(),
        )
        order = RunOrder(
            task_id=1,
            endpoint_id="i-1",
            software="v1",
            resume_after=0,
            remaining_s=5.0,
            item_id="a",
            host="h",
            account="t",
            path="/p",
            headers={},
            body=b"b",
        )
        end = await runner.run(order, lambda _: None)
        self.assertEqual(end.fault, "elsewhere")
        self.assertEqual(self.server.requests, [])


if __name__ == "__main__":
    unittest.main()
