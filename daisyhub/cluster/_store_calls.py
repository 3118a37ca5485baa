"""Store calls that one daemon relays for another."""

from collections.abc import Awaitable

import msgspec

from daisyhub.cluster._messages import StoreRequest, StoreResponse
from daisyhub.cluster._peers import PeerTable
from daisyhub.hosting import rank_candidates
from daisyhub.objects import (
    HistoryGoneError,
    ObjectConflictError,
    ObjectList,
    ObjectSource,
    ObjectStore,
    ObjectStoreError,
    ReaderProvider,
    RelayProvider,
    StoredObject,
    WatchBatch,
)
from daisyhub.peers import PeerNetwork, PeerUnreachableError

__all__ = ["PeerReaderProvider", "PeerRelayProvider", "StoreRequestHandler"]

_READS = frozenset({"read", "list", "watch"})
# Number of other daemons from which on watches are shared. In a smaller
# cluster they cost little, and a reader is one more thing that can fail.
_MIN_SHARING_PEERS = 12


class StoreRequestHandler:
    """Handles peers' store requests with direct calls to the store.

    Args:
        store: Calls the store directly, never through a peer.
        copy: This daemon's copies of watched kinds.
    """

    def __init__(self, store: ObjectStore, copy: ObjectSource):
        self._store = store
        self._copy = copy

    async def handle(self, request: StoreRequest) -> StoreResponse:
        """Makes one store call and returns its result or failure."""
        try:
            return await self._execute(request)
        except ObjectConflictError as exc:
            return StoreResponse(
                failure="conflict", detail=str(exc), found=exc.found
            )
        except HistoryGoneError as exc:
            return StoreResponse(failure="history_gone", detail=str(exc))
        except ObjectStoreError as exc:
            return StoreResponse(
                failure="unavailable",
                detail=str(exc),
                may_be_done=exc.may_be_done,
                is_throttled=exc.is_throttled,
            )

    async def _execute(self, request: StoreRequest) -> StoreResponse:
        store, kind, name = self._store, request.kind, request.name
        source = self._copy if request.of_copy else store
        match request.verb:
            case "read":
                return StoreResponse(found=await store.read(kind, name))
            case "list":
                listed = await source.list_all(kind)
                return StoreResponse(
                    revision=listed.revision,
                    items=listed.items,
                    complete_to=listed.complete_to or 0,
                )
            case "watch":
                batch = await source.watch(
                    kind, after_revision=request.revision, wait_s=request.wait_s
                )
                return StoreResponse(
                    revision=batch.revision, items=batch.changes
                )
            case "create":
                found = await store.create(kind, name, request.content)
                return StoreResponse(found=found)
            case "replace":
                found = await store.replace(
                    kind, name, request.content, revision=request.revision
                )
                return StoreResponse(found=found)
            case "set_status":
                found = await store.set_status(kind, name, request.content)
                return StoreResponse(found=found)
            case "delete":
                await store.delete(kind, name)
                return StoreResponse()
        raise ObjectStoreError(
            f"unknown verb {request.verb!r} in a peer's store request",
            may_be_done=False,
        )


