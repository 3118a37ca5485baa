"""A store whose calls are relayed by peers while direct calls fail.

A store may reject one daemon while it serves the others, so any call can be
relayed by a peer that still reaches the store. A write whose outcome is unknown
is repeated. Creates and conditional replacements take effect at most once, and
a conflict with an object of the same value as the repeated write counts as its
success.
"""

import abc
import dataclasses
import math
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
from daisyhub.objects._tries import StoreTry, TryOutcome, add_try

__all__ = ["RelayedStore", "RelayProvider"]

# Seconds for which calls are only relayed after a direct call failed. The next
# call after that is tried directly again.
_DIRECT_RETRY_S = 1.0
# Maximum wait of a relayed watch, in seconds. It is short, as the relaying
# peer may be lost and the end of a lot must be received within three seconds.
_RELAYED_WATCH_S = 1.5
# Maximum number of peers that are tried as relays of one call.
_MAX_RELAYS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Call:
    """A store call.

    Attributes:
        verb: Name of the method.
        target: The kind, with the name if there is one.
        run: Makes the call at the given store.
    """

    verb: str
    target: str
    run: Callable[[ObjectStore], Awaitable]

    def record(
        self, way: str, outcome: TryOutcome, exc: Exception | str = ""
    ) -> None:
        """Records a try of this call."""
        add_try(
            StoreTry(
                call=f"{self.verb} {self.target}",
                way=way,
                outcome=outcome,
                detail=str(exc),
            )
        )


class RelayProvider(abc.ABC):
    """Provides stores that relay calls through peers."""

    @abc.abstractmethod
    def stores(self) -> list[ObjectStore]:
        """Returns one store per usable peer, the preferred ones first."""


