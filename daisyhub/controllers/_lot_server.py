"""One lot at its holder: feeds the core and carries its actions out."""

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
from daisyhub.controllers._lot_engines import LotEngines
from daisyhub.exceptions import (
    ErrorCode,
    PlatformConflictError,
    PlatformUnavailableError,
    Refusal,
)
from daisyhub.hosting import LeaseFactory, PlatformClient
from daisyhub.logs import get_logger
from daisyhub.metrics import Metrics
from daisyhub.peers import LotCallRequest, LotCallResponse
from daisyhub.rollouts import (
    AckBody,
    AckRequested,
    CancelSample,
    CloseRequested,
    CountUsage,
    DeliverGroups,
    Generate,
    LotCore,
    LotReleased,
    LotSpec,
    LotState,
    LotTick,
    OpenBody,
    OpenRequested,
    ProgressResponse,
    PullBody,
    PullRequested,
    PullResponse,
    ReadState,
    RefusalReason,
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

__all__ = ["LotServer", "LotServerDependencies", "decode_body"]

_RETRY_S = 1.0
_CALL_WAIT_S = 5.0
_RELEASE_WAIT_S = 2.0
_IDLE_STEP_S = 1.0
_SHORTEST_STEP_S = 0.005
_LEASE_STEP_S = 0.02
_OK = 200
_REASONS = {
    RefusalReason.RELEASED: ErrorCode.LOT_ELSEWHERE,
    RefusalReason.PLATFORM: ErrorCode.PLATFORM_UNAVAILABLE,
    RefusalReason.CLOSED: ErrorCode.LOT_CONFLICT,
    RefusalReason.ACKED: ErrorCode.LOT_CONFLICT,
    RefusalReason.UNKNOWN_PULL: ErrorCode.LOT_CONFLICT,
}

log = get_logger("lots")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LotServerDependencies:
    """What a seat needs of its daemon."""

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
class _Waiter:
    """A call that waits for the core's answer."""

    event: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    answer: object = None


class LotServer:
    """Tries to hold one lot and serves it while it does.

    The lease keeps other daemons from doing the same work; that groups are
    delivered once rests on the core and the store alone.

    Attributes:
        ready: Set once the lease was acquired, or the seat is over.
    """

    def __init__(self, spec: LotSpec, tools: LotServerDependencies):
        self.spec = spec
        self.ready = anyio.Event()
        self._tools = tools
        self._lease = tools.lease_factory.new_lease(f"lots/{spec.lot_id}")
        self._core: LotCore | None = None
        self._engines = LotEngines(
            spec, tools.table, tools.balancer, tools.http
        )
        self._own_id = ""
        self._call_numbers = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}
        self._wakeup = anyio.Event()
        self._is_over = False

    @property
    def is_serving(self) -> bool:
        """Whether calls may be served here."""
        return self._core is not None and not self._is_over

    def status(self) -> dict[str, object]:
        """Tells the lot's progress."""
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
        """Acquires the lease, then serves the lot until it is over."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._lease.run)
                if await self._acquire():
                    await self._drive()
                tasks.cancel_scope.cancel()
        finally:
            self._is_over = True
            self.ready.set()
            for waiter in self._waiters.values():
                waiter.event.set()
            await self._lease.release()

    async def release(self) -> None:
        """Refuses waiting calls at once and gives the lease up."""
        if self.is_serving:
            self._feed(LotReleased())
        with anyio.move_on_after(_RELEASE_WAIT_S):
            while self.is_serving:
                await anyio.sleep(_LEASE_STEP_S)
        self._is_over = True
        self._wakeup.set()
        await self._lease.release()

    async def serve(self, call: LotCallRequest) -> LotCallResponse:
        """Serves one trainer's call.

        Raises:
            Refusal: With the final answer for the trainer.
        """
        if call.account != self.spec.account:
            raise Refusal(ErrorCode.LOT_UNKNOWN, "there is no such lot")
        if call.verb == "open":
            self._check_opening(decode_body(call.body, OpenBody))
        number = next(self._call_numbers)
        waiter = self._waiters[number] = _Waiter()
        try:
            if self.is_serving:
                self._feed(_event_of(call, number))
                self._wakeup.set()
                await waiter.event.wait()
        finally:
            del self._waiters[number]
        return _answer_of(waiter.answer)

    def _check_opening(self, body: OpenBody) -> None:
        """Refuses to open a lot again as another one."""
        opened = (self.spec.lot_class, self.spec.prompts)
        if (body.lot_class, body.prompts) != opened:
            raise Refusal(
                ErrorCode.LOT_CONFLICT,
                "the lot was opened with another class or other prompts",
            )

    async def _acquire(self) -> bool:
        """Waits for the lease; False if another holder keeps it."""
        timing = self._tools.cfg.timing
        patience_s = 2 * (timing.lease_term_s + timing.lease_margin_s)
        with anyio.move_on_after(patience_s):
            while not self._lease.fencing:
                await anyio.sleep(_LEASE_STEP_S)
        if not self._lease.fencing or self._is_over:
            return False
        self._own_id = self._lease.observed_holder
        holder = f"{self._own_id}.{time.monotonic_ns()}"
        self._core = LotCore(self.spec, holder)
        self.ready.set()
        return True

    @property
    def _is_deposed(self) -> bool:
        """Whether another holder was seen; a lapse alone changes nothing."""
        return self._lease.observed_holder not in ("", self._own_id)

    async def _drive(self) -> None:
        """Ticks the core at its wake-up times until the seat is over."""
        while not self._is_over:
            self._feed(LotReleased() if self._is_deposed else LotTick())
            wakeup_s = self._core.next_wakeup_s
            wait_s = _IDLE_STEP_S
            if wakeup_s is not None:
                remaining_s = wakeup_s - time.monotonic()
                wait_s = min(wait_s, max(_SHORTEST_STEP_S, remaining_s))
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
                    self._count(action)
                case DeliverGroups() | SendProgress() | RefuseCall():
                    self._answer(action)
                case StopServing():
                    log.info("lot {} is given up", self.spec.lot_id)
                    self._is_over = True
                    self._wakeup.set()

    def _answer(
        self, action: DeliverGroups | SendProgress | RefuseCall
    ) -> None:
        waiter = self._waiters.get(action.call)
        if waiter is not None:
            waiter.answer = action
            waiter.event.set()

    def _count(self, action: CountUsage) -> None:
        for tokens in action.tokens:
            self._tools.counters.add(self.spec.account, tokens, wall_time_s())

    async def _generate(self, action: Generate) -> None:
        answer = await self._engines.generate(action)
        event = SampleFailed(action.attempt)
        if answer is not None:
            event = SampleReceived(action.attempt, answer)
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
            found = await self._tools.client.get(self._state_key)
            if found is None:
                return StateRead(LotState(), 0)
            state = msgspec.convert(found.value, LotState)
            return StateRead(state, found.version)
        except (PlatformUnavailableError, msgspec.ValidationError) as exc:
            log.warning("lot {} can't be read: {}", self.spec.lot_id, exc)
            return StateReadFailed()

    async def _write(self, action: WriteState) -> object:
        try:
            version = await self._tools.client.put(
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


def _event_of(call: LotCallRequest, number: int) -> object:
    until_s = time.monotonic() + _CALL_WAIT_S
    match call.verb:
        case "open":
            return OpenRequested(call=number, until_s=until_s)
        case "close":
            return CloseRequested(call=number, until_s=until_s)
        case "ack":
            body = decode_body(call.body, AckBody)
            return AckRequested(
                call=number, pull_id=body.pull_id, until_s=until_s
            )
        case "pull":
            body = decode_body(call.body, PullBody)
            return PullRequested(
                call=number,
                pull_id=body.pull_id,
                version=body.version,
                max_groups=body.max_groups,
                until_s=time.monotonic() + body.wait_s,
                acks=body.acks,
            )
    raise Refusal(ErrorCode.ROUTE_UNKNOWN, f"no verb {call.verb!r}")


def _answer_of(action: object) -> LotCallResponse:
    """Returns the trainer's answer; raises `Refusal` if it is one."""
    match action:
        case DeliverGroups():
            return _json_answer(
                PullResponse(
                    pull_id=action.pull_id,
                    groups=action.groups,
                    remaining=action.remaining,
                )
            )
        case SendProgress():
            return _json_answer(
                ProgressResponse(
                    remaining=action.remaining,
                    open_pulls=action.open_pulls,
                    closed=action.is_closed,
                )
            )
    reason = RefusalReason.RELEASED
    if isinstance(action, RefuseCall):
        reason = action.reason
    error = _REASONS[reason]
    is_final = error is ErrorCode.LOT_CONFLICT
    raise Refusal(
        error, reason.value, retry_after_s=None if is_final else _RETRY_S
    )


def decode_body(body: bytes, kind: type):
    """Reads a trainer's JSON body into `kind`.

    Raises:
        Refusal: It isn't a `kind`.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise Refusal(ErrorCode.BODY_INVALID, str(exc)) from exc


def _json_answer(value: object) -> LotCallResponse:
    return LotCallResponse(status=_OK, body=msgspec.json.encode(value))
