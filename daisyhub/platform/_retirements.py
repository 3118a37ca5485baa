"""Answers requests to empty a machine with a disk.

Nothing of the system lies on such a machine, so each is empty at once. The
platform's `duration-s`, the time that it allows, doesn't matter then.
"""

import anyio
import msgspec

from daisyhub.duties import DutyController
from daisyhub.duty_bound import DutyBoundController
from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    KindWatcher,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)

__all__ = ["Retirements"]

_KIND = "retirements"
_COMPLETED = "completed"
# Seconds between tries to write an answer, and between looks at a duty that
# others have.
_PAUSE_S = 0.5


class _Status(msgspec.Struct, frozen=True):
    state: str


class Retirements(DutyBoundController):
    """Answers while this daemon has the duty.

    Args:
        duty: Tells whether it has.
        store: Where requests lie and answers go.
        log: Where answers are noted.
    """

    name = "retirements"

    def __init__(
        self, duty: DutyController, store: ObjectStore, log: DecisionLog
    ):
        super().__init__(duty)
        self._store = store
        self._log = log
        self._waiting: set[str] = set()

    def status(self) -> dict[str, object]:
        """Tells the machines whose request isn't answered."""
        return {"waiting": sorted(self._waiting)}

    async def run_with_duty(self) -> None:
        """Works until the duty is lost; see the base class."""
        watcher = KindWatcher(self._store, _KIND, self._log, self._on_request)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            while self._duty.fencing:
                for machine in list(self._waiting):
                    await self._answer(machine)
                await anyio.sleep(_PAUSE_S)
            tasks.cancel_scope.cancel()

    def _on_request(self, found: StoredObject) -> None:
        try:
            status = msgspec.json.decode(found.status, type=_Status | None)
        except msgspec.DecodeError as exc:
            self._log.record(
                "retirement_unreadable", name=found.name, reason=str(exc)
            )
            status = None
        is_answered = status is not None and status.state == _COMPLETED
        if found.is_deleted or is_answered:
            self._waiting.discard(found.name)
            return
        self._waiting.add(found.name)

    async def _answer(self, machine: str) -> None:
        content = msgspec.json.encode(_Status(_COMPLETED))
        try:
            await self._store.set_status(_KIND, machine, content)
        except ObjectStoreError as exc:
            self._log.record(
                "retirement_failed", machine=machine, reason=str(exc)
            )
            return
        self._waiting.discard(machine)
        self._log.record("retirement_completed", machine=machine)
