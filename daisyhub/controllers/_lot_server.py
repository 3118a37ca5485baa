"""Serves one lot at its holder and executes the actions of its core."""

import dataclasses
import itertools
import time

import anyio
import msgspec

from daisyhub.accounting import UsageCounters
from daisyhub.balancing import EndpointTable
from daisyhub.base import Balancer
from daisyhub.clocks import wall_time_s
from daisyhub.connections import HttpClient
from daisyhub.controllers._config import ConfigController
from daisyhub.controllers._lot_calls import (
    decode_body,
    make_event,
    make_response,
)
from daisyhub.controllers._lot_engines import LotEngines
from daisyhub.exceptions import (
    ErrorCode,
    ExecutionStatus,
    PlatformConflictError,
    PlatformUnavailableError,
    Refusal,
)
from daisyhub.hosting import LeaseFactory, PlatformClient
from daisyhub.logs import get_logger
from daisyhub.metrics import Metrics
from daisyhub.peers import LotCallRequest, LotCallResponse
from daisyhub.rollouts import (
    CancelSample,
    CountUsage,
    DeliverGroups,
    Generate,
    LotCore,
    LotReleased,
    LotSpec,
    LotState,
    LotTick,
    OpenBody,
    ReadState,
    RefuseCall,
    SampleFailed,
    SampleReceived,
    SendProgress,
    StateRead,
    StateReadFailed,
    StateWriteRejected,
    StateWriteUncertain,
    StateWritten,
    StopServing,
    WriteState,
)
from daisyhub.settings import DaemonSettings

__all__ = ["LotServer", "LotServerDependencies"]

_RELEASE_TIMEOUT_S = 2.0
_MAX_TICK_INTERVAL_S = 1.0
_MIN_TICK_INTERVAL_S = 0.005
_POLL_INTERVAL_S = 0.02

log = get_logger("lots")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotServerDependencies:
    """Settings and components of the daemon that a lot server uses."""

    cfg: DaemonSettings
    client: PlatformClient
    lease_factory: LeaseFactory
    http: HttpClient
    table: EndpointTable
    balancer: Balancer
    config: ConfigController
    counters: UsageCounters
    metrics: Metrics


@dataclasses.dataclass(slots=True)
class _PendingCall:
    """A call for which the core has not returned a response yet.

    Attributes:
        event: Set once the call has ended.
        response: The core's action that ended the call; None without one.
    """

    event: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    response: object = None


