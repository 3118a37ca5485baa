"""Which connection is closed when a listener has too many."""

import unittest

from daisyhub.serving import ConnectionTable, EvictableConnection


class Connection(EvictableConnection):
    """Records its eviction."""

    def __init__(self):
        self.is_evicted = False

    def evict(self):
        self.is_evicted = True


class ConnectionTableTest(unittest.TestCase):
    def setUp(self):
        self.table = ConnectionTable(2)
        self.first, self.second, self.third = (Connection() for _ in range(3))
        self.table.add(self.first)
        self.table.add(self.second)

    def evicted(self):
        conns = (self.first, self.second, self.third)
        return [c.is_evicted for c in conns]

    def test_the_oldest_without_a_request_goes_first(self):
        self.table.add(self.third)
        self.assertEqual(self.evicted(), [True, False, False])

    def test_one_that_was_used_is_kept_longer(self):
        self.table.set_busy(self.first)
        self.table.set_idle(self.first)
        self.table.add(self.third)
        self.assertEqual(self.evicted(), [False, True, False])

    def test_the_longest_idle_goes_first(self):
        for conn in (self.second, self.first):
            self.table.set_busy(conn)
            self.table.set_idle(conn)
        self.table.add(self.third)
        self.assertEqual(self.evicted(), [False, True, False])

    def test_requests_in_progress_are_kept(self):
        self.table.set_busy(self.first)
        self.table.set_busy(self.second)
        self.table.add(self.third)
        self.assertEqual(self.evicted(), [False, False, True])

    def test_closed_connections_leave_room(self):
        self.table.remove(self.first)
        self.table.add(self.third)
        self.assertEqual(self.evicted(), [False, False, False])
