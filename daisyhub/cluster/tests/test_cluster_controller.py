"""Daemons discover each other without a watch and track duty holders."""

import types
import unittest
from unittest import mock

import anyio
import msgspec

from daisyhub.cluster import ClusterClock, ClusterController, PeerTable, Ping
from daisyhub.logs import DecisionLog
from daisyhub.settings import Address
from daisyhub.testing.object_store import Fault, MemoryStore

LOG = DecisionLog("d", write=lambda _: True)


class FakeNetwork:
    """Delivers pings between controllers in one process."""

    def __init__(self, controllers, own_id):
        self._controllers = controllers
        self._own_id = own_id
        self._addresses = {}

    def set_address(self, name, address):
        self._addresses[name] = address

    def drop_address(self, name):
        self._addresses.pop(name, None)

    def send(self, name, message):
        receiver = self._controllers.get(str(self._addresses[name]))
        envelope = types.SimpleNamespace(sender=self._own_id, incarnation=1)
        if receiver is not None:
            receiver.receive(envelope, message)


def new_daemon(controllers, store, number):
    address = Address(ip="127.0.0.1", port=9000 + number)
    peers = PeerTable(f"d{number}", LOG)
    controller = ClusterController(
        peers.own_id,
        address,
        (),
        FakeNetwork(controllers, peers.own_id),
        peers,
        ClusterClock(),
        types.SimpleNamespace(revision=0),
        store,
        lambda: Ping(domain="z", address=str(address), wall_s=0.0),
        LOG,
    )
    controllers[str(address)] = controller
    return controller, peers


class ClusterControllerTest(unittest.IsolatedAsyncioTestCase):
    async def discover(self, store, count):
        controllers = {}
        daemons = [new_daemon(controllers, store, n) for n in range(count)]
        async with anyio.create_task_group() as tasks:
            for controller, _ in daemons:
                tasks.start_soon(controller.run)
            with anyio.fail_after(10):
                while any(len(p.live()) < count - 1 for _, p in daemons):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    async def test_daemons_started_together_discover_each_other(self):
        store = MemoryStore()
        await self.discover(store, 8)
        self.assertEqual(store.calls["watch"], 0)
        self.assertEqual(store.calls["create"], 8)

    async def test_a_failed_list_is_retried(self):
        store = MemoryStore()
        store.fail_next("list_all", Fault.REFUSED, Fault.REFUSED)
        await self.discover(store, 3)


class PeerTableTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        clock = mock.patch("time.monotonic", lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)
        self.peers = PeerTable("own", LOG)

    def receive_ping(self, name, **fields):
        ping = Ping(domain="z", address="127.0.0.1:1", wall_s=0.0, **fields)
        self.peers.record_ping(name, 1, ping)

    def test_many_daemons_ping_in_rotation_and_stay_live_between_pings(self):
        for number in range(54):
            self.receive_ping(f"d{number}")
        self.receive_ping("holder", duties={"rollouts": 1}, reaches_store=True)
        self.now_s += 2.0
        live = {peer.daemon_id for peer in self.peers.live()}
        self.assertEqual(len(live), 54)
        self.assertNotIn("holder", live)
        self.assertFalse(self.peers.has_live_holder_with_store())

    def test_a_duty_holder_counts_only_if_it_reaches_the_store(self):
        self.receive_ping("a", duties={"rollouts": 1}, reaches_store=False)
        self.assertFalse(self.peers.has_live_holder_with_store())
        self.receive_ping("b", duties={"accounts": 1}, reaches_store=True)
        self.assertTrue(self.peers.has_live_holder_with_store())


class PingTest(unittest.TestCase):
    def test_a_ping_of_an_older_release_is_decoded(self):
        old = {"type": "ping", "domain": "z", "address": "", "wall_s": 0.0}
        ping = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=Ping)
        self.assertEqual(ping.speed, 0.0)
