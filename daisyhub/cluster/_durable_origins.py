"""Origins of streams that outlive all daemons, in the platform's store."""

import contextlib
import math
import time
from collections.abc import Callable

import anyio
import msgspec

from daisyhub.balancing import Release
from daisyhub.base import Controller
from daisyhub.cluster._cluster_clock import ClusterClock
from daisyhub.cluster._peers import PeerTable
from daisyhub.cluster._stream_messages import (
    StreamOriginBatch,
    StreamOriginResponse,
)
from daisyhub.cluster._stream_origins import SharedStreamOrigins
from daisyhub.hosting import rank_candidates
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
    PacedRead,
    StoredObject,
)
from daisyhub.peers import PeerNetwork, PeerUnreachableError
from daisyhub.streams import (
    SETTLE_S,
    BatchFailed,
    BatchReceived,
    BatchSent,
    CallObjectFailed,
    ObjectRead,
    ObjectWritten,
    OriginRecordCore,
    ReadObject,
    RecordTick,
    RecordView,
    SendBatch,
    StoredOrigin,
    StreamBegan,
    StreamOrigin,
    StreamOrigins,
    StreamSearch,
    WriteObject,
    decode_origins,
    digest_stream_key,
    encode_origins,
    merge_origin,
)

__all__ = ["ORIGINS_KIND", "DurableStreamOrigins"]

# Objects by failure domain.
ORIGINS_KIND = "stream-origins"
# Timeout of a batch in seconds: some round trips between failure domains.
_BATCH_TIMEOUT_S = 0.2
# Seconds for which a writer that didn't answer is passed over: about the time
# after which a silent daemon is no longer live.
_SILENT_WRITER_S = 2.0
# Timeout of a search in the store, in seconds. Callers wait for it.
_READ_TIMEOUT_S = 0.6
# Seconds for which searches share one read of the store. What was written since
# is known to live daemons, which are asked first.
_MAX_READ_AGE_S = 0.5
# Seconds after the start within which the origins of earlier streams are read,
# and between attempts: about the time for which callers come back.
_MAX_LOAD_S = 10.0
_LOAD_RETRY_S = 0.25
# Maximum number of attempts to write an origin before the first event.
_MAX_TRIES = 3


