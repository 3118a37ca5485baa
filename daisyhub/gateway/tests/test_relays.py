"""Requests through a peer: what its response says, and which peer is asked."""

import dataclasses
import time
import types
import unittest

from daisyhub.balancing import EndpointDirectory, Release
from daisyhub.catalog import RouteKind
from daisyhub.connections import HttpClient
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import PeerRelays, RelayHandler, Sender
from daisyhub.gateway._relay_messages import (
    RelayedRequest,
    RelayResult,
    decode_request,
    encode_request,
    read_result,
    with_result,
)
from daisyhub.logs import DecisionLog
from daisyhub.memory import MemoryBudget
from daisyhub.messages import Request, Response
from daisyhub.metrics import Metrics
from daisyhub.platform._wire import PlatformEndpointWire
from daisyhub.testing.scripted_server import ScriptedServer, make_response
from daisyhub.testing.send_tasks import make_send_task

LOG = DecisionLog("d", write=lambda _: True)
NOT_RUN, RAN, UNKNOWN = (
    ExecutionStatus.NOT_RUN,
    ExecutionStatus.RAN,
    ExecutionStatus.UNKNOWN,
)


def reply(status, *, body=b"", **result):
    """Returns the bytes of a peer's response with this result."""
    stated = with_result(Response(status=status), RelayResult(**result))
    name, value = stated.headers[0]
    fields = f"{name.decode()}: {value.decode()}\r\n"
    return make_response(status, fields=fields, body=body)


ANSWERED = reply(200, body=b"ok", is_answered=True, ran=RAN)


class Reach:
    """The reach of a daemon that is cut off, and its peers."""

    def __init__(self):
        self.is_cut_off = True
        self.peers = {}
        self.is_answered = False

    def add(self, name, address, domain="x", speed=1.0):
        ping = types.SimpleNamespace(
            relay=str(address), domain=domain, speed=speed, is_leaving=False
        )
        self.peers[name] = types.SimpleNamespace(daemon_id=name, ping=ping)

    def answered_peers(self):
        return list(self.peers.values())

    def relay_address(self, name):
        return self.peers[name].ping.relay if name in self.peers else None

    def has_answer_since(self, since_s):
        return self.is_answered

    def watch_attempt(self, endpoint_id, *, is_repeatable):
        raise AssertionError(f"{endpoint_id} was tried directly")


class RelaysTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.budget = MemoryBudget()
        self.http = HttpClient(
            connect_timeout_s=1.0, idle_s=30.0, memory=self.budget
        )
        self.addAsyncCleanup(self.http.aclose)
        self.reach = Reach()
        self.sender = Sender(
            EndpointDirectory(int),
            self.http,
            PlatformEndpointWire(),
            Metrics(),
            LOG,
            relays=PeerRelays("d", "x", self.reach, self.http, Metrics()),
        )

    async def add_peer(self, name, *replies, **fields):
        server = ScriptedServer(*replies)
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.reach.add(name, server.address, **fields)
        return server

    async def test_the_copy_for_a_peer_counts_until_it_answers(self):
        """The encoded copy of a body was counted nowhere."""
        size = 1 << 20
        held = []
        server = await self.add_peer("a", ANSWERED)
        server.on_request = lambda: held.append(self.budget.held)
        task = dataclasses.replace(make_send_task(), body=b"a" * size)
        await self.sender.send(task)
        self.assertGreater(held[0], 0.9 * size)
        self.assertEqual(self.budget.held, 0)

    async def refuse(self, *args, **fields):
        with self.assertRaises(Refusal) as caught:
            await self.sender.send(make_send_task(*args, **fields))
        return caught.exception

    async def test_the_response_of_the_endpoint_is_passed_on(self):
        await self.add_peer("a", ANSWERED)
        response = await self.sender.send(make_send_task())
        self.assertEqual((response.status, response.body), (200, b"ok"))
        names = {name for name, _ in response.headers}
        self.assertNotIn(b"x-relay-result", names)

    async def test_not_run_is_said_only_if_the_peer_says_so(self):
        for replies, expected in (
            ([reply(502, is_answered=False, ran=NOT_RUN)], NOT_RUN),
            ([reply(502, is_answered=False, ran=UNKNOWN)], UNKNOWN),
            ([reply(502, is_answered=False, ran=RAN)], RAN),
            ([make_response(503)], UNKNOWN),
            ([make_response(200)], UNKNOWN),
            ([[ANSWERED[:-1]]], RAN),
            ([None], UNKNOWN),
        ):
            with self.subTest(replies):
                await self.asyncSetUp()
                await self.add_peer("a", *replies)
                refusal = await self.refuse(RouteKind.UNSAFE)
                self.assertIs(refusal.ran, expected)

    async def test_a_peer_that_does_not_listen_makes_it_not_run(self):
        server = await self.add_peer("a", ANSWERED)
        await server.stop()
        refusal = await self.refuse(RouteKind.UNSAFE)
        self.assertIs(refusal.ran, NOT_RUN)

    async def test_another_peer_serves_what_the_first_does_not(self):
        failed = reply(502, is_answered=False, ran=NOT_RUN, was_sent=False)
        first = await self.add_peer("a", failed)
        await self.add_peer("b", ANSWERED, domain="y")
        response = await self.sender.send(make_send_task())
        self.assertEqual(response.status, 200)
        self.assertEqual(len(first.requests), 1)

    async def test_requests_are_spread_by_speed_and_failure_domain(self):
        for name, domain, speed in (
            ("near", "x", 1.0),
            ("far", "y", 1.0),
            ("fast", "x", 2.0),
        ):
            self.reach.add(name, "127.0.0.1:1", domain=domain, speed=speed)
        relays = self.sender._relays
        counts = dict.fromkeys(self.reach.peers, 0)
        state = types.SimpleNamespace(task=make_send_task(), exchanges=0)
        for _ in range(130):
            name = relays.choose(state, frozenset(), 0.0).split()[1]
            relays._open[name] += 1
            counts[name] += 1
        self.assertAlmostEqual(counts["fast"] / counts["near"], 2.0, delta=0.2)
        self.assertAlmostEqual(counts["near"] / counts["far"], 1.5, delta=0.2)

    async def test_first_attempts_are_direct_unless_cut_off(self):
        self.reach.add("a", "127.0.0.1:1")
        self.reach.is_cut_off = False
        state = types.SimpleNamespace(task=make_send_task(), exchanges=0)
        choose = self.sender._relays.choose
        self.assertIsNone(choose(state, frozenset(), 0.0))
        # No endpoint was contacted, as the one chosen limits its rate.
        self.assertIsNone(choose(state, frozenset({"i-0"}), 0.0))
        state.exchanges = 1
        self.assertEqual(choose(state, frozenset({"i-0"}), 0.0), "peer a")
        self.reach.is_answered = True
        self.assertIsNone(choose(state, frozenset({"i-0"}), 0.0))

    async def test_a_relayed_request_takes_no_second_hop(self):
        self.reach.add("a", "127.0.0.1:1")
        task = make_send_task(is_relayed=True)
        state = types.SimpleNamespace(task=task, exchanges=1)
        choose = self.sender._relays.choose
        self.assertIsNone(choose(state, frozenset({"i-0"}), 0.0))


