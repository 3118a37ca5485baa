"""Executes the claim core's actions and reconciles pending claims."""

import contextlib
import itertools
import time

import anyio
import msgspec

from daisyhub.base import Controller
from daisyhub.exceptions import (
    PlatformConflictError,
    PlatformUnavailableError,
)
from daisyhub.filters._claim_core import ClaimCore
from daisyhub.filters._claim_types import (
    ClaimCancelled,
    ClaimReadCompleted,
    ClaimReadFailed,
    ClaimRecord,
    ClaimRequested,
    ClaimStored,
    ClaimTick,
    ClaimWriteRejected,
    ClaimWriteUncertain,
    ReadClaim,
    RequestEnded,
    WriteClaim,
)
from daisyhub.hosting import PlatformClient

__all__ = ["ClaimController"]

_RELEASE_TIMEOUT_S = 5.0


class ClaimController(Controller):
    """Runs the claim core of this process.

    Args:
        client: Client of the platform's store.
    """

    name = "claims"

    def __init__(self, client: PlatformClient):
        self._client = client
        self._core = ClaimCore()
        self._write_ids = itertools.count(1)
        self._pending_added = anyio.Event()

    async def claim(self, event: ClaimRequested, deadline_s: float) -> object:
        """Claims an idempotency key.

        Args:
            event: The request for the claim.
            deadline_s: Monotonic time at which an unfinished read or write of
                the claim counts as failed.

        Returns:
            `ForwardRequest`, `ReplayResponse` or `RefuseRequest`.
        """
        return await self._run_to_decision(event, deadline_s)

    async def store_outcome(
        self, event: RequestEnded, deadline_s: float
    ) -> None:
        """Stores the outcome of a forwarded request.

        If that fails before the deadline, the claim becomes pending and `run`
        stores it later.
        """
        await self._run_to_decision(event, deadline_s)

    def cancel(self, attempt: str) -> None:
        """Cancels an attempt; has no effect if the attempt has ended."""
        self._core.handle(ClaimCancelled(attempt), time.monotonic())
        self._notify_run()

    async def run(self) -> None:
        """Reconciles pending claims until cancelled."""
        while True:
            wakeup_s = self._core.next_wakeup_s
            if wakeup_s is None:
                self._pending_added = anyio.Event()
                await self._pending_added.wait()
                continue
            await anyio.sleep(max(0.0, wakeup_s - time.monotonic()))
            await self._reconcile()

    async def release(self) -> None:
        """Waits until no claim is pending, for a few seconds at most.

        The daemon calls it before it stops, while `run` still reconciles.
        """
        with anyio.move_on_after(_RELEASE_TIMEOUT_S):
            while self._core.pending_count:
                await anyio.sleep(0.05)

    def status(self) -> dict[str, object]:
        """Returns the number of pending claims."""
        return {"pending": self._core.pending_count}

    async def _reconcile(self) -> None:
        actions = self._core.handle(ClaimTick(), time.monotonic())
        while actions:
            event = await self._execute(actions.pop(0))
            actions += self._core.handle(event, time.monotonic())

    async def _run_to_decision(
        self, event: object, deadline_s: float
    ) -> object:
        """Runs the core's store actions; returns its first other action.

        A store action not completed by the deadline counts as failed.
        """
        while True:
            action = self._core.handle(event, time.monotonic())[0]
            if not isinstance(action, (ReadClaim, WriteClaim)):
                self._notify_run()
                return action
            event = _make_failure_event(action)
            wait_s = deadline_s - time.monotonic()
            with anyio.move_on_after(max(0.0, wait_s)):
                event = await self._execute(action)

    def _notify_run(self) -> None:
        """Wakes `run` if a reconciliation is scheduled."""
        if self._core.next_wakeup_s is not None:
            self._pending_added.set()

    async def _execute(self, action: ReadClaim | WriteClaim) -> object:
        if isinstance(action, ReadClaim):
            return await self._read(action)
        try:
            version = await self._client.put(
                action.name,
                msgspec.to_builtins(action.record),
                expected_version=action.expected_version,
                write_id=f"{action.attempt}-{next(self._write_ids)}",
            )
        except PlatformConflictError:
            return ClaimWriteRejected(action.attempt)
        except PlatformUnavailableError:
            return ClaimWriteUncertain(action.attempt)
        return ClaimStored(action.attempt, version)

    async def _read(self, action: ReadClaim) -> object:
        with contextlib.suppress(
            PlatformUnavailableError, msgspec.ValidationError
        ):
            found = await self._client.get(action.name)
            if found is None:
                return ClaimReadCompleted(action.attempt, None, 0)
            record = msgspec.convert(found.value, ClaimRecord)
            return ClaimReadCompleted(action.attempt, record, found.version)
        return ClaimReadFailed(action.attempt)


def _make_failure_event(action: ReadClaim | WriteClaim) -> object:
    if isinstance(action, ReadClaim):
        return ClaimReadFailed(action.attempt)
    return ClaimWriteUncertain(action.attempt)
