"""Tests of the revisions, deliveries and retries of a watch."""

import unittest

from daisyhub.controllers._watch_core import (
    DeliverObject,
    DeliveryFailed,
    WatchCore,
    WatchObjects,
    WatchResponseReceived,
    WatchStarted,
)
from daisyhub.hosting import PlatformObject


def make_object(key, revision):
    return PlatformObject(key=key, version=1, revision=revision, write_id="w")


class WatchCoreTest(unittest.TestCase):
    def setUp(self):
        self.core = WatchCore(("news/keys", "news/"), 20.0)
        self.core.handle(WatchStarted(), 0.0)

    def test_an_empty_store_is_watched_with_the_full_wait(self):
        watch = self.core.handle(WatchResponseReceived(0, ()), 0.0)[-1]
        self.assertEqual(watch, WatchObjects(0, 20.0))

    def test_a_lower_revision_causes_a_new_list(self):
        self.core.handle(WatchResponseReceived(9, ()), 0.0)
        watch = self.core.handle(WatchResponseReceived(3, ()), 1.0)[-1]
        self.assertEqual((watch.after_revision, watch.wait_s), (0, 0.0))
        self.assertGreater(watch.pause_s, 0)
        found = (make_object("news/keys", 2),)
        actions = self.core.handle(WatchResponseReceived(3, found), 2.0)
        self.assertEqual(actions[-1], WatchObjects(3, 20.0))

    def test_withdrawn_keys_are_delivered_first(self):
        # The listener of withdrawn keys is the first one of the core.
        found = (make_object("news/config", 1), make_object("news/keys", 2))
        actions = self.core.handle(WatchResponseReceived(2, found), 0.0)
        keys = [a.found.key for a in actions if isinstance(a, DeliverObject)]
        self.assertEqual(keys, ["news/keys", "news/config", "news/keys"])

    def test_repeated_failures_back_off_to_the_full_wait(self):
        """Guards against a listener that always fails and shortens all watches.

        A watch request ends when the first retry is due.
        """
        found = make_object("news/config", 1)
        self.core.handle(WatchResponseReceived(1, (found,)), 0.0)
        now_s, waits = 0.0, []
        for _ in range(12):
            self.core.handle(DeliveryFailed(1, found), now_s)
            watch = self.core.handle(WatchResponseReceived(1, ()), now_s)[-1]
            waits.append(watch.wait_s)
            now_s += watch.wait_s
        self.assertEqual(waits[0], 0.5)
        self.assertEqual(max(waits), 20.0)
