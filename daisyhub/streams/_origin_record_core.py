"""Decides when and by whom the origins of streams are written to the store.

Addresses the loss of all daemons at once: what they keep in memory is gone, and
callers resume streams of several releases at the daemons that start again.

The daemons of a failure domain send their origins in batches to one of them,
the domain's writer, which writes them to the domain's object. A writer that
doesn't answer is passed over: the daemon then writes the batch itself. Writes
are conditional, and after a conflict the object is read and merged, so that
several writers of one object lose nothing of each other.

Times are seconds on a monotonic clock, unless the cluster clock is named.
"""

import dataclasses
import math
from collections.abc import Iterable

from daisyhub.base import Core
from daisyhub.streams._stored_origins import (
    MAX_STORED_ORIGINS,
    StoredOrigin,
    merge_origin,
    retain_valid,
)

__all__ = [
    "SETTLE_S",
    "BatchFailed",
    "BatchReceived",
    "BatchSent",
    "CallObjectFailed",
    "ObjectRead",
    "ObjectWritten",
    "OriginRecordCore",
    "ReadObject",
    "RecordTick",
    "RecordView",
    "SendBatch",
    "StreamBegan",
    "WriteObject",
    "write_interval_s",
]

# Seconds after the start of a daemon before which it writes nothing: it doesn't
# know its peers yet, so that all daemons would take themselves for writers.
SETTLE_S = 1.5
# Seconds for which origins are collected before they are sent to the writer: a
# daemon sends at most 20 batches a second, and fewer than it begins streams.
_SEND_INTERVAL_S = 0.05
# Minimum seconds between two writes of a daemon. Streams last about a second,
# and most of those that are open when all daemons end must have been written.
_MIN_WRITE_INTERVAL_S = 0.25
# Writes a second by all daemons together: a tenth of the 400 that the store
# serves at least.
_MAX_WRITES_PER_S = 40.0


# Maximum factor of that time. Daemons that take themselves for the writer of
# one domain wait longer after each conflict, as in a large cluster whose
# daemons don't know each other yet.
_MAX_BACKOFF = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RecordView:
    """What a daemon sees of the others.

    Attributes:
        writer_id: The writer of its failure domain; empty for itself.
        domains: Number of failure domains with a live daemon.
        daemons: Number of live daemons, this one included.
    """

    writer_id: str
    domains: int
    daemons: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamBegan:
    """A stream that may be resumed began at this daemon."""

    origin: StoredOrigin