class DurableStreamOrigins(StreamOrigins, Controller):
    """Origins that daemons share, and that they record in the store.

    Args:
        shared: Origins in the memory of daemons.
        domain: Failure domain of this daemon.
        network: Calls other daemons.
        peers: The other daemons.
        store: The platform's store.
        clock: Clock that all daemons agree on.
        has_resumable_route: Returns whether callers may resume any streams;
            otherwise the store isn't searched.
        metrics: Counts calls and searches.
        log: Log of both.
    """

    name = "stream_origins"

    def __init__(
        self,
        shared: SharedStreamOrigins,
        domain: str,
        network: PeerNetwork,
        peers: PeerTable,
        store: ObjectStore,
        clock: ClusterClock,
        has_resumable_route: Callable[[], bool],
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._shared = shared
        self._domain = domain
        self._network = network
        self._peers = peers
        self._store = store
        self._clock = clock
        self._has_resumable_route = has_resumable_route
        self._metrics = metrics
        self._log = log
        self._started_s = time.monotonic()
        self._core = OriginRecordCore(self._started_s)
        self._changed = anyio.Event()
        self._read = PacedRead()
        # When a writer that didn't answer may be asked again.
        self._silent_until_s: dict[str, float] = {}
        # Origins by digest that were stored before this daemon started.
        self._earlier: dict[str, StoredOrigin] = {}

    def status(self) -> dict[str, object]:
        """Returns the numbers of pending and stored origins, and the writer."""
        return {
            "pending": self._core.pending,
            "stored": self._core.stored,
            "writer": self._view().writer_id or "this daemon",
        }

    async def record(self, key: str, release: Release, valid_s: float) -> None:
        """Records an origin; the store gets it after the first event.

        The store gets it before if it has the id of an earlier stream with
        another release. A caller that got no event of the earlier stream may
        repeat its id, and would be led back to the earlier release if this
        daemon and the keepers ended.
        """
        origin = StoredOrigin(
            digest_stream_key(key),
            release.pool,
            release.version,
            math.ceil(self._clock.now_s() + valid_s),
        )
        self._feed(StreamBegan(origin))
        earlier = self._earlier.get(origin.digest)
        if earlier is not None and earlier.release != release:
            await self._store_at_once(key, origin)
        await self._shared.record(key, release, valid_s)

    async def find(self, key: str) -> StreamSearch:
        """Searches at the other daemons first, then in the store."""
        search = await self._shared.find(key)
        if search.origin is not None or not self._has_resumable_route():
            return search
        try:
            stored = await self._read.run(
                self._read_all, max_age_s=_MAX_READ_AGE_S
            )
        except ObjectStoreError as exc:
            self._record_search(key, "failed", reason=str(exc))
            return StreamSearch(None, is_conclusive=False)
        digest = digest_stream_key(key)
        claims = [group[digest] for group in stored if digest in group]
        valid_s = (
            max((claim.until_s for claim in claims), default=0)
            - self._clock.now_s()
        )
        if valid_s <= 0:
            self._record_search(key, "unknown")
            # Until it knows its peers, it can't have asked all of them.
            is_settled = time.monotonic() - self._started_s >= SETTLE_S
            is_conclusive = search.is_conclusive and is_settled
            return StreamSearch(None, is_conclusive=is_conclusive)
        releases = {claim.release for claim in claims}
        release = releases.pop() if len(releases) == 1 else None
        self._record_search(key, "found", release=str(release or ""))
        if release is not None:
            self._shared.remember(key, release, valid_s)
        return StreamSearch(StreamOrigin(release, time.monotonic() + valid_s))

    async def handle_batch(
        self, message: StreamOriginBatch
    ) -> StreamOriginResponse:
        """Takes over what a peer takes this daemon for the writer of."""
        self._feed(BatchReceived(message.origins))
        return StreamOriginResponse(is_known=True)

    async def run(self) -> None:
        """Sends and writes what is pending until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._load_earlier)
                while True:
                    await self._wait()
                    tick = RecordTick(self._view(), self._clock.now_s())
                    for action in self._core.handle(tick, time.monotonic()):
                        tasks.start_soon(self._perform, action)
        finally:
            # Calls that were cancelled have no outcome.
            self._core = OriginRecordCore(self._started_s)

    async def _load_earlier(self) -> None:
        """Reads the origins that were stored before the start, once."""
        until_s = self._started_s + _MAX_LOAD_S
        while time.monotonic() < until_s:
            if self._has_resumable_route():
                with contextlib.suppress(ObjectStoreError):
                    for group in await self._read.run(
                        self._read_all, max_age_s=_MAX_LOAD_S
                    ):
                        for origin in group.values():
                            merge_origin(self._earlier, origin)
                    return
            await anyio.sleep(_LOAD_RETRY_S)

    async def _store_at_once(self, key: str, origin: StoredOrigin) -> None:
        """Stores an origin in spite of concurrent writers."""
        with anyio.move_on_after(_READ_TIMEOUT_S):
            for _ in range(_MAX_TRIES):
                found = await self._read_own()
                if not isinstance(found, ObjectRead):
                    continue
                merged = dict(found.origins)
                merge_origin(merged, origin)
                write = WriteObject(tuple(merged.values()), found.revision)
                if isinstance(await self._write(write), ObjectWritten):
                    self._log.record("stream_id_repeated", key=key)
                    return
        self._log.record("repeated_id_not_stored", key=key)

    async def _wait(self) -> None:
        """Waits until something is due; idle while there is nothing to do."""
        while True:
            self._changed = anyio.Event()
            due_s = self._core.next_wakeup_s
            left_s = math.inf if due_s is None else due_s - time.monotonic()
            if left_s <= 0:
                return
            with anyio.move_on_after(left_s):
                await self._changed.wait()

    def _feed(self, event: object) -> None:
        self._core.handle(event, time.monotonic())
        self._changed.set()

    def _view(self) -> RecordView:
        """Returns the writer of this failure domain, and the numbers."""
        live = self._peers.live()
        own_id = self._peers.own_id
        now_s = time.monotonic()
        own_domain = [
            peer.daemon_id
            for peer in live
            if peer.ping.domain == self._domain
            and not peer.ping.is_leaving
            and self._silent_until_s.get(peer.daemon_id, now_s) <= now_s
        ]
        candidates = (own_id, *own_domain)
        first = rank_candidates(f"{ORIGINS_KIND}/{self._domain}", candidates)[0]
        return RecordView(
            writer_id="" if first == own_id else first,
            domains=len({self._domain, *(p.ping.domain for p in live)}),
            daemons=1 + len(live),
        )

    async def _perform(
        self, action: SendBatch | ReadObject | WriteObject
    ) -> None:
        match action:
            case SendBatch():
                self._feed(await self._send(action))
            case ReadObject():
                self._feed(await self._read_own())
            case WriteObject():
                self._feed(await self._write(action))

    async def _send(self, action: SendBatch) -> BatchSent | BatchFailed:
        message = StreamOriginBatch(origins=action.origins)
        try:
            await self._network.call(
                action.writer_id, message, _BATCH_TIMEOUT_S
            )
        except PeerUnreachableError as exc:
            self._silent_until_s[action.writer_id] = (
                time.monotonic() + _SILENT_WRITER_S
            )
            self._metrics.count("origin_batches", result="failed")
            self._log.record(
                "origin_batch_failed",
                writer=action.writer_id,
                origins=len(action.origins),
                reason=str(exc),
            )
            return BatchFailed()
        self._metrics.count("origin_batches", result="sent")
        return BatchSent()

    async def _read_own(self) -> ObjectRead | CallObjectFailed:
        try:
            found = await self._store.read(ORIGINS_KIND, self._domain)
        except ObjectStoreError as exc:
            return self._fail("read", exc)
        if found is None:
            return ObjectRead({}, 0)
        return ObjectRead(self._decode(found), found.revision)

    async def _write(
        self, action: WriteObject
    ) -> ObjectWritten | CallObjectFailed:
        content = encode_origins(action.origins)
        try:
            if action.revision:
                found = await self._store.replace(
                    ORIGINS_KIND,
                    self._domain,
                    content,
                    revision=action.revision,
                )
            else:
                found = await self._store.create(
                    ORIGINS_KIND, self._domain, content
                )
        except (ObjectStoreError, ObjectConflictError) as exc:
            return self._fail("write", exc)
        self._metrics.count("origin_calls", call="write", result="done")
        self._log.record(
            "origins_stored",
            domain=self._domain,
            origins=len(action.origins),
            bytes=len(content),
            revision=found.revision,
        )
        return ObjectWritten(found.revision)

    def _fail(self, call: str, exc: Exception) -> CallObjectFailed:
        self._metrics.count("origin_calls", call=call, result="failed")
        self._log.record("origins_not_stored", call=call, reason=str(exc))
        return CallObjectFailed()

    async def _read_all(self) -> list[dict[str, StoredOrigin]]:
        """Returns the origins of each object.

        Raises:
            ObjectStoreError: The store gave no usable response in time.
        """
        try:
            with anyio.fail_after(_READ_TIMEOUT_S):
                found = await self._store.list_all(ORIGINS_KIND)
        except TimeoutError as exc:
            raise ObjectStoreError(
                f"no list of {ORIGINS_KIND} in {_READ_TIMEOUT_S} s",
                may_be_done=False,
            ) from exc
        self._metrics.count("origin_calls", call="list", result="done")
        return [self._decode(item) for item in found.items]

    def _decode(self, found: StoredObject) -> dict[str, StoredOrigin]:
        """Returns the origins of an object; none if it is unreadable."""
        if found.is_deleted:
            return {}
        try:
            return decode_origins(found.spec)
        except msgspec.DecodeError as exc:
            self._metrics.count("origins_unreadable")
            self._log.record(
                "origins_unreadable",
                domain=found.name,
                revision=found.revision,
                reason=str(exc),
            )
            return {}

    def _record_search(self, key: str, result: str, **details: str) -> None:
        self._metrics.count("stored_streams_searched", result=result)
        self._log.record(
            "stored_stream_searched", key=key, result=result, **details
        )
