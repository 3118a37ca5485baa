"""Keeps a local copy of all objects of one kind up to date."""

import collections
import time
from collections.abc import Callable

import anyio

from daisyhub.base import Controller
from daisyhub.logs import DecisionLog
from daisyhub.objects._base import (
    HistoryGoneError,
    ObjectList,
    ObjectSource,
    ObjectStoreError,
    StoredObject,
)

__all__ = ["KindWatcher"]

# Maximum wait of one watch in seconds. The platform allows 30 s, but without
# peers a dead connection is detected only after this time.
_WATCH_WAIT_S = 10.0
# Default seconds for which a peer may have a newer revision before the
# connection of the waiting watch is assumed to be dead: several round trips to
# the platform.
_MAX_LAG_S = 0.3
# Changes that are kept for daemons that watch this copy: those of some seconds
# of a large cluster. A daemon further behind lists the copy.
_MAX_KEPT_CHANGES = 500
# Seconds between attempts while the store is unreachable, doubled up to the
# maximum, which is far below the time in which a change must be active (2 s).
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5
# Maximum length of the reason for which a change failed, in the log.
_MAX_REASON_CHARS = 300

Listener = Callable[[StoredObject], None]


class KindWatcher(Controller):
    """Lists a kind, then watches it, and reports each change once.

    Args:
        store: The store to list and watch.
        kind: The kind of the objects.
        log: Logs when the store is lost and regained.
        on_change: Called with each new, changed or deleted object.
        batch_delay_s: Returns the seconds to wait after a watch that returned
            changes, so that the next one returns several changes at once.
        can_be_stale: Returns whether the store may return changes late, because
            peers report newer revisions anyway.
        max_lag_s: Returns the seconds for which a peer may have a newer
            revision.

    Attributes:
        synced: Set after the first list.
        changed: Set, and replaced, after each batch of changes.
    """

    name = "watch"

    def __init__(
        self,
        store: ObjectSource,
        kind: str,
        log: DecisionLog,
        on_change: Listener,
        batch_delay_s: Callable[[], float] = lambda: 0.0,
        can_be_stale: Callable[[], bool] = lambda: False,
        max_lag_s: Callable[[], float] = lambda: _MAX_LAG_S,
    ):
        self.name = f"watch-{kind}"
        self._store = store
        self._kind = kind
        self._log = log
        self._on_change = on_change
        self._batch_delay_s = batch_delay_s
        self._can_be_stale = can_be_stale
        self._objects: dict[str, StoredObject] = {}
        self._revision: int | None = None
        self._failed_since_s: float | None = None
        self._newest_revision = 0
        self._complete_to = 0
        # Since when peers have a revision that this copy lacks, and which.
        self._behind_since_s: float | None = None
        self._awaited_revision = 0
        self._is_batching = False
        self._is_stale_watch = False
        self._watch_scope: anyio.CancelScope | None = None
        self._max_lag_s = max_lag_s
        # The changes after `_kept_after`, in the order of their revisions.
        self._kept: collections.deque[StoredObject] = collections.deque()
        self._kept_after = 0
        self._copied_revision = 0
        # The highest `_copied_revision` so far. A list of a reader that is
        # behind lowers that one.
        self._covered_revision = 0
        self.synced = anyio.Event()
        self.changed = anyio.Event()

    @property
    def kind(self) -> str:
        """The kind that is watched."""
        return self._kind

    @property
    def objects(self) -> dict[str, StoredObject]:
        """The last received objects, by name; must not be modified."""
        return self._objects

    @property
    def revision(self) -> int:
        """The revision up to which the copy has all changes, 0 for none."""
        return self._copied_revision

    def changes_after(self, revision: int) -> tuple[StoredObject, ...] | None:
        """Returns the received changes after a revision.

        None if not all of them are kept any more.
        """
        if revision < self._kept_after:
            return None
        return tuple(c for c in self._kept if c.revision > revision)

    @property
    def is_current(self) -> bool:
        """Whether the kind has been listed and the last call didn't fail."""
        return self.synced.is_set() and self._failed_since_s is None

    @property
    def newest_revision(self) -> int:
        """The revision of the newest received change, 0 for none."""
        return self._newest_revision

    @property
    def complete_to(self) -> int:
        """The revision up to which the copy certainly has all changes."""
        return max(self._newest_revision, self._complete_to)

    def record_peer_revision(self, revision: int, now_s: float) -> None:
        """Records the revision of the newest change that a peer received.

        If peers stay ahead, the connection of the waiting watch is assumed to
        be dead. The watch is cancelled and the kind listed again, on another
        connection.

        Args:
            revision: The peer's newest revision.
            now_s: Current time on the monotonic clock.
        """
        if revision <= self._complete_to:
            # A list shows that an object is gone, but not when it was deleted.
            # Without this, a daemon that learned of the last deletion from a
            # list would list the kind again and again.
            self._newest_revision = max(self._newest_revision, revision)
        if revision <= self._newest_revision or self._is_batching:
            # During the batch delay, the next watch will return the change.
            return
        is_caught_up = self._newest_revision >= self._awaited_revision
        if self._behind_since_s is None or is_caught_up:
            self._behind_since_s = now_s
            self._awaited_revision = revision
            return
        max_lag_s = self._max_lag_s() + self._batch_delay_s()
        if now_s - self._behind_since_s >= max_lag_s:
            behind_s = round(now_s - self._behind_since_s, 3)
            self._behind_since_s = None
            self._restart_with_list(revision, behind_s)

    def end_unguarded_watch(self) -> None:
        """Repeats a waiting watch that may be stale but no longer should be.

        Call this at an interval: the peer whose pings told of missed changes
        may end while the watch waits.
        """
        if not self._is_stale_watch or self._can_be_stale():
            return
        self._is_stale_watch = False
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    async def verify(self) -> None:
        """Lists the kind while a watch waits; applies what the watch missed.

        While the store drops its history, a watch may miss a change and return
        only at the end of its wait.
        """
        if not self.is_current:
            return
        before = self._newest_revision
        try:
            listed = await self._store.list_all(self._kind)
        except ObjectStoreError as exc:
            self._log.record("verify_failed", kind=self._kind, reason=str(exc))
            return
        if listed.revision < self._newest_revision:
            # The list is older than the changes from the watch.
            return
        if self._apply_list(listed) and not self._is_batching:
            # A list doesn't tell the revision of a removal. This one is later,
            # so that peers whose watches missed it notice that they are behind.
            # During the batch delay, the next watch will return the removal.
            self._newest_revision = max(self._newest_revision, listed.revision)
        if self._newest_revision > before:
            # The list that follows also updates the followers.
            self._restart_with_list(self._newest_revision)

    def _restart_with_list(
        self, revision: int, behind_s: float | None = None
    ) -> None:
        """Cancels the watch that missed a change; the kind is then listed."""
        self._log.record(
            "watch_silent",
            kind=self._kind,
            revision=self._newest_revision,
            known_elsewhere=revision,
            behind_s=behind_s,
        )
        self._revision = None
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    def status(self) -> dict[str, object]:
        """Returns the revision, the object count and whether it is current."""
        return {
            "revision": self._revision,
            "objects": len(self._objects),
            "is_current": self.is_current,
        }

    async def run(self) -> None:
        """Lists and watches until cancelled."""
        backoff_s = _MIN_BACKOFF_S
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._log.record("watch_history_gone", kind=self._kind)
                self._revision = None
            except ObjectStoreError as exc:
                self._record_failure(exc)
                # A list returns or fails at once, while a watch may wait.
                self._revision = None
                await anyio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
                continue
            self._record_success()
            backoff_s = _MIN_BACKOFF_S

    async def _step(self) -> None:
        if self._revision is None:
            listed = await self._store.list_all(self._kind)
            self._apply_list(listed)
            self._revision = listed.revision
            self._kept.clear()
            self._kept_after = self._copied_revision = listed.revision
            self.synced.set()
            self._wake_followers()
            return
        self._is_stale_watch = self._can_be_stale()
        with anyio.CancelScope() as self._watch_scope:
            batch = await self._store.watch(
                self._kind,
                after_revision=self._revision,
                wait_s=_WATCH_WAIT_S,
                can_be_stale=self._is_stale_watch,
            )
        if self._watch_scope.cancelled_caught or self._revision is None:
            return
        self._watch_scope = None
        for change in batch.changes:
            self._apply_change(change)
        self._revision = max(self._revision, batch.revision)
        self._copied_revision = self._revision
        self._covered_revision = max(self._covered_revision, self._revision)
        self._keep(batch.changes)
        if batch.changes:
            self._wake_followers()
            await self._wait_for_batch()

    def _keep(self, changes: tuple[StoredObject, ...]) -> None:
        """Keeps changes for followers; drops the oldest if there are many."""
        self._kept.extend(changes)
        while len(self._kept) > _MAX_KEPT_CHANGES:
            self._kept_after = self._kept.popleft().revision

    def _wake_followers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def _wait_for_batch(self) -> None:
        self._is_batching = True
        try:
            await anyio.sleep(self._batch_delay_s())
        finally:
            self._is_batching = False

    def _apply_list(self, listed: ObjectList) -> bool:
        """Applies a complete list; objects that it lacks were deleted.

        Of objects that are newer than the list, as after `verify`, it says
        nothing; the watch from its revision on does. A list that is older than
        this copy, as of a reader that is behind, brings no object back that
        the copy lacks.

        Returns:
            Whether objects were deleted.
        """
        is_older = listed.revision < self._covered_revision
        for item in listed.items:
            self._apply_change(item, can_be_older=is_older)
        self._covered_revision = max(self._covered_revision, listed.revision)
        complete_to = listed.complete_to
        self._complete_to = max(
            self._complete_to,
            listed.revision if complete_to is None else complete_to,
        )
        present = {item.name for item in listed.items}
        absent = [
            known
            for known in self._objects.values()
            if known.name not in present and known.revision <= listed.revision
        ]
        for gone in absent:
            del self._objects[gone.name]
            self._tell(
                StoredObject(
                    kind=gone.kind,
                    name=gone.name,
                    revision=gone.revision,
                    is_deleted=True,
                )
            )
        return bool(absent)

    def _apply_change(
        self, change: StoredObject, *, can_be_older: bool = True
    ) -> None:
        """Applies a change unless the copy is newer.

        Args:
            change: The object, or its deletion.
            can_be_older: Whether the change may be older than this copy, so
                that an object that the copy lacks may have been deleted since.
        """
        known = self._objects.get(change.name)
        if known is not None and change.revision <= known.revision:
            return
        is_covered = change.revision <= self._covered_revision
        if known is None and can_be_older and is_covered:
            return
        self._newest_revision = max(self._newest_revision, change.revision)
        if change.is_deleted:
            if self._objects.pop(change.name, None) is None:
                return
        else:
            self._objects[change.name] = change
        self._tell(change)

    def _tell(self, change: StoredObject) -> None:
        """Reports a change; one that can't be handled costs no other."""
        try:
            self._on_change(change)
        except Exception as exc:
            self._log.record(
                "change_failed",
                kind=change.kind,
                name=change.name,
                revision=change.revision,
                reason=repr(exc)[:_MAX_REASON_CHARS],
            )

    def _record_failure(self, exc: ObjectStoreError) -> None:
        if self._failed_since_s is None:
            self._failed_since_s = time.monotonic()
            self._log.record(
                "watch_lost",
                kind=self._kind,
                revision=self._revision,
                reason=str(exc),
            )

    def _record_success(self) -> None:
        if self._failed_since_s is None:
            return
        away_s = time.monotonic() - self._failed_since_s
        self._failed_since_s = None
        self._log.record(
            "watch_regained",
            kind=self._kind,
            revision=self._revision,
            away_s=round(away_s, 3),
        )
