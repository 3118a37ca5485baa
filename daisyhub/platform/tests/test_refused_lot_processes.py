"""Submissions of lots during an outage of the store, with processes."""

import contextlib
import unittest

import anyio
import msgspec

from daisyhub.connections import RequestFailedError
from daisyhub.testing.fake_app import Fault
from daisyhub.testing.fleet import Fleet

# Statuses that promise that nothing of the request ever runs.
_PROMISES = frozenset({408, 421, 429, 503})
_HEADS_PATH = "/v1/objects/lots"
_LOST_CREATE_TIMEOUT_S = 10.0

_OUTAGE = Fault(kind="error", status=503, path="/v1/objects/")


def head_create_fault(kind, then):
    """Returns a fault of the next create of a lot's head; errors are 503."""
    return Fault(
        kind=kind,
        path=_HEADS_PATH,
        method="POST",
        count=1,
        status=503,
        then=then,
    )


@contextlib.asynccontextmanager
async def running_fleet():
    fleet = Fleet()
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.http.aclose()
        fleet.stop()


async def inject(fleet, fault):
    await fleet.inject_fault("platform", msgspec.to_builtins(fault))


async def submit(fleet, daemon):
    """Submits the lot; returns the status, or None without a response."""
    with contextlib.suppress(RequestFailedError):
        return await fleet.submit_lot(daemon, "L")
    return None


async def daemons_by_role(fleet):
    """Returns the daemons, the holder of the lots' duty last."""
    holder = await fleet.holder()
    return [d for d in fleet.daemon_names if d != holder] + [holder]


async def wait_until_stored(fleet):
    """Waits until the store has the lot's head."""
    with anyio.fail_after(_LOST_CREATE_TIMEOUT_S):
        while True:
            response = await fleet.http.request(
                "GET", fleet.address("platform"), _HEADS_PATH, timeout_s=5.0
            )
            if msgspec.json.decode(response.body)["items"]:
                return
            await anyio.sleep(0.02)


class RefusedLotProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def check_promises(self, fleet, statuses):
        """Checks the statuses of all submissions of a lot that is stored.

        The store must have recovered.
        """
        results = await fleet.read_whole_lot(fleet.daemon_names, "L")
        self.assertEqual(len(results), 12)
        executed = [run["id"] for run in await fleet.executed_requests()]
        is_refused = all(status in _PROMISES for status in statuses)
        self.assertFalse(
            is_refused and bool(executed),
            f"answered {statuses}, and {len(executed)} requests were executed",
        )
        refusals = _PROMISES.intersection(statuses)
        self.assertFalse(
            bool(refusals), f"answered {statuses} although the lot is stored"
        )

    async def check_lost_create(self, fault):
        """Submits a lot whose head is created under a fault.

        The store rejects all calls until every attempt has ended.
        """
        async with running_fleet() as fleet:
            daemons = await daemons_by_role(fleet)
            await inject(fleet, fault)
            statuses = [await submit(fleet, daemon) for daemon in daemons]
            await fleet.inject_fault("platform", None)
            await self.check_promises(fleet, statuses)

    async def test_refused_lot_does_not_run(self):
        await self.check_lost_create(head_create_fault("truncate", _OUTAGE))

    async def test_refused_lot_does_not_run_after_a_silent_create(self):
        await self.check_lost_create(head_create_fault("lose", _OUTAGE))

    async def test_refused_lot_does_not_run_after_a_relayed_create(self):
        relayed = head_create_fault("truncate", _OUTAGE)
        await self.check_lost_create(head_create_fault("error", relayed))

    async def test_lot_of_an_unanswered_submission_is_not_refused(self):
        """A failed read after a conflict once counted as a refusal."""
        failing_read = Fault(kind="error", status=503, path=f"{_HEADS_PATH}/")
        async with running_fleet() as fleet:
            daemons = await daemons_by_role(fleet)
            await inject(fleet, head_create_fault("lose", failing_read))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(submit, fleet, daemons[0])
                await wait_until_stored(fleet)
                tasks.cancel_scope.cancel()
            status = await submit(fleet, daemons[1])
            await fleet.inject_fault("platform", None)
            await self.check_promises(fleet, [None, status])
