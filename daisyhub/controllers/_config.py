"""Keeps the active configuration and replaces it by higher versions only."""

import time
from collections.abc import Callable

import anyio
import msgspec

from daisyhub.base import Controller
from daisyhub.config import (
    ActivateSnapshot,
    AdoptionCore,
    AdoptionTick,
    ConfigHead,
    ConfigStore,
    Document,
    FetchFailed,
    FetchFromPeer,
    FetchParts,
    HeadReceived,
    PartsFetched,
    PeerStateFetched,
    PeerSummaryReceived,
    Snapshot,
    WithdrawKeys,
    WithdrawnKeys,
    WithdrawnKeysReceived,
    empty_document,
)
from daisyhub.exceptions import PlatformUnavailableError
from daisyhub.filters import RouteTable
from daisyhub.hosting import PlatformClient, PlatformObject
from daisyhub.identity import KeyTable
from daisyhub.logs import get_logger
from daisyhub.peers import (
    ConfigRequest,
    ConfigResponse,
    PeerNetwork,
    PeerUnreachableError,
)

__all__ = ["ConfigController"]

_FETCH_TIMEOUT_S = 2.0
# `FetchFailed.source` of a fetch from the platform; else it is a daemon id.
_PLATFORM_SOURCE = ""

log = get_logger("config")


class ConfigController(Controller):
    """Activates configurations from the platform and from peers.

    Configurations are never read from disk, so that a restarted daemon can't
    return to an older version. `AdoptionCore` decides what to activate and
    what to fetch.

    Args:
        client: Client of the platform.
        network: Connections to peers.
        keys: Table that receives the API keys of the configuration.
    """

    name = "config"

    def __init__(
        self, client: PlatformClient, network: PeerNetwork, keys: KeyTable
    ):
        self._store = ConfigStore(client)
        self._network = network
        self._keys = keys
        self._core = AdoptionCore()
        self._route_table: RouteTable | None = None
        self._listeners: list[Callable[[], None]] = []
        self._fetches: list[FetchFromPeer | FetchParts] = []
        self._wakeup = anyio.Event()

    @property
    def version(self) -> int:
        """The active version; 0 if there is none yet."""
        return self._core.version

    @property
    def withdrawn_count(self) -> int:
        """Count of API keys known to be withdrawn."""
        return len(self._core.withdrawn)

    @property
    def withdrawn_digest(self) -> str:
        """Digest of the ids of withdrawn API keys."""
        return self._core.withdrawn_digest

    @property
    def document(self) -> Document:
        """The active document; an empty one if there is none yet."""
        snapshot = self._core.snapshot
        return snapshot.document if snapshot else empty_document()

    @property
    def route_table(self) -> RouteTable | None:
        """The active routes; None if there is no configuration yet."""
        return self._route_table

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` when the configuration or withdrawn keys change."""
        self._listeners.append(listener)

    def status(self) -> dict[str, object]:
        """Returns the active version and the count of withdrawn keys."""
        return {
            "version": self.version,
            "withdrawn_keys": self.withdrawn_count,
        }

    async def run(self) -> None:
        """Runs the fetches that the core requests, and ticks it when due."""
        async with anyio.create_task_group() as tasks:
            while True:
                for fetch in self._fetches:
                    tasks.start_soon(self._fetch, fetch)
                self._fetches = []
                with anyio.move_on_after(self._tick_delay_s()):
                    await self._wakeup.wait()
                self._wakeup = anyio.Event()
                self._feed(AdoptionTick())

    def _tick_delay_s(self) -> float | None:
        """Returns the time until the core's next tick; None if none is due."""
        due_s = self._core.next_wakeup_s
        return None if due_s is None else max(0.0, due_s - time.monotonic())

    async def on_head(self, found: PlatformObject) -> None:
        """Handles a changed configuration head from the watch."""
        self._feed(HeadReceived(msgspec.convert(found.value, ConfigHead)))

    async def on_withdrawn(self, found: PlatformObject) -> None:
        """Handles a changed list of withdrawn keys from the watch."""
        record = msgspec.convert(found.value, WithdrawnKeys)
        self._feed(WithdrawnKeysReceived(record.key_ids))

    def on_peer_summary(self, summary: PeerSummaryReceived) -> None:
        """Handles the summary of a peer's configuration from its heartbeat."""
        self._feed(summary)

    async def handle_fetch_request(
        self, request: ConfigRequest
    ) -> ConfigResponse:
        """Returns the active configuration without the parts a peer has."""
        snapshot = self._core.snapshot
        known = set(request.known_digests)
        contents = {
            digest: text
            for digest, text in self._core.active_parts.items()
            if digest not in known
        }
        return ConfigResponse(
            head=snapshot.head if snapshot else ConfigHead(),
            contents=contents,
            withdrawn=tuple(sorted(self._core.withdrawn)),
        )

    def _feed(self, event: object) -> None:
        due_s = self._core.next_wakeup_s
        for action in self._core.handle(event, time.monotonic()):
            match action:
                case WithdrawKeys(key_ids):
                    self._keys.withdraw(key_ids)
                    log.info("{} API keys are withdrawn", len(key_ids))
                    self._notify_listeners()
                case ActivateSnapshot(snapshot):
                    self._activate(snapshot)
                case FetchParts() | FetchFromPeer():
                    self._fetches.append(action)
        if self._fetches or due_s != self._core.next_wakeup_s:
            self._wakeup.set()

    def _activate(self, snapshot: Snapshot) -> None:
        self._route_table = RouteTable(snapshot.document)
        self._keys.replace_keys(snapshot.document.keys)
        log.info("configuration version {} is active", snapshot.head.version)
        self._notify_listeners()

    async def _fetch(self, fetch: FetchFromPeer | FetchParts) -> None:
        if isinstance(fetch, FetchParts):
            self._feed(await self._fetch_parts(fetch))
        else:
            self._feed(await self._fetch_from_peer(fetch))

    async def _fetch_parts(self, fetch: FetchParts) -> object:
        try:
            return PartsFetched(await self._store.read_parts(fetch.digests))
        except PlatformUnavailableError as exc:
            log.info("fetching parts from the platform failed: {}", exc)
            return FetchFailed(_PLATFORM_SOURCE)

    async def _fetch_from_peer(self, fetch: FetchFromPeer) -> object:
        request = ConfigRequest(known_digests=fetch.known_digests)
        try:
            response = await self._network.call(
                fetch.daemon_id, request, _FETCH_TIMEOUT_S
            )
        except PeerUnreachableError as exc:
            log.info(
                "fetching the configuration from {} failed: {}",
                fetch.daemon_id,
                exc,
            )
            return FetchFailed(fetch.daemon_id)
        if not isinstance(response, ConfigResponse):
            return FetchFailed(fetch.daemon_id)
        return PeerStateFetched(
            fetch.daemon_id,
            response.head,
            response.contents,
            response.withdrawn,
        )

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
