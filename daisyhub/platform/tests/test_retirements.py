"""A request to vacate a machine is completed once its status is stored."""

import unittest

from daisyhub.logs import DecisionLog
from daisyhub.platform._retirements import RetirementController
from daisyhub.testing.object_store import Fault, MemoryStore

COMPLETED = b'{"state":"completed"}'


class RetirementTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_stays_pending_until_its_status_is_known(self):
        for fault in (Fault.REFUSED, Fault.RESPONSE_LOST, Fault.DELAYED):
            store = MemoryStore()
            log = DecisionLog("d", write=lambda _: True)
            retirements = RetirementController(None, store, log)
            retirements._on_request(store.put("retirements", "m", b"{}"))
            store.fail_next("set_status", fault)
            await retirements._complete("m")
            self.assertEqual(retirements.status(), {"waiting": ["m"]})
            await retirements._complete("m")
            self.assertEqual(retirements.status(), {"waiting": []})
            store.run_delayed_writes()
            found = store.objects["retirements", "m"]
            self.assertEqual(found.status, COMPLETED)
