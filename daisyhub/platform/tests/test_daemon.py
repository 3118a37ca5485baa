"""A daemon is built from its settings, optional ones included."""

import unittest

from daisyhub.fleet_settings import FleetSettings
from daisyhub.platform._daemon import FleetDaemon


def make_settings(**fields):
    return FleetSettings(
        daemon_id="d",
        failure_domain="z",
        callers="127.0.0.1:1",
        readiness="127.0.0.1:2",
        peer="127.0.0.1:3",
        metrics_port=4,
        store="127.0.0.1:5",
        **fields,
    )


class FleetDaemonTest(unittest.IsolatedAsyncioTestCase):
    def controllers(self, **fields):
        daemon = FleetDaemon(make_settings(**fields), "settings.jsonc")
        return {controller.name for controller in daemon.controllers}

    async def test_without_order_desk_no_usage_is_reported(self):
        """The daemon once ended at its start."""
        self.assertNotIn("usage_reports", self.controllers())
        with_desk = self.controllers(order_desk="127.0.0.1:6")
        self.assertIn("usage_reports", with_desk)
