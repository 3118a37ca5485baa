"""Store calls that one daemon relays for another."""

from collections.abc import Awaitable

from daisyhub.cluster._messages import StoreRequest, StoreResponse
from daisyhub.cluster._peers import PeerTable
from daisyhub.objects import (
    HistoryGoneError,
    ObjectConflictError,
    ObjectList,
    ObjectStore,
    ObjectStoreError,
    RelayProvider,
    StoredObject,
    WatchBatch,
)
from daisyhub.peers import PeerNetwork, PeerUnreachableError

__all__ = ["PeerRelayProvider", "StoreRequestHandler"]

_READS = frozenset({"read", "list", "watch"})


class StoreRequestHandler:
    """Handles peers' store requests with direct calls to the store.

    Args:
        store: Calls the store directly, never through a peer.
    """

    def __init__(self, store: ObjectStore):
        self._store = store

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
            )

    async def _execute(self, request: StoreRequest) -> StoreResponse:
        store, kind, name = self._store, request.kind, request.name
        match request.verb:
            case "read":
                return StoreResponse(found=await store.read(kind, name))
            case "list":
                listed = await store.list_all(kind)
                return StoreResponse(
                    revision=listed.revision, items=listed.items
                )
            case "watch":
                batch = await store.watch(
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
    """Calls the store through one peer."""

    def __init__(self, network: PeerNetwork, peer_id: str, timeout_s: float):
        self._network = network
        self._peer_id = peer_id
        self._timeout_s = timeout_s

    async def read(
        self, kind: str, name: str, *, can_be_stale: bool = False
    ) -> StoredObject | None:
        del can_be_stale  # Peers relay few calls, so none needs to be stale.
        response = await self._call(
            StoreRequest(verb="read", kind=kind, name=name)
        )
        return response.found

    async def list_all(self, kind: str) -> ObjectList:
        response = await self._call(StoreRequest(verb="list", kind=kind))
        return ObjectList(revision=response.revision, items=response.items)

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
            verb="watch", kind=kind, revision=after_revision, wait_s=wait_s
        )
        response = await self._call(request, wait_s)
        return WatchBatch(revision=response.revision, changes=response.items)

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        request = StoreRequest(
            verb="create", kind=kind, name=name, content=spec
        )
        return (await self._call(request)).found

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
        return (await self._call(request)).found

    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        request = StoreRequest(
            verb="set_status", kind=kind, name=name, content=status
        )
        return (await self._call(request)).found

    async def delete(self, kind: str, name: str) -> None:
        await self._call(StoreRequest(verb="delete", kind=kind, name=name))

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
            raise ObjectStoreError(str(exc), may_be_done=is_write) from exc
        detail = f"relayed by {self._peer_id}: {response.detail}"
        match response.failure:
            case "":
                return response
            case "conflict":
                raise ObjectConflictError(detail, response.found)
            case "history_gone":
                raise HistoryGoneError(detail)
        raise ObjectStoreError(detail, may_be_done=response.may_be_done)


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
        """Returns the relays, those in other failure domains last."""
        connected = [p for p in self._peers.live() if p.ping.reaches_store]
        connected.sort(key=lambda p: p.ping.domain != self._domain)
        return [
            _PeerStore(self._network, p.daemon_id, self._timeout_s)
            for p in connected
        ]
