"""Streams that callers go on with are sent to the release that began them."""

import dataclasses
import time
import unittest

from daisyhub.balancing import EndpointDirectory, EndpointEntry
from daisyhub.catalog import PoolShare, Route, RouteKind
from daisyhub.connections import HttpClient
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import Sender, SendTask
from daisyhub.logs import DecisionLog
from daisyhub.messages import Resumption
from daisyhub.metrics import Metrics
from daisyhub.platform._wire import PlatformEndpointWire
from daisyhub.testing.scripted_server import ScriptedServer, make_response

FULL = make_response(503, fields="daisyhub-not-executed: 1\r\n")


class ResumedStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.http = HttpClient(connect_timeout_s=2.0, idle_s=30.0)
        self.addAsyncCleanup(self.http.aclose)
        self.directory = EndpointDirectory(lambda name: float(name[-1]))
        self.sender = Sender(
            self.directory,
            self.http,
            PlatformEndpointWire(),
            Metrics(),
            DecisionLog("d", write=lambda _: True),
        )
        self.route = Route(
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
        # The endpoint with the lowest number is preferred.
        self.old = await self.add_endpoint("i-0", "v1")
        await self.send("first")
        self.new = await self.add_endpoint("i-1", "v2")

    async def add_endpoint(self, name, software, *replies):
        server = ScriptedServer(*replies or (make_response(200, body=b"x"),))
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.directory.upsert(
            EndpointEntry(
                endpoint_id=name,
                pool="p",
                address=server.address,
                domain="d",
                incarnation=1,
                slots=4,
                software=software,
            )
        )
        return server

    async def send(self, request_id, resumes=None, account="t"):
        """Sends a request, which may go on with a stream; reads its body."""
        resp = await self.sender.send(
            SendTask(
                request_id=request_id,
                route=self.route,
                method="POST",
                target="/",
                host="h",
                account=account,
                deadline_s=time.monotonic() + 5.0,
                is_streamed=True,
                resumption=Resumption(resumes, "2")
                if resumes is not None
                else None,
            )
        )
        try:
            return b"".join([chunk async for chunk in resp.stream])
        finally:
            await resp.stream.aclose()

    async def check_refused(self, *args, **kwargs):
        """Checks that a request is refused as not run, and nothing is sent."""
        sent = len(self.old.requests) + len(self.new.requests)
        with self.assertRaises(Refusal) as caught:
            await self.send(*args, **kwargs)
        self.assertIs(caught.exception.ran, ExecutionStatus.NOT_RUN)
        self.assertEqual(len(self.old.requests) + len(self.new.requests), sent)
        return caught.exception.error

    async def test_a_stream_goes_on_at_its_release(self):
        self.directory.remove("i-0", time.monotonic(), is_store_stable=True)
        other = await self.add_endpoint("i-2", "v1")
        for number in range(5):
            await self.send(f"again{number}", "first")
        self.assertEqual(len(other.requests), 5)
        self.assertEqual(self.new.requests, [])

    async def test_retries_keep_to_the_release_too(self):
        self.directory.remove("i-0", time.monotonic(), is_store_stable=True)
        full = await self.add_endpoint("i-2", "v1", FULL)
        other = await self.add_endpoint("i-3", "v1")
        self.assertEqual(await self.send("again", "first"), b"x")
        self.assertEqual((len(full.requests), len(other.requests)), (1, 1))
        self.assertEqual(self.new.requests, [])

    async def test_a_stream_without_an_endpoint_of_its_release_is_refused(self):
        self.directory.remove("i-0", time.monotonic(), is_store_stable=True)
        error = await self.check_refused("again", "first")
        self.assertIs(error, ErrorCode.NO_ENDPOINT)

    async def test_a_chain_of_requests_keeps_to_the_first_release(self):
        await self.send("again", "first")
        for first in ("first", "again"):
            await self.send("third", first)
        self.assertEqual(self.new.requests, [])

    async def test_unknown_streams_are_refused(self):
        for resumes, account in (("x", "t"), ("", "t"), ("first", "other")):
            with self.subTest(resumes=resumes, account=account):
                error = await self.check_refused(
                    "again", resumes, account=account
                )
                self.assertIs(error, ErrorCode.STREAM_UNKNOWN)

    async def test_a_stream_of_an_unknown_version_is_not_resumed(self):
        known = self.directory.get("i-0").entry
        self.directory.upsert(dataclasses.replace(known, software=""))
        self.directory.remove("i-1", time.monotonic(), is_store_stable=True)
        await self.send("second")
        error = await self.check_refused("again", "second")
        self.assertIs(error, ErrorCode.STREAM_UNKNOWN)

    async def test_a_stream_whose_route_lost_its_pool_is_refused(self):
        self.route = dataclasses.replace(
            self.route, shares=(PoolShare("q", 1.0),)
        )
        error = await self.check_refused("again", "first")
        self.assertIs(error, ErrorCode.STREAM_UNKNOWN)

    async def test_the_same_version_of_another_start_is_the_same_release(self):
        known = self.directory.get("i-0").entry
        self.directory.upsert(dataclasses.replace(known, incarnation=2))
        self.assertEqual(await self.send("again", "first"), b"x")

    async def test_a_process_that_restarted_meanwhile_serves_no_stream(self):
        known = self.directory.get("i-0").entry
        restarted = dataclasses.replace(known, incarnation=2, software="v2")
        self.old.on_request = lambda: self.directory.upsert(restarted)
        with self.assertRaises(Refusal) as caught:
            await self.send("again", "first")
        self.assertIs(caught.exception.ran, ExecutionStatus.RAN)
        self.assertEqual(self.new.requests, [])

    async def test_a_stream_that_a_restarted_process_began_is_unknown(self):
        self.directory.remove("i-1", time.monotonic(), is_store_stable=True)
        known = self.directory.get("i-0").entry
        restarted = dataclasses.replace(known, incarnation=2, software="v2")
        self.old.on_request = lambda: self.directory.upsert(restarted)
        self.assertEqual(await self.send("second"), b"x")
        self.old.on_request = lambda: None
        error = await self.check_refused("again", "second")
        self.assertIs(error, ErrorCode.STREAM_UNKNOWN)
