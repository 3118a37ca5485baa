"""Lists and watches through one daemon of the failure domain.

If each daemon watched the store itself, the calls for one change would grow
with the number of daemons. One reader a failure domain watches the store, and
the others watch the reader's copy. A follower whose reader fails uses the
store directly for a while.
"""

import abc
import time

import anyio

from daisyhub.logs import DecisionLog
from daisyhub.objects._base import (
    HistoryGoneError,
    ObjectList,
    ObjectSource,
    ObjectStoreError,
    WatchBatch,
)
from daisyhub.objects._watcher import KindWatcher

__all__ = ["ReaderProvider", "SharedWatch", "WatchedCopy"]

# Seconds for which a reader isn't used after it failed: longer than a restart.
_READER_RETRY_S = 5.0
# Seconds for which the first list waits until this daemon knows who its reader
# is. The pings of daemons that start together arrive within it.
_DISCOVERY_TIMEOUT_S = 1.5
_DISCOVERY_POLL_S = 0.1


class ReaderProvider(abc.ABC):
    """Chooses the reader of this daemon's failure domain."""

    @property
    @abc.abstractmethod
    def knows_peers(self) -> bool:
        """Whether another daemon is known to be live."""

    @abc.abstractmethod
    def choose(self, excluded: frozenset[str]) -> str | None:
        """Returns the reader's id; None if this daemon reads itself.

        Args:
            excluded: Ids of daemons that failed as readers.
        """

    @abc.abstractmethod
    def copy_of(self, reader_id: str) -> ObjectSource:
        """Returns the copy of a reader."""


class SharedWatch(ObjectSource):
    """Lists and watches through the reader, or directly if there is none.

    Args:
        store: The store.
        readers: Chooses the reader.
        log: Logs readers that fail.
    """

    def __init__(
        self, store: ObjectSource, readers: ReaderProvider, log: DecisionLog
    ):
        self._store = store
        self._readers = readers
        self._log = log
        self._failed_until_s: dict[str, float] = {}
        self._has_waited = False

    @property
    def is_follower(self) -> bool:
        """Whether the next list or watch goes to a reader."""
        return self._choose_reader() is not None

    async def list_all(self, kind: str) -> ObjectList:
        """Returns all objects of a kind; see `ObjectSource.list_all`."""
        await self._wait_for_peers()
        reader_id = self._choose_reader()
        if reader_id is not None:
            try:
                return await self._readers.copy_of(reader_id).list_all(kind)
            except ObjectStoreError as exc:
                self._record_failure(reader_id, exc)
        return await self._store.list_all(kind)

    async def watch(
        self,
        kind: str,
        *,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool = False,
    ) -> WatchBatch:
        """Waits for changes; see `ObjectSource.watch`."""
        reader_id = self._choose_reader()
        if reader_id is not None:
            try:
                return await self._readers.copy_of(reader_id).watch(
                    kind, after_revision=after_revision, wait_s=wait_s
                )
            except ObjectStoreError as exc:
                self._record_failure(reader_id, exc)
        return await self._store.watch(
            kind,
            after_revision=after_revision,
            wait_s=wait_s,
            can_be_stale=can_be_stale,
        )

    async def _wait_for_peers(self) -> None:
        """Waits before the first list, until the reader can be chosen."""
        if self._has_waited:
            return
        with anyio.move_on_after(_DISCOVERY_TIMEOUT_S):
            while not self._readers.knows_peers:
                await anyio.sleep(_DISCOVERY_POLL_S)
        self._has_waited = True

    def _choose_reader(self) -> str | None:
        now_s = time.monotonic()
        excluded = frozenset(
            name
            for name, until_s in self._failed_until_s.items()
            if now_s < until_s
        )
        return self._readers.choose(excluded)

    def _record_failure(self, reader_id: str, exc: ObjectStoreError) -> None:
        self._failed_until_s[reader_id] = time.monotonic() + _READER_RETRY_S
        self._log.record("reader_failed", reader=reader_id, reason=str(exc))


class WatchedCopy(ObjectSource):
    """A reader's copies of the kinds that it watches.

    All methods raise `ObjectStoreError` while the reader's own watch fails, so
    that followers don't miss changes without noticing.

    Args:
        watchers: The reader's watchers.
    """

    def __init__(self, watchers: tuple[KindWatcher, ...]):
        self._watchers = {watcher.kind: watcher for watcher in watchers}

    async def list_all(self, kind: str) -> ObjectList:
        """Returns the copied objects of a kind."""
        watcher = self._current_watcher(kind)
        return ObjectList(
            revision=watcher.revision,
            items=tuple(watcher.objects.values()),
            complete_to=watcher.complete_to,
        )

    async def watch(
        self,
        kind: str,
        *,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool = False,
    ) -> WatchBatch:
        """Waits for changes of the copy; see `ObjectSource.watch`."""
        del can_be_stale
        with anyio.move_on_after(wait_s):
            while not self._changes_after(kind, after_revision):
                await self._current_watcher(kind).changed.wait()
        changes = self._changes_after(kind, after_revision)
        revision = self._current_watcher(kind).revision
        return WatchBatch(revision=revision, changes=changes)

    def _changes_after(self, kind: str, revision: int):
        changes = self._current_watcher(kind).changes_after(revision)
        if changes is None:
            raise HistoryGoneError(
                f"the reader has no changes of {kind} after {revision}"
            )
        return changes

    def _current_watcher(self, kind: str) -> KindWatcher:
        watcher = self._watchers.get(kind)
        if watcher is None or not watcher.is_current:
            raise ObjectStoreError(
                f"the reader has no current copy of {kind}", may_be_done=False
            )
        return watcher
