"""Decides which configuration to activate, and what to fetch from where.

Only a higher version replaces the active one, and the set of withdrawn keys
only grows. A head is activated with all of its sections or not at all.
Fetched parts are verified against their digests.
"""

import dataclasses
import hashlib

from daisyhub.base import Core
from daisyhub.config._parts import PartsError, build_snapshot, digest_of
from daisyhub.config._records import ConfigHead, Snapshot

__all__ = [
    "PLATFORM",
    "AdoptionCore",
    "AdoptionTick",
    "FetchFailed",
    "FetchFromPeer",
    "FetchParts",
    "HeadReceived",
    "PartsFetched",
    "PeerStateFetched",
    "PeerSummaryReceived",
    "ActivateSnapshot",
    "WithdrawKeys",
    "WithdrawnKeysReceived",
    "withdrawn_digest",
]

# Source id of the platform; the source id of a peer is its daemon id.
PLATFORM = ""
_MAX_PEER_FETCHES = 2  # At the same time.
_INITIAL_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 8.0
_DIGEST_BYTES = 8


def withdrawn_digest(key_ids: frozenset[str]) -> str:
    """Returns a digest for comparing two sets of key ids, in hex."""
    text = "\n".join(sorted(key_ids))
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class HeadReceived:
    """Event: the platform's watch delivered a head."""

    head: ConfigHead


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawnKeysReceived:
    """Event: the platform's watch delivered the withdrawn key ids."""

    key_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSummaryReceived:
    """Event: a peer's heartbeat reported its configuration state.

    Attributes:
        daemon_id: Id of the peer.
        version: The peer's active version.
        withdrawn_count: Number of withdrawn key ids that the peer knows.
        withdrawn_digest: Their digest, as of `withdrawn_digest`.
    """

    daemon_id: str
    version: int
    withdrawn_count: int
    withdrawn_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartsFetched:
    """Event: the platform answered `FetchParts`; missing parts are omitted."""

    contents: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStateFetched:
    """Event: a peer answered `FetchFromPeer`.

    Attributes:
        daemon_id: Id of the peer.
        head: The head of the peer's active version.
        contents: Texts of the requested parts, by digest.
        withdrawn: All key ids that the peer knows as withdrawn.
    """

    daemon_id: str
    head: ConfigHead
    contents: dict[str, str]
    withdrawn: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailed:
    """Event: a fetch failed; `source` is a daemon id or `PLATFORM`."""

    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptionTick:
    """Event: time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchParts:
    """Action: read parts from the platform."""

    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Action: request a peer's configuration state.

    This is its head, its withdrawn key ids, and the parts of the head whose
    digests aren't in `known_digests`.
    """

    daemon_id: str
    known_digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ActivateSnapshot:
    """Action: activate this configuration."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKeys:
    """Action: reject these keys from now on; lists all withdrawn keys."""

    key_ids: frozenset[str]


@dataclasses.dataclass(slots=True)
class _Source:
    """Last reported state of a peer or the platform, and fetches from it.

    Attributes:
        version: Reported version; 0 for a peer from a completed fetch until
            its next heartbeat.
        withdrawn_count: Number of withdrawn key ids; 0 for the platform.
        withdrawn_digest: Digest of the withdrawn key ids.
        is_fetching: Whether a fetch is in progress.
        failures: Number of consecutive failed fetches, at most 8.
        retry_at_s: Earliest time of the next fetch.
    """

    version: int = 0
    withdrawn_count: int = 0
    withdrawn_digest: str = ""
    is_fetching: bool = False
    failures: int = 0
    retry_at_s: float = 0.0


class AdoptionCore(Core):
    """Tracks the configuration of one process; times are monotonic seconds."""

    def __init__(self):
        self.snapshot: Snapshot | None = None
        self.withdrawn: frozenset[str] = frozenset()
        self.withdrawn_digest = withdrawn_digest(self.withdrawn)
        self._platform_head = ConfigHead()
        self._fetched: dict[str, str] = {}
        self._sources: dict[str, _Source] = {}
        self._next_retry_s: float | None = None

    @property
    def version(self) -> int:
        """The active version; 0 before the first."""
        return self.snapshot.head.version if self.snapshot else 0

    @property
    def active_parts(self) -> dict[str, str]:
        """Parts of the active version, JSON text by digest."""
        return self.snapshot.contents if self.snapshot else {}

    @property
    def next_wakeup_s(self) -> float | None:
        """Time of the next retry of a failed fetch; None if there is none."""
        return self._next_retry_s

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; returns withdrawals, activations and fetches."""
        match event:
            case HeadReceived():
                actions = self._on_head(event)
            case WithdrawnKeysReceived():
                actions = self._withdraw(event.key_ids)
            case PeerSummaryReceived():
                actions = self._on_peer_summary(event)
            case PartsFetched():
                actions = self._on_parts(event, now_s)
            case PeerStateFetched():
                actions = self._on_peer_state(event, now_s)
            case FetchFailed():
                actions = self._on_failure(event.source, now_s)
            case AdoptionTick():
                actions = []
            case _:
                raise TypeError(f"not an adoption event: {event!r}")
        return actions + self._start_fetches(now_s)

    def _get_source(self, source_id: str) -> _Source:
        return self._sources.setdefault(source_id, _Source())

    def _on_head(self, event: HeadReceived) -> list[object]:
        if event.head.version <= self._platform_head.version:
            return []
        self._platform_head = event.head
        source = self._get_source(PLATFORM)
        source.version = event.head.version
        source.retry_at_s = 0.0
        return []

    def _on_peer_summary(self, event: PeerSummaryReceived) -> list[object]:
        source = self._get_source(event.daemon_id)
        source.version = event.version
        source.withdrawn_count = event.withdrawn_count
        source.withdrawn_digest = event.withdrawn_digest
        return []

    def _on_parts(self, event: PartsFetched, now_s: float) -> list[object]:
        self._fetched |= {
            digest: text
            for digest, text in event.contents.items()
            if digest_of(text) == digest
        }
        contents = {**self.active_parts, **self._fetched}
        return self._adopt(PLATFORM, self._platform_head, contents, now_s)

    def _on_peer_state(
        self, event: PeerStateFetched, now_s: float
    ) -> list[object]:
        withdrawn = self._withdraw(event.withdrawn)
        contents = {**self.active_parts, **event.contents}
        return withdrawn + self._adopt(
            event.daemon_id, event.head, contents, now_s
        )

    def _adopt(
        self, source_id, head: ConfigHead, contents, now_s
    ) -> list[object]:
        """Activates a newer head; missing or invalid parts fail the fetch."""
        if head.version <= self.version:
            return self._on_success(source_id)
        try:
            snapshot = build_snapshot(head, contents)
        except PartsError:
            return self._on_failure(source_id, now_s)
        self.snapshot = snapshot
        return [*self._on_success(source_id), ActivateSnapshot(snapshot)]

    def _on_success(self, source_id: str) -> list[object]:
        source = self._get_source(source_id)
        source.is_fetching = False
        source.failures = 0
        source.retry_at_s = 0.0
        if source_id == PLATFORM:
            self._fetched = {}
        else:
            # The peer's next heartbeat reports whether it is still ahead.
            source.version = 0
            source.withdrawn_count = 0
            source.withdrawn_digest = ""
        return []

    def _on_failure(self, source_id: str, now_s: float) -> list[object]:
        source = self._get_source(source_id)
        source.is_fetching = False
        delay_s = min(
            _MAX_RETRY_DELAY_S, _INITIAL_RETRY_DELAY_S * 2**source.failures
        )
        # The limit only keeps the power above small.
        source.failures = min(source.failures + 1, 8)
        source.retry_at_s = now_s + delay_s
        return []

    def _withdraw(self, key_ids: tuple[str, ...]) -> list[object]:
        """Adds withdrawn key ids; no action if all of them are known."""
        if self.withdrawn.issuperset(key_ids):
            return []
        self.withdrawn = self.withdrawn.union(key_ids)
        self.withdrawn_digest = withdrawn_digest(self.withdrawn)
        return [WithdrawKeys(self.withdrawn)]

    def _is_ahead(self, source_id: str, source: _Source) -> bool:
        """Whether a source has a newer version, or may have unknown key ids."""
        if source.version > self.version:
            return True
        if source_id == PLATFORM or not source.withdrawn_count:
            return False
        if source.withdrawn_count != len(self.withdrawn):
            return source.withdrawn_count > len(self.withdrawn)
        return source.withdrawn_digest != self.withdrawn_digest

    def _start_fetches(self, now_s: float) -> list[object]:
        """Starts fetches from sources that are ahead, highest version first."""
        ahead = [
            (-source.version, source_id, source)
            for source_id, source in self._sources.items()
            if self._is_ahead(source_id, source)
        ]
        peer_fetches = sum(
            source.is_fetching
            for source_id, source in self._sources.items()
            if source_id != PLATFORM
        )
        actions = []
        retry_times = []
        for _, source_id, source in sorted(ahead, key=lambda item: item[:2]):
            if source.is_fetching:
                continue
            if now_s < source.retry_at_s:
                retry_times.append(source.retry_at_s)
            elif source_id == PLATFORM or peer_fetches < _MAX_PEER_FETCHES:
                peer_fetches += source_id != PLATFORM
                source.is_fetching = True
                actions.append(self._fetch_action(source_id))
        self._next_retry_s = min(retry_times, default=None)
        return actions

    def _fetch_action(self, source_id: str) -> object:
        if source_id != PLATFORM:
            return FetchFromPeer(source_id, tuple(sorted(self.active_parts)))
        known = self.active_parts.keys() | self._fetched.keys()
        missing = self._platform_head.digests - known
        return FetchParts(tuple(sorted(missing)))
