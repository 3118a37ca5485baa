import unittest

from daisyhub.metrics import AccountStatistics, Metrics


class AccountStatisticsTest(unittest.TestCase):
    def test_finds_the_slowest_and_the_most_refused_account(self):
        statistics = AccountStatistics()
        for number in range(100):
            statistics.record_served("yard", 0.010, 60.0)
            statistics.record_served(
                "archive", 0.5 if number < 3 else 0.010, 60.0
            )
            statistics.record_served("dispatch", 0.010, 60.0)
        for _ in range(25):
            statistics.record_refused("dispatch", 60.0)
        # Has too few requests to be compared.
        statistics.record_served("rare", 9.0, 60.0)
        worst = statistics.find_worst(61.0)
        self.assertEqual(worst.slowest_account, "archive")
        self.assertTrue(0.5 <= worst.p99_s <= 0.5 * 1.19)
        self.assertEqual(worst.most_refused_account, "dispatch")
        self.assertAlmostEqual(worst.refused_share, 0.2)

    def test_periods_expire_and_accounts_are_bounded(self):
        statistics = AccountStatistics()
        for number in range(10_000):
            statistics.record_served(f"a{number}", 0.01, 60.0)
        # 512 accounts, and one entry for all others.
        self.assertLessEqual(len(statistics._current), 513)
        self.assertEqual(statistics.find_worst(200.0).slowest_account, "")
        self.assertFalse(statistics._current or statistics._previous)


class MetricsTest(unittest.TestCase):
    def test_series_are_bounded_and_worst_accounts_rendered(self):
        metrics = Metrics()
        for number in range(300):
            metrics.observe_s("route_latency", 0.01, route=f"/r{number}")
        text = metrics.render()
        self.assertIn('route_latency_seconds_count{overflow="yes"} 100', text)
        self.assertIn("daisyhub_worst_refused_share", text)
