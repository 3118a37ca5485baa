"""Flushes usage counts, seals each window once and reports the sealed counts.

Each daemon flushes its usage parts to its own object in the platform's store.
The holder of the failure domain's usage lease adds up the parts of a window in
the ledger, which seals the window, and reports the result to the platform.
`FlushCore` and `SealCore` decide; this module executes their actions.
"""

import contextlib
import uuid

import anyio
import msgspec

from daisyhub.accounting import (
    CallFailed,
    EmptyStore,
    FlushCore,
    FlushTick,
    Ledger,
    LedgerRead,
    LedgerWriteRejected,
    LedgerWritten,
    ListedStore,
    ListParts,
    PartsListed,
    PartStore,
    ReadLedger,
    ReadStore,
    ReportAccepted,
    SealCore,
    SealedWindow,
    SealTick,
    SendReport,
    StoreEmptied,
    StoreRead,
    StoreWriteRejected,
    StoreWritten,
    UsageCounters,
    WriteLedger,
    WriteStore,
)
from daisyhub.base import Controller, Core
from daisyhub.clocks import boot_time_s, wall_time_s
from daisyhub.controllers._peers import PeerController
from daisyhub.exceptions import (
    PlatformConflictError,
    PlatformUnavailableError,
)
from daisyhub.hosting import LeaseFactory, PlatformClient, UsageReport
from daisyhub.logs import get_logger
from daisyhub.metrics import Metrics
from daisyhub.settings import DaemonSettings

__all__ = ["UsageController"]

_MAX_TICK_INTERVAL_S = 1.0
_MAX_SHUTDOWN_FLUSHES = 3

log = get_logger("usage")


