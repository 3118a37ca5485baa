"""Completes retirements, requests to vacate a machine with a disk.

The product stores no data on such machines, so each request is completed at
once. The time that the platform allows, `duration-s`, is not needed.
"""

import anyio
import msgspec

from daisyhub.duties import DutyController
from daisyhub.duty_bound import DutyBoundController
from daisyhub.json_texts import decode_json
from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    KindWatcher,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)

__all__ = ["RetirementController"]

_KIND = "retirements"
_COMPLETED = "completed"
# Seconds between attempts to complete pending requests and between checks that
# the duty is still held.
_RETRY_INTERVAL_S = 0.5


class _Status(msgspec.Struct, frozen=True):
    state: str


class RetirementController(DutyBoundController):
    """Completes retirement requests while this daemon holds the duty.

    Args:
        duty: Controller of the duty.
        store: Store of the requests and their statuses.
        log: Log of completed requests and failures.
    """

    name = "retirements"

    def __init__(
        self, duty: DutyController, store: ObjectStore, log: DecisionLog
    ):
        super().__init__(duty)
        self._store = store
        self._log = log
        self._pending: set[str] = set()

    def status(self) -> dict[str, object]:
        """Returns the machines whose request isn't completed."""
        return {"waiting": sorted(self._pending)}

    async def run_with_duty(self) -> None:
        """Works until the duty is lost; see the base class."""
        watcher = KindWatcher(self._store, _KIND, self._log, self._on_request)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            while self._duty.fencing:
                for machine in list(self._pending):
                    await self._complete(machine)
                await anyio.sleep(_RETRY_INTERVAL_S)
            tasks.cancel_scope.cancel()

    def _on_request(self, found: StoredObject) -> None:
        try:
            status = decode_json(found.status, type=_Status | None)
        except msgspec.DecodeError as exc:
            self._log.record(
                "retirement_unreadable", name=found.name, reason=str(exc)
            )
            status = None
        is_completed = status is not None and status.state == _COMPLETED
        if found.is_deleted or is_completed:
            self._pending.discard(found.name)
            return
        self._pending.add(found.name)

    async def _complete(self, machine: str) -> None:
        content = msgspec.json.encode(_Status(_COMPLETED))
        try:
            await self._store.set_status(_KIND, machine, content)
        except ObjectStoreError as exc:
            self._log.record(
                "retirement_failed", machine=machine, reason=str(exc)
            )
            return
        self._pending.discard(machine)
        self._log.record("retirement_completed", machine=machine)
