"""An in-memory object store into which faults can be injected."""

import collections
import enum

import anyio

from daisyhub.objects import (
    HistoryGoneError,
    ObjectConflictError,
    ObjectList,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
    WatchBatch,
)

__all__ = ["BareConflictStore", "Fault", "MemoryStore"]

_READS = frozenset({"read", "list_all", "watch"})


class Fault(enum.Enum):
    """A fault of one call.

    Attributes:
        REFUSED: The call fails without effect.
        THROTTLED: The call is rejected because of its rate.
        RESPONSE_LOST: The call takes effect and fails.
        DELAYED: The call fails; a write takes effect in `run_delayed_writes`.
        HISTORY_GONE: A watch fails because its revision is too old.
        EMPTY: A watch returns no changes, or a stale read finds nothing.
    """

    REFUSED = "refused"
    THROTTLED = "throttled"
    RESPONSE_LOST = "lost"
    DELAYED = "late"
    HISTORY_GONE = "gone"
    EMPTY = "deaf"


class MemoryStore(ObjectStore):
    """Stores objects in memory; one instance can serve many clients.

    Attributes:
        revision: Revision of the last change.
        objects: The objects, by kind and name.
        faults: Faults of the next calls, by verb: the name of a method, or
            "stale read" for a read that can be stale.
        calls: Number of calls, by verb. A read that can be stale counts as
            "stale read" too, a watch that can be stale as "stale watch" only.
    """

    def __init__(self):
        self.revision = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.faults: dict[str, collections.deque[Fault]] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self._changes: list[StoredObject] = []
        self._delayed_writes: list = []
        self._changed = anyio.Event()

    def fail_next(self, verb: str, *faults: Fault) -> None:
        """Adds faults for the next calls of a verb, in order."""
        self.faults.setdefault(verb, collections.deque()).extend(faults)

    def run_delayed_writes(self) -> None:
        """Applies the writes that `Fault.DELAYED` deferred; skips conflicts."""
        delayed_writes, self._delayed_writes = self._delayed_writes, []
        for write in delayed_writes:
            try:
                write()
            except ObjectConflictError:
                continue

    def put(self, kind: str, name: str, spec: bytes, status=b"null"):
        """Writes an object unconditionally and without faults; returns it."""
        return self._store(kind, name, spec, status)

    def drop(self, kind: str, name: str) -> None:
        """Deletes an object, if it exists, without faults."""
        existing = self.objects.pop((kind, name), None)
        if existing is not None:
            self._append_change(
                kind, name, existing.spec, existing.status, deleted=True
            )

    async def read(
        self, kind: str, name: str, *, can_be_stale: bool = False
    ) -> StoredObject | None:
        """See `ObjectStore.read`."""
        if can_be_stale:
            self.calls["stale read"] += 1
            if self._next_fault("stale read") is Fault.EMPTY:
                return None
        return self._call_with_fault(
            "read", lambda: self.objects.get((kind, name))
        )

    async def list_all(self, kind: str) -> ObjectList:
        """See `ObjectStore.list_all`."""
        return self._call_with_fault("list_all", lambda: self._list(kind))

    async def watch(
        self,
        kind: str,
        *,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool = False,
    ) -> WatchBatch:
        """See `ObjectStore.watch`."""
        self.calls["stale watch" if can_be_stale else "watch"] += 1
        fault = self._next_fault("watch")
        if fault is Fault.HISTORY_GONE:
            raise HistoryGoneError(kind)
        if fault is Fault.EMPTY:
            await anyio.sleep(wait_s)
            return WatchBatch(revision=after_revision, changes=())
        if fault is not None:
            raise ObjectStoreError("watch", may_be_done=False)
        with anyio.move_on_after(wait_s):
            while not self._changes_since(kind, after_revision):
                await self._changed.wait()
        return WatchBatch(
            revision=self.revision,
            changes=tuple(self._changes_since(kind, after_revision)),
        )

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        """See `ObjectStore.create`."""

        def write() -> StoredObject:
            existing = self.objects.get((kind, name))
            if existing is not None:
                raise ObjectConflictError(f"{kind}/{name} exists", existing)
            return self._store(kind, name, spec)

        return self._call_with_fault("create", write)

    async def replace(
        self, kind: str, name: str, spec: bytes, *, revision: int
    ) -> StoredObject:
        """See `ObjectStore.replace`."""

        def write() -> StoredObject:
            existing = self.objects.get((kind, name))
            if existing is None or existing.revision != revision:
                raise ObjectConflictError(
                    f"{kind}/{name} is not at revision {revision}", existing
                )
            return self._store(kind, name, spec, existing.status)

        return self._call_with_fault("replace", write)

    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        """See `ObjectStore.set_status`."""

        def write() -> StoredObject | None:
            existing = self.objects.get((kind, name))
            if existing is None:
                return None
            return self._store(kind, name, existing.spec, status)

        return self._call_with_fault("set_status", write)

    async def delete(self, kind: str, name: str) -> None:
        """See `ObjectStore.delete`."""
        self._call_with_fault("delete", lambda: self.drop(kind, name))

    def _call_with_fault(self, verb: str, call):
        """Runs a call with the next fault of its verb, if there is one."""
        self.calls[verb] += 1
        fault = self._next_fault(verb)
        if fault is None:
            return call()
        if fault is Fault.RESPONSE_LOST:
            call()
        elif fault is Fault.DELAYED:
            self._delayed_writes.append(call)
        may_be_done = (
            fault in (Fault.RESPONSE_LOST, Fault.DELAYED) and verb not in _READS
        )
        raise ObjectStoreError(
            f"{verb}: {fault}",
            may_be_done=may_be_done,
            is_throttled=fault is Fault.THROTTLED,
        )

    def _next_fault(self, verb: str) -> Fault | None:
        pending_faults = self.faults.get(verb)
        return pending_faults.popleft() if pending_faults else None

    def _list(self, kind: str) -> ObjectList:
        items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
        return ObjectList(revision=self.revision, items=tuple(items))

    def _changes_since(self, kind: str, revision: int) -> list[StoredObject]:
        return [
            o for o in self._changes if o.kind == kind and o.revision > revision
        ]

    def _store(self, kind, name, spec, status=b"null") -> StoredObject:
        stored_object = self._append_change(
            kind, name, spec, status, deleted=False
        )
        self.objects[(kind, name)] = stored_object
        return stored_object

    def _append_change(
        self, kind, name, spec, status, *, deleted
    ) -> StoredObject:
        self.revision += 1
        stored_object = StoredObject(
            kind=kind,
            name=name,
            revision=self.revision,
            is_deleted=deleted,
            spec=spec,
            status=status,
        )
        self._changes.append(stored_object)
        self._changed.set()
        self._changed = anyio.Event()
        return stored_object


class BareConflictStore(MemoryStore):
    """A store whose conflicts of creates contain no object.

    That is what the platform answers.
    """

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        """See `ObjectStore.create`."""
        try:
            return await super().create(kind, name, spec)
        except ObjectConflictError as exc:
            raise ObjectConflictError(str(exc), None) from exc
