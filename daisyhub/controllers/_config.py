"""Keeps the configuration in force; it takes only higher versions."""

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
_PLATFORM = ""

log = get_logger("config")


class ConfigController(Controller):
    """Adopts configurations from the platform and from peers.

    Nothing is adopted from disk, so that a restarted daemon can't fall back.
    What to adopt and to fetch is decided by `AdoptionCore`.

    Args:
        client: The platform.
        network: The peers.
        keys: The key table to fill.
    """

    name = "config"

    def __init__(
        self, client: PlatformClient, network: PeerNetwork, keys: KeyTable
    ):
        self._store = ConfigStore(client)
        self._network = network
        self._keys = keys
        self._core = AdoptionCore()
        self._table: RouteTable | None = None
        self._listeners: list[Callable[[], None]] = []
        self._fetches: list[FetchFromPeer | FetchParts] = []
        self._wakeup = anyio.Event()

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._core.version

    @property
    def withdrawn_count(self) -> int:
        """How many keys are known to be withdrawn."""
        return len(self._core.withdrawn)

    @property
    def withdrawn_digest(self) -> str:
        """Digest of the withdrawn key ids."""
        return self._core.withdrawn_digest

    @property
    def document(self) -> Document:
        """The document in force; an empty one before the first."""
        snapshot = self._core.snapshot
        return snapshot.document if snapshot else empty_document()

    @property
    def route_table(self) -> RouteTable | None:
        """The routes in force; None before the first configuration."""
        return self._table

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each adopted change."""
        self._listeners.append(listener)

    def status(self) -> dict[str, object]:
        """Tells the version in force."""
        return {
            "version": self.version,
            "withdrawn_keys": self.withdrawn_count,
        }

    async def run(self) -> None:
        """Carries fetches out, again when they failed."""
        async with anyio.create_task_group() as tasks:
            while True:
                for fetch in self._fetches:
                    tasks.start_soon(self._fetch, fetch)
                self._fetches = []
                with anyio.move_on_after(self._pause_s()):
                    await self._wakeup.wait()
                self._wakeup = anyio.Event()
                self._feed(AdoptionTick())

    def _pause_s(self) -> float | None:
        due_s = self._core.next_wakeup_s
        return None if due_s is None else max(0.0, due_s - time.monotonic())

    async def on_head(self, found: PlatformObject) -> None:
        """Takes a head from the platform's watch."""
        self._feed(HeadReceived(msgspec.convert(found.value, ConfigHead)))

    async def on_withdrawn(self, found: PlatformObject) -> None:
        """Takes the withdrawn keys from the platform's watch."""
        record = msgspec.convert(found.value, WithdrawnKeys)
        self._feed(WithdrawnKeysReceived(record.key_ids))

    def on_peer_summary(self, heard: PeerSummaryReceived) -> None:
        """Takes what a peer's heartbeat tells."""
        self._feed(heard)

    async def handle_fetch_request(
        self, fetch: ConfigRequest
    ) -> ConfigResponse:
        """Serves a peer's `ConfigRequest`."""
        snapshot = self._core.snapshot
        known = set(fetch.known_digests)
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
                    log.info("{} keys are withdrawn", len(key_ids))
                    self._tell()
                case ActivateSnapshot(snapshot):
                    self._put_in_force(snapshot)
                case FetchParts() | FetchFromPeer():
                    self._fetches.append(action)
        if self._fetches or due_s != self._core.next_wakeup_s:
            self._wakeup.set()

    def _put_in_force(self, snapshot: Snapshot) -> None:
        self._table = RouteTable(snapshot.document)
        self._keys.replace_keys(snapshot.document.keys)
        log.info("version {} is in force", snapshot.head.version)
        self._tell()

    async def _fetch(self, fetch: FetchFromPeer | FetchParts) -> None:
        if isinstance(fetch, FetchParts):
            self._feed(await self._fetch_parts(fetch))
        else:
            self._feed(await self._fetch_from_peer(fetch))

    async def _fetch_parts(self, fetch: FetchParts) -> object:
        try:
            return PartsFetched(await self._store.read_parts(fetch.digests))
        except PlatformUnavailableError as exc:
            log.info("no parts from the platform: {}", exc)
            return FetchFailed(_PLATFORM)

    async def _fetch_from_peer(self, fetch: FetchFromPeer) -> object:
        call = ConfigRequest(known_digests=fetch.known_digests)
        try:
            parts = await self._network.call(
                fetch.daemon_id, call, _FETCH_TIMEOUT_S
            )
        except PeerUnreachableError as exc:
            log.info("no configuration from {}: {}", fetch.daemon_id, exc)
            return FetchFailed(fetch.daemon_id)
        if not isinstance(parts, ConfigResponse):
            return FetchFailed(fetch.daemon_id)
        return PeerStateFetched(
            fetch.daemon_id, parts.head, parts.contents, parts.withdrawn
        )

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
