"""A store of objects in memory, with faults on demand."""

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

__all__ = ["Fault", "MemoryStore"]

_READS = frozenset({"read", "list_all", "watch"})


class Fault(enum.Enum):
    """What happens to one call."""

    REFUSED = "refused"
    RESPONSE_LOST = "lost"
    DELAYED = "late"
    HISTORY_GONE = "gone"
    EMPTY = "deaf"


class MemoryStore(ObjectStore):
    """Keeps objects in memory; one instance may serve many clients.

    `faults` holds what happens to the next calls of a verb: refused without
    effect, done with the answer lost, done by `run_delayed_writes` with the
    answer lost, history gone, or a watch that hears nothing.
    """

    def __init__(self):
        self.revision = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.faults: dict[str, collections.deque[Fault]] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self._log: list[StoredObject] = []
        self._late: list = []
        self._news = anyio.Event()

    def fail_next(self, verb: str, *faults: Fault) -> None:
        """Lets the next calls of a verb meet faults."""
        self.faults.setdefault(verb, collections.deque()).extend(faults)

    def run_delayed_writes(self) -> None:
        """Does the writes whose answers were lost before they were done."""
        late, self._late = self._late, []
        for write in late:
            try:
                write()
            except ObjectConflictError:
                continue

    def put(self, kind: str, name: str, spec: bytes, status=b"null"):
        """Writes an object as an operator would."""
        return self._store(kind, name, spec, status)

    def drop(self, kind: str, name: str) -> None:
        """Deletes an object as an operator would."""
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self._note(kind, name, known.spec, known.status, deleted=True)

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
            while not self._since(kind, after_revision):
                await self._news.wait()
        return WatchBatch(
            revision=self.revision,
            changes=tuple(self._since(kind, after_revision)),
        )

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        """See `ObjectStore.create`."""

        def write() -> StoredObject:
            known = self.objects.get((kind, name))
            if known is not None:
                raise ObjectConflictError(f"{kind}/{name} exists", known)
            return self._store(kind, name, spec)

        return self._call_with_fault("create", write)

    async def replace(
        self, kind: str, name: str, spec: bytes, *, revision: int
    ) -> StoredObject:
        """See `ObjectStore.replace`."""

        def write() -> StoredObject:
            known = self.objects.get((kind, name))
            if known is None or known.revision != revision:
                raise ObjectConflictError(f"{kind}/{name} differs", known)
            return self._store(kind, name, spec, known.status)

        return self._call_with_fault("replace", write)

    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        """See `ObjectStore.set_status`."""

        def write() -> StoredObject | None:
            known = self.objects.get((kind, name))
            if known is None:
                return None
            return self._store(kind, name, known.spec, status)

        return self._call_with_fault("set_status", write)

    async def delete(self, kind: str, name: str) -> None:
        """See `ObjectStore.delete`."""
        self._call_with_fault("delete", lambda: self.drop(kind, name))

    def _call_with_fault(self, verb: str, call):
        """Makes a call as its fault wants it."""
        self.calls[verb] += 1
        fault = self._next_fault(verb)
        if fault is None:
            return call()
        if fault is Fault.RESPONSE_LOST:
            call()
        elif fault is Fault.DELAYED:
            self._late.append(call)
        is_unknown = (
            fault in (Fault.RESPONSE_LOST, Fault.DELAYED) and verb not in _READS
        )
        raise ObjectStoreError(f"{verb}: {fault}", may_be_done=is_unknown)

    def _next_fault(self, verb: str) -> Fault | None:
        waiting = self.faults.get(verb)
        return waiting.popleft() if waiting else None

    def _list(self, kind: str) -> ObjectList:
        items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
        return ObjectList(revision=self.revision, items=tuple(items))

    def _since(self, kind: str, revision: int) -> list[StoredObject]:
        return [
            o for o in self._log if o.kind == kind and o.revision > revision
        ]

    def _store(self, kind, name, spec, status=b"null") -> StoredObject:
        found = self._note(kind, name, spec, status, deleted=False)
        self.objects[(kind, name)] = found
        return found

    def _note(self, kind, name, spec, status, *, deleted) -> StoredObject:
        self.revision += 1
        found = StoredObject(
            kind=kind,
            name=name,
            revision=self.revision,
            is_deleted=deleted,
            spec=spec,
            status=status,
        )
        self._log.append(found)
        self._news.set()
        self._news = anyio.Event()
        return found