class RelayedStore(ObjectStore):
    """Calls the store directly, or through a peer while direct calls fail.

    Args:
        direct: Calls the store directly.
        relay_provider: Returns the relays that are available now.
        log: Logs when the direct connection is lost and regained.

    Attributes:
        failed_call_at_s: Start of the last call that found the store
            unavailable, directly and through peers; minus infinity for none.
            A waiting watch that is cut off and a call beyond the store's rate
            don't show that.
    """

    def __init__(
        self,
        direct: ObjectStore,
        relay_provider: RelayProvider,
        log: DecisionLog,
    ):
        self._direct = direct
        self._relay_provider = relay_provider
        self._log = log
        self.failed_call_at_s = -math.inf
        self._direct_failed_at_s: float | None = None
        self._direct_watches: set[anyio.CancelScope] = set()

    @property
    def is_directly_reachable(self) -> bool:
        """Whether the last direct call succeeded, failed watches aside."""
        return self._direct_failed_at_s is None

    async def read(
        self, kind: str, name: str, *, can_be_stale: bool = False
    ) -> StoredObject | None:
        """Returns an object; see `ObjectStore.read`."""
        return await self._call(
            _Call(
                verb="read",
                target=f"{kind}/{name}",
                run=lambda store: store.read(
                    kind, name, can_be_stale=can_be_stale
                ),
            )
        )

    async def list_all(self, kind: str) -> ObjectList:
        """Returns all objects of a kind; see `ObjectStore.list_all`."""
        return await self._call(
            _Call(
                verb="list",
                target=kind,
                run=lambda store: store.list_all(kind),
            )
        )

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

        call = _Call(verb="watch", target=kind, run=watch_at)
        return await self._call(call, should_record_failure=False)

    async def _watch_directly(
        self,
        kind: str,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool,
    ) -> WatchBatch:
        """Watches directly and stops as soon as another direct call fails.

        A waiting watch itself detects a lost connection only at the end of its
        wait.
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
            f"watch of {kind} cancelled: a direct call to the store failed",
            may_be_done=False,
        )

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        """Creates an object; see `ObjectStore.create`."""
        call = _Call(
            verb="create",
            target=f"{kind}/{name}",
            run=lambda store: store.create(kind, name, spec),
        )
        return await self._write(call, spec)

    async def replace(
        self, kind: str, name: str, spec: bytes, *, revision: int
    ) -> StoredObject:
        """Replaces a spec; see `ObjectStore.replace`."""
        call = _Call(
            verb="replace",
            target=f"{kind}/{name}",
            run=lambda store: store.replace(
                kind, name, spec, revision=revision
            ),
        )
        return await self._write(call, spec)

    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        """Replaces a status; see `ObjectStore.set_status`."""
        return await self._call(
            _Call(
                verb="set_status",
                target=f"{kind}/{name}",
                run=lambda store: store.set_status(kind, name, status),
            )
        )

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; see `ObjectStore.delete`."""
        await self._call(
            _Call(
                verb="delete",
                target=f"{kind}/{name}",
                run=lambda store: store.delete(kind, name),
            )
        )

    async def _write(self, call: _Call, spec: bytes) -> StoredObject:
        """Makes a conditional write that may be repeated.

        After a repetition, a conflict with an object that already has the
        written value counts as success.
        """
        attempts = 0

        def counted_call(store: ObjectStore) -> Awaitable:
            nonlocal attempts
            attempts += 1
            return call.run(store)

        try:
            return await self._call(dataclasses.replace(call, run=counted_call))
        except ObjectConflictError as exc:
            found = exc.found
            is_own = found is not None and is_same_json(found.spec, spec)
            if attempts > 1 and is_own:
                return found
            raise

    async def _call(self, call: _Call, *, should_record_failure: bool = True):
        """Makes a call directly or through peers until one attempt succeeds.

        Args:
            call: The call.
            should_record_failure: Whether a failed direct attempt marks the
                direct connection as lost. False for watches, as the store may
                cut them while it serves all other calls.

        Raises:
            ObjectStoreError: Every attempt failed. `may_be_done` is set if it
                was set for any of them.
        """
        started_s = time.monotonic()
        may_be_done = False
        is_throttled = False
        is_from_store = False
        failure: ObjectStoreError | None = None
        for store in self._candidate_stores():
            way = "direct" if store is self._direct else store.name
            try:
                result = await call.run(store)
            except ObjectStoreError as exc:
                may_be_done = may_be_done or exc.may_be_done
                is_throttled = is_throttled or exc.is_throttled
                is_from_store = is_from_store or exc.is_from_store
                failure = exc
                outcome = (
                    TryOutcome.UNKNOWN
                    if exc.may_be_done
                    else TryOutcome.NOT_DONE
                )
                call.record(way, outcome, exc)
                if should_record_failure:
                    self._record_outcome(store, exc)
            except anyio.get_cancelled_exc_class():
                call.record(way, TryOutcome.UNKNOWN, "cancelled")
                raise
            except ObjectConflictError as exc:
                call.record(way, TryOutcome.CONFLICT, exc)
                self._record_outcome(store, None)
                raise
            else:
                call.record(way, TryOutcome.DONE)
                self._record_outcome(store, None)
                return result
        if failure is None:
            call.record("none", TryOutcome.NOT_DONE)
            failure = ObjectStoreError(
                "the store is unreachable, directly and through peers",
                may_be_done=False,
            )
        elif should_record_failure and is_from_store and not is_throttled:
            self.failed_call_at_s = max(self.failed_call_at_s, started_s)
        raise ObjectStoreError(
            str(failure), may_be_done=may_be_done, is_throttled=is_throttled
        )

    def _candidate_stores(self) -> list[ObjectStore]:
        peers = self._relay_provider.stores()[:_MAX_RELAYS]
        if self._direct_failed_at_s is None:
            return [self._direct, *peers]
        if time.monotonic() - self._direct_failed_at_s >= _DIRECT_RETRY_S:
            self._direct_failed_at_s = time.monotonic()
            return [self._direct, *peers]
        return peers

    def _record_outcome(
        self, store: ObjectStore, exc: ObjectStoreError | None
    ) -> None:
        if store is not self._direct:
            return
        if exc is None and self._direct_failed_at_s is not None:
            self._direct_failed_at_s = None
            self._log.record("store_regained")
        if exc is not None and self._direct_failed_at_s is None:
            self._direct_failed_at_s = time.monotonic()
            self._log.record("store_lost", reason=str(exc))
            for scope in list(self._direct_watches):
                scope.cancel()