class LotServer:
    """Acquires the lease of one lot and serves the lot while it is the holder.

    The lease only prevents other daemons from doing the same work. That each
    group is delivered once depends on the core and the store alone.

    Attributes:
        ready: Set once the lease has been acquired or the server has stopped.
    """

    def __init__(self, spec: LotSpec, dependencies: LotServerDependencies):
        self.spec = spec
        self.ready = anyio.Event()
        self._dependencies = dependencies
        self._lease = dependencies.lease_factory.new_lease(
            f"lots/{spec.lot_id}"
        )
        self._core: LotCore | None = None
        self._engines = LotEngines(
            spec, dependencies.table, dependencies.balancer, dependencies.http
        )
        self._own_holder_id = ""
        self._call_numbers = itertools.count(1)
        self._pending_calls: dict[int, _PendingCall] = {}
        self._wakeup = anyio.Event()
        self._is_stopped = False

    @property
    def is_serving(self) -> bool:
        """Whether this server can serve calls."""
        return self._core is not None and not self._is_stopped

    def status(self) -> dict[str, object]:
        """Returns the lot's progress; unknown values are None."""
        core = self._core
        return {
            "held": self.is_serving,
            "remaining": core.remaining if core else None,
            "open_pulls": len(core.open_pulls) if core else None,
            "dropped_stale": core.dropped_samples if core else None,
            "dropped_spans": core.invalid_responses if core else None,
            "fencing": self._lease.fencing,
        }

    async def run(self) -> None:
        """Acquires the lease, then serves the lot until the server stops."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._lease.run)
                if await self._acquire():
                    await self._run_core()
                tasks.cancel_scope.cancel()
        finally:
            self._is_stopped = True
            self.ready.set()
            for pending in self._pending_calls.values():
                pending.event.set()
            await self._lease.release()

    async def release(self) -> None:
        """Refuses pending calls at once and releases the lease."""
        if self.is_serving:
            self._feed(LotReleased())
        with anyio.move_on_after(_RELEASE_TIMEOUT_S):
            while self.is_serving:
                await anyio.sleep(_POLL_INTERVAL_S)
        self._is_stopped = True
        self._wakeup.set()
        await self._lease.release()

    async def serve(self, call: LotCallRequest) -> LotCallResponse:
        """Serves one trainer's call.

        Raises:
            Refusal: The call failed; the trainer receives this refusal.
        """
        if call.account != self.spec.account:
            raise Refusal(
                ErrorCode.LOT_UNKNOWN,
                "there is no such lot",
                ran=ExecutionStatus.NOT_RUN,
            )
        if call.verb == "open":
            self._check_open_request(decode_body(call.body, OpenBody))
        number = next(self._call_numbers)
        pending = self._pending_calls[number] = _PendingCall()
        try:
            if self.is_serving:
                self._feed(make_event(call, number))
                self._wakeup.set()
                await pending.event.wait()
        finally:
            del self._pending_calls[number]
        return make_response(pending.response)

    def _check_open_request(self, body: OpenBody) -> None:
        """Refuses to open a lot again with another class or other prompts."""
        opened = (self.spec.lot_class, self.spec.prompts)
        if (body.lot_class, body.prompts) != opened:
            raise Refusal(
                ErrorCode.LOT_CONFLICT,
                "the lot was opened with another class or other prompts",
                ran=ExecutionStatus.NOT_RUN,
            )

    async def _acquire(self) -> bool:
        """Waits for the lease and creates the core.

        Returns whether the lease was acquired and the server wasn't released.
        """
        timing = self._dependencies.cfg.timing
        # Twice the time after which the lease of a dead holder can be acquired.
        timeout_s = 2 * (timing.lease_term_s + timing.lease_margin_s)
        with anyio.move_on_after(timeout_s):
            while not self._lease.fencing:
                await anyio.sleep(_POLL_INTERVAL_S)
        if not self._lease.fencing or self._is_stopped:
            return False
        self._own_holder_id = self._lease.observed_holder
        # Unlike the id of the lease's holder, which is that of the process, the
        # core's holder must be unique for each time the lot is acquired.
        holder = f"{self._own_holder_id}.{time.monotonic_ns()}"
        self._core = LotCore(self.spec, holder)
        self.ready.set()
        return True

    @property
    def _has_other_holder(self) -> bool:
        """Whether the lease has another holder.

        If the lease has only expired, the server continues.
        """
        return self._lease.observed_holder not in ("", self._own_holder_id)

    async def _run_core(self) -> None:
        """Ticks the core at its wake-up times until the server stops."""
        while not self._is_stopped:
            self._feed(LotReleased() if self._has_other_holder else LotTick())
            wakeup_s = self._core.next_wakeup_s
            wait_s = _MAX_TICK_INTERVAL_S
            if wakeup_s is not None:
                remaining_s = wakeup_s - time.monotonic()
                wait_s = min(wait_s, max(_MIN_TICK_INTERVAL_S, remaining_s))
            with anyio.move_on_after(wait_s):
                await self._wakeup.wait()
            self._wakeup = anyio.Event()

    def _feed(self, event: object) -> None:
        for action in self._core.handle(event, time.monotonic()):
            match action:
                case Generate():
                    self._tasks.start_soon(self._generate, action)
                case CancelSample():
                    self._engines.cancel(action.attempt)
                case ReadState() | WriteState():
                    self._tasks.start_soon(self._call_store, action)
                case CountUsage():
                    self._count_usage(action)
                case DeliverGroups() | SendProgress() | RefuseCall():
                    self._complete_call(action)
                case StopServing():
                    log.info("stopped serving lot {}", self.spec.lot_id)
                    self._is_stopped = True
                    self._wakeup.set()

    def _complete_call(
        self, action: DeliverGroups | SendProgress | RefuseCall
    ) -> None:
        pending = self._pending_calls.get(action.call)
        if pending is not None:
            pending.response = action
            pending.event.set()

    def _count_usage(self, action: CountUsage) -> None:
        for tokens in action.tokens:
            self._dependencies.counters.add(
                self.spec.account, tokens, wall_time_s()
            )

    async def _generate(self, action: Generate) -> None:
        response = await self._engines.generate(action)
        event = SampleFailed(action.attempt)
        if response is not None:
            event = SampleReceived(action.attempt, response)
        self._feed(event)
        self._wakeup.set()

    async def _call_store(self, action: ReadState | WriteState) -> None:
        if isinstance(action, ReadState):
            event = await self._read()
        else:
            event = await self._write(action)
        self._feed(event)
        self._wakeup.set()

    @property
    def _state_key(self) -> str:
        return f"lots/{self.spec.lot_id}/state"

    async def _read(self) -> StateRead | StateReadFailed:
        try:
            found = await self._dependencies.client.get(self._state_key)
            if found is None:
                return StateRead(LotState(), 0)
            state = msgspec.convert(found.value, LotState)
            return StateRead(state, found.version)
        except (PlatformUnavailableError, msgspec.ValidationError) as exc:
            log.warning(
                "reading the state of lot {} failed: {}", self.spec.lot_id, exc
            )
            return StateReadFailed()

    async def _write(self, action: WriteState) -> object:
        try:
            version = await self._dependencies.client.put(
                self._state_key,
                msgspec.to_builtins(action.state),
                expected_version=action.expected_version,
                write_id=action.write_id,
            )
        except PlatformConflictError:
            return StateWriteRejected(action.write_id)
        except PlatformUnavailableError:
            return StateWriteUncertain(action.write_id)
        return StateWritten(action.write_id, version)
