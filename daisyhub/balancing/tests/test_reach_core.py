"""A daemon tells its own cut from a failure of the endpoints."""

import unittest

from daisyhub.balancing import (
    AskPeers,
    EndpointAnswered,
    EndpointSilent,
    ReachCore,
    ReachTick,
)

IDS = ("a", "b", "c", "d")


class ReachCoreTest(unittest.TestCase):
    def setUp(self):
        self.core = ReachCore()
        self.now_s = 100.0
        self.probed = []
        self.asked = 0
        self.feed(EndpointAnswered())

    def feed(self, event, after_s=0.0):
        self.now_s += after_s
        for action in self.core.handle(event, self.now_s):
            if isinstance(action, AskPeers):
                self.asked += 1
            else:
                self.probed += action.endpoints

    def tick(self, after_s=0.1, ids=IDS, is_peer_answered=True):
        self.feed(ReachTick(ids, is_peer_answered), after_s)

    def cut_off(self):
        for endpoint in IDS[:3]:
            self.feed(EndpointSilent(endpoint))
        self.tick()
        self.assertTrue(self.core.is_cut_off)

    def test_silence_of_several_endpoints_beside_answered_peers_is_a_cut(self):
        self.cut_off()

    def test_no_cut_while_no_peer_is_answered(self):
        for endpoint in IDS:
            self.feed(EndpointSilent(endpoint))
        for _ in range(50):
            self.tick(is_peer_answered=False)
        self.assertFalse(self.core.is_cut_off)
        self.assertGreater(self.asked, 0)

    def test_one_answer_refutes_all_silence_before(self):
        for endpoint in IDS[:2]:
            self.feed(EndpointSilent(endpoint))
        self.feed(EndpointAnswered())
        self.feed(EndpointSilent("c"))
        self.tick()
        self.assertFalse(self.core.is_cut_off)

    def test_one_silent_endpoint_has_the_others_probed_within_a_second(self):
        for _ in range(10):
            self.feed(EndpointSilent("a"))
            self.tick()
            for endpoint in self.probed:
                self.feed(EndpointSilent(endpoint))
        self.assertTrue(self.core.is_cut_off)
        self.assertLessEqual({"b", "c"}, set(self.probed))

    def test_a_single_slow_request_costs_one_probe(self):
        self.feed(EndpointSilent("a"), 1.0)
        self.tick()
        self.feed(EndpointAnswered(), 0.01)
        for _ in range(10):
            self.tick()
        self.assertEqual(self.probed, ["b"])
        self.assertEqual(self.asked, 0)

    def test_an_endpoint_that_stays_silent_costs_few_probes(self):
        for _ in range(600):
            known = len(self.probed)
            self.feed(EndpointSilent("a"))
            self.tick()
            if len(self.probed) > known:
                self.feed(EndpointAnswered())
        # A minute, in pairs, at intervals of up to three seconds.
        self.assertLessEqual(len(self.probed), 2 * 25)

    def test_without_silence_nothing_is_probed(self):
        for _ in range(100):
            self.tick()
        self.assertEqual(self.probed, [])

    def test_a_pool_of_one_endpoint_can_show_a_cut(self):
        self.feed(EndpointSilent("a"))
        self.tick(ids=("a",))
        self.assertTrue(self.core.is_cut_off)

    def test_two_answers_some_time_apart_end_a_cut(self):
        self.cut_off()
        self.feed(EndpointAnswered())
        self.feed(EndpointAnswered(), 0.1)
        self.assertTrue(self.core.is_cut_off)
        self.feed(EndpointAnswered(), 0.3)
        self.assertFalse(self.core.is_cut_off)

    def test_a_link_that_flaps_does_not_end_a_cut(self):
        self.cut_off()
        for _ in range(5):
            self.feed(EndpointAnswered())
            self.feed(EndpointSilent("b", is_probe=True), 0.2)
            self.feed(EndpointAnswered(), 0.2)
            self.feed(EndpointSilent("b", is_probe=True))
        self.assertTrue(self.core.is_cut_off)

    def test_requests_that_hung_before_do_not_prolong_a_cut(self):
        self.cut_off()
        for _ in range(2):
            self.feed(EndpointAnswered())
            self.feed(EndpointSilent("b"), 0.31)
        self.assertFalse(self.core.is_cut_off)

    def test_a_cut_is_probed_until_it_ends(self):
        self.cut_off()
        self.probed.clear()
        for _ in range(100):
            self.tick(is_peer_answered=False)
            self.feed(EndpointSilent(IDS[0]))
        # Ten seconds, at intervals of 0.4 s.
        self.assertGreaterEqual(len(self.probed), 20)
        self.assertLessEqual(len(self.probed), 26)

    def test_endpoints_that_left_are_no_evidence(self):
        for endpoint in ("x", "y", "z"):
            self.feed(EndpointSilent(endpoint))
        self.tick()
        self.assertFalse(self.core.is_cut_off)
