"""A refusal here doesn't undo a call that was forwarded before."""

import types
import unittest

from daisyhub.controllers.tests.test_lot_calls import (
    LEASE,
    OPEN,
    FakeClient,
    new_controller,
)
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.peers import PeerUnreachableError


class LosingNetwork:
    async def call(self, *_):
        raise PeerUnreachableError("no response")


class ForwardedCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_that_was_forwarded_and_lost_stays_unknown(self):
        """The holder may have carried it out; the heir refused it."""
        controller = new_controller(FakeClient(LEASE))
        controller._network = LosingNetwork()

        async def start_server(_):
            return types.SimpleNamespace()

        async def refuse(*_):
            raise Refusal(
                ErrorCode.LOT_CONFLICT,
                "the lot is closed",
                ran=ExecutionStatus.NOT_RUN,
            )

        controller._get_or_start_server = start_server
        controller._serve_here = refuse
        with self.assertRaises(Refusal) as caught:
            await controller.serve(OPEN)
        self.assertIs(caught.exception.ran, ExecutionStatus.UNKNOWN)

    async def test_a_lost_call_at_a_stopping_daemon_stays_unknown(self):
        controller = new_controller(FakeClient(LEASE))
        controller._network = LosingNetwork()
        controller._is_released = True

        async def find_spec(_):
            return types.SimpleNamespace(account=OPEN.account)

        controller._find_spec = find_spec
        with self.assertRaises(Refusal) as caught:
            await controller.serve(OPEN)
        self.assertIs(caught.exception.ran, ExecutionStatus.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