class UsageController(Controller):
    """Flushes this daemon's usage parts; as lease holder, seals and reports.

    Args:
        cfg: Settings of this daemon.
        client: Client of the platform.
        lease_factory: Creates the lease.
        counters: Usage counts of this daemon.
        peers: Provides the live peers.
        metrics: Receives the counts of sealed and late requests.
    """

    name = "usage"

    def __init__(
        self,
        cfg: DaemonSettings,
        client: PlatformClient,
        lease_factory: LeaseFactory,
        counters: UsageCounters,
        peers: PeerController,
        metrics: Metrics,
    ):
        self._cfg = cfg
        self._client = client
        self._counters = counters
        self._peers = peers
        self._metrics = metrics
        self._last_counted_window = -1
        self._lease = lease_factory.new_duty_lease(
            f"usage/{cfg.failure_domain}"
        )
        timing = cfg.timing
        self._tick_interval_s = min(
            _MAX_TICK_INTERVAL_S, timing.usage_grace_s / 2
        )
        self._flush_core = FlushCore(counters, self._tick_interval_s)
        self._seal_core = SealCore(
            cfg.failure_domain,
            timing.usage_window_s,
            timing.usage_grace_s,
            self._tick_interval_s,
        )
        self._ledger_key = f"sealed/{cfg.failure_domain}"
        self._store_prefix = f"usage/{cfg.failure_domain}/"

    def status(self) -> dict[str, object]:
        """Returns the state of the lease, of sealing and of unsealed parts."""
        return {
            "fencing": self._lease.fencing,
            "holder": self._lease.observed_holder,
            "last_sealed": self._seal_core.last_sealed,
            "unsealed_parts": self._counters.unsealed_count,
            "unkept_requests": self._counters.unkept_requests,
            "held_parts": self._counters.copy_count,
        }

    async def run(self) -> None:
        """Flushes, seals and reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._lease.run)
            tasks.start_soon(self._run_core, self._flush_core, self._flush_tick)
            tasks.start_soon(self._run_core, self._seal_core, self._seal_tick)

    async def release(self) -> None:
        """Flushes all counts and releases the lease at shutdown."""
        for _ in range(_MAX_SHUTDOWN_FLUSHES):
            await self._feed(self._flush_core, self._flush_tick(True))
            if self._flush_core.is_done:
                break
            await anyio.sleep(self._tick_interval_s)
        await self._lease.release()

    def _flush_tick(self, is_closing: bool = False) -> FlushTick:
        live = self._peers.live_incarnations()
        return FlushTick(wall_time_s(), live, is_closing)

    def _seal_tick(self) -> SealTick:
        live = self._peers.live_incarnations()
        running = frozenset({self._cfg.daemon_id, *live})
        return SealTick(wall_time_s(), self._lease.fencing, running)

    async def _run_core(self, core: Core, make_tick) -> None:
        while True:
            await self._feed(core, make_tick())
            await anyio.sleep(self._tick_interval_s)

    async def _feed(self, core: Core, event: object) -> None:
        # Both cores return at most one action.
        actions = core.handle(event, boot_time_s())
        while actions:
            try:
                event = await self._perform(actions[0])
            except PlatformUnavailableError as exc:
                log.warning("a call to the platform failed: {}", exc)
                event = CallFailed()
            except msgspec.ValidationError as exc:
                log.error("a usage object is invalid: {}", exc)
                event = CallFailed()
            actions = core.handle(event, boot_time_s())

    async def _perform(self, action: object) -> object:
        match action:
            case ReadLedger():
                return await self._read(self._ledger_key, Ledger, LedgerRead)
            case ReadStore():
                return await self._read(self._store_key, PartStore, StoreRead)
            case ListParts():
                return await self._list_parts()
            case WriteStore():
                return await self._write_store(action)
            case WriteLedger():
                return await self._write_ledger(action)
            case EmptyStore():
                return await self._empty_store(action)
            case SendReport():
                return await self._send_report(action)
        raise TypeError(f"not a usage action: {action!r}")

    @property
    def _store_key(self) -> str:
        return self._store_prefix + self._cfg.daemon_id

    async def _read(self, key: str, record_type: type, make_event) -> object:
        found = await self._client.get(key)
        if found is None:
            return make_event(record_type(), 0)
        return make_event(
            msgspec.convert(found.value, record_type), found.version
        )

    async def _list_parts(self) -> PartsListed:
        stores = []
        for found in await self._client.list(self._store_prefix):
            try:
                store = msgspec.convert(found.value, PartStore)
            except msgspec.ValidationError as exc:
                log.error("usage object {} is invalid: {}", found.key, exc)
                continue
            daemon_id = found.key.removeprefix(self._store_prefix)
            stores.append(
                ListedStore(
                    daemon_id=daemon_id, store=store, version=found.version
                )
            )
        return PartsListed(tuple(stores))

    async def _empty_store(self, action: EmptyStore) -> StoreEmptied:
        key = self._store_prefix + action.daemon_id
        with contextlib.suppress(PlatformConflictError):
            await self._put(key, PartStore(), action.expected_version)
        return StoreEmptied()

    async def _write_store(self, action: WriteStore) -> object:
        with contextlib.suppress(PlatformConflictError):
            version = await self._put(
                self._store_key, action.store, action.expected_version
            )
            return StoreWritten(version)
        return StoreWriteRejected()

    async def _write_ledger(self, action: WriteLedger) -> object:
        if self._lease.fencing != action.fencing:
            return CallFailed()
        with contextlib.suppress(PlatformConflictError):
            version = await self._put(
                self._ledger_key, action.ledger, action.expected_version
            )
            log.info("window {} is sealed", action.ledger.window)
            self._count_sealed(action.ledger)
            return LedgerWritten(version)
        return LedgerWriteRejected()

    def _count_sealed(self, ledger: Ledger) -> None:
        """Counts the requests of each sealed window once in this process.

        A report may be in several successive ledgers, until one is written
        after the platform accepted the report.
        """
        for report in ledger.unreported:
            if report.window <= self._last_counted_window:
                continue
            self._last_counted_window = report.window
            window = msgspec.json.decode(report.body, type=SealedWindow)
            for name, counts in (
                ("usage_sealed_requests", window.counts),
                ("usage_late_requests", window.late),
            ):
                requests = sum(count.requests for count in counts)
                self._metrics.count(name, requests)

    async def _put(self, key: str, value: object, version: int) -> int:
        return await self._client.put(
            key,
            msgspec.to_builtins(value),
            expected_version=version,
            write_id=uuid.uuid4().hex,
        )

    async def _send_report(self, action: SendReport) -> object:
        report = UsageReport(
            failure_domain=self._cfg.failure_domain,
            window=action.window,
            body=action.body,
        )
        # The platform's usage interface checks no fencing number, so the lease
        # must remain valid for a second margin.
        margin_s = self._cfg.timing.lease_margin_s
        if self._lease.fencing_with_margin(margin_s) != action.fencing:
            return CallFailed()
        await self._client.report_usage(report)
        return ReportAccepted(action.window)
