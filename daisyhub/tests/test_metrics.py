import unittest

from daisyhub.metrics import AccountStatistics, Metrics


class AccountServiceTest(unittest.TestCase):
    def test_names_the_slowest_and_the_most_refused_account(self):
        service = AccountStatistics()
        for number in range(100):
            service.record_served("yard", 0.010, 60.0)
            service.record_served("archive", 0.5 if number < 3 else 0.010, 60.0)
            service.record_served("dispatch", 0.010, 60.0)
        for _ in range(25):
            service.record_refused("dispatch", 60.0)
        service.record_served("rare", 9.0, 60.0)
        worst = service.worst(61.0)
        self.assertEqual(worst.slowest, "archive")
        self.assertTrue(0.5 <= worst.p99_s <= 0.5 * 1.19)
        self.assertEqual(worst.most_refused, "dispatch")
        self.assertAlmostEqual(worst.refused_share, 0.2)

    def test_old_periods_and_many_accounts_are_forgotten(self):
        service = AccountStatistics()
        for number in range(10_000):
            service.record_served(f"a{number}", 0.01, 60.0)
        self.assertLessEqual(len(service._now), 513)
        self.assertEqual(service.worst(200.0).slowest, "")
        self.assertFalse(service._now or service._before)


class MetricsTest(unittest.TestCase):
    def test_series_are_bounded_and_the_worst_are_shown(self):
        metrics = Metrics()
        for number in range(300):
            metrics.observe_s("route_latency", 0.01, route=f"/r{number}")
        text = metrics.render()
        self.assertIn('route_latency_seconds_count{overflow="yes"} 100', text)
        self.assertIn("daisyhub_worst_refused_share", text)
