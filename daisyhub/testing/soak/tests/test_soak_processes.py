"""Soaks of real daemons, also with the seeds that once found a fault."""

import asyncio
import unittest

from daisyhub.testing.soak import Disturbance, Kind, Soak, WriteFault

# Seeds that once found a violated guarantee, with its cause; `make soak SEED=s`
# runs one.
REGRESSIONS = (
    # SIGHUP ended a daemon while it imported its modules.
    4,
    # A create of unknown outcome was reported as not done, because the read
    # that should confirm it failed.
    922,
    # A daemon whose write of a duty was lost never learned that it held it.
    1007,
    # A server whose entry was removed while a request to it waited for a permit
    # was asked for a report.
    9121,
)

# The store creates lots, loses its responses, and then rejects all calls.
LOST_CREATES = tuple(
    Disturbance(
        at_s=at_s,
        duration_s=2.0,
        kind=Kind.SUBMISSION,
        write_fault=WriteFault(
            kind="lots", effect="lose", rejection="503", rejection_delay_s=0.3
        ),
    )
    for at_s in (0.5, 2.0)
)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # This process carries all links, as `make soak` does without asyncio's
        # debug mode, which the base class sets and in which it is too slow.
        asyncio.get_running_loop().set_debug(False)

    async def test_a_short_soak_keeps_all_guarantees(self):
        report = await Soak(11, seconds=8.0, daemons=3, servers=2).run()
        self.assertEqual(report.violations, (), report.logs)
        self.assertGreater(report.counts["status 200"], 0)
        self.assertGreater(report.counts["lots"], 0)

    async def test_an_injected_bug_is_detected(self):
        # Short faults with pauses, so that the retry budget refills in between.
        plan = tuple(
            Disturbance(
                at_s=at_s,
                duration_s=0.5,
                kind=Kind.SERVER_FAULT,
                target=target,
                mode="truncate",
            )
            for at_s in (1.0, 2.5, 4.0, 5.5)
            for target in ("i-0", "i-1")
        )
        soak = Soak(
            1, seconds=6.0, daemons=2, servers=2, broken="repeats", plan=plan
        )
        report = await soak.run()
        kinds = {line.split()[0] for line in report.violations}
        self.assertEqual(kinds, {"TWICE"}, report.violations)

    async def test_no_lot_runs_that_all_daemons_refused_after_lost_creates(
        self,
    ):
        report = await Soak(2, daemons=3, servers=2, plan=LOST_CREATES).run()
        self.assertEqual(report.violations, (), report.logs)
        self.assertGreater(report.counts["lots given up"], 0)

    async def test_a_false_promise_about_a_lot_is_detected(self):
        soak = Soak(
            2, daemons=3, servers=2, broken="promises", plan=LOST_CREATES
        )
        report = await soak.run()
        kinds = {line.split()[0] for line in report.violations}
        self.assertEqual(kinds, {"REFUSED", "STORED"}, report.violations)

    async def test_streams_of_two_software_versions_are_detected(self):
        plan = (Disturbance(at_s=5.0, duration_s=0.1, kind=Kind.CONFIG),)
        soak = Soak(3, daemons=2, servers=2, broken="mixes", plan=plan)
        report = await soak.run()
        kinds = {line.split()[0] for line in report.violations}
        self.assertEqual(kinds, {"ORDER"}, report.violations)

    async def test_requests_at_servers_that_left_are_detected(self):
        plan = (Disturbance(at_s=5.0, duration_s=0.1, kind=Kind.CONFIG),)
        soak = Soak(5, daemons=2, servers=4, broken="lingers", plan=plan)
        report = await soak.run()
        kinds = {line.split()[0] for line in report.violations}
        self.assertEqual(kinds, {"DRAIN"}, report.violations)

    async def test_servers_that_left_get_no_requests(self):
        plan = (Disturbance(at_s=5.0, duration_s=0.1, kind=Kind.CONFIG),)
        report = await Soak(5, daemons=3, servers=4, plan=plan).run()
        self.assertEqual(report.violations, (), report.logs)
        self.assertEqual(report.counts["departures"], 2)

    async def test_seeds_that_failed_once_keep_all_guarantees(self):
        for seed in REGRESSIONS:
            with self.subTest(seed=seed):
                report = await Soak(seed).run()
                self.assertEqual(report.violations, (), report.logs)
