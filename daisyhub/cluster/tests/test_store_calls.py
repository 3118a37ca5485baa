"""Relayed store calls say "not done" only if the peer said so."""

import types
import unittest

import msgspec

from daisyhub.cluster import (
    CLUSTER_PROTOCOL,
    PeerRelayProvider,
    StoreRequestHandler,
)
from daisyhub.cluster._messages import StoreRequest, StoreResponse
from daisyhub.objects import ObjectConflictError, ObjectStoreError
from daisyhub.peers import PeerUnreachableError
from daisyhub.testing.object_store import Fault, MemoryStore

WRITES = {
    "create": lambda store: store.create("k", "n", b"1"),
    "replace": lambda store: store.replace("k", "n", b"2", revision=1),
    "set_status": lambda store: store.set_status("k", "n", b"3"),
    "delete": lambda store: store.delete("k", "n"),
}


def pass_on_wire(response):
    """Encodes and decodes a response as peers do."""
    message = CLUSTER_PROTOCOL.response(call_id=1, content=response)
    envelope = CLUSTER_PROTOCOL.envelope(
        sender="b", incarnation=1, messages=(message,)
    )
    decoded = CLUSTER_PROTOCOL.decode(CLUSTER_PROTOCOL.encode(envelope))
    return decoded.messages[0].content


def decode_response(fields):
    """Returns a response in which a peer sent only some fields."""
    return msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields), type=StoreResponse
    )


class FakeNetwork:
    """Calls the handler of one peer; messages pass the wire format.

    Args:
        handle: Returns the response, or raises as a call does.
    """

    def __init__(self, handle):
        self._handle = handle

    async def call(self, _, request, __):
        return pass_on_wire(await self._handle(request))


def relay_through(handle):
    """Returns a store that relays through one peer."""
    peer = types.SimpleNamespace(
        daemon_id="b",
        last_received_at_s=0.0,
        ping=types.SimpleNamespace(reaches_store=True, domain="x"),
    )
    peers = types.SimpleNamespace(live=lambda: [peer])
    (store,) = PeerRelayProvider(FakeNetwork(handle), peers, "x", 1.0).stores()
    return store


def relay_to(store):
    """Returns a store that relays to another through one peer's handler."""
    return relay_through(StoreRequestHandler(store, copy=None).handle)


class RelayedWriteTest(unittest.IsolatedAsyncioTestCase):
    async def get_failure(self, store, verb):
        with self.assertRaises(ObjectStoreError) as caught:
            await WRITES[verb](store)
        return caught.exception

    async def test_a_peer_passes_on_what_it_knows_of_a_write(self):
        for fault, may_be_done in (
            (Fault.REFUSED, False),
            (Fault.RESPONSE_LOST, True),
            (Fault.DELAYED, True),
        ):
            for verb in WRITES:
                store = MemoryStore()
                if verb != "create":
                    store.put("k", "n", b"1")
                store.fail_next(verb, fault)
                failure = await self.get_failure(relay_to(store), verb)
                self.assertEqual(
                    failure.may_be_done, may_be_done, (fault, verb)
                )

    async def test_a_peer_passes_on_that_the_store_limits_its_rate(self):
        for fault, is_throttled in (
            (Fault.THROTTLED, True),
            (Fault.REFUSED, False),
        ):
            store = MemoryStore()
            store.fail_next("list_all", fault)
            with self.assertRaises(ObjectStoreError) as caught:
                await relay_to(store).list_all("k")
            self.assertIs(caught.exception.is_throttled, is_throttled)
            self.assertTrue(caught.exception.is_from_store)

    async def test_a_peer_that_is_lost_says_nothing_of_the_store(self):
        async def lose(_):
            raise PeerUnreachableError("no response")

        with self.assertRaises(ObjectStoreError) as caught:
            await relay_through(lose).list_all("k")
        self.assertFalse(caught.exception.is_from_store)

    async def test_a_write_through_a_lost_peer_may_be_done(self):
        async def lose(_):
            raise PeerUnreachableError("no response")

        for verb in WRITES:
            failure = await self.get_failure(relay_through(lose), verb)
            self.assertTrue(failure.may_be_done, verb)
        with self.assertRaises(ObjectStoreError) as caught:
            await relay_through(lose).read("k", "n")
        self.assertFalse(caught.exception.may_be_done)

    async def test_a_conflict_at_the_peer_stays_a_conflict(self):
        store = MemoryStore()
        store.put("k", "n", b"1")
        with self.assertRaises(ObjectConflictError) as caught:
            await relay_to(store).create("k", "n", b"2")
        self.assertEqual(caught.exception.found.spec, b"1")

    def test_an_absent_field_is_not_read_as_not_done(self):
        response = decode_response({"type": "sa", "failure": "unavailable"})
        self.assertTrue(response.may_be_done)

    async def test_a_failure_that_this_build_does_not_know_may_be_done(self):
        async def respond(_):
            return StoreResponse(failure="a later build's", may_be_done=False)

        for verb in WRITES:
            failure = await self.get_failure(relay_through(respond), verb)
            self.assertTrue(failure.may_be_done, verb)

    async def test_a_write_whose_response_has_no_object_may_be_done(self):
        async def respond(_):
            return StoreResponse()

        for verb in ("create", "replace"):
            failure = await self.get_failure(relay_through(respond), verb)
            self.assertTrue(failure.may_be_done, verb)

    async def test_a_write_that_returns_no_object_may_be_done(self):
        async def respond(_):
            return StoreResponse(found=None)

        for verb in ("create", "replace"):
            failure = await self.get_failure(relay_through(respond), verb)
            self.assertTrue(failure.may_be_done, verb)

    async def test_a_conflict_whose_object_is_unset_has_none(self):
        async def respond(_):
            return decode_response({"type": "sa", "failure": "conflict"})

        with self.assertRaises(ObjectConflictError) as caught:
            await relay_through(respond).create("k", "n", b"2")
        self.assertIsNone(caught.exception.found)

    async def test_a_verb_that_the_peer_does_not_know_is_not_done(self):
        handler = StoreRequestHandler(MemoryStore(), copy=None)
        response = pass_on_wire(
            await handler.handle(StoreRequest(verb="later", kind="k"))
        )
        self.assertEqual(response.failure, "unavailable")
        self.assertFalse(response.may_be_done)

    async def test_a_response_without_object_does_not_say_that_none_exists(
        self,
    ):
        async def respond(_):
            return decode_response({"type": "sa"})

        store = relay_through(respond)
        with self.assertRaises(ObjectStoreError):
            await store.read("k", "n")
        failure = await self.get_failure(store, "set_status")
        self.assertTrue(failure.may_be_done)

    async def test_an_object_that_does_not_exist_is_reported_as_absent(self):
        store = relay_to(MemoryStore())
        self.assertIsNone(await store.read("k", "n"))
        self.assertIsNone(await WRITES["set_status"](store))
