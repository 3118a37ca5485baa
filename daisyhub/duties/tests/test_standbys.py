"""One standby of a lost holder becomes the candidate for its duty."""

import unittest
from unittest import mock

from daisyhub.cluster import PeerTable, Ping
from daisyhub.duties import DutyController, DutyCore, choose_candidate
from daisyhub.logs import DecisionLog

LOG = DecisionLog("d", write=lambda _: True)
DUTY = "rollouts"
STANDBYS = ("s1", "s2", "s3")
# A daemon that ranks before all standbys.
HOLDER = next(
    name
    for name in (f"h{n}" for n in range(100))
    if choose_candidate(DUTY, dict.fromkeys((*STANDBYS, name), 1.0)) == name
)


class StandbyTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        for name in ("monotonic", "clock_gettime"):
            patch = mock.patch(f"time.{name}", lambda *_: self.now_s)
            patch.start()
            self.addCleanup(patch.stop)

    def make(self, own_id, standbys=STANDBYS, others=40):
        """Returns a daemon of a large cluster with a holder and standbys."""
        peers = PeerTable(own_id, LOG)
        duty = DutyController(
            DUTY, DutyCore(f"{own_id}/1", 3.0, True), None, peers, 1.0, LOG
        )
        for name in (*standbys, *(f"d{n}" for n in range(others))):
            if name != own_id:
                self.ping(peers, name)
        self.ping(peers, HOLDER, duties={DUTY: 1}, standbys=standbys)
        return peers, duty

    def ping(self, peers, name, incarnation=1, **fields):
        ping = Ping(
            domain="z", address="127.0.0.1:1", wall_s=0.0, speed=1.0, **fields
        )
        peers.record_ping(name, incarnation, ping)

    def wait(self, seconds, daemons, pinged=()):
        """Lets time pass while the given daemons are pinged by others."""
        for _ in range(round(10 * seconds)):
            self.now_s += 0.1
            for own_id, (peers, _) in daemons.items():
                for name in pinged:
                    if name != own_id:
                        self.ping(peers, name)
                peers.live()

    def candidates(self, daemons):
        return [
            name
            for name, (_, duty) in daemons.items()
            if duty._is_preferred_candidate()
        ]

    def test_one_standby_follows_a_holder_that_is_lost(self):
        daemons = {name: self.make(name, STANDBYS) for name in STANDBYS}
        daemons["d0"] = self.make("d0", STANDBYS)
        self.wait(1.0, daemons, STANDBYS)
        self.wait(0.5, daemons, STANDBYS)
        first = choose_candidate(DUTY, dict.fromkeys(STANDBYS, 1.0))
        self.assertEqual(self.candidates(daemons), [first])

    def test_a_holder_that_was_restarted_is_not_waited_for(self):
        daemons = {name: self.make(name, STANDBYS) for name in STANDBYS}
        self.wait(1.0, daemons, STANDBYS)
        for peers, _ in daemons.values():
            self.ping(peers, HOLDER, incarnation=2)
        self.wait(0.2, daemons, STANDBYS)
        first = choose_candidate(DUTY, dict.fromkeys(STANDBYS, 1.0))
        self.assertEqual(self.candidates(daemons), [first])

    def test_others_follow_if_all_standbys_are_lost(self):
        daemons = {"d0": self.make("d0", STANDBYS)}
        self.wait(4.0, daemons, [f"d{n}" for n in range(1, 40)])
        self.assertEqual(self.candidates(daemons), [])
        self.wait(40.0, daemons, [f"d{n}" for n in range(1, 40)])
        self.assertEqual(self.candidates(daemons), ["d0"])
