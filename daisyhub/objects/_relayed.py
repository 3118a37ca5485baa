"""A store whose calls peers carry while the direct way is cut.

A daemon may be turned away by a store that serves the others. Any call can be
handed to a peer that still reaches it. A write whose outcome is unknown is
repeated: creates and conditional replacements take effect once, and a refusal
that shows the very value of the write counts as its success.
"""

import abc
import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.logs import DecisionLog
from daisyhub.objects._base import (
    ObjectConflictError,
    ObjectList,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
    WatchBatch,
    is_same_json,
)

__all__ = ["RelayedStore", "RelayProvider"]

# Seconds for which calls go to a peer first after the direct way failed; the
# next call after it tries the direct way again.
_DIRECT_RETRY_S = 1.0
# Seconds that a relayed watch is held; short, as the peer that carries it may
# fall silent, and the end of a lot must be heard within three seconds.
_RELAYED_WATCH_S = 1.5
# Peers that are asked to carry one call.
_MOST_CARRIERS = 2


class RelayProvider(abc.ABC):
    """Hands store calls to other daemons."""

    @abc.abstractmethod
    def stores(self) -> list[ObjectStore]:
        """Returns the stores of peers that reach theirs, best first."""


class RelayedStore(ObjectStore):
    """Calls the store directly, or through a peer while that fails.

    Args:
        direct: The store as this daemon reaches it.
        carrier: Finds peers that carry calls.
        log: Where losses and returns of the direct way are noted.
    """

    def __init__(
        self, direct: ObjectStore, carrier: RelayProvider, log: DecisionLog
    ):
        self._direct = direct
        self._carrier = carrier
        self._log = log
        self._lost_at_s: float | None = None
        self._direct_watches: set[anyio.CancelScope] = set()

    @property
    def is_directly_reachable(self) -> bool:
        """Whether the last direct call succeeded."""
        return self._lost_at_s is None

    async def read(
        self, kind: str, name: str, *, can_be_stale: bool = False
    ) -> StoredObject | None:
        """Returns an object; see `ObjectStore.read`."""
        return await self._call(
            lambda store: store.read(kind, name, can_be_stale=can_be_stale)
        )

    async def list_all(self, kind: str) -> ObjectList:
        """Returns a kind; see `ObjectStore.list_all`."""
        return await self._call(lambda store: store.list_all(kind))

    async def watch(
        self,
        kind: str,
        *,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool = False,
    ) -> WatchBatch:
        """Waits for changes; see `ObjectStore.watch`."""

        def watch_at(store: ObjectStore) -> Awaitable[WatchBatch]:
            if store is self._direct:
                return self._watch_directly(
                    kind, after_revision, wait_s, can_be_stale
                )
            return store.watch(
                kind,
                after_revision=after_revision,
                wait_s=min(wait_s, _RELAYED_WATCH_S),
            )

        return await self._call(watch_at, is_telling=False)

    async def _watch_directly(
        self,
        kind: str,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool,
    ) -> WatchBatch:
        """Waits at the store itself, as long as other calls reach it.

        A watch that waits notices a cut only after its whole wait; a call
        that fails meanwhile tells earlier.
        """
        with anyio.CancelScope() as scope:
            self._direct_watches.add(scope)
            try:
                return await self._direct.watch(
                    kind,
                    after_revision=after_revision,
                    wait_s=wait_s,
                    can_be_stale=can_be_stale,
                )
            finally:
                self._direct_watches.discard(scope)
        raise ObjectStoreError(
            f"watch of {kind} given up: the store was lost", may_be_done=False
        )

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        """Creates an object; see `ObjectStore.create`."""
        return await self._write(
            lambda store: store.create(kind, name, spec), spec
        )

    async def replace(
        self, kind: str, name: str, spec: bytes, *, revision: int
    ) -> StoredObject:
        """Replaces a spec; see `ObjectStore.replace`."""
        return await self._write(
            lambda store: store.replace(kind, name, spec, revision=revision),
            spec,
        )

    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        """Replaces a status; see `ObjectStore.set_status`."""
        return await self._call(
            lambda store: store.set_status(kind, name, status)
        )

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; see `ObjectStore.delete`."""
        await self._call(lambda store: store.delete(kind, name))

    async def _write(
        self, call: Callable[[ObjectStore], Awaitable], spec: bytes
    ) -> StoredObject:
        """Carries out a conditional write that may be repeated."""
        attempts = 0

        def counted(store: ObjectStore) -> Awaitable:
            nonlocal attempts
            attempts += 1
            return call(store)

        try:
            return await self._call(counted)
        except ObjectConflictError as exc:
            found = exc.found
            is_own = found is not None and is_same_json(found.spec, spec)
            if attempts > 1 and is_own:
                return found
            raise

    async def _call(
        self,
        call: Callable[[ObjectStore], Awaitable],
        *,
        is_telling: bool = True,
    ):
        """Tries the direct way and peers; one unknown outcome taints all.

        A failed watch doesn't tell that the direct way is lost, as the store
        cuts watches while it answers all else.
        """
        may_be_done = False
        failure: Exception = ObjectStoreError(
            "the store is lost, and no peer reaches it", may_be_done=False
        )
        for store in self._ways():
            try:
                answer = await call(store)
            except ObjectStoreError as exc:
                may_be_done = may_be_done or exc.may_be_done
                failure = exc
                if is_telling:
                    self._note_outcome(store, exc)
            except ObjectConflictError:
                self._note_outcome(store, None)
                raise
            else:
                self._note_outcome(store, None)
                return answer
        raise ObjectStoreError(str(failure), may_be_done=may_be_done)

    def _ways(self) -> list[ObjectStore]:
        peers = self._carrier.stores()[:_MOST_CARRIERS]
        if self._lost_at_s is None:
            return [self._direct, *peers]
        if time.monotonic() - self._lost_at_s >= _DIRECT_RETRY_S:
            self._lost_at_s = time.monotonic()
            return [self._direct, *peers]
        return peers

    def _note_outcome(
        self, store: ObjectStore, exc: ObjectStoreError | None
    ) -> None:
        if store is not self._direct:
            return
        if exc is None and self._lost_at_s is not None:
            self._lost_at_s = None
            self._log.record("store_regained")
        if exc is not None and self._lost_at_s is None:
            self._lost_at_s = time.monotonic()
            self._log.record("store_lost", reason=str(exc))
            for scope in list(self._direct_watches):
                scope.cancel()
