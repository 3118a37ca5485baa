"""Keeps the configuration in force; it takes only higher versions."""

import time
from collections.abc import Callable

import msgspec

from daisyhub.base import Controller
from daisyhub.config import (
    ConfigHead,
    ConfigStore,
    Document,
    Snapshot,
    WithdrawnKeys,
    empty_document,
)
from daisyhub.config._store import digest_of, document_of
from daisyhub.exceptions import DaisyhubError
from daisyhub.filters import RouteTable
from daisyhub.identity import KeyTable
from daisyhub.logs import get_logger
from daisyhub.peers import (
    ConfigFetch,
    ConfigParts,
    PeerNetwork,
    PeerUnreachableError,
)
from daisyhub.platform import PlatformClient, PlatformObject

__all__ = ["ConfigController"]

_FETCH_TIMEOUT_S = 2.0

log = get_logger("config")


class ConfigController(Controller):
    """Adopts configurations from the platform and from peers.

    Nothing is adopted from disk, so that a restarted daemon can't fall back.

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
        self._snapshot: Snapshot | None = None
        self._table: RouteTable | None = None
        self._adopted_s = 0.0
        self._listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._snapshot.head.version if self._snapshot else 0

    @property
    def document(self) -> Document:
        """The document in force; an empty one before the first."""
        return self._snapshot.document if self._snapshot else empty_document()

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
            "withdrawn_keys": len(self._keys.withdrawn),
        }

    async def run(self) -> None:
        """Has nothing to do: news and peers drive it."""

    async def on_head(self, found: PlatformObject) -> None:
        """Takes a head from the platform's watch."""
        head = msgspec.convert(found.value, ConfigHead)
        if head.version <= self.version:
            return
        contents = await self._store.read_contents(head, self._known_contents())
        self.adopt(head, contents)

    async def on_withdrawn(self, found: PlatformObject) -> None:
        """Takes the withdrawn keys from the platform's watch."""
        record = msgspec.convert(found.value, WithdrawnKeys)
        self._withdraw(record.key_ids)

    async def fetch_from_peer(self, daemon_id: str) -> None:
        """Takes what a peer has and this daemon lacks."""
        fetch = ConfigFetch(known_digests=tuple(self._known_contents()))
        try:
            parts = await self._network.call(daemon_id, fetch, _FETCH_TIMEOUT_S)
        except PeerUnreachableError as exc:
            log.info("no configuration from {}: {}", daemon_id, exc)
            return
        self._withdraw(parts.withdrawn)
        contents = {**self._known_contents(), **parts.contents}
        if all(ref.digest in contents for ref in parts.head.sections):
            self.adopt(parts.head, contents)

    async def answer_fetch(self, fetch: ConfigFetch) -> ConfigParts:
        """Serves a peer's `ConfigFetch`."""
        head = self._snapshot.head if self._snapshot else ConfigHead()
        known = set(fetch.known_digests)
        contents = {
            digest: text
            for digest, text in self._known_contents().items()
            if digest not in known
        }
        return ConfigParts(
            head=head, contents=contents, withdrawn=self._keys.withdrawn
        )

    def adopt(self, head: ConfigHead, contents: dict[str, str]) -> bool:
        """Puts a head in force if it is higher; returns whether it was."""
        if head.version <= self.version:
            return False
        own = {ref.digest: contents[ref.digest] for ref in head.sections}
        for digest, text in own.items():
            if digest_of(text) != digest:
                raise DaisyhubError(f"section {digest} is damaged")
        document = document_of(head, own)
        self._snapshot = Snapshot(head=head, contents=own, document=document)
        self._table = RouteTable(document)
        self._keys.replace_keys(document.keys)
        self._adopted_s = time.monotonic()
        log.info("version {} is in force", head.version)
        self._tell()
        return True

    def _withdraw(self, key_ids: tuple[str, ...]) -> None:
        if self._keys.withdraw(key_ids):
            log.info("{} keys are withdrawn", len(self._keys.withdrawn))
            self._tell()

    def _known_contents(self) -> dict[str, str]:
        return self._snapshot.contents if self._snapshot else {}

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
