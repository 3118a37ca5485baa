"""Decides which configuration to put in force, and what to fetch from whom.

A higher version replaces a lower one, never the other way round, and the set
of withdrawn keys only grows. A head is put in force whole or not at all.
Whatever a fetch brings is checked against its digests.
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

PLATFORM = ""
_FETCHES_AT_ONCE = 2
_RETRY_S = 0.5
_MOST_RETRY_S = 8.0
_DIGEST_BYTES = 8


def withdrawn_digest(key_ids: frozenset[str]) -> str:
    """Returns a digest by which two sets of key ids are compared."""
    text = "\n".join(sorted(key_ids))
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class HeadReceived:
    """Event: the platform told a head."""

    head: ConfigHead


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawnKeysReceived:
    """Event: the platform told withdrawn keys."""

    key_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSummaryReceived:
    """Event: a peer told what it has."""

    daemon_id: str
    version: int
    withdrawn_count: int
    withdrawn_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartsFetched:
    """Event: the platform answered `FetchParts`; missing ones left out."""

    contents: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStateFetched:
    """Event: a peer answered `FetchFromPeer`."""

    daemon_id: str
    head: ConfigHead
    contents: dict[str, str]
    withdrawn: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailed:
    """Event: a fetch brought nothing; `source` is a peer or `PLATFORM`."""

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
    """Action: ask a peer for all but the known parts."""

    daemon_id: str
    known_digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ActivateSnapshot:
    """Action: use this configuration from now on."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKeys:
    """Action: all of these keys are withdrawn."""

    key_ids: frozenset[str]


@dataclasses.dataclass(slots=True)
class _Source:
    """What a peer or the platform has, and how fetches from it went."""

    version: int = 0
    withdrawn_count: int = 0
    withdrawn_digest: str = ""
    is_busy: bool = False
    failures: int = 0
    retry_at_s: float = 0.0


class AdoptionCore(Core):
    """The configuration of one process; times are on any steady clock."""

    def __init__(self):
        self.snapshot: Snapshot | None = None
        self.withdrawn: frozenset[str] = frozenset()
        self.withdrawn_digest = withdrawn_digest(self.withdrawn)
        self._platform_head = ConfigHead()
        self._fetched: dict[str, str] = {}
        self._sources: dict[str, _Source] = {}
        self._next_s: float | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.snapshot.head.version if self.snapshot else 0

    @property
    def active_parts(self) -> dict[str, str]:
        """Part digest to text of the version in force."""
        return self.snapshot.contents if self.snapshot else {}

    @property
    def next_wakeup_s(self) -> float | None:
        """When a failed fetch is due again; None if nothing is wanted."""
        return self._next_s

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event; returns what to withdraw, use and fetch."""
        match event:
            case HeadReceived():
                actions = self._on_head(event)
            case WithdrawnKeysReceived():
                actions = self._withdraw(event.key_ids)
            case PeerSummaryReceived():
                actions = self._on_peer(event)
            case PartsFetched():
                actions = self._on_parts(event, now_s)
            case PeerStateFetched():
                actions = self._on_peer_parts(event, now_s)
            case FetchFailed():
                actions = self._on_failure(event.source, now_s)
            case AdoptionTick():
                actions = []
            case _:
                raise TypeError(f"not an adoption event: {event!r}")
        return actions + self._plan(now_s)

    def _source(self, name: str) -> _Source:
        return self._sources.setdefault(name, _Source())

    def _on_head(self, event: HeadReceived) -> list[object]:
        if event.head.version <= self._platform_head.version:
            return []
        self._platform_head = event.head
        source = self._source(PLATFORM)
        source.version = event.head.version
        source.retry_at_s = 0.0
        return []

    def _on_peer(self, event: PeerSummaryReceived) -> list[object]:
        source = self._source(event.daemon_id)
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

    def _on_peer_parts(
        self, event: PeerStateFetched, now_s: float
    ) -> list[object]:
        withdrawn = self._withdraw(event.withdrawn)
        contents = {**self.active_parts, **event.contents}
        return withdrawn + self._adopt(
            event.daemon_id, event.head, contents, now_s
        )

    def _adopt(self, name, head: ConfigHead, contents, now_s) -> list[object]:
        if head.version <= self.version:
            return self._on_success(name)
        try:
            snapshot = build_snapshot(head, contents)
        except PartsError:
            return self._on_failure(name, now_s)
        self.snapshot = snapshot
        return [*self._on_success(name), ActivateSnapshot(snapshot)]

    def _on_success(self, name: str) -> list[object]:
        source = self._source(name)
        source.is_busy = False
        source.failures = 0
        source.retry_at_s = 0.0
        if name == PLATFORM:
            self._fetched = {}
        else:
            # Its next heartbeat tells whether it still has more.
            source.version = 0
            source.withdrawn_count = 0
            source.withdrawn_digest = ""
        return []

    def _on_failure(self, name: str, now_s: float) -> list[object]:
        source = self._source(name)
        source.is_busy = False
        pause_s = min(_MOST_RETRY_S, _RETRY_S * 2**source.failures)
        source.failures = min(source.failures + 1, 8)
        source.retry_at_s = now_s + pause_s
        return []

    def _withdraw(self, key_ids: tuple[str, ...]) -> list[object]:
        if self.withdrawn.issuperset(key_ids):
            return []
        self.withdrawn = self.withdrawn.union(key_ids)
        self.withdrawn_digest = withdrawn_digest(self.withdrawn)
        return [WithdrawKeys(self.withdrawn)]

    def _is_ahead(self, name: str, source: _Source) -> bool:
        if source.version > self.version:
            return True
        if name == PLATFORM or not source.withdrawn_count:
            return False
        if source.withdrawn_count != len(self.withdrawn):
            return source.withdrawn_count > len(self.withdrawn)
        return source.withdrawn_digest != self.withdrawn_digest

    def _plan(self, now_s: float) -> list[object]:
        """Fetches from a few of the sources that are ahead."""
        ahead = [
            (-source.version, name, source)
            for name, source in self._sources.items()
            if self._is_ahead(name, source)
        ]
        busy = sum(
            source.is_busy
            for name, source in self._sources.items()
            if name != PLATFORM
        )
        actions = []
        waiting = []
        for _, name, source in sorted(ahead, key=lambda item: item[:2]):
            if source.is_busy:
                continue
            if now_s < source.retry_at_s:
                waiting.append(source.retry_at_s)
            elif name == PLATFORM or busy < _FETCHES_AT_ONCE:
                busy += name != PLATFORM
                source.is_busy = True
                actions.append(self._fetch(name))
        self._next_s = min(waiting, default=None)
        return actions

    def _fetch(self, name: str) -> object:
        if name != PLATFORM:
            return FetchFromPeer(name, tuple(sorted(self.active_parts)))
        known = self.active_parts.keys() | self._fetched.keys()
        missing = self._platform_head.digests - known
        return FetchParts(tuple(sorted(missing)))
