"""Keeps a local copy of one kind of objects up to date."""

import time
from collections.abc import Callable

import anyio

from daisyhub.base import Controller
from daisyhub.logs import DecisionLog
from daisyhub.objects._base import (
    HistoryGoneError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)

__all__ = ["KindWatcher"]

# Seconds that one watch may wait; the platform allows 30 s, and a connection
# that went silent is noticed without peers after this time.
_WATCH_WAIT_S = 10.0
# Seconds for which a peer may be ahead before the waiting call is taken to be
# on a connection that went silent; some round trips to the platform.
_BEHIND_S = 0.3
# Seconds between attempts while the store is away; doubled up to the limit,
# which stays far under the time in which a change must be in force (2 s).
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.5

Listener = Callable[[StoredObject], None]


class KindWatcher(Controller):
    """Lists a kind, then watches it, and passes on each change once.

    Args:
        store: Where the objects lie.
        kind: Their kind.
        log: Where losses and returns of the store are noted.
        on_change: Called with each new, changed or deleted object.
        gather_s: Returns for how long changes may gather after each watch
            that brought some; a call brings all of them then.
        can_be_stale: Whether the store may tell changes late, as peers tell
            that there are some.
    """

    name = "watch"

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        log: DecisionLog,
        on_change: Listener,
        gather_s: Callable[[], float] = lambda: 0.0,
        can_be_stale: Callable[[], bool] = lambda: False,
    ):
        self.name = f"watch-{kind}"
        self._store = store
        self._kind = kind
        self._log = log
        self._on_change = on_change
        self._gather_s = gather_s
        self._may_be_late = can_be_stale
        self._objects: dict[str, StoredObject] = {}
        self._revision: int | None = None
        self._failed_since_s: float | None = None
        self._newest = 0
        self._behind_since_s: float | None = None
        self._is_gathering = False
        self._waiting: anyio.CancelScope | None = None
        self.synced = anyio.Event()

    @property
    def kind(self) -> str:
        """The kind that is watched."""
        return self._kind

    @property
    def objects(self) -> dict[str, StoredObject]:
        """The objects as last seen, by name; not to be changed."""
        return self._objects

    @property
    def is_current(self) -> bool:
        """Whether the last call succeeded or is still waiting."""
        return self.synced.is_set() and self._failed_since_s is None

    @property
    def newest_revision(self) -> int:
        """The revision of the newest change seen, 0 for none."""
        return self._newest

    def note_peer_revision(self, revision: int, now_s: float) -> None:
        """Takes the newest change that a peer saw.

        A peer that stays ahead shows that the call waiting here no longer
        hears the store; it is then made anew on another connection.
        """
        if revision <= self._newest or self._is_gathering:
            # While changes gather, the next watch brings what is missing.
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
            return
        if now_s - self._behind_since_s >= _BEHIND_S:
            self._behind_since_s = None
            self._list_again(revision)

    async def verify(self) -> None:
        """Lists the kind beside the waiting watch, and compares.

        While the store drops its history, a watch may hear nothing of a
        change and end only after its whole wait.
        """
        if not self.is_current:
            return
        before = self._newest
        try:
            listed = await self._store.list_all(self._kind)
        except ObjectStoreError as exc:
            self._log.record("verify_failed", kind=self._kind, reason=str(exc))
            return
        if listed.revision < self._newest:
            # The watch was faster; the list lacks what it brought.
            return
        self._adopt_list(listed.items)
        if self._newest > before:
            self._list_again(self._newest)

    def _list_again(self, revision: int) -> None:
        """Ends the waiting watch, which doesn't hear the store, and lists."""
        self._log.record(
            "watch_silent",
            kind=self._kind,
            revision=self._newest,
            known_elsewhere=revision,
        )
        self._revision = None
        if self._waiting is not None:
            self._waiting.cancel()

    def status(self) -> dict[str, object]:
        """Tells the revision and how many objects are known."""
        return {
            "revision": self._revision,
            "objects": len(self._objects),
            "is_current": self.is_current,
        }

    async def run(self) -> None:
        """Lists and watches until cancelled."""
        pause_s = _FIRST_PAUSE_S
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._log.record("watch_history_gone", kind=self._kind)
                self._revision = None
            except ObjectStoreError as exc:
                self._note_failure(exc)
                # A list is answered or fails at once; a watch may wait.
                self._revision = None
                await anyio.sleep(pause_s)
                pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)
                continue
            self._note_success()
            pause_s = _FIRST_PAUSE_S

    async def _step(self) -> None:
        if self._revision is None:
            listed = await self._store.list_all(self._kind)
            self._adopt_list(listed.items)
            self._revision = listed.revision
            self.synced.set()
            return
        with anyio.CancelScope() as self._waiting:
            batch = await self._store.watch(
                self._kind,
                after_revision=self._revision,
                wait_s=_WATCH_WAIT_S,
                can_be_stale=self._may_be_late(),
            )
        if self._waiting.cancelled_caught or self._revision is None:
            return
        self._waiting = None
        for change in batch.changes:
            self._adopt(change)
        self._revision = max(self._revision, batch.revision)
        if batch.changes:
            await self._gather()

    async def _gather(self) -> None:
        self._is_gathering = True
        try:
            await anyio.sleep(self._gather_s())
        finally:
            self._is_gathering = False
            self._behind_since_s = None

    def _adopt_list(self, items: tuple[StoredObject, ...]) -> None:
        """Takes over a whole list; what it lacks was deleted."""
        for item in items:
            self._adopt(item)
        present = {item.name for item in items}
        for name in [n for n in self._objects if n not in present]:
            gone = self._objects.pop(name)
            self._on_change(
                StoredObject(
                    kind=gone.kind,
                    name=name,
                    revision=gone.revision,
                    is_deleted=True,
                )
            )

    def _adopt(self, change: StoredObject) -> None:
        known = self._objects.get(change.name)
        if known is not None and change.revision <= known.revision:
            return
        self._newest = max(self._newest, change.revision)
        self._behind_since_s = None
        if change.is_deleted:
            if self._objects.pop(change.name, None) is None:
                return
        else:
            self._objects[change.name] = change
        self._on_change(change)

    def _note_failure(self, exc: ObjectStoreError) -> None:
        if self._failed_since_s is None:
            self._failed_since_s = time.monotonic()
            self._log.record(
                "watch_lost",
                kind=self._kind,
                revision=self._revision,
                reason=str(exc),
            )

    def _note_success(self) -> None:
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