@dataclasses.dataclass(frozen=True, slots=True)
class BatchReceived:
    """A peer takes this daemon for the writer."""

    origins: tuple[StoredOrigin, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordTick:
    """Time has passed.

    Attributes:
        view: The other daemons.
        cluster_s: Seconds on the cluster clock.
    """

    view: RecordView
    cluster_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BatchSent:
    """The writer has received the batch."""


@dataclasses.dataclass(frozen=True, slots=True)
class BatchFailed:
    """The writer didn't answer; it may have received the batch."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectRead:
    """The object was read.

    Attributes:
        origins: Its origins by digest; empty if it is missing or unreadable.
        revision: Its revision; 0 if it is missing.
    """

    origins: dict[str, StoredOrigin]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectWritten:
    """The write took effect.

    Attributes:
        revision: The object's new revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallObjectFailed:
    """A read or write of the object failed, or the write had a conflict."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendBatch:
    """Action: send origins to the writer."""

    writer_id: str
    origins: tuple[StoredOrigin, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadObject:
    """Action: read the object of this daemon's failure domain."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteObject:
    """Action: write that object.

    Attributes:
        origins: Its content.
        revision: The revision that it must have; 0 if it must not exist.
    """

    origins: tuple[StoredOrigin, ...]
    revision: int


def write_interval_s(view: RecordView) -> float:
    """Returns the seconds between two writes of a daemon.

    Each domain has one writer. A daemon that writes although another one is
    the writer may be one of all daemons that do so.
    """
    writers = view.daemons if view.writer_id else view.domains
    return max(_MIN_WRITE_INTERVAL_S, writers / _MAX_WRITES_PER_S)


class OriginRecordCore(Core):
    """Records the origins of one daemon, and those that it is sent.

    Args:
        started_s: When the daemon started.
    """

    def __init__(self, started_s: float):
        self._settled_s = started_s + SETTLE_S
        # Origins by digest: not sent, being sent, not written.
        self._unsent: dict[str, StoredOrigin] = {}
        self._sending: dict[str, StoredOrigin] = {}
        self._unwritten: dict[str, StoredOrigin] = {}
        # Content and revision of the object, None while unknown, and the
        # content that is being written.
        self._stored: dict[str, StoredOrigin] = {}
        self._revision: int | None = None
        self._writing: dict[str, StoredOrigin] = {}
        self._is_calling = False
        self._backoff = 1
        # Whether the revision is that of a read and not of the last write.
        self._was_read = False
        self._send_at_s = -math.inf
        self._write_at_s = -math.inf

    @property
    def pending(self) -> int:
        """Number of origins that aren't known to be received or written."""
        return len(self._unsent) + len(self._sending) + len(self._unwritten)

    @property
    def stored(self) -> int:
        """Number of origins in the object as this daemon last wrote it."""
        return len(self._stored)

    @property
    def next_wakeup_s(self) -> float | None:
        """When a batch or a write is due; None if there is nothing to do."""
        due_s = []
        if self._unsent and not self._sending:
            due_s.append(self._send_at_s)
        if self._unwritten and not self._is_calling:
            due_s.append(self._write_at_s)
        return max(self._settled_s, min(due_s)) if due_s else None

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; only ticks return actions."""
        match event:
            case StreamBegan():
                if not self._unsent:
                    due_s = now_s + _SEND_INTERVAL_S
                    self._send_at_s = max(self._send_at_s, due_s)
                _add(self._unsent, (event.origin,))
            case BatchReceived():
                _add(self._unwritten, event.origins)
            case BatchSent():
                self._sending = {}
            case BatchFailed():
                failed, self._sending = self._sending, {}
                _add(self._unwritten, failed.values())
            case ObjectRead():
                self._is_calling = False
                self._was_read = True
                self._stored = event.origins
                self._revision = event.revision
            case ObjectWritten():
                self._on_written(event)
            case CallObjectFailed():
                self._on_call_failed(now_s)
            case RecordTick():
                return self._on_tick(event, now_s)
            case _:
                raise TypeError(f"not an event of a record: {event!r}")
        return []

    def _on_call_failed(self, now_s: float) -> None:
        # A write of unknown outcome may have changed the revision.
        self._is_calling = False
        self._revision = None
        self._backoff = min(4 * self._backoff, _MAX_BACKOFF)
        delay_s = _MIN_WRITE_INTERVAL_S * self._backoff
        self._write_at_s = max(self._write_at_s, now_s + delay_s)

    def _on_written(self, event: ObjectWritten) -> None:
        self._is_calling = False
        if not self._was_read:
            # Nobody else has written since this daemon's last write.
            self._backoff = 1
        self._was_read = False
        self._stored, self._writing = self._writing, {}
        self._revision = event.revision
        self._unwritten = {
            digest: origin
            for digest, origin in self._unwritten.items()
            if self._stored.get(digest) != origin
        }

    def _on_tick(self, event: RecordTick, now_s: float) -> list[object]:
        if now_s < self._settled_s:
            return []
        actions = self._send(event.view, now_s)
        if not self._unwritten or self._is_calling or now_s < self._write_at_s:
            return actions
        if self._revision is None:
            self._is_calling = True
            return [*actions, ReadObject()]
        return [*actions, *self._write(event, now_s)]

    def _send(self, view: RecordView, now_s: float) -> list[object]:
        """Sends what was collected; the writer takes over its own."""
        if not self._unsent or self._sending or now_s < self._send_at_s:
            return []
        batch, self._unsent = self._unsent, {}
        self._send_at_s = now_s + _SEND_INTERVAL_S
        if not view.writer_id:
            _add(self._unwritten, batch.values())
            return []
        self._sending = batch
        return [SendBatch(view.writer_id, tuple(batch.values()))]

    def _write(self, event: RecordTick, now_s: float) -> list[object]:
        """Writes all valid origins, unless none of the new ones is valid."""
        self._unwritten = retain_valid(self._unwritten, event.cluster_s)
        if not self._unwritten:
            return []
        merged = dict(self._stored)
        for origin in self._unwritten.values():
            merge_origin(merged, origin)
        self._writing = retain_valid(merged, event.cluster_s)
        # What conflicts with the stored origin, or exceeds the bound, is
        # settled by this write as well.
        self._unwritten = {
            digest: self._writing[digest]
            for digest in self._unwritten
            if digest in self._writing
        }
        self._is_calling = True
        interval_s = self._backoff * write_interval_s(event.view)
        self._write_at_s = now_s + interval_s
        return [WriteObject(tuple(self._writing.values()), self._revision)]


def _add(known: dict[str, StoredOrigin], added: Iterable[StoredOrigin]) -> None:
    """Adds origins; beyond the maximum, the oldest are dropped."""
    for origin in added:
        merge_origin(known, origin)
    while len(known) > MAX_STORED_ORIGINS:
        del known[next(iter(known))]
