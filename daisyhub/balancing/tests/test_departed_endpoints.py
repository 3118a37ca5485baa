"""Endpoints that left stay out of use, whatever arrives later."""

import dataclasses
import unittest

from daisyhub.balancing import EndpointDirectory, EndpointEntry
from daisyhub.settings import Address

READY = EndpointEntry(
    endpoint_id="a",
    pool="p",
    address=Address(ip="127.0.0.1", port=1),
    domain="d",
    incarnation=1700,
)
LEAVING = dataclasses.replace(READY, is_leaving=True)
RESTARTED = dataclasses.replace(READY, incarnation=1800)


class DepartedEndpointsTest(unittest.TestCase):
    def setUp(self):
        self.directory = EndpointDirectory(lambda _: 0.5)
        self.directory.upsert(READY)

    def assert_unused(self, entry):
        self.assertFalse(self.directory.accepts(entry))
        self.assertEqual(self.directory.in_pools(("p",)), [])
        self.assertIsNone(self.directory.choose(("p",), frozenset(), 1.0))

    def test_an_older_ready_entry_does_not_bring_a_leaving_process_back(self):
        self.directory.upsert(LEAVING)
        self.directory.upsert(READY)
        self.assert_unused(READY)

    def test_a_leaving_process_stays_unused_after_its_entry_came_back(self):
        self.directory.upsert(LEAVING)
        self.directory.remove("a", 1.0, is_store_stable=True)
        self.directory.upsert(READY)
        self.assert_unused(READY)

    def test_a_held_entry_of_a_removed_endpoint_is_not_accepted(self):
        for entry in (READY, LEAVING):
            with self.subTest(is_leaving=entry.is_leaving):
                self.directory.upsert(entry)
                self.directory.remove("a", 1.0, is_store_stable=True)
                self.assert_unused(READY)

    def test_a_held_entry_of_a_replaced_process_is_not_accepted(self):
        self.directory.upsert(RESTARTED)
        self.assertFalse(self.directory.accepts(READY))
        self.assertTrue(self.directory.accepts(RESTARTED))

    def test_an_entry_that_lapsed_is_used_again_once_it_is_back(self):
        self.directory.remove("a", 1.0, is_store_stable=True)
        self.directory.upsert(READY)
        self.assertTrue(self.directory.accepts(READY))
        self.assertEqual(self.directory.choose(("p",), frozenset(), 1.0), "a")


if __name__ == "__main__":
    unittest.main()
