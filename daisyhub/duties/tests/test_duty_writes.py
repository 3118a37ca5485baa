"""Writes of a duty's record whose outcome is unknown."""

import types
import unittest
from unittest import mock

from daisyhub.cluster import PeerTable
from daisyhub.duties import DutyController, DutyCore, _controller
from daisyhub.logs import DecisionLog
from daisyhub.testing.object_store import BareConflictStore, Fault

LOG = DecisionLog("d", write=lambda _: True)
TERM_S = 3.0


class DutyWriteTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now_s = 1000.0
        patched = mock.patch.object(
            _controller, "boot_time_s", lambda: self.now_s
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.store = BareConflictStore()

    def new_daemon(self, name):
        core = DutyCore(f"{name}/1", TERM_S, True)
        duty = DutyController(
            "rollouts", core, self.store, PeerTable(name, LOG), 1.0, LOG
        )
        # Every daemon believes that the others are lost.
        duty.is_candidate = True
        duty._tick = types.MethodType(
            lambda duty: _controller.DutyTick(
                is_candidate=duty.is_candidate, is_holder_live=False
            ),
            duty,
        )
        return duty

    async def step(self, *duties, count=1):
        for _ in range(count):
            self.now_s += 0.4
            for duty in duties:
                await duty.step()

    async def test_a_holder_learns_that_its_lost_write_took_effect(self):
        duty = self.new_daemon("a")
        self.store.fail_next("create", Fault.RESPONSE_LOST)
        await self.step(duty, count=2)
        self.assertEqual(duty.fencing, 0)
        await self.step(duty)
        self.assertEqual(duty.fencing, 1)

    async def test_a_lost_write_is_found_by_a_daemon_no_longer_preferred(self):
        for fault in (Fault.RESPONSE_LOST, Fault.DELAYED):
            with self.subTest(fault):
                self.setUp()
                duty = self.new_daemon("a")
                self.store.fail_next("create", fault)
                await self.step(duty, count=2)
                duty.is_candidate = False
                await self.step(duty, count=4)
                self.store.run_delayed_writes()
                await self.step(duty, count=4)
                self.assertEqual(duty.fencing, 1)

    async def test_a_write_that_is_decided_is_not_read_for_ever(self):
        one, other = self.new_daemon("a"), self.new_daemon("b")
        self.store.fail_next("create", Fault.DELAYED)
        await self.step(one, count=2)
        await self.step(other, count=2)
        one.is_candidate = False
        await self.step(one, count=4)
        reads = self.store.calls["read"]
        await self.step(one, count=20)
        self.assertEqual(self.store.calls["read"], reads)

    async def test_a_leaving_daemon_gives_up_what_its_lost_write_took(self):
        duty = self.new_daemon("a")
        self.store.fail_next("create", Fault.RESPONSE_LOST)
        await self.step(duty, count=2)
        duty.is_candidate = False
        await duty.release()
        await self.step(duty, count=4)
        self.assertEqual(duty.fencing, 0)
        record = self.store.objects["duties", "rollouts"].spec
        self.assertEqual(record, b'{"holder":"","fencing":1}')

    async def test_a_conflict_without_object_gives_no_duty(self):
        one, other = self.new_daemon("a"), self.new_daemon("b")
        await self.step(one)
        await self.step(other, count=2)
        self.assertEqual(other.fencing, 1)
        one._core._last_read_at_s = self.now_s
        await self.step(one)
        self.assertEqual(one.fencing, 0)
        self.assertEqual(other.fencing, 1)

    async def test_a_write_that_arrives_late_deposes_no_one(self):
        one, other = self.new_daemon("a"), self.new_daemon("b")
        self.store.fail_next("create", Fault.DELAYED)
        await self.step(one, count=2)
        await self.step(other, count=2)
        self.store.run_delayed_writes()
        self.assertEqual((one.fencing, other.fencing), (0, 1))
        record = self.store.objects["duties", "rollouts"].spec
        self.assertEqual(record, b'{"holder":"b/1","fencing":1}')