class RelayHandlerTest(unittest.IsolatedAsyncioTestCase):
    async def handle(self, sender, *, is_cut_off=False, body=b""):
        async def read_body(max_bytes, **_):
            return body

        handler = RelayHandler(
            sender,
            types.SimpleNamespace(is_cut_off=is_cut_off),
            Metrics(),
            LOG,
        )
        now_s = time.monotonic()
        resp = await handler(
            Request(
                request_id="",
                method="POST",
                path="/relay",
                query="",
                host="",
                headers=(),
                read_body=read_body,
                started_s=now_s,
                deadline_s=now_s,
            )
        )
        return resp, read_result(resp.headers)[0]

    def encode(self):
        return encode_request(
            make_relayed(make_send_task(), release=Release("p", "v1"))
        )

    async def test_a_daemon_that_is_cut_off_too_refuses_at_once(self):
        resp, result = await self.handle(
            None, is_cut_off=True, body=self.encode()
        )
        self.assertEqual(resp.status, 502)
        self.assertFalse(result.is_answered)
        self.assertIs(result.ran, NOT_RUN)

    async def test_a_refusal_is_passed_on_with_its_evidence(self):
        for ran in (NOT_RUN, UNKNOWN, RAN):

            async def relay(task, release, ran=ran):
                raise Refusal(ErrorCode.OVERLOADED, "", ran=ran)

            sender = types.SimpleNamespace(relay=relay)
            resp, result = await self.handle(sender, body=self.encode())
            self.assertEqual(resp.status, 502)
            self.assertIs(result.ran, ran)
            self.assertEqual(result.was_sent, ran is not NOT_RUN)

    async def test_invalid_requests_are_refused(self):
        with self.assertRaises(Refusal) as caught:
            await self.handle(None, body=b"\xc1")
        self.assertIs(caught.exception.error, ErrorCode.BODY_INVALID)

    async def test_a_request_arrives_as_it_was_sent(self):
        body = self.encode()
        received = []

        async def relay(task, release):
            received.append((task, release))
            return Response(status=200), release

        sender = types.SimpleNamespace(relay=relay)
        _, result = await self.handle(sender, body=body)
        ((task, release),) = received
        sent = make_send_task()
        self.assertEqual(task.content_digest(), sent.content_digest())
        self.assertTrue(task.is_relayed)
        self.assertEqual(release, Release("p", "v1"))
        self.assertEqual(result.release, release)
        self.assertEqual(decode_request(body).route, sent.route)


def make_relayed(task, release):
    """Returns the message that relays a task."""
    return RelayedRequest(
        sender="d",
        request_id=task.request_id,
        route=task.route,
        method=task.method,
        target=task.target,
        host=task.host,
        headers=task.headers,
        body=task.body,
        account=task.account,
        remaining_s=1.0,
        is_streamed=task.is_streamed,
        is_background=task.is_background,
        release=release,
    )
