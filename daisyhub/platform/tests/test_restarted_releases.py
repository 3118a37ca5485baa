"""Text goes on only at a process that is known to be of its release.

A daemon that is cut off or stood still takes a process for that of its last
entry. If it started again under its id with another software version, a stream
that the daemon took up went on there, with pieces of two releases (ORDER).
"""

import re
import time
import unittest
from unittest import mock

import msgspec

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    LocalPermits,
)
from daisyhub.balancing import _process_check as process_check
from daisyhub.catalog import PoolShare, Route, RouteKind
from daisyhub.cluster import RunOrder
from daisyhub.connections import HttpClient
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import Sender, SendTask
from daisyhub.logs import DecisionLog
from daisyhub.lots import ItemRunner
from daisyhub.messages import Resumption
from daisyhub.metrics import Metrics
from daisyhub.platform._engines import PlatformEngineClient
from daisyhub.platform._lots_json import PlatformLotWire
from daisyhub.platform._process_check import PlatformProcessCheck
from daisyhub.platform._servers import SERVERS_KIND
from daisyhub.platform._wire import PlatformEndpointWire
from daisyhub.testing.object_store import Fault, MemoryStore
from daisyhub.testing.scripted_server import ScriptedServer, make_response

LOG = DecisionLog("d", write=lambda _: True)
REPORT = re.compile(rb"GET /v1/report ")
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.STREAMING,
    shares=(PoolShare("p", 1.0),),
    timeout_s=5.0,
    target_latency_s=0.2,
    max_attempts=3,
    is_resumable=True,
)


class Server(ScriptedServer):
    """A server that reports its start; all else gets a stream's bytes.

    Attributes:
        born: Its start; None if it has no report.
    """

    def __init__(self, born):
        super().__init__(make_response(200, body=b"x"))
        self.born = born

    def next_reply(self, head):
        """Returns the reply to a request."""
        if not REPORT.match(head):
            return make_response(200, body=b"x")
        if self.born is None:
            return make_response(404)
        return make_response(
            200, body=msgspec.json.encode({"models": [], "born": self.born})
        )

    @property
    def served(self):
        """The number of requests for text."""
        return sum(not REPORT.match(head) for head in self.requests)


