"""The rate of all daemons together at an endpoint that limits it."""

import asyncio
import random
import types
import unittest
from unittest import mock

from daisyhub.balancing import Denial, EndpointEntry, Urgency
from daisyhub.cluster import (
    CLUSTER_PROTOCOL,
    OwnerTable,
    PermitRequest,
    SharedPermits,
)
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.peers import PeerUnreachableError
from daisyhub.settings import Address
from daisyhub.testing.virtual_time import run_in_virtual_time

ENTRY = EndpointEntry(
    endpoint_id="e",
    pool="p",
    address=Address(ip="127.0.0.1", port=1),
    domain="d",
    incarnation=7,
)
# Seconds after which a silent daemon counts as lost.
LOSS_S = 1.2


class Cluster:
    """Daemons that share one endpoint, which states a limit.

    Attributes:
        limit: Requests a second that its responses state.
        arrivals: Time of each request, and the daemon that sent it.
    """

    def __init__(self, count, limit):
        self.limit = limit
        self.arrivals = []
        self.daemons = {}
        for number in range(count):
            self.add(f"d{number}")

    def add(self, name):
        self.daemons[name] = Daemon(name, self)
        for daemon in self.daemons.values():
            daemon.forget_live()

    def now_s(self):
        return asyncio.get_running_loop().time()


class Daemon:
    """One daemon: its permits, and a network between the daemons.

    Attributes:
        lost_at_s: When it was cut off from the others; None if it isn't.
    """

    def __init__(self, name, cluster):
        self.name = name
        self.cluster = cluster
        self.lost_at_s = None
        self.is_leaving = False
        self._live = None
        log = mock.create_autospec(DecisionLog, instance=True)
        owners = OwnerTable(name, self, lambda: self.is_leaving)
        self.permits = SharedPermits(owners, self, self, Metrics(), log)

    def forget_live(self):
        self._live = None

    def live(self):
        """Returns the peers that were heard lately, like `PeerTable`."""
        now_s = self.cluster.now_s()
        daemons = self.cluster.daemons
        live = [
            n
            for n, d in daemons.items()
            if n != self.name and not (self.is_cut(now_s) or d.is_cut(now_s))
        ]
        if self._live is None or [p.daemon_id for p in self._live] != live:
            self._live = [
                types.SimpleNamespace(
                    daemon_id=n,
                    ping=types.SimpleNamespace(
                        is_leaving=daemons[n].is_leaving
                    ),
                )
                for n in live
            ]
        return self._live

    def get(self, name):
        return next((p for p in self.live() if p.daemon_id == name), None)

    def is_cut(self, now_s):
        return self.lost_at_s is not None and now_s > self.lost_at_s + LOSS_S

    def send_datagrams(self, names, message):
        for name in names:
            receiver = self.cluster.daemons[name]
            if self.lost_at_s is None and receiver.lost_at_s is None:
                envelope = encode_and_decode(self.name, message)
                for received in envelope.messages:
                    receiver.permits.receive(envelope, received)

    async def call(self, name, content, timeout_s):
        peer = self.cluster.daemons[name]
        if self.lost_at_s is not None or peer.lost_at_s is not None:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachableError("cut")
        await asyncio.sleep(0.002)
        assert isinstance(content, PermitRequest)
        return await peer.permits.handle_request(content)

    async def request(self, urgency=Urgency.URGENT, max_wait_s=0.0):
        """Sends one request, if it may; returns whether it did."""
        permit = await self.permits.acquire(ENTRY, urgency, max_wait_s)
        if isinstance(permit, Denial):
            return False
        now_s = self.cluster.now_s()
        await asyncio.sleep(max(0.0, permit.start_at_s - now_s))
        if not self.permits.may_send(permit):
            return False
        sent_at_s = self.cluster.now_s()
        self.cluster.arrivals.append((sent_at_s, self.name))
        limit = self.cluster.limit
        await asyncio.sleep(0.03)
        self.permits.observe(ENTRY, limit, sent_at_s)
        return True


def encode_and_decode(sender, message):
    return CLUSTER_PROTOCOL.decode(
        CLUSTER_PROTOCOL.encode(
            CLUSTER_PROTOCOL.envelope(
                sender=sender, incarnation=1, messages=(message,)
            )
        )
    )


