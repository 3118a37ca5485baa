"""For how long endpoints without an entry are kept."""

import unittest

from daisyhub.balancing import EndpointDirectory, LapseWindow
from daisyhub.balancing.tests.test_departed_endpoints import READY

# Bounds of the platform, in seconds: a daemon that lost the store is judged
# again this long after its return, and a removal must be known by then.
CONTACT_S = 3.0
DRAIN_S = 2.0


class LapseWindowTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.failed_at_s = 10.0
        self.directory = EndpointDirectory(
            lambda _: 0.5,
            clock=lambda: self.now_s,
            lapses=LapseWindow(lambda: self.failed_at_s),
        )
        self.directory.upsert(READY)

    def is_used(self, now_s):
        self.now_s = now_s
        is_accepted = self.directory.accepts(READY)
        chosen = self.directory.choose(("p",), frozenset(), now_s)
        self.assertEqual(is_accepted, chosen is not None)
        return is_accepted

    def remove(self, at_s):
        self.now_s = at_s
        window = LapseWindow(lambda: self.failed_at_s)
        self.directory.remove(
            "a", at_s, is_store_stable=not window.is_open(at_s)
        )

    def test_a_lapsed_endpoint_is_used_until_it_should_be_listed_again(self):
        self.remove(10.4)
        self.assertTrue(self.is_used(12.3))
        self.assertFalse(self.is_used(12.5))

    def test_a_removal_seen_late_is_not_kept_for_another_period(self):
        for seen_s in (11.5, 12.0, 12.9):
            with self.subTest(seen_s):
                self.directory.upsert(READY)
                self.remove(seen_s)
                self.assertTrue(self.is_used(seen_s))
                self.assertFalse(self.is_used(10.0 + CONTACT_S + 0.01))

    def test_a_removal_is_final_once_the_store_was_available_for_long(self):
        self.remove(10.0 + CONTACT_S + 0.01)
        self.assertFalse(self.is_used(13.02))

    def test_no_endpoint_is_used_longer_than_allowed_after_its_removal(self):
        for tenths in range(0, 31):
            seen_s = 10.0 + tenths / 10
            self.directory.upsert(READY)
            self.remove(seen_s)
            self.assertFalse(self.is_used(seen_s + DRAIN_S + 0.01), seen_s)

    def test_a_store_that_fails_again_extends_the_time(self):
        self.remove(10.4)
        self.failed_at_s = 12.0
        self.assertTrue(self.is_used(13.9))
        self.assertFalse(self.is_used(14.1))


if __name__ == "__main__":
    unittest.main()
