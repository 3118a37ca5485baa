"""Origins of streams are found after all daemons have restarted."""

import random
import time
import types
import unittest
from unittest import mock

import anyio

from daisyhub.balancing import Release
from daisyhub.cluster import (
    CLUSTER_PROTOCOL,
    ORIGINS_KIND,
    DurableStreamOrigins,
    SharedStreamOrigins,
    StreamOriginBatch,
)
from daisyhub.cluster._stream_messages import StreamOriginRecord
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.objects import ObjectStoreError
from daisyhub.peers import PeerUnreachableError
from daisyhub.testing.object_store import Fault, MemoryStore
from daisyhub.testing.virtual_time import run_in_virtual_time

V1, V2 = Release("p", "v1"), Release("p", "v2")
DOMAINS = ("x", "y", "z")
AHEAD_S = 1e9
# Longer than daemons take to know each other, and to write.
LATER_S = 2.5


class HangingStore(MemoryStore):
    """Answers no list."""

    async def list_all(self, kind):
        await anyio.sleep_forever()


class Cluster:
    """Daemons in one process, and what survives them.

    Attributes:
        daemons: The origins of each daemon, by id.
        silent: Daemons that don't answer.
        unknown: Daemons that the others haven't heard of.
        known: Daemons that each one has heard of; None for all.
        bytes_sent: Bytes of all batches.
    """

    def __init__(self, size, store=None):
        self.store = store or MemoryStore()
        self.names = [f"d{n:03}" for n in range(size)]
        self.silent, self.unknown = set(), set()
        self.known = None
        self.is_resumable = True
        self.bytes_sent = 0
        self.daemons = {}
        self.logs = []

    def domain(self, name):
        return DOMAINS[self.names.index(name) % len(DOMAINS)]

    def start(self, tasks):
        """Starts all daemons with empty memories."""
        for name in self.names:
            self.daemons[name] = self.make(name)
            tasks.start_soon(self.daemons[name].run)

    def make(self, name):
        network = types.SimpleNamespace(call=self.call)
        peers = types.SimpleNamespace(
            own_id=name,
            live=lambda: self.live(name),
            # None of the known daemons counts as lost.
            all=lambda: self.live(name),
        )
        log = mock.create_autospec(DecisionLog, instance=True)
        log.record = lambda event, **details: self.logs.append(event)
        shared = SharedStreamOrigins(
            name, self.domain(name), network, peers, Metrics(), log
        )
        return DurableStreamOrigins(
            shared,
            self.domain(name),
            network,
            peers,
            self.store,
            types.SimpleNamespace(now_s=lambda: AHEAD_S + time.monotonic()),
            lambda: self.is_resumable,
            Metrics(),
            log,
        )

    def live(self, own):
        return [
            types.SimpleNamespace(
                daemon_id=name,
                ping=types.SimpleNamespace(
                    domain=self.domain(name), is_leaving=False
                ),
            )
            for name in self.names
            if name != own
            and name not in self.unknown
            and (self.known is None or name in self.known[own])
        ]

    async def call(self, name, content, timeout_s):
        if name in self.silent:
            raise PeerUnreachableError("silent")
        daemon = self.daemons[name]
        if isinstance(content, StreamOriginBatch):
            envelope = CLUSTER_PROTOCOL.envelope(
                sender="d",
                incarnation=1,
                messages=(CLUSTER_PROTOCOL.call(call_id=1, content=content),),
            )
            self.bytes_sent += len(CLUSTER_PROTOCOL.encode(envelope))
            return await daemon.handle_batch(content)
        if isinstance(content, StreamOriginRecord):
            return await daemon._shared.handle_record(content)
        return await daemon._shared.handle_query(content)

    def writes(self):
        return self.store.calls["create"] + self.store.calls["replace"]

    async def release_at(self, name, key):
        origin = (await self.daemons[name].find(key)).origin
        return origin.release if origin else None