async def play(cluster, rate_per_s, seconds, names=None, seed=1):
    """Has daemons drawn at random make requests, some of which may wait."""
    rng = random.Random(seed)
    tasks = []
    end_s = cluster.now_s() + seconds
    while cluster.now_s() < end_s:
        await asyncio.sleep(rng.expovariate(rate_per_s))
        name = rng.choice(names or list(cluster.daemons))
        request = cluster.daemons[name].request(
            rng.choice((Urgency.URGENT, Urgency.PATIENT)),
            rng.choice((0.0, 0.4)),
        )
        tasks.append(asyncio.create_task(request))
    await asyncio.gather(*tasks)


class SharedPermitsTest(unittest.TestCase):
    def check(self, cluster, excused=(), grace_s=3.0):
        """Checks the users' bound, from 3 s after the first statement."""
        first_s = cluster.arrivals[0][0]
        times_s = [
            t
            for t, name in cluster.arrivals
            if t > first_s + grace_s and name not in excused
        ]
        bound = 6 * cluster.limit + 5
        for start_s in times_s:
            count = sum(start_s <= t < start_s + 4 for t in times_s)
            self.assertLessEqual(count, bound)
        return len(times_s)

    def test_the_sum_keeps_to_the_limit_at_any_number_of_daemons(self):
        for count in (1, 8, 28, 195):
            for limit in (0.4, 1.2, 10.0):
                with self.subTest(daemons=count, limit=limit):

                    async def run(count=count, limit=limit):
                        cluster = Cluster(count, limit)
                        await play(cluster, 60.0, 20.0)
                        return cluster

                    cluster = run_in_virtual_time(run)
                    served = self.check(cluster)
                    self.assertGreaterEqual(served, 0.8 * limit * 17 - 2)

    def test_it_holds_while_the_deciding_daemon_is_cut_off(self):
        async def run():
            cluster = Cluster(8, 1.2)
            await play(cluster, 60.0, 6.0)
            any_daemon = cluster.daemons["d0"]
            owner = any_daemon.permits._owners.owner_of("e|7|127.0.0.1:1")
            cluster.daemons[owner].lost_at_s = cluster.now_s()
            await play(cluster, 60.0, 12.0, seed=2)
            return cluster, owner

        cluster, owner = run_in_virtual_time(run)
        self.check(cluster, excused=(owner,))

    def test_it_holds_while_daemons_leave_and_start(self):
        async def run():
            cluster = Cluster(6, 1.2)
            for number in range(6):
                await play(cluster, 60.0, 4.0, seed=number)
                cluster.daemons[f"d{number}"].is_leaving = True
                cluster.add(f"n{number}")
            await play(cluster, 60.0, 4.0)
            return cluster

        self.check(run_in_virtual_time(run))

    def test_a_daemon_that_was_not_told_keeps_to_it_after_one_response(self):
        async def run():
            cluster = Cluster(8, 1.2)
            await play(cluster, 60.0, 5.0)
            cluster.add("new")
            started = len(cluster.arrivals)
            for _ in range(20):
                await cluster.daemons["new"].request()
            return len(cluster.arrivals) - started

        self.assertLessEqual(run_in_virtual_time(run), 3)

    def test_callers_of_one_daemon_only_get_the_whole_limit(self):
        async def run():
            cluster = Cluster(28, 2.0)
            await play(cluster, 60.0, 30.0, names=["d3"])
            return len(cluster.arrivals)

        self.assertGreaterEqual(run_in_virtual_time(run), 0.8 * 2.0 * 30)

    def test_all_daemons_know_soon_that_a_limit_ended(self):
        async def run():
            cluster = Cluster(28, 1.2)
            await play(cluster, 60.0, 5.0)
            cluster.limit = float("inf")
            await play(cluster, 60.0, 4.0)
            return [d.permits.limited() for d in cluster.daemons.values()]

        self.assertEqual(run_in_virtual_time(run), [{}] * 28)

    def test_a_missed_end_is_learned_from_the_deciding_daemon(self):
        async def run():
            cluster = Cluster(8, 1.2)
            await play(cluster, 60.0, 5.0)
            deaf = cluster.daemons["d1"]
            deaf.lost_at_s = cluster.now_s()
            cluster.limit = float("inf")
            others = [n for n in cluster.daemons if n != "d1"]
            await play(cluster, 60.0, 4.0, names=others)
            deaf.lost_at_s = None
            self.assertTrue(deaf.permits.limited())
            await asyncio.sleep(1.0)
            await deaf.request()
            return deaf.permits.limited()

        self.assertEqual(run_in_virtual_time(run), {})
