"""Flushes usage counts, seals windows once, and reports the sealed figures."""

import contextlib
import uuid

import anyio
import msgspec

from daisyhub.accounting import (
    SealedWindow,
    UsageCounters,
    UsagePart,
    seal_window,
    window_of,
)
from daisyhub.base import Controller
from daisyhub.clocks import wall_time_s
from daisyhub.controllers._peers import PeerController
from daisyhub.exceptions import (
    PlatformConflictError,
    PlatformUnavailableError,
)
from daisyhub.logs import get_logger
from daisyhub.platform import LeaseKeeper, PlatformClient, UsageReport
from daisyhub.settings import DaemonSettings

__all__ = ["UsageController"]

_STEP_S = 1.0
_KEPT_WINDOWS = 64

log = get_logger("usage")


class UsageController(Controller):
    """Flushes this daemon's parts; the holder also seals and reports.

    Args:
        cfg: Settings of this daemon.
        client: The platform.
        keeper: Makes the lease.
        counters: This daemon's counts.
        peers: Copies of the counts of daemons that died.
    """

    name = "usage"

    def __init__(
        self,
        cfg: DaemonSettings,
        client: PlatformClient,
        keeper: LeaseKeeper,
        counters: UsageCounters,
        peers: PeerController,
    ):
        self._cfg = cfg
        self._client = client
        self._counters = counters
        self._peers = peers
        self._lease = keeper.new_lease(f"usage/{cfg.failure_domain}")
        self._sealed: dict[int, SealedWindow] = {}
        self._reported: set[int] = set()
        self._is_loaded = False

    def status(self) -> dict[str, object]:
        """Tells who is in charge and which window was sealed last."""
        return {
            "fencing": self._lease.fencing,
            "holder": self._lease.seen_holder,
            "last_sealed": max(self._sealed, default=0),
            "unflushed": self._counters.windows(),
        }

    async def run(self) -> None:
        """Flushes, seals and reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._lease.run)
            while True:
                with contextlib.suppress(PlatformUnavailableError):
                    await self._flush_ended()
                    await self._work_in_charge()
                await anyio.sleep(self._step_s)

    async def release(self) -> None:
        """Flushes everything and gives the duty up at shutdown."""
        with contextlib.suppress(PlatformUnavailableError):
            for window in self._counters.windows():
                await self._flush(window)
        await self._lease.release()

    @property
    def _step_s(self) -> float:
        return min(_STEP_S, self._cfg.timing.usage_grace_s / 2)

    @property
    def _domain(self) -> str:
        return self._cfg.failure_domain

    def _ended_window(self, grace_s: float) -> int:
        """Returns the newest window that ended `grace_s` ago."""
        length_s = self._cfg.timing.usage_window_s
        return window_of(wall_time_s() - grace_s - length_s, length_s)

    async def _flush_ended(self) -> None:
        newest = self._ended_window(self._step_s)
        for window in self._counters.windows():
            if window <= newest:
                await self._flush(window)

    async def _flush(self, window: int) -> None:
        part = self._counters.part(window)
        key = f"usage/{self._domain}/{window:012d}/"
        with contextlib.suppress(PlatformConflictError):
            await self._client.put(
                f"{key}{part.daemon_id}-{part.epoch}",
                msgspec.to_builtins(part),
                expected_version=0,
                write_id=uuid.uuid4().hex,
            )
        self._counters.drop(window)

    async def _work_in_charge(self) -> None:
        if not self._lease.fencing:
            self._is_loaded = False
            return
        if not self._is_loaded:
            await self._load_sealed()
        window = self._ended_window(self._cfg.timing.usage_grace_s)
        if window > max(self._sealed, default=0):
            await self._seal(window)
        for sealed_window in sorted(set(self._sealed) - self._reported):
            await self._report(self._sealed[sealed_window])

    async def _load_sealed(self) -> None:
        found = await self._client.list(f"sealed/{self._domain}/")
        self._sealed = {}
        for item in found[-_KEPT_WINDOWS:]:
            sealed = msgspec.convert(item.value, SealedWindow)
            self._sealed[sealed.window] = sealed
        self._is_loaded = True

    async def _seal(self, window: int) -> None:
        parts = await self._read_parts()
        sealed = seal_window(self._domain, window, parts, self._sealed.values())
        if not sealed.counts:
            return
        key = f"sealed/{self._domain}/{window:012d}"
        if not self._lease.fencing:
            return
        try:
            await self._client.put(
                key,
                msgspec.to_builtins(sealed),
                expected_version=0,
                write_id=uuid.uuid4().hex,
            )
        except PlatformConflictError:
            self._is_loaded = False  # Another holder sealed it; use its bytes.
            return
        self._sealed[window] = sealed
        log.info("window {} is sealed", window)

    async def _read_parts(self) -> list[UsagePart]:
        found = await self._client.list(f"usage/{self._domain}/")
        parts = [msgspec.convert(item.value, UsagePart) for item in found]
        for copy in self._peers.usage_copies():
            parts.append(
                UsagePart(
                    daemon_id=copy.daemon_id,
                    epoch=copy.epoch,
                    window=copy.window,
                    counts=copy.counts,
                )
            )
        return parts

    async def _report(self, sealed: SealedWindow) -> None:
        if not self._lease.fencing:
            return
        body = msgspec.json.encode(sealed).decode()
        await self._client.report_usage(
            UsageReport(
                failure_domain=self._domain, window=sealed.window, body=body
            )
        )
        self._reported.add(sealed.window)
