"""What the crowd tests read of a process is what the system reports."""

import os
import resource
import socket
import unittest

from daisyhub.serving.tests.crowd_cases import ProcessUsage

_BYTES_PER_KB = 1024
_GROWTH_BYTES = 32 << 20


class ProcessUsageTest(unittest.TestCase):
    def setUp(self):
        self.usage = ProcessUsage(os.getpid())

    def test_the_peak_is_that_of_the_system(self):
        own = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        # Both counters lag by a few pages for each thread.
        self.assertAlmostEqual(
            self.usage.peak_bytes(), own * _BYTES_PER_KB, delta=1 << 20
        )

    def test_the_peak_grows_with_memory_that_is_written(self):
        before = self.usage.peak_bytes()
        held = [b"a" * (before + _GROWTH_BYTES)]
        self.assertGreater(self.usage.peak_bytes(), before + _GROWTH_BYTES // 2)
        del held

    def test_open_sockets_are_descriptors(self):
        before = self.usage.descriptors()
        with socket.socket(), socket.socket():
            self.assertEqual(self.usage.descriptors(), before + 2)


if __name__ == "__main__":
    unittest.main()
