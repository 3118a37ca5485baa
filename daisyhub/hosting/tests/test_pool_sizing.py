"""An endpoint that is leaving doesn't count; a replacement is ordered."""

import unittest

from daisyhub.hosting import ObservedEndpoint, PoolState
from daisyhub.hosting._pool_sizing import PoolSizer, SizingDecision


def observe(endpoint_id, **fields):
    return ObservedEndpoint(
        **{
            "endpoint_id": endpoint_id,
            "cheap": False,
            "load": 0.0,
            "capacity": 8,
            **fields,
        }
    )


def decide(*endpoints, least=1, budget=10, starting=()):
    pool_state = PoolState(
        pool="p",
        endpoints=endpoints,
        min_endpoints=least,
        max_endpoints=budget,
        target_load=0.5,
        cheap_share=0.0,
    )
    return PoolSizer().decide(
        pool_state, starting=starting, stopping=frozenset(), now_s=0.0
    )


class LeavingEndpointsTest(unittest.TestCase):
    def test_each_gets_one_replacement(self):
        endpoints = (
            observe("a", is_leaving=True),
            observe("b"),
            observe("c", is_leaving=True),
        )
        self.assertEqual(
            decide(*endpoints, least=3), SizingDecision(start_regular=2)
        )
        self.assertEqual(
            decide(*endpoints, least=3, starting=(False,)),
            SizingDecision(start_regular=1),
        )
        self.assertEqual(
            decide(*endpoints, least=3, starting=(False, False)),
            SizingDecision(),
        )

    def test_the_size_of_those_that_stay_decides_how_many_are_needed(self):
        """The size of a larger endpoint that left hid that more are needed."""
        endpoints = (
            observe("a", capacity=32, is_leaving=True),
            observe("b", load=8.0),
            observe("c", load=8.0),
        )
        # A load of 16 at half of 8 each.
        self.assertEqual(decide(*endpoints), SizingDecision(start_regular=2))

    def test_without_any_that_stays_their_size_is_assumed(self):
        endpoints = [
            observe(name, load=8.0, is_leaving=True) for name in ("a", "b")
        ]
        self.assertEqual(decide(*endpoints), SizingDecision(start_regular=4))
