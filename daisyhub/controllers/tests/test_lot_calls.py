"""Trainers' calls are refused as not run only if nothing can have changed."""

import types
import unittest

import msgspec

from daisyhub.controllers import LotController
from daisyhub.controllers._lot_calls import make_response
from daisyhub.exceptions import (
    ErrorCode,
    ExecutionStatus,
    PlatformUnavailableError,
    Refusal,
)
from daisyhub.hosting import PlatformObject
from daisyhub.peers import LotCallRequest, LotCallResponse, PeerUnreachableError
from daisyhub.rollouts import RefusalReason, RefuseCall

LEASE = PlatformObject(
    key="leases/lots/x",
    version=1,
    revision=1,
    write_id="w",
    value={"holder": "other/1", "fencing": 1, "term_s": 5.0},
)
OPEN = LotCallRequest(
    lot_id="x",
    verb="open",
    account="acme",
    body=b'{"lot_class":"c","prompts":["p"]}',
)


class FakeClient:
    """Has a lease or none; every write ends without a response."""

    def __init__(self, lease=None):
        self._lease = lease
        self.is_lost = False

    async def get(self, key):
        if self.is_lost:
            raise PlatformUnavailableError("no response")
        return self._lease if key.startswith("leases/") else None

    async def put(self, *_, **__):
        raise PlatformUnavailableError("the outcome is unknown")


class LosingNetwork:
    """Loses each call, after which the platform may be unreachable too."""

    def __init__(self, client, *, loses_platform=True):
        self._client = client
        self._loses_platform = loses_platform

    async def call(self, *_):
        self._client.is_lost = self._loses_platform
        raise PeerUnreachableError("no response")


class ElsewhereNetwork:
    """The peer doesn't serve the lot, and says so."""

    async def call(self, *_):
        return LotCallResponse(status=503, body=b"", is_elsewhere=True)


def new_controller(client, network=None):
    lot_class = types.SimpleNamespace(
        account="acme",
        pool="p",
        group_size=1,
        max_staleness=1,
        max_tokens=1,
        concurrency=1,
        spare_samples=0,
        sample_timeout_s=1.0,
    )
    document = types.SimpleNamespace(trainer_lots={"c": lot_class})
    timing = types.SimpleNamespace(lease_term_s=5.0, lease_margin_s=1.0)
    dependencies = types.SimpleNamespace(
        client=client,
        cfg=types.SimpleNamespace(daemon_id="own", timing=timing),
        config=types.SimpleNamespace(document=document),
    )
    return LotController(dependencies, network or LosingNetwork(client))


class LotCallTest(unittest.IsolatedAsyncioTestCase):
    async def refuse(self, client, network=None, call=OPEN):
        with self.assertRaises(Refusal) as caught:
            await new_controller(client, network).serve(call)
        return caught.exception

    async def test_a_lot_whose_create_has_no_answer_may_be_open(self):
        refusal = await self.refuse(FakeClient())
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    async def test_a_call_that_was_forwarded_and_lost_may_be_done(self):
        refusal = await self.refuse(FakeClient(LEASE))
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    async def test_a_refusal_after_a_lost_forwarded_call_denies_nothing(self):
        client = FakeClient(LEASE)
        network = LosingNetwork(client, loses_platform=False)
        call = msgspec.structs.replace(OPEN, verb="close")
        refusal = await self.refuse(client, network, call)
        self.assertIs(refusal.error, ErrorCode.LOT_UNKNOWN)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    async def test_a_call_of_an_unknown_lot_is_refused_as_not_run(self):
        call = msgspec.structs.replace(OPEN, verb="close")
        refusal = await self.refuse(FakeClient(), None, call)
        self.assertIs(refusal.ran, ExecutionStatus.NOT_RUN)

    async def test_a_released_holder_may_have_stored_the_call(self):
        call = msgspec.structs.replace(OPEN, verb="close")
        client = FakeClient(LEASE)
        refusal = await self.refuse(client, ElsewhereNetwork(), call)
        self.assertIs(refusal.ran, ExecutionStatus.UNKNOWN)

    def test_a_call_whose_commit_is_open_may_be_done(self):
        for response, ran in (
            (RefuseCall(1, RefusalReason.PLATFORM), ExecutionStatus.UNKNOWN),
            (RefuseCall(1, RefusalReason.RELEASED), ExecutionStatus.UNKNOWN),
            (None, ExecutionStatus.UNKNOWN),
            (RefuseCall(1, RefusalReason.CLOSED), ExecutionStatus.NOT_RUN),
        ):
            with self.assertRaises(Refusal) as caught:
                make_response(response)
            self.assertIs(caught.exception.ran, ran, response)
