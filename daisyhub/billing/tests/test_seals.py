"""Every report of a window has the counts of its stored seal."""

import types
import unittest

import msgspec

from daisyhub.billing import SealFailed, UsageReporter, WindowSealed
from daisyhub.logs import DecisionLog
from daisyhub.testing.object_store import BareConflictStore, Fault

WINDOW = 40


class SealTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = BareConflictStore()
        self.counts = {"acme": 1}
        self.events = []
        aggregator = types.SimpleNamespace(
            total=lambda _: self.counts,
            is_complete=lambda *_: True,
            discard_before=lambda _: None,
        )
        self.reporter = UsageReporter(
            None,
            aggregator,
            dict,
            self.store,
            None,
            lambda: 1000.0,
            10.0,
            20.0,
            DecisionLog("d", write=lambda _: True),
        )
        self.reporter._handle = self.events.append

    async def seal(self):
        await self.reporter._seal(WINDOW)
        return self.events.pop()

    def stored_counts(self):
        found = self.store.objects["usage-windows", str(WINDOW)]
        return msgspec.json.decode(found.spec)["counts"]

    async def test_a_seal_whose_response_was_lost_is_read(self):
        self.store.fail_next("create", Fault.RESPONSE_LOST)
        self.assertEqual(await self.seal(), WindowSealed(WINDOW, self.counts))

    async def test_a_seal_that_could_not_be_confirmed_keeps_its_counts(self):
        self.store.fail_next("create", Fault.RESPONSE_LOST)
        self.store.fail_next("read", Fault.REFUSED, Fault.REFUSED)
        for _ in range(2):
            self.assertEqual(await self.seal(), SealFailed(WINDOW))
            self.counts = {"acme": self.counts["acme"] + 1}
        self.assertEqual(await self.seal(), WindowSealed(WINDOW, {"acme": 1}))
        self.assertEqual(self.stored_counts(), {"acme": 1})

    async def test_a_seal_that_arrives_late_replaces_none(self):
        self.store.fail_next("create", Fault.DELAYED)
        self.assertEqual(await self.seal(), SealFailed(WINDOW))
        self.counts = {"acme": 2}
        self.assertEqual(await self.seal(), WindowSealed(WINDOW, {"acme": 2}))
        self.store.run_delayed_writes()
        self.assertEqual(self.stored_counts(), {"acme": 2})

    async def test_a_seal_that_arrives_between_two_attempts_is_reported(self):
        self.store.fail_next("create", Fault.DELAYED)
        self.assertEqual(await self.seal(), SealFailed(WINDOW))
        self.store.run_delayed_writes()
        self.counts = {"acme": 2}
        self.assertEqual(await self.seal(), WindowSealed(WINDOW, {"acme": 1}))