class _PeerStore(ObjectStore):
    """Calls the store through one peer, or lists and watches its copy."""

    def __init__(
        self,
        network: PeerNetwork,
        peer_id: str,
        timeout_s: float,
        *,
        of_copy: bool = False,
    ):
        self._network = network
        self.name = peer_id
        self._peer_id = peer_id
        self._timeout_s = timeout_s
        self._of_copy = of_copy

    async def read(
        self, kind: str, name: str, *, can_be_stale: bool = False
    ) -> StoredObject | None:
        del can_be_stale  # Peers relay few calls, so none needs to be stale.
        return await self._call_for_object(
            StoreRequest(verb="read", kind=kind, name=name)
        )

    async def list_all(self, kind: str) -> ObjectList:
        response = await self._call(
            StoreRequest(verb="list", kind=kind, of_copy=self._of_copy)
        )
        return ObjectList(
            revision=response.revision,
            items=response.items,
            complete_to=response.complete_to if self._of_copy else None,
        )

    async def watch(
        self,
        kind: str,
        *,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool = False,
    ) -> WatchBatch:
        del can_be_stale
        request = StoreRequest(
            verb="watch",
            kind=kind,
            revision=after_revision,
            wait_s=wait_s,
            of_copy=self._of_copy,
        )
        response = await self._call(request, wait_s)
        return WatchBatch(revision=response.revision, changes=response.items)

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        request = StoreRequest(
            verb="create", kind=kind, name=name, content=spec
        )
        return await self._write(request)

    async def replace(
        self, kind: str, name: str, spec: bytes, *, revision: int
    ) -> StoredObject:
        request = StoreRequest(
            verb="replace",
            kind=kind,
            name=name,
            content=spec,
            revision=revision,
        )
        return await self._write(request)

    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        request = StoreRequest(
            verb="set_status", kind=kind, name=name, content=status
        )
        return await self._call_for_object(request)

    async def delete(self, kind: str, name: str) -> None:
        await self._call(StoreRequest(verb="delete", kind=kind, name=name))

    async def _write(self, request: StoreRequest) -> StoredObject:
        """Makes a write whose response contains the written object."""
        found = await self._call_for_object(request)
        if found is None:
            raise ObjectStoreError(
                f"the response of {self._peer_id} lacks the written object",
                may_be_done=True,
            )
        return found

    async def _call_for_object(
        self, request: StoreRequest
    ) -> StoredObject | None:
        """Returns the object of a response, None if it says there is none."""
        found = (await self._call(request)).found
        if found is msgspec.UNSET:
            raise ObjectStoreError(
                f"the response of {self._peer_id} names no object",
                may_be_done=request.verb not in _READS,
            )
        return found

    async def _call(
        self, request: StoreRequest, wait_s: float = 0
    ) -> StoreResponse:
        is_write = request.verb not in _READS
        call: Awaitable = self._network.call(
            self._peer_id, request, self._timeout_s + wait_s
        )
        try:
            response = await call
        except PeerUnreachableError as exc:
            raise ObjectStoreError(
                str(exc), may_be_done=is_write, is_from_store=False
            ) from exc
        detail = f"relayed by {self._peer_id}: {response.detail}"
        match response.failure:
            case "":
                return response
            case "conflict":
                raise ObjectConflictError(detail, response.found or None)
            case "history_gone":
                raise HistoryGoneError(detail)
            case "unavailable":
                may_be_done = is_write and response.may_be_done
                raise ObjectStoreError(
                    detail,
                    may_be_done=may_be_done,
                    is_throttled=response.is_throttled,
                )
        raise ObjectStoreError(
            f"unknown failure {response.failure!r}, {detail}",
            may_be_done=is_write,
        )


class PeerRelayProvider(RelayProvider):
    """Provides relays through live peers that reach the store.

    Args:
        network: Calls peers.
        peers: Known peers and whether they reach the store.
        domain: Failure domain of this daemon.
        timeout_s: Timeout of a relayed call in seconds, to which a watch adds
            its own wait.
    """

    def __init__(
        self,
        network: PeerNetwork,
        peers: PeerTable,
        domain: str,
        timeout_s: float,
    ):
        self._network = network
        self._peers = peers
        self._domain = domain
        self._timeout_s = timeout_s

    def stores(self) -> list[ObjectStore]:
        """Returns the relays, those in other failure domains last.

        In a large cluster a daemon may be lost for long before this one
        learns of it, so daemons that were heard last come first.
        """
        connected = [p for p in self._peers.live() if p.ping.reaches_store]
        connected.sort(
            key=lambda p: (
                p.ping.domain != self._domain,
                -p.last_received_at_s,
            )
        )
        return [
            _PeerStore(self._network, p.daemon_id, self._timeout_s)
            for p in connected
        ]


class PeerReaderProvider(ReaderProvider):
    """Chooses the reader among the live daemons of the failure domain.

    A daemon with a duty reads itself, since it must be up to date.

    Args:
        network: Calls peers.
        peers: Known peers.
        domain: Failure domain of this daemon.
        timeout_s: Timeout of a call in seconds, to which a watch adds its own
            wait.
    """

    def __init__(
        self,
        network: PeerNetwork,
        peers: PeerTable,
        domain: str,
        timeout_s: float,
    ):
        self._network = network
        self._peers = peers
        self._domain = domain
        self._timeout_s = timeout_s

    @property
    def knows_peers(self) -> bool:
        """Whether another daemon is live; see `ReaderProvider`."""
        return bool(self._peers.live())

    def choose(self, excluded: frozenset[str]) -> str | None:
        """Returns the first daemon by rank; see `ReaderProvider.choose`."""
        live = self._peers.live()
        if len(live) < _MIN_SHARING_PEERS or self._peers.has_duty:
            return None
        names = [
            p.daemon_id
            for p in live
            if p.ping.domain == self._domain
            and p.ping.reaches_store
            and not p.ping.is_leaving
            and p.daemon_id not in excluded
        ]
        names.append(self._peers.own_id)
        first = rank_candidates(f"reader/{self._domain}", names)[0]
        return None if first == self._peers.own_id else first

    def copy_of(self, reader_id: str) -> ObjectSource:
        """Returns the copy of a reader; see `ReaderProvider.copy_of`."""
        return _PeerStore(
            self._network, reader_id, self._timeout_s, of_copy=True
        )
