"""Answers to submissions while the store fails, and their log lines."""

import re
import time
import unittest

import anyio
import msgspec

from daisyhub.catalog import Route, RouteKind
from daisyhub.cluster import ClusterClock
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.logs import DecisionLog
from daisyhub.lots import (
    ItemSpec,
    LotHead,
    LotSpec,
    LotStore,
    LotWire,
    SubmittedLotsFilter,
)
from daisyhub.messages import Request
from daisyhub.objects import RelayedStore, RelayProvider
from daisyhub.testing.object_store import BareConflictStore, Fault

# Statuses that promise that nothing has run or will run.
PROMISES = {408, 421, 429, 503}
LOT = LotSpec(
    head=LotHead(
        lot_id="L",
        account="a",
        host="h",
        path="/p/L",
        step=1,
        model="m",
        oldest_version=1,
        wanted_groups=1,
        total=1,
    ),
    items=(
        ItemSpec(item_id="i", path="/p/i", headers={}, body=b"x", group="g"),
    ),
)


class FixedWire(LotWire):
    def read_lot(self, req, accepted_s):
        return LOT

    def may_be_lot(self, body):
        return body == b"lot"

    def write_results(self, total, after, results):
        raise NotImplementedError

    def make_reader(self, version):
        raise NotImplementedError


class FixedRelays(RelayProvider):
    def __init__(self, *stores):
        self._stores = list(stores)

    def stores(self):
        return self._stores


class AcceptedLots:
    def __init__(self):
        self.heads = []

    def record_accepted(self, head, *, is_ended):
        self.heads.append(head)


def _without_digest(text):
    return re.sub(r"\.\w{16}\.", ".*.", text.partition(" (")[0])


async def never_called(_):
    raise AssertionError("a submission was passed on")


async def refuse_as_overloaded(_):
    raise Refusal(
        ErrorCode.OVERLOADED,
        "no endpoint is free",
        ran=ExecutionStatus.NOT_RUN,
        retry_after_s=0.1,
    )


class Daemon:
    def __init__(self, shared, *relays):
        self.lines = []
        self.reader = AcceptedLots()
        log = DecisionLog("d", write=self._write)
        self.lots = SubmittedLotsFilter(
            LotStore(RelayedStore(shared, FixedRelays(*relays), log)),
            self.reader,
            FixedWire(),
            ClusterClock(),
            log,
        )

    def _write(self, line):
        self.lines.append(msgspec.json.decode(line))
        return True

    async def submit(
        self, kind=RouteKind.ROLLOUT, body=b"lot", call_next=never_called
    ):
        """Returns the status of the answer."""
        now_s = time.monotonic()
        req = Request(
            request_id="L",
            method="POST",
            path="/p/L",
            query="",
            host="h",
            headers=(),
            read_body=None,
            started_s=now_s,
            deadline_s=now_s + 10.0,
            account="a",
            body=body,
            route=Route(
                name="r",
                host="h",
                path_prefix="/p/",
                kind=kind,
                shares=(),
                timeout_s=10.0,
                target_latency_s=1.0,
            ),
        )
        try:
            resp = await self.lots.handle(req, call_next)
        except Refusal as exc:
            return exc.error.status
        return resp.status

    def find(self, event):
        return [line for line in self.lines if line["event"] == event]


class SubmittedLotsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.shared = BareConflictStore()
        self.daemon = Daemon(self.shared)

    async def test_a_refusal_is_logged_with_each_try_of_a_store_call(self):
        self.shared.fail_next("create", Fault.REFUSED)
        await self.daemon.submit()
        (line,) = self.daemon.find("lot_not_accepted")
        self.assertEqual(line["id"], "L")
        self.assertRegex(
            line["tries"][0], r"create lot-items/L\.\w+\.0 by direct: not_done"
        )

    async def test_a_refusal_is_logged_with_whether_the_lot_may_be_stored(
        self,
    ):
        for faults, may_be_stored in (
            ((Fault.REFUSED, Fault.REFUSED), False),
            ((None, Fault.REFUSED, Fault.DELAYED), True),
        ):
            with self.subTest(faults):
                shared = BareConflictStore()
                shared.fail_next("create", *faults)
                daemon = Daemon(shared, shared)
                status = await daemon.submit()
                self.assertEqual(status in PROMISES, not may_be_stored)
                (line,) = daemon.find("lot_not_accepted")
                self.assertIs(line["may_be_stored"], may_be_stored)

    async def test_an_accepted_lot_is_logged_with_its_failed_tries(self):
        self.shared.fail_next("create", Fault.REFUSED)
        await self.daemon.submit()
        self.assertEqual(await Daemon(self.shared).submit(), 202)
        other = Daemon(self.shared)
        self.assertEqual(await other.submit(), 202)
        (line,) = other.find("lot_accepted")
        self.assertEqual(
            [_without_digest(text) for text in line["failed_tries"]],
            [
                "create lot-items/L.*.0 by direct: conflict",
                "create lots/L by direct: conflict",
            ],
        )

    async def test_a_failed_confirmation_does_not_turn_unknown_into_not_run(
        self,
    ):
        self.shared.fail_next("create", None, Fault.RESPONSE_LOST)
        self.assertNotIn(await self.daemon.submit(), PROMISES)

    async def test_a_lot_whose_create_conflicts_is_not_called_not_run(self):
        self.assertEqual(await Daemon(self.shared).submit(), 202)
        self.shared.fail_next("read", Fault.REFUSED)
        self.assertNotIn(await self.daemon.submit(), PROMISES)

    async def test_a_stored_lot_is_not_called_not_run_by_a_failed_repeat(self):
        self.assertEqual(await Daemon(self.shared).submit(), 202)
        self.shared.fail_next("create", Fault.REFUSED)
        self.shared.fail_next("read", Fault.REFUSED)
        self.assertNotIn(await self.daemon.submit(), PROMISES)

    async def test_a_lot_found_after_a_failure_is_answered_as_accepted(self):
        self.assertEqual(await Daemon(self.shared).submit(), 202)
        self.shared.fail_next("create", Fault.REFUSED, Fault.REFUSED)
        daemon = Daemon(self.shared, self.shared)
        self.assertEqual(await daemon.submit(), 202)

    async def test_not_run_is_promised_of_a_lot_that_is_known_not_stored(self):
        self.shared.fail_next("create", Fault.REFUSED, Fault.REFUSED)
        daemon = Daemon(self.shared, self.shared)
        self.assertIn(await daemon.submit(), PROMISES)

    async def test_a_lot_with_all_parts_stored_is_not_called_not_run(self):
        refused = (Fault.REFUSED, Fault.REFUSED)
        self.shared.fail_next("create", None, *refused)
        daemon = Daemon(self.shared, self.shared)
        self.assertNotIn(await daemon.submit(), PROMISES | {202})

    async def test_a_lot_whose_head_is_unreadable_is_not_called_not_run(self):
        self.shared.put("lots", "L", b"[]")
        self.assertEqual(await self.daemon.submit(), 504)
        self.assertEqual(len(self.daemon.find("lot_not_accepted")), 1)

    async def test_a_stored_lot_whose_route_changed_is_not_called_not_run(self):
        self.assertEqual(await self.daemon.submit(), 202)
        for kind in set(RouteKind) - {RouteKind.ROLLOUT}:
            with self.subTest(kind):
                status = await Daemon(self.shared).submit(
                    kind, call_next=refuse_as_overloaded
                )
                self.assertEqual(status, 504)
                status = await Daemon(self.shared).submit(
                    kind, b"no lot", refuse_as_overloaded
                )
                self.assertEqual(status, 503)

    async def test_a_refusal_does_not_wait_for_a_silent_store(self):
        read = self.shared.read

        async def read_after_a_minute(*args, **kwargs):
            await anyio.sleep(60.0)
            return await read(*args, **kwargs)

        self.shared.read = read_after_a_minute
        self.shared.fail_next("create", Fault.REFUSED, Fault.REFUSED)
        daemon = Daemon(self.shared, self.shared)
        with anyio.fail_after(30.0):
            self.assertNotIn(await daemon.submit(), PROMISES | {202})
        (line,) = daemon.find("lot_not_accepted")
        self.assertRegex(line["tries"][-1], "read lots/L by .*: unknown")


if __name__ == "__main__":
    unittest.main()
