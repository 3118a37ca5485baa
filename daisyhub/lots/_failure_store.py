"""Keeps the failures of items in the store for the next holder."""

import anyio
import msgspec

from daisyhub.json_texts import decode_json
from daisyhub.lots._holder_types import LotHolderDependencies
from daisyhub.lots._item_failures import FailureRecord, ItemFailures
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStoreError,
    StoredObject,
)

__all__ = ["FailureStore"]

_KIND = "lot-failures"
_NAME = "items"
# Seconds between writes while items fail. A holder that is killed loses the
# failures of this time.
_SAVE_INTERVAL_S = 0.5
# Timeout in seconds for the last write, at a graceful shutdown.
_SAVE_TIMEOUT_S = 0.7
# Seconds before a failed read is retried; they double with each further failure
# up to the maximum.
_RETRY_DELAY_S = 0.2
_MAX_RETRY_DELAY_S = 0.8
# Seconds for which a failure is known beyond the time for which its lot is.
_MARGIN_S = 60.0


class FailureStore:
    """Reads and writes the failures of items while the duty is held.

    Args:
        deps: The objects that the holder depends on.

    Attributes:
        failures: The failures that are known here.
    """

    def __init__(self, deps: LotHolderDependencies):
        self._deps = deps
        self.failures = ItemFailures(deps.clock.now_s)
        self._revision = 0
        self._saved_version = 0
        self._is_read = anyio.Event()
        self._is_read.set()

    def begin(self) -> None:
        """Begins a tenure: `wait_until_read` waits for `run` from now on."""
        self._is_read = anyio.Event()

    async def wait_until_read(self) -> None:
        """Waits until the failures that earlier holders stored are known."""
        await self._is_read.wait()

    async def run(self) -> None:
        """Reads what is stored, then writes changes until cancelled."""
        await self._read()
        self._is_read.set()
        while True:
            await anyio.sleep(_SAVE_INTERVAL_S)
            retention_s = self._deps.status_s + _MARGIN_S
            oldest_s = self._deps.clock.now_s() - retention_s
            self.failures.drop_older(oldest_s)
            await self._write()

    async def save(self) -> None:
        """Writes changes at once; gives up after a timeout."""
        with anyio.move_on_after(_SAVE_TIMEOUT_S):
            await self._write()

    async def _read(self) -> None:
        delay_s = _RETRY_DELAY_S
        while True:
            try:
                self._merge(await self._deps.store.read(_KIND, _NAME))
            except ObjectStoreError as exc:
                self._deps.log.record("failures_not_read", reason=str(exc))
            else:
                return
            await anyio.sleep(delay_s)
            delay_s = min(2 * delay_s, _MAX_RETRY_DELAY_S)

    def _merge(self, found: StoredObject | None) -> None:
        """Adds what is stored; what can't be decoded is overwritten."""
        self._revision = found.revision if found else 0
        if found is None:
            return
        try:
            stored = decode_json(found.spec, type=dict[str, FailureRecord])
        except msgspec.DecodeError as exc:
            self._deps.log.record("failures_unreadable", reason=str(exc))
            return
        self.failures.merge(stored)

    async def _merge_conflict(self, found: StoredObject | None) -> None:
        """Adds what is stored, read anew unless the conflict returned it."""
        try:
            self._merge(found or await self._deps.store.read(_KIND, _NAME))
        except ObjectStoreError as exc:
            self._deps.log.record("failures_not_read", reason=str(exc))

    async def _write(self) -> None:
        version = self.failures.version
        if version == self._saved_version:
            return
        content = msgspec.json.encode(self.failures.records())
        try:
            if self._revision:
                found = await self._deps.store.replace(
                    _KIND, _NAME, content, revision=self._revision
                )
            else:
                found = await self._deps.store.create(_KIND, _NAME, content)
        except ObjectConflictError as exc:
            # An earlier holder wrote, or the answer to an own write was lost.
            await self._merge_conflict(exc.found)
        except ObjectStoreError as exc:
            self._deps.log.record("failures_not_saved", reason=str(exc))
        else:
            self._revision = found.revision
            self._saved_version = version
