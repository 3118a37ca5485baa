import unittest

from daisyhub.balancing import EndpointState, prefer_regular
from daisyhub.settings import Address


def state(endpoint_id, cheap):
    return EndpointState(
        endpoint_id=endpoint_id,
        pool="p",
        address=Address(ip="127.0.0.1", port=1),
        incarnation=1,
        cheap=cheap,
    )


class PreferRegularTest(unittest.TestCase):
    def test_regular_endpoints_are_taken_while_there_are_any(self):
        states = [state("a", True), state("b", False), state("c", True)]
        self.assertEqual(prefer_regular(states), [states[1]])

    def test_cheap_ones_serve_when_they_are_all_that_is_left(self):
        states = [state("a", True), state("c", True)]
        self.assertEqual(prefer_regular(states), states)
        self.assertEqual(prefer_regular([]), [])
