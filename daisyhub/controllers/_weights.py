"""Orders engines to load new weights; one daemon of a domain is in charge."""

import time

import anyio
import msgspec

from daisyhub.balancing import EndpointState, EndpointTable
from daisyhub.base import Controller
from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.controllers._config import ConfigController
from daisyhub.logs import get_logger
from daisyhub.platform import LeaseKeeper, PlatformObject
from daisyhub.settings import DaemonSettings

__all__ = ["WeightController"]

_ORDER_TIMEOUT_S = 10.0
_RETRY_S = 0.5
_IDLE_S = 5.0
_OK = 200

log = get_logger("weights")


class WeightNews(msgspec.Struct, frozen=True, kw_only=True):
    """The newest weight version of a pool, as its trainer published it."""

    version: int


class WeightOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine; it refuses lower fencing numbers if it checks."""

    kind: str
    version: int
    fencing: int


class WeightController(Controller):
    """Keeps the engines of one failure domain at the newest weights.

    Args:
        cfg: Settings of this daemon.
        keeper: Makes the lease.
        http: Sends orders.
        table: The endpoints.
        config: Tells which pools check fencing numbers.
    """

    name = "weights"

    def __init__(
        self,
        cfg: DaemonSettings,
        keeper: LeaseKeeper,
        http: HttpClient,
        table: EndpointTable,
        config: ConfigController,
    ):
        self._cfg = cfg
        self._http = http
        self._table = table
        self._config = config
        self._lease = keeper.new_duty(f"weights/{cfg.failure_domain}")
        self._wanted: dict[str, int] = {}
        self._busy: set[str] = set()
        self._wakeup = anyio.Event()

    def status(self) -> dict[str, object]:
        """Tells the wanted versions and who is in charge."""
        return {
            "wanted": dict(self._wanted),
            "fencing": self._lease.fencing,
            "holder": self._lease.seen_holder,
        }

    async def on_weights(self, found: PlatformObject) -> None:
        """Takes a pool's newest version from the platform's watch."""
        pool = found.key.rpartition("/")[2]
        version = msgspec.convert(found.value, WeightNews).version
        self._wanted[pool] = max(version, self._wanted.get(pool, 0))
        self._wakeup.set()

    async def run(self) -> None:
        """Sends orders while the lease is held."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._lease.run)
            while True:
                if self._lease.fencing:
                    for state in self._engines_to_load():
                        self._busy.add(state.endpoint_id)
                        tasks.start_soon(self._load, state)
                with anyio.move_on_after(self._pause_s()):
                    await self._wakeup.wait()
                self._wakeup = anyio.Event()

    async def release(self) -> None:
        """Gives the duty up at shutdown."""
        await self._lease.release()

    def _pause_s(self) -> float:
        """Short while an engine is behind: a failed order is retried."""
        for pool, version in self._wanted.items():
            states = self._table.candidates(pool, time.monotonic())
            if any(state.weight_version < version for state in states):
                return _RETRY_S
        return _IDLE_S

    def _engines_to_load(self) -> list[EndpointState]:
        chosen = []
        for pool, version in self._wanted.items():
            settings = self._config.document.endpoint_pools.get(pool)
            if settings is None:
                continue
            states = self._table.candidates(pool, time.monotonic())
            busy = sum(s.endpoint_id in self._busy for s in states)
            free = settings.weight_loads_at_once - busy
            behind = [
                state
                for state in states
                if state.weight_version < version
                and state.endpoint_id not in self._busy
            ]
            chosen += behind[: max(0, free)]
        return chosen

    async def _load(self, state: EndpointState) -> None:
        try:
            await self._send_order(state, self._wanted[state.pool])
        finally:
            self._busy.discard(state.endpoint_id)
            self._wakeup.set()

    async def _send_order(self, state: EndpointState, version: int) -> None:
        settings = self._config.document.endpoint_pools[state.pool]
        extra_s = self._cfg.timing.lease_margin_s
        fencing = self._lease.fencing_with_margin(
            0.0 if settings.checks_fencing else extra_s
        )
        if not fencing:
            return
        order = WeightOrder(
            kind="load_weights", version=version, fencing=fencing
        )
        try:
            answer = await self._http.request(
                "POST",
                state.address,
                "/orders",
                headers=((b"content-type", b"application/json"),),
                body=msgspec.json.encode(order),
                timeout_s=_ORDER_TIMEOUT_S,
                fresh=True,
            )
        except RequestFailedError as exc:
            log.warning("order to {} failed: {}", state.endpoint_id, exc)
            return
        if answer.status != _OK:
            log.warning(
                "{} refused an order with status {}",
                state.endpoint_id,
                answer.status,
            )
            return
        state.weight_version = max(state.weight_version, version)
