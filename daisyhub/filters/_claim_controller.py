"""Carries out the claim core's actions, and settles pending claims."""

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

_RELEASE_S = 5.0


class ClaimController(Controller):
    """Keeps the claims of this process.

    Args:
        client: The platform.
    """

    name = "claims"

    def __init__(self, client: PlatformClient):
        self._client = client
        self._core = ClaimCore()
        self._write_ids = itertools.count(1)
        self._changed = anyio.Event()

    async def claim(self, event: ClaimRequested, deadline_s: float) -> object:
        """Asks for a key; returns what to do with its request."""
        return await self._decide(event, deadline_s)

    async def end(self, event: RequestEnded, deadline_s: float) -> None:
        """Stores how a forwarded request ended, at the latest later on."""
        await self._decide(event, deadline_s)

    def drop(self, attempt: str) -> None:
        """Notes that an attempt was cancelled."""
        self._core.handle(ClaimCancelled(attempt), time.monotonic())
        self._wake()

    async def run(self) -> None:
        """Settles pending claims until cancelled."""
        while True:
            wakeup_s = self._core.next_wakeup_s
            if wakeup_s is None:
                self._changed = anyio.Event()
                await self._changed.wait()
                continue
            await anyio.sleep(max(0.0, wakeup_s - time.monotonic()))
            await self._settle()

    async def release(self) -> None:
        """Tries to settle what is pending before the daemon ends."""
        with anyio.move_on_after(_RELEASE_S):
            while self._core.pending:
                await anyio.sleep(0.05)

    def status(self) -> dict[str, object]:
        """Tells how many claims wait to be settled."""
        return {"pending": self._core.pending}

    async def _settle(self) -> None:
        actions = self._core.handle(ClaimTick(), time.monotonic())
        while actions:
            event = await self._perform(actions.pop(0))
            actions += self._core.handle(event, time.monotonic())

    async def _decide(self, event: object, deadline_s: float) -> object:
        """Feeds the core until it wants something else than the store."""
        while True:
            action = self._core.handle(event, time.monotonic())[0]
            if not isinstance(action, (ReadClaim, WriteClaim)):
                self._wake()
                return action
            event = _lost(action)
            wait_s = deadline_s - time.monotonic()
            with anyio.move_on_after(max(0.0, wait_s)):
                event = await self._perform(action)

    def _wake(self) -> None:
        if self._core.next_wakeup_s is not None:
            self._changed.set()

    async def _perform(self, action: ReadClaim | WriteClaim) -> object:
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


def _lost(action: ReadClaim | WriteClaim) -> object:
    if isinstance(action, ReadClaim):
        return ClaimReadFailed(action.attempt)
    return ClaimWriteUncertain(action.attempt)
