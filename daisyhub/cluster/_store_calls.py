"""Store calls that one daemon carries for another."""

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
    """Answers peers' store calls over the own direct way.

    Args:
        store: The store as this daemon reaches it.
    """

    def __init__(self, store: ObjectStore):
        self._store = store

    async def answer(self, asked: StoreRequest) -> StoreResponse:
        """Carries out one call."""
        try:
            return await self._answer(asked)
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

    async def _answer(self, asked: StoreRequest) -> StoreResponse:
        store, kind, name = self._store, asked.kind, asked.name
        match asked.verb:
            case "read":
                return StoreResponse(found=await store.read(kind, name))
            case "list":
                listed = await store.list_all(kind)
                return StoreResponse(
                    revision=listed.revision, items=listed.items
                )
            case "watch":
                batch = await store.watch(
                    kind, after_revision=asked.revision, wait_s=asked.wait_s
                )
                return StoreResponse(
                    revision=batch.revision, items=batch.changes
                )
            case "create":
                found = await store.create(kind, name, asked.content)
                return StoreResponse(found=found)
            case "replace":
                found = await store.replace(
                    kind, name, asked.content, revision=asked.revision
                )
                return StoreResponse(found=found)
            case "set_status":
                found = await store.set_status(kind, name, asked.content)
                return StoreResponse(found=found)
            case "delete":
                await store.delete(kind, name)
                return StoreResponse()
        raise ObjectStoreError(
            f"a peer asked for {asked.verb!r}", may_be_done=False
        )


class _PeerStore(ObjectStore):
    """The store as one peer reaches it."""

    def __init__(self, network: PeerNetwork, peer_id: str, timeout_s: float):
        self._network = network
        self._peer_id = peer_id
        self._timeout_s = timeout_s

    async def read(
        self, kind: str, name: str, *, can_be_stale: bool = False
    ) -> StoredObject | None:
        del can_be_stale  # The few calls that peers carry are never late.
        answer = await self._call(
            StoreRequest(verb="read", kind=kind, name=name)
        )
        return answer.found

    async def list_all(self, kind: str) -> ObjectList:
        answer = await self._call(StoreRequest(verb="list", kind=kind))
        return ObjectList(revision=answer.revision, items=answer.items)

    async def watch(
        self,
        kind: str,
        *,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool = False,
    ) -> WatchBatch:
        del can_be_stale
        asked = StoreRequest(
            verb="watch", kind=kind, revision=after_revision, wait_s=wait_s
        )
        answer = await self._call(asked, wait_s)
        return WatchBatch(revision=answer.revision, changes=answer.items)

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        asked = StoreRequest(verb="create", kind=kind, name=name, content=spec)
        return (await self._call(asked)).found

    async def replace(
        self, kind: str, name: str, spec: bytes, *, revision: int
    ) -> StoredObject:
        asked = StoreRequest(
            verb="replace",
            kind=kind,
            name=name,
            content=spec,
            revision=revision,
        )
        return (await self._call(asked)).found

    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        asked = StoreRequest(
            verb="set_status", kind=kind, name=name, content=status
        )
        return (await self._call(asked)).found

    async def delete(self, kind: str, name: str) -> None:
        await self._call(StoreRequest(verb="delete", kind=kind, name=name))

    async def _call(
        self, asked: StoreRequest, wait_s: float = 0
    ) -> StoreResponse:
        is_write = asked.verb not in _READS
        call: Awaitable = self._network.call(
            self._peer_id, asked, self._timeout_s + wait_s
        )
        try:
            answer = await call
        except PeerUnreachableError as exc:
            raise ObjectStoreError(str(exc), may_be_done=is_write) from exc
        detail = f"by {self._peer_id}: {answer.detail}"
        match answer.failure:
            case "":
                return answer
            case "conflict":
                raise ObjectConflictError(detail, answer.found)
            case "history_gone":
                raise HistoryGoneError(detail)
        raise ObjectStoreError(detail, may_be_done=answer.may_be_done)


class PeerRelayProvider(RelayProvider):
    """Finds peers that reach the store.

    Args:
        network: Calls peers.
        peers: Tells who reaches the store.
        domain: Failure domain of this daemon.
        timeout_s: Longest wait for a carried call, besides a watch's wait.
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
        """Returns the stores of live peers, those of other domains last."""
        reaching = [p for p in self._peers.live() if p.ping.reaches_store]
        reaching.sort(key=lambda p: p.ping.domain != self._domain)
        return [
            _PeerStore(self._network, p.daemon_id, self._timeout_s)
            for p in reaching
        ]