def play(cluster, before, after):
    """Runs two plays; all daemons are killed between them."""

    async def main():
        for part in (before, after):
            async with anyio.create_task_group() as tasks:
                cluster.start(tasks)
                await part()
                tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


class DurableOriginsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(6)

    async def begin(self):
        """Begins a stream of each release; leaves time to store them."""
        await anyio.sleep(LATER_S)
        await self.cluster.daemons["d000"].record("t|a", V1, 20.0)
        await self.cluster.daemons["d001"].record("t|b", V2, 20.0)
        await anyio.sleep(0.5)

    def test_all_daemons_find_origins_after_all_were_killed(self):
        async def after():
            for name in self.cluster.names:
                self.assertEqual(await self.cluster.release_at(name, "t|a"), V1)
                self.assertEqual(await self.cluster.release_at(name, "t|b"), V2)
            # Found once, it is known to all that found it.
            self.cluster.store.fail_next("list_all", *[Fault.REFUSED] * 9)
            await anyio.sleep(1.0)
            self.assertEqual(await self.cluster.release_at("d000", "t|a"), V1)

        play(self.cluster, self.begin, after)

    def test_origins_are_found_while_the_peers_are_not_known_yet(self):
        async def after():
            self.cluster.unknown = set(self.cluster.names)
            self.assertEqual(await self.cluster.release_at("d004", "t|a"), V1)
            # What it doesn't find now, it may find once it knows its peers.
            search = await self.cluster.daemons["d004"].find("t|c")
            self.assertFalse(search.is_conclusive)
            await anyio.sleep(LATER_S)
            search = await self.cluster.daemons["d004"].find("t|c")
            self.assertTrue(search.is_conclusive)

        play(self.cluster, self.begin, after)

    def test_origins_end_once_their_caller_has_given_up(self):
        async def after():
            await anyio.sleep(21.0)
            self.assertIsNone(await self.cluster.release_at("d000", "t|a"))

        play(self.cluster, self.begin, after)

    def test_an_origin_of_a_daemon_without_peers_is_found(self):
        async def before():
            self.cluster.silent = set(self.cluster.names) - {"d000"}
            await self.begin()

        async def after():
            self.cluster.silent = set()
            self.assertEqual(await self.cluster.release_at("d005", "t|a"), V1)

        play(self.cluster, before, after)

    def test_a_store_that_does_not_answer_makes_a_search_inconclusive(self):
        for is_hanging in (False, True):
            self.cluster = Cluster(6, HangingStore() if is_hanging else None)

            async def after():
                await anyio.sleep(LATER_S)
                store = self.cluster.store
                store.fail_next("list_all", *[Fault.REFUSED] * 99)
                started_s = time.monotonic()
                search = await self.cluster.daemons["d002"].find("t|c")
                self.assertIsNone(search.origin)
                self.assertFalse(search.is_conclusive)
                self.assertLess(time.monotonic() - started_s, 1.0)
                # The next callers learn it without a wait.
                started_s = time.monotonic()
                await self.cluster.daemons["d002"].find("t|d")
                self.assertLess(time.monotonic() - started_s, 0.1)

            play(self.cluster, self.begin, after)

    def test_an_unreadable_object_is_ignored_and_overwritten(self):
        async def after():
            store = self.cluster.store
            store.put(ORIGINS_KIND, "x", b'{"releases":3}')
            store.put(ORIGINS_KIND, "operator", b'"text"')
            self.assertIsNone(await self.cluster.release_at("d002", "t|a"))
            self.assertEqual(await self.cluster.release_at("d002", "t|b"), V2)
            self.assertIn("origins_unreadable", self.cluster.logs)
            await self.begin()
            self.assertIn(b"v1", store.objects[ORIGINS_KIND, "x"].spec)

        play(self.cluster, self.begin, after)

    def test_objects_that_name_two_releases_let_neither_go_on(self):
        async def after():
            objects = self.cluster.store.objects
            spec = objects[ORIGINS_KIND, "x"].spec.replace(b"v1", b"v2")
            self.cluster.store.put(ORIGINS_KIND, "other", spec)
            search = await self.cluster.daemons["d001"].find("t|a")
            self.assertIsNotNone(search.origin)
            self.assertIsNone(search.origin.release)

        play(self.cluster, self.begin, after)

    def test_a_repeated_id_never_leads_back_to_the_earlier_release(self):
        # A caller that got no event of its stream repeats the id after the
        # restart, gets events of the other release, and the daemon ends before
        # its next write.
        async def between():
            await anyio.sleep(0.3)
            await self.cluster.daemons["d002"].record("t|a", V2, 20.0)

        async def after():
            search = await self.cluster.daemons["d003"].find("t|a")
            self.assertIsNone(search.origin.release)

        play(self.cluster, self.begin, between)
        play(self.cluster, after, after)

    def test_nothing_is_called_where_no_route_is_resumable(self):
        async def idle():
            self.cluster.is_resumable = False
            await anyio.sleep(30.0)
            self.assertTrue(
                (await self.cluster.daemons["d000"].find("t|a")).is_conclusive
            )

        play(self.cluster, idle, idle)
        self.assertEqual(sum(self.cluster.store.calls.values()), 0)
        self.assertEqual(self.cluster.bytes_sent, 0)

    def test_a_failed_write_is_repeated(self):
        async def before():
            store = self.cluster.store
            store.fail_next("create", Fault.REFUSED, Fault.RESPONSE_LOST)
            store.fail_next("read", Fault.REFUSED)
            await self.begin()
            await anyio.sleep(4.0)

        async def after():
            for key, release in (("t|a", V1), ("t|b", V2)):
                found = await self.cluster.release_at("d003", key)
                self.assertEqual(found, release)

        play(self.cluster, before, after)

    def test_a_search_raises_nothing_but_refusals_of_its_caller(self):
        async def after():
            daemon = self.cluster.daemons["d000"]
            with mock.patch.object(
                self.cluster.store,
                "list_all",
                side_effect=ObjectStoreError("down", may_be_done=False),
            ):
                self.assertIsNone((await daemon.find("t|z")).origin)

        play(self.cluster, self.begin, after)

    def test_the_writes_of_a_cluster_do_not_grow_with_daemons(self):
        writes = {}
        for size in (8, 28, 195):
            cluster = Cluster(size)

            async def before(cluster=cluster):
                await anyio.sleep(LATER_S)
                for number in range(400):
                    name = cluster.names[number % len(cluster.names)]
                    daemon = cluster.daemons[name]
                    await daemon.record(f"t|{number}", V1, 15.0)
                    await anyio.sleep(0.02)

            async def after():
                pass

            play(cluster, before, after)
            # Eight seconds; each domain writes four times a second.
            writes[size] = cluster.writes()
            self.assertLessEqual(writes[size], 8 * 12 + 6, size)
        self.assertLessEqual(max(writes.values()), 1.1 * min(writes.values()))

    def test_daemons_that_know_few_others_do_not_flood_the_store(self):
        # A large cluster just after its start: each daemon has heard of a
        # tenth of the others, so that several take themselves for the writer.
        rng = random.Random(5)
        cluster = Cluster(195)
        cluster.known = {
            name: set(rng.sample(cluster.names, 20)) for name in cluster.names
        }

        async def before():
            await anyio.sleep(LATER_S)
            for number in range(500):
                name = rng.choice(cluster.names)
                await cluster.daemons[name].record(f"t|{number}", V1, 30.0)
                await anyio.sleep(0.02)

        async def after():
            names = cluster.names[:3]
            found = [
                await cluster.release_at(rng.choice(names), f"t|{number}")
                for number in range(500)
            ]
            # The rest waits for a write when all are killed.
            self.assertGreaterEqual(found.count(V1), 250)

        play(cluster, before, after)
        # Ten seconds at a tenth of the store's 400 writes a second.
        self.assertLessEqual(cluster.writes(), 10 * 40)