class RestartedReleaseTest(unittest.IsolatedAsyncioTestCase):
    """A daemon whose entries are older than the processes that listen."""

    async def asyncSetUp(self):
        self.http = HttpClient(connect_timeout_s=2.0, idle_s=30.0)
        self.addAsyncCleanup(self.http.aclose)
        self.store = MemoryStore()
        self.directory = EndpointDirectory(lambda name: float(name[-1]))
        self.check = PlatformProcessCheck(
            PlatformEngineClient(self.http, LOG),
            self.store,
            self.directory.accepts,
            Metrics(),
            LOG,
        )
        self.sender = Sender(
            self.directory,
            self.http,
            PlatformEndpointWire(),
            Metrics(),
            LOG,
            processes=self.check,
        )

    async def add(self, name, software="v1", listed=1, born=1, models=True):
        """Adds a server whose entry states the start `listed`."""
        server = Server(born)
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.directory.upsert(
            EndpointEntry(
                endpoint_id=name,
                pool="p",
                address=server.address,
                domain="d",
                incarnation=listed,
                slots=4,
                software=software,
                versions={"m": 1} if models else {},
            )
        )
        return server

    async def store_entry(self, name, born):
        spec = {
            "service": "p",
            "address": "10.0.0.1:1",
            "zone": "d",
            "state": "ready",
            "version": "v2",
            "born": born,
        }
        await self.store.create(SERVERS_KIND, name, msgspec.json.encode(spec))

    async def send(self, request_id, resumes=None):
        resp = await self.sender.send(
            SendTask(
                request_id=request_id,
                route=ROUTE,
                method="POST",
                target="/",
                host="h",
                account="t",
                deadline_s=time.monotonic() + 5.0,
                is_streamed=True,
                resumption=Resumption(resumes, "2") if resumes else None,
            )
        )
        try:
            return b"".join([chunk async for chunk in resp.stream])
        finally:
            await resp.stream.aclose()

    async def assert_refused(self, *servers):
        """Checks that a stream isn't taken up, as not run."""
        before = [server.served for server in servers]
        with self.assertRaises(Refusal) as caught:
            await self.send("again", "first")
        self.assertIs(caught.exception.error, ErrorCode.NO_ENDPOINT)
        self.assertIs(caught.exception.ran, ExecutionStatus.NOT_RUN)
        self.assertEqual([server.served for server in servers], before)

    async def test_a_stream_is_not_taken_up_by_a_restarted_process(self):
        server = await self.add("i-0")
        await self.send("first")
        server.born = 2
        await self.assert_refused(server)

    async def test_a_stream_goes_on_at_another_process_of_its_release(self):
        server = await self.add("i-0")
        await self.send("first")
        server.born = 2
        other = await self.add("i-1")
        self.assertEqual(await self.send("again", "first"), b"x")
        self.assertEqual((server.served, other.served), (1, 1))

    async def test_a_stream_goes_on_at_the_process_that_began_it(self):
        server = await self.add("i-0")
        await self.send("first")
        self.assertEqual(await self.send("again", "first"), b"x")
        self.assertEqual(server.served, 2)

    async def test_new_streams_need_no_confirmation(self):
        server = await self.add("i-0")
        await self.send("first")
        self.assertEqual(len(server.requests), 1)

    async def test_servers_without_a_report_are_compared_with_the_store(self):
        for stored, is_served in ((1, True), (2, False), (None, False)):
            with self.subTest(stored):
                await self.asyncSetUp()
                server = await self.add("i-0", born=None, models=False)
                await self.send("first")
                if stored is not None:
                    await self.store_entry("i-0", stored)
                if is_served:
                    self.assertEqual(await self.send("again", "first"), b"x")
                else:
                    await self.assert_refused(server)

    async def test_nothing_is_confirmed_while_the_store_fails(self):
        server = await self.add("i-0", born=None)
        await self.send("first")
        await self.store_entry("i-0", 1)
        self.store.fail_next("read", *[Fault.REFUSED] * 20)
        await self.assert_refused(server)

    async def test_a_server_that_left_meanwhile_is_not_asked(self):
        """Its report was fetched seconds after its entry was removed."""
        server = await self.add("i-0")
        entry = self.directory.get("i-0").entry
        self.directory.remove("i-0", time.monotonic(), is_store_stable=True)
        self.assertIsNone(await self.check.confirm(entry))
        self.assertEqual(server.requests, [])

    async def test_endpoints_that_state_no_start_are_trusted(self):
        server = await self.add("i-0", listed=0, born=None)
        await self.send("first")
        self.assertEqual(await self.send("again", "first"), b"x")
        self.assertEqual(server.served, 2)

    async def test_a_daemon_that_stood_still_asks_again(self):
        """Its connection was open before the process was replaced."""
        server = await self.add("i-0")
        await self.send("first")
        clock = mock.Mock(side_effect=[100.0, 103.0, 103.0, 103.0])
        with mock.patch.object(process_check, "boot_time_s", clock):
            await self.assert_refused(server)

    async def test_an_items_text_is_not_taken_up_by_a_restarted_process(self):
        server = await self.add("i-0", born=2)
        runner = ItemRunner(
            self.directory,
            self.http,
            PlatformEndpointWire(),
            PlatformLotWire(),
            LocalPermits(),
            processes=self.check,
        )
        for resume_after, fault in ((3, "elsewhere"), (0, "broken")):
            order = RunOrder(
                task_id=1,
                endpoint_id="i-0",
                software="v1",
                resume_after=resume_after,
                remaining_s=5.0,
                item_id="a",
                host="h",
                account="t",
                path="/p",
                headers={},
                body=b"b",
            )
            end = await runner.run(order, lambda _: None)
            self.assertEqual(end.fault, fault, end)
            self.assertEqual(server.served, 0 if resume_after else 1)


if __name__ == "__main__":
    unittest.main()
